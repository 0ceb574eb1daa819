package forwarding

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/coder/quartz"

	"lynxhill.example/lynxhill/internal/route"
)

// breaksOffOnce sends only the head of the first response and closes the connection
// after the given time. All later requests get the whole response.
func breaksOffOnce(after time.Duration) func(*memoryTarget, net.Conn, string) {
	var broken atomic.Bool
	return func(_ *memoryTarget, conn net.Conn, _ string) {
		if broken.Swap(true) {
			_, _ = io.WriteString(conn, wholeAnswer)
			return
		}
		_, _ = io.WriteString(conn, wholeAnswer[:58])
		time.Sleep(after)
		_ = conn.Close()
	}
}

// Guards against streams that are cut off at an instance that has just started and
// whose budget will allow the next retry a moment later.
func TestBrokenStreamWaitsForARepeat(t *testing.T) {
	for _, c := range []struct {
		name  string
		extra float64 // a fifth of it becomes available over the first window
		whole bool
		cutBy time.Duration // after the start
	}{
		{"retry available soon", 60, true, 0},
		{"retry available too late", 10, false, 1200 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRig(t, 2, breaksOffOnce(0))
				r.Forwarder.o.Budget = NewRetryBudget(RetryBudgetOptions{
					Extra: c.extra, Window: 10 * time.Second, Instances: func() int { return 1 }, Clock: quartz.NewReal(),
				})
				began := time.Now()
				time.Sleep(100 * time.Millisecond)
				w, cut := r.call(t.Context(), inbound(route.Streaming, true, true), "body", 5*time.Second)
				whole := !cut && w.Code == http.StatusOK && strings.HasSuffix(w.Body.String(), "id: 1\nyes\n\n")
				if whole != c.whole {
					t.Errorf("whole %v, want %v: status %d, body %q", whole, c.whole, w.Code, w.Body)
				}
				if took := time.Since(began); !c.whole && took > c.cutBy {
					t.Errorf("cut after %v, want %v at most", took, c.cutBy)
				}
			})
		})
	}
}

// Guards against streams that are not resumed because they broke off later than
// AbandonAfter, the time that callers wait for the first event.
func TestStreamThatBrokeOffLateIsResumed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 2, breaksOffOnce(2*time.Second))
		in := inbound(route.Streaming, true, true)
		in.Route.AbandonAfter = time.Second
		w, cut := r.call(t.Context(), in, "body", 5*time.Second)
		if cut || w.Code != http.StatusOK || !strings.HasSuffix(w.Body.String(), "id: 1\nyes\n\n") {
			t.Errorf("cut %v, status %d, body %q", cut, w.Code, w.Body)
		}
	})
}
