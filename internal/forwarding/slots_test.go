package forwarding

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/coder/quartz"

	"lynxhill.example/lynxhill/internal/allowance"
	"lynxhill.example/lynxhill/internal/fleet"
	"lynxhill.example/lynxhill/internal/metrics"
	"lynxhill.example/lynxhill/internal/route"
	"lynxhill.example/lynxhill/internal/slotqueue"
)

// slotClient is a slot queue with this instance as the coordinator.
type slotClient struct {
	*slotqueue.Client
	coordinator *slotqueue.Coordinator
	asked       atomic.Int64
	refusal     atomic.Pointer[slotqueue.Refusal] // given to all requests instead
	alone       atomic.Bool                       // there is no coordinator
}

func (c *slotClient) Enabled(string) bool { return true }

func (c *slotClient) Acquire(ctx context.Context, r slotqueue.Request) (*slotqueue.Slot, *slotqueue.Refusal, error) {
	c.asked.Add(1)
	if refusal := c.refusal.Load(); refusal != nil {
		return nil, refusal, nil
	}
	return c.Client.Acquire(ctx, r)
}

// withSlots enables the slot queue for all services of the forwarder.
func withSlots(f *Forwarder) *slotClient {
	c, registry := &slotClient{}, metrics.NewRegistry()
	c.coordinator = slotqueue.New(slotqueue.Options{
		Clock: f.o.Clock, Metrics: registry, Rand: rand.New(rand.NewPCG(7, 8)),
		Targets: func(service string) []fleet.Target { return f.o.Targets().Ready(service) },
	})
	c.Client = slotqueue.NewClient(slotqueue.ClientOptions{
		Self: "i", Clock: f.o.Clock, Metrics: registry, Local: c.coordinator.Open,
		Members: func() []string {
			if c.alone.Load() {
				return nil
			}
			return []string{"i"}
		},
	})
	f.o.Slots = c
	return c
}

// enableSlots enables the slot queue until the end of the test.
func (r *rig) enableSlots(t *testing.T) *slotClient {
	c := withSlots(r.Forwarder)
	t.Cleanup(c.Close)
	r.slots = c
	return c
}

// used returns the number of slots that the coordinator counts, and of waiting requests.
func (c *slotClient) used() (used, waiting int) {
	for _, s := range c.coordinator.Snapshot().Services {
		used += s.Used
		for _, w := range s.Waiting {
			waiting += w.Count
		}
	}
	return used, waiting
}

// The guarantees of TestPromisesOfAnswers must hold with the slot queue too, with a coordinator and without.
func TestPromisesOfAnswersWithSlots(t *testing.T) {
	for kind, in := range map[string]func() Inbound{
		"once":       func() Inbound { return inbound(route.NonIdempotent, false, false) },
		"idempotent": func() Inbound { return inbound(route.Idempotent, false, false) },
	} {
		for n := range 2 * len(behaviours) * len(behaviours) {
			first, second, alone := behaviours[n/2%len(behaviours)], behaviours[n/2/len(behaviours)], n%2 == 1
			t.Run(fmt.Sprintf("%s/%s/%s/alone %v", kind, first.name, second.name, alone), func(t *testing.T) {
				t.Parallel()
				tryPairAt(t, func(targets ...*scripted) *Forwarder {
					f := forwarderOf(targets...)
					c := withSlots(f)
					c.alone.Store(alone)
					t.Cleanup(c.Close)
					return f
				}, first, second, in())
			})
		}
	}
}

