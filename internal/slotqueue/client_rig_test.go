package slotqueue

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/coder/quartz"

	"lynxhill.example/lynxhill/internal/control/rendezvous"
	"lynxhill.example/lynxhill/internal/metrics"
)

// clientRig is a client of the instance "self" with three coordinators, best first.
type clientRig struct {
	*Client
	t      *testing.T
	ranked []*fakeCoordinator
	byName map[string]*fakeCoordinator
	// members are the instances that the client considers alive.
	members []string
	metrics *metrics.Registry
}

// withClient runs the test in virtual time.
func withClient(t *testing.T, test func(r *clientRig)) {
	synctest.Test(t, func(t *testing.T) {
		r := &clientRig{t: t, byName: make(map[string]*fakeCoordinator), members: []string{"a", "b", "c"}, metrics: metrics.NewRegistry()}
		for _, name := range rendezvous.Top(shardKey{"s", 0}.rankKey(), r.members, 3) {
			f := &fakeCoordinator{name: name, held: make(map[uint64]string)}
			r.ranked, r.byName[name] = append(r.ranked, f), f
		}
		r.Client = NewClient(ClientOptions{
			Self: "self", Members: func() []string { return r.members }, Clock: quartz.NewReal(), Metrics: r.metrics,
			Open: func(ctx context.Context, instance string) (Stream, error) {
				return r.byName[instance].stream(ctx, "self"), nil
			},
		})
		r.lastID = 0 // so that tests can name the requests
		test(r)
		r.Close()
		time.Sleep(time.Second) // for messages that are being sent
		synctest.Wait()
		for _, f := range r.ranked {
			if n := f.open(); n != 0 {
				t.Errorf("%d sessions of %s are open after the end of the client", n, f.name)
			}
		}
	})
}

// acquire acquires a slot and returns it and how long that took.
func (r *clientRig) acquire() (*Slot, time.Duration) {
	r.t.Helper()
	began := time.Now()
	slot, refusal, err := r.Acquire(context.Background(), Request{Service: "s"})
	if refusal != nil || err != nil {
		r.t.Fatalf("refusal %+v, error %v", refusal, err)
	}
	return slot, time.Since(began)
}

// wantSlot requires the slot to be of the coordinator, nil = the owner chooses, and to have been decided within limit.
func (r *clientRig) wantSlot(what string, f *fakeCoordinator, limit time.Duration) *Slot {
	r.t.Helper()
	slot, took := r.acquire()
	want := ""
	if f != nil {
		want = "t-" + f.name
	}
	if slot.Target() != want || took > limit {
		r.t.Errorf("%s: target %q after %v, want %q within %v", what, slot.Target(), took, want, limit)
	}
	return slot
}
