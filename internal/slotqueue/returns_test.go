package slotqueue

import (
	"fmt"
	"testing"
	"time"
)

// Guards against returning callers, whose responses are late already, that take slots from
// those that can be on time; and against a key that stands for several callers and makes
// new requests late ones.
func TestCallerThatReturnsIsNotNew(t *testing.T) {
	for _, c := range []struct {
		name     string
		refusals int
		after    time.Duration // of the refusal, when a request with the key arrives
		first    string        // which of both gets the slot
	}{
		{"when it was told to", 1, 20 * time.Millisecond, "other"},
		{"much later", 1, time.Second, "same key"},
		{"one of two with the key", 2, 20 * time.Millisecond, "same key"},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRig(t, Bounds{}, listed("t", 1))
			key := func(q *Request) {
				q.CallerKey, q.OnTimeUntil, q.Deadline = "k", r.now.Add(5*time.Second), r.now.Add(9*time.Second)
			}
			for range c.refusals {
				a := r.submit(ownerA, func(q *Request) {
					key(q)
					q.OnTimeUntil, q.Deadline = r.now.Add(fakeWork/3), r.now.Add(fakeWork/3)
				})
				if a.Refusal == nil {
					t.Fatalf("%+v, want a refusal", a)
				}
			}
			r.granted(r.submit(ownerB, nil), "t")
			busy := r.id
			r.now = r.now.Add(c.after)
			r.waits(r.submit(ownerA, key))
			same := r.id
			r.now = r.now.Add(time.Millisecond)
			r.waits(r.submit(ownerA, func(q *Request) { key(q); q.CallerKey = "" }))
			got := r.release(ownerB, busy, Unknown, nil)
			first := "other"
			if len(got) == 1 && got[0].ID == same {
				first = "same key"
			}
			if first != c.first {
				t.Errorf("the slot went to the request %q, want %q", first, c.first)
			}
		})
	}
}

// Guards against a memory of refused callers that grows without bound.
func TestRefusedCallersAreForgotten(t *testing.T) {
	r := newRig(t, Bounds{}, listed("t", 1))
	for i := range 3 * maxExpected {
		r.submit(ownerA, func(q *Request) { q.CallerKey, q.Deadline = fmt.Sprint(i), r.now.Add(time.Millisecond) })
		if n := len(r.q.returns.byKey); n > maxExpected {
			t.Fatalf("%d callers are remembered", n)
		}
	}
	r.now = r.now.Add(time.Minute)
	r.submit(ownerA, func(q *Request) { q.CallerKey, q.Deadline = "last", r.now.Add(time.Millisecond) })
	if n := len(r.q.returns.byKey); n != 1 {
		t.Fatalf("%d callers are remembered after a minute, want the last one", n)
	}
}