// Guards against a target that gets more requests than it has slots, and against slots that are not released: whatever
// the outcome of the attempts, none is used in the end.
func TestRequestsWaitForSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var mu sync.Mutex
		running, most := make(map[*memoryTarget]int), 0
		r := newRig(t, 2, func(m *memoryTarget, conn net.Conn, body string) {
			mu.Lock()
			running[m]++
			most = max(most, running[m])
			mu.Unlock()
			time.Sleep(60 * time.Millisecond)
			mu.Lock()
			running[m]--
			mu.Unlock()
			answer := wholeAnswer
			if body == "fails" {
				answer = "HTTP/1.1 500 S\r\nX-Signed: 1\r\nContent-Length: 0\r\n\r\n"
			}
			_, _ = io.WriteString(conn, answer)
		})
		slots := r.enableSlots(t)
		var callers sync.WaitGroup
		for n := range 80 {
			callers.Go(func() {
				body, want := "works", 200
				if n%10 == 0 {
					body, want = "fails", 500
				}
				if w, cut := r.call(t.Context(), inbound(route.NonIdempotent, false, false), body, 3*time.Second); cut || w.Code != want {
					t.Errorf("%s: status %d, cut %v", body, w.Code, cut)
				}
			})
		}
		callers.Wait()
		synctest.Wait()
		if used, waiting := slots.used(); most != 8 || used != 0 || waiting != 0 || r.arrived("works")+r.arrived("fails") != 80 {
			t.Errorf("%d requests at a target of 8 slots; in the end %d slots used, %d requests wait", most, used, waiting)
		}
	})
}

// Guards against a refusal that says "not run" although the first attempt may have run the request, and against one
// without the queue's Retry-After.
func TestRefusalOfTheQueue(t *testing.T) {
	for _, c := range []struct {
		name       string
		first      string // response of the first attempt; "" = there is none
		refusal    slotqueue.Refusal
		status     int
		retryAfter string
	}{
		{"late", "", slotqueue.Refusal{Reason: slotqueue.ReasonLate, RetryAfter: 1300 * time.Millisecond}, 503, "1.3s"},
		{"no target", "", slotqueue.Refusal{Reason: slotqueue.ReasonNoTarget, RetryAfter: time.Second}, 503, "1s"},
		{"too large", "", slotqueue.Refusal{Reason: slotqueue.ReasonTooLarge, RetryAfter: time.Second}, 413, ""},
		{"after a refusal", "HTTP/1.1 503 S\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", slotqueue.Refusal{Reason: slotqueue.ReasonLate, RetryAfter: time.Second}, 503, "1s"},
		{"after an error", "HTTP/1.1 500 S\r\nX-Signed: 1\r\nContent-Length: 0\r\n\r\n", slotqueue.Refusal{Reason: slotqueue.ReasonLate, RetryAfter: time.Second}, 500, ""},
		{"after a crash", "HTT", slotqueue.Refusal{Reason: slotqueue.ReasonLate, RetryAfter: time.Second}, 502, ""},
	} {
		synctest.Test(t, func(t *testing.T) {
			var slots *slotClient
			r := newRig(t, 2, func(m *memoryTarget, conn net.Conn, _ string) {
				slots.refusal.Store(&c.refusal)
				_, _ = io.WriteString(conn, c.first)
				_ = conn.Close()
			})
			slots = r.enableSlots(t)
			if c.first == "" {
				slots.refusal.Store(&c.refusal)
			}
			w, cut := r.call(t.Context(), inbound(route.Idempotent, false, false), "b", 3*time.Second)
			if cut || w.Code != c.status || w.Header().Get("Retry-After") != c.retryAfter {
				t.Errorf("%s: status %d, Retry-After %q, cut %v, want %d, %q", c.name, w.Code, w.Header().Get("Retry-After"), cut, c.status, c.retryAfter)
			}
		})
	}
}

// Guards against requests that hold their place in the queue, or a slot, after their callers have left, and against
// requests that wait beyond their deadline.
func TestCallerGivesUpWhileItWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 1, func(_ *memoryTarget, conn net.Conn, _ string) {
			time.Sleep(time.Second)
			_, _ = io.WriteString(conn, wholeAnswer)
		})
		slots := r.enableSlots(t)
		for range 8 {
			go r.call(t.Context(), inbound(route.NonIdempotent, false, false), "fills", 3*time.Second)
		}
		time.Sleep(10 * time.Millisecond)
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(100*time.Millisecond, cancel)
		if _, cut := r.call(ctx, inbound(route.NonIdempotent, false, false), "leaves", 3*time.Second); !cut {
			t.Error("a response was written to a caller that had left")
		}
		synctest.Wait()
		if used, waiting := slots.used(); used != 8 || waiting != 0 || r.arrived("leaves") != 0 {
			t.Errorf("%d slots used, %d requests wait", used, waiting)
		}
		time.Sleep(2 * time.Second)
		synctest.Wait()
		if used, _ := slots.used(); used != 0 {
			t.Errorf("%d slots used in the end", used)
		}
	})
}

