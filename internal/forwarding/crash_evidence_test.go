package forwarding

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"lynxhill.example/lynxhill/internal/crashguard"
	"lynxhill.example/lynxhill/internal/fleet"
	"lynxhill.example/lynxhill/internal/route"
	"lynxhill.example/lynxhill/internal/stagework"
)

// repeat returns a copy of the request with another URI.
func repeat(in Inbound, uri string) Inbound {
	request := *in.Request
	path, _, _ := strings.Cut(uri, "?")
	request.URI, request.Path = uri, path
	in.Request = &request
	return in
}

// Guards against a request that goes on crashing targets because its caller varies the
// query, and against the refusal of other requests with the same body.
func TestCrashingRequestWithAnotherQuery(t *testing.T) {
	for _, engine := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			r := newRig(t, 12, func(m *memoryTarget, conn net.Conn, body string) {
				if strings.HasPrefix(body, "crash") {
					m.die()
					return
				}
				_, _ = io.WriteString(conn, wholeAnswer)
			})
			in := inbound(map[bool]route.Kind{false: route.NonIdempotent, true: route.Streaming}[engine], false, engine)
			for n := range 10 {
				_, _ = r.call(t.Context(), repeat(in, fmt.Sprint("/x?n=", n)), "crash", time.Second)
				time.Sleep(100 * time.Millisecond)
			}
			if arrivals := r.arrived("crash"); arrivals != 3 {
				t.Errorf("engine %v: reached targets %d times, want 3", engine, arrivals)
			}
			for _, other := range []struct{ uri, body string }{{"/x?n=1", "sound"}, {"/y?n=1", "crash"}} {
				before := r.arrived(other.body)
				_, _ = r.call(t.Context(), repeat(in, other.uri), other.body, time.Second)
				if r.arrived(other.body) == before {
					t.Errorf("engine %v: %v does not reach a target", engine, other)
				}
			}
		})
	}
}

// Guards against the refusal of sound requests that differ only in their query from one
// that crashes targets: their body says nothing.
func TestRequestsThatDifferInTheirQueryAreToldApart(t *testing.T) {
	for _, body := range []string{"", "{}"} {
		synctest.Test(t, func(t *testing.T) {
			r := newRig(t, 12, nil)
			handle := func(m *memoryTarget, conn net.Conn, _ string) { _, _ = io.WriteString(conn, wholeAnswer) }
			crash := func(m *memoryTarget, _ net.Conn, _ string) { m.die() }
			set := func(h func(*memoryTarget, net.Conn, string)) {
				for _, m := range r.targets {
					m.handle = h
				}
			}
			in := inbound(route.NonIdempotent, false, false)
			served := 0
			for n := range 12 {
				set(handle)
				if w, cut := r.call(t.Context(), repeat(in, fmt.Sprint("/x?item=", n)), body, time.Second); !cut && w.Code == 200 {
					served++
				}
				set(crash)
				_, _ = r.call(t.Context(), repeat(in, "/x?item=bad"), body, time.Second)
				time.Sleep(100 * time.Millisecond)
			}
			dead := 0
			for _, m := range r.targets {
				if m.dead {
					dead++
				}
			}
			if served != 12 || dead != 3 {
				t.Errorf("body %q: %d of 12 sound requests were served, %d targets crashed, want 3", body, served, dead)
			}
		})
	}
}

// Guards against a crash that is not counted: the target dies where no connection to it
// is refused, and another one with another id has its address a moment later.
func TestCrashIsSeenByTheNextTargetAtTheAddress(t *testing.T) {
	for _, c := range []struct {
		name      string
		silent    bool // the target's connections go silent, and the request ends by its deadline
		callerEnd bool // the caller leaves meanwhile
	}{{"closed", false, false}, {"silent", true, false}, {"silent, the caller leaves", true, true}} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const crashes = 3
				r := newRig(t, crashes+1, func(m *memoryTarget, conn net.Conn, _ string) {
					if !c.silent {
						_ = conn.Close()
					}
				})
				in := inbound(route.NonIdempotent, false, false)
				for n := range crashes {
					r.list(n, n+1)
					wait := 500 * time.Millisecond
					if c.callerEnd {
						go func() { _, _ = r.call(t.Context(), in, "crash", 100*time.Millisecond) }()
						time.Sleep(150 * time.Millisecond)
					} else {
						_, _ = r.call(t.Context(), in, "crash", wait)
					}
					time.Sleep(time.Second)
					address := fmt.Sprint("m", n)
					r.view.Store(fleet.NewView(2, []fleet.Target{{ID: address + "-next", Service: "s", Address: address, Slots: 8}}))
					time.Sleep(2 * time.Second)
				}
				r.list(crashes, crashes+1)
				before := r.arrived("crash")
				_, _ = r.call(t.Context(), in, "crash", 500*time.Millisecond)
				if got := r.arrived("crash") - before; got != 0 {
					t.Errorf("reached a target after %d crashes", crashes)
				}
			})
		})
	}
}

// Guards against crashes that are counted for a target that left as announced, or whose
// entry was away for a while.
func TestTargetsThatLeaveAreNotTakenForCrashed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 4, func(_ *memoryTarget, conn net.Conn, _ string) { _ = conn.Close() })
		in := inbound(route.NonIdempotent, false, false)
		for n := range 3 {
			id := fmt.Sprint("m", n)
			r.list(n, n+1)
			_, _ = r.call(t.Context(), in, "sound", 500*time.Millisecond)
			time.Sleep(500 * time.Millisecond)
			draining := fleet.Target{ID: id, Service: "s", Address: id, Slots: 8, Draining: true}
			r.view.Store(fleet.NewView(2, []fleet.Target{draining}))
			time.Sleep(500 * time.Millisecond)
			r.view.Store(fleet.NewView(3, []fleet.Target{{ID: id + "-next", Service: "s", Address: id, Slots: 8}}))
			time.Sleep(2 * time.Second)
		}
		r.list(3, 4)
		_, _ = r.call(t.Context(), in, "sound", 500*time.Millisecond)
		if got := len(r.targets["m3"].received); got != 1 {
			t.Errorf("reached the last target %d times, want 1", got)
		}
	})
}

// holdTime is how long a heldScheduler keeps a job.
const holdTime = time.Second

// heldScheduler is a scheduler that submits each job a while later.
type heldScheduler struct{ Scheduler }

func (h heldScheduler) Submit(ctx context.Context, job stagework.Job) (stagework.Assignment, *stagework.Refusal, error) {
	time.Sleep(holdTime)
	return h.Scheduler.Submit(ctx, job)
}

// Guards against a request that waits for an engine while its third target crashes, and
// is sent when its turn comes.
func TestQueuedRequestIsNotSentOnceRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 1, func(_ *memoryTarget, conn net.Conn, body string) {
			time.Sleep(time.Second)
			_, _ = io.WriteString(conn, wholeAnswer)
		})
		in := inbound(route.Streaming, false, true)
		r.Forwarder.o.Scheduler = heldScheduler{r.Forwarder.o.Scheduler}
		go func() { _, _ = r.call(t.Context(), in, "crash", 5*time.Second) }()
		time.Sleep(holdTime / 2)
		for n := range 3 {
			r.guard.RecordCrash(crashguard.Fingerprint("h/\x00", []byte("crash")), crashguard.Crash{Target: fmt.Sprint("gone", n)})
		}
		time.Sleep(3 * time.Second)
		if got := r.arrived("crash"); got != 0 {
			t.Errorf("reached a target %d times after its refusal", got)
		}
	})
}
