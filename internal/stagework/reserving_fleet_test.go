package stagework

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/coder/quartz"

	"lynxhill.example/lynxhill/internal/fleet"
	"lynxhill.example/lynxhill/internal/route"
)

// reservingFleet is a set of dispatchers, each with its view of the same four stage targets,
// which never finish a call, and owners that reach them.
type reservingFleet struct {
	t           *testing.T
	dispatchers map[string]*Dispatcher
	lost        []string
	older       bool // owners send what an older build sends
	members     []string
}

// Submit implements Remote.
func (r *reservingFleet) Submit(_ context.Context, instance string, j Job) (Assignment, *Refusal, error) {
	if slices.Contains(r.lost, instance) {
		return nil, nil, errors.New("lost")
	}
	if r.older {
		j.CallerKey, j.Reservations = "", nil
	}
	a, refusal := r.dispatchers[instance].SubmitRemote(j)
	if refusal != nil {
		return nil, refusal, nil
	}
	return a, nil, nil
}

// withReservingFleet runs the test with the dispatchers a and b; a ranks first.
func withReservingFleet(t *testing.T, test func(r *reservingFleet)) {
	synctest.Test(t, func(t *testing.T) {
		r := &reservingFleet{t: t, dispatchers: make(map[string]*Dispatcher), members: []string{"a", "b"}}
		for _, id := range r.members {
			d := New(Options{Self: id, Client: busyTargets{}, Clock: quartz.NewReal()})
			table, targets := engines(2)
			table.Services["cut"] = &route.Service{Name: "cut", Pieces: &route.Pieces{Slots: 1, Batch: 8, CallTime: 200 * ms, ItemTime: 10 * ms, ResultLifetime: 10 * time.Second}}
			for n := range 4 {
				targets = append(targets, fleet.Target{ID: fmt.Sprint("cut", n), Service: "cut", Address: fmt.Sprint("at cut", n)})
			}
			d.SetTargets(table, fleet.NewView(1, targets))
			d.SetOverload(Overload{Reservations: true})
			defer d.Close()
			r.dispatchers[id] = d
		}
		test(r)
	})
}

// owner returns the finder of an instance that is no dispatcher.
func (r *reservingFleet) owner(id string) *Finder {
	local := New(Options{Self: id, Client: busyTargets{}, Clock: quartz.NewReal()})
	r.t.Cleanup(local.Close)
	f := NewFinder(FinderOptions{Self: id, Local: local, Remote: r, Members: func() []string { return r.members }, Clock: quartz.NewReal(), Reservations: func() bool { return true }})
	first, _ := f.candidates(Cell{})
	r.members = first
	return f
}

// reservableJob returns a job of a caller; its objective cannot be reached if it has to wait.
func reservableJob(id, caller string) Job {
	j := newJob(id, 400*ms, 9*time.Second, cutOnly(1000), 4)
	j.CallerKey, j.Route, j.Organisation = caller, "cutting", "acme"
	return j
}

// overload makes the dispatcher refuse jobs: targets are busy for half a second, on-time jobs
// are queued and arrive as fast as they are done, and the usual length of an overload is over.
func (r *reservingFleet) overload(id string) {
	d := r.dispatchers[id]
	for n := range 8 {
		if _, refusal := d.Submit(newJob(fmt.Sprint("queued ", n), 8*time.Second, 9*time.Second, cutOnly(1000), 4)); refusal != nil {
			r.t.Fatalf("queued job refused: %+v", refusal)
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	v := d.planner(Cell{}).services["cut"]
	for _, s := range v.byID {
		s.busyUntil, s.calls = time.Now().Add(500*ms), 1
	}
	v.overloads = overloads{began: time.Now().Add(-firstOverloadLength), latest: time.Now(), refusals: 2 * blipRefusals, length: time.Second}
	v.load.add(loadWindow.Seconds()*float64(len(v.byID)), time.Now())
}

// submit submits a job of an owner and ends it if it was accepted.
func (r *reservingFleet) submit(f *Finder, j Job) *Refusal {
	r.t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	a, refusal, err := f.Submit(ctx, j)
	if err != nil {
		r.t.Fatal(err)
	}
	if refusal == nil {
		a.End()
	}
	return refusal
}

// reserve has a caller refused with a reservation, and returns its Retry-After.
func (r *reservingFleet) reserve(f *Finder, caller string) time.Duration {
	r.t.Helper()
	refusal := r.submit(f, reservableJob("first of "+caller, caller))
	if refusal == nil || !refusal.Reserved || refusal.RetryAfter <= retryAfterMin || refusal.RetryAfter > 3*time.Second {
		r.t.Fatalf("not refused with a reservation: %+v", refusal)
	}
	return refusal.RetryAfter
}

// requireClaims checks how many reservations the dispatcher had claimed.
func (r *reservingFleet) requireClaims(id string, claimed int) {
	r.t.Helper()
	if c := r.dispatchers[id].ReservationCounts(); c.Claimed != claimed {
		r.t.Errorf("at %s, %d reservations were claimed instead of %d: %+v", id, c.Claimed, claimed, c)
	}
}