// Guards against a cold target that gets more than its rate because the coordinator grants its slots.
func TestColdTargetWithSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 2, func(_ *memoryTarget, conn net.Conn, _ string) { _, _ = io.WriteString(conn, wholeAnswer) })
		r.enableSlots(t)
		r.o.ColdLimits = allowance.NewAllowance(allowance.Options{
			Self: "i", Instances: func() []string { return []string{"i"} }, Clock: quartz.NewReal(), Bound: allowance.Cold(func() float64 { return 1 }),
		})
		time.Sleep(time.Minute)
		cold := fleet.Target{ID: "m0", Service: "s", Address: "m0", Slots: 8, ColdUntil: time.Now().Add(time.Hour)}
		r.view.Store(fleet.NewView(2, []fleet.Target{cold, {ID: "m1", Service: "s", Address: "m1", Slots: 8}}))
		in := inbound(route.NonIdempotent, false, false)
		in.Table.Services["s"].ColdRate = 2
		began := time.Now()
		for n := range 400 {
			if w, cut := r.call(t.Context(), in, fmt.Sprint(n), time.Second); cut || w.Code != http.StatusOK {
				t.Fatalf("request %d: status %d", n, w.Code)
			}
			time.Sleep(25 * time.Millisecond)
		}
		seconds := time.Since(began).Seconds()
		if got := len(r.targets["m0"].received); float64(got) > 2*(seconds+1) || got == 0 {
			t.Errorf("the cold target got %d requests in %.0f s, 2 a second are allowed", got, seconds)
		}
	})
}

// Guards against a service without the queue that is asked for slots, and against an attempt that is not counted.
func TestServiceWithoutTheQueue(t *testing.T) {
	r, w := forwarderOf(script(t, "a", behaviours[0])), httptest.NewRecorder()
	slots := withSlots(r)
	t.Cleanup(slots.Close)
	r.o.Slots = notEnabled{slots}
	r.Serve(t.Context(), w, inbound(route.Idempotent, false, false))
	if w.Code != 200 || slots.asked.Load() != 0 {
		t.Errorf("status %d, %d slots asked for", w.Code, slots.asked.Load())
	}
}

type notEnabled struct{ SlotQueue }

func (notEnabled) Enabled(string) bool { return false }

// Guards against instances without a coordinator that all choose the same target, a slow or a failing one.
func TestBetterOfTwo(t *testing.T) {
	r := newLoads(t)
	chosen := make(map[string]int)
	choose := func(n int, tried ...string) {
		clear(chosen)
		for range n {
			got, _ := r.ChooseOfTwo(r.targets, tried)
			chosen[got.ID]++
			defer r.Done(got, Abandoned, 0, nil)
		}
	}
	choose(300)
	if least := min(chosen["a"], chosen["b"], chosen["c"]); least < 80 {
		t.Errorf("equal targets: %v", chosen)
	}
	for range 300 {
		for _, target := range r.targets {
			r.Done(target, Abandoned, 0, nil)
		}
	}
	r.slowFirst()
	choose(12)
	if chosen["a"] > 3 {
		t.Errorf("a slow target: %v", chosen)
	}
	if choose(20, "b", "c"); chosen["a"] != 20 {
		t.Errorf("one not tried: %v", chosen)
	}
	if choose(20, "a", "b", "c"); len(chosen) == 0 {
		t.Errorf("all tried: %v", chosen)
	}
	r.endFirst(NoResponse, nil)
	if choose(20); chosen["a"] != 0 {
		t.Errorf("one in its backoff: %v", chosen)
	}
	if _, ok := r.ChooseOfTwo(nil, nil); ok {
		t.Error("a target was chosen of none")
	}
	if got, ok := r.ChooseOfTwo(slices.Clone(r.targets[:1]), nil); !ok || got.ID != "a" {
		t.Errorf("chosen %v of one", got)
	}
}
