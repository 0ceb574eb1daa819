package reservation

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// heldBook is a book with many reservations, in which each refuse ends the oldest one and makes
// another, and reads the schedule as the forecast of the next job does.
type heldBook struct {
	*Book
	n int
}

const held = 2000

func newHeldBook(t testing.TB) *heldBook {
	h := &heldBook{Book: New()}
	for range held {
		h.offer(t)
	}
	return h
}

func (h *heldBook) offer(t testing.TB) {
	c := Capacity{PerWindow: 40 * time.Second, FreeAt: start}
	q := Request{CallerKey: fmt.Sprint(h.n), Latest: start.Add(time.Hour), OnTime: true, Demands: []Demand{{"a", 200 * ms}, {"b", 200 * ms}}}
	if _, ok := h.Offer(q, map[string]Capacity{"a": c, "b": c}, start); !ok {
		t.Fatal("no reservation")
	}
	h.n++
}

func (h *heldBook) refuse(t testing.TB) {
	h.Expire(start)
	h.Cancel(fmt.Sprint(h.n - held))
	h.offer(t)
	h.Schedule("a", start)
	h.Schedule("b", start)
}

// TestARefusalDoesNotCopyAllReservations guards against work per refusal that grows with the
// number of reservations.
func TestARefusalDoesNotCopyAllReservations(t *testing.T) {
	const refusals, most = 50, 32 << 10
	h := newHeldBook(t)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range refusals {
		h.refuse(t)
	}
	runtime.ReadMemStats(&after)
	if each := (after.TotalAlloc - before.TotalAlloc) / refusals; each > most {
		t.Errorf("%d bytes are allocated per refusal while %d reservations are held, want at most %d", each, held, most)
	}
}

func BenchmarkRefusalWithManyReservations(b *testing.B) {
	h := newHeldBook(b)
	for b.Loop() {
		h.refuse(b)
	}
}
