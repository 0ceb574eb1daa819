package slotqueue

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"
)

// orderOf lets requests wait for the only slot and returns the order in which they get it,
// as the names given to them.
func orderOf(t *testing.T, requests []Request) []string {
	t.Helper()
	r := newRig(t, Bounds{}, listed("t", 1))
	r.granted(r.submit(ownerB, nil), "t")
	names := make(map[uint64]string)
	for _, want := range requests {
		r.waits(r.submit(ownerA, func(q *Request) {
			id := q.ID
			onTime, deadline := q.OnTimeUntil, q.Deadline
			*q = want
			q.ID = id
			if q.OnTimeUntil.IsZero() {
				q.OnTimeUntil = onTime.Add(time.Minute)
			}
			q.Deadline = deadline.Add(time.Hour)
			names[id] = q.Route
		}))
	}
	var order []string
	o, running := ownerB, uint64(1)
	for range requests {
		r.now = r.now.Add(time.Millisecond)
		got := r.release(o, running, Unknown, nil)
		if len(got) != 1 {
			t.Fatalf("after %v: %+v", order, got)
		}
		o, running = ownerA, got[0].ID
		order = append(order, names[running])
	}
	return order
}

// Guards against an order in which a less urgent request, or one of an organisation that
// has had more, goes first.
func TestOrderOfWaitingRequests(t *testing.T) {
	in := func(d time.Duration) time.Time { return time.Unix(1000, 0).Add(d) }
	for _, c := range []struct {
		name     string
		requests []Request
		want     string
	}{
		{"priority", []Request{{Route: "late", Priority: 2}, {Route: "first", Priority: 0}, {Route: "second", Priority: 1}}, "first second late"},
		{"latest start", []Request{{Route: "b", OnTimeUntil: in(20 * time.Second)}, {Route: "a", OnTimeUntil: in(10 * time.Second)}}, "a b"},
		{"organisations in turn", []Request{
			{Route: "x1", Organisation: "x"}, {Route: "x2", Organisation: "x"}, {Route: "x3", Organisation: "x"}, {Route: "y1", Organisation: "y"}, {Route: "y2", Organisation: "y"},
		}, "x1 y1 x2 y2 x3"},
		{"on time before late", []Request{{Route: "late", OnTimeUntil: in(50 * time.Millisecond)}, {Route: "on time"}}, "on time late"},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := strings.Join(orderOf(t, c.requests), " "); got != c.want {
				t.Errorf("order %q, want %q", got, c.want)
			}
		})
	}
}

// Guards against floors that take more than a tenth: of 60 slots given while both
// priorities wait, six or seven go to the lower one.
func TestFloorIsATenth(t *testing.T) {
	var requests []Request
	for i := range 110 {
		requests = append(requests, Request{Route: fmt.Sprint(i % 2), Priority: i % 2})
	}
	low := 0
	for _, name := range orderOf(t, requests)[:60] {
		if name == "1" {
			low++
		}
	}
	if low < 5 || low > 7 {
		t.Errorf("%d of 60 slots to the lower priority, want a tenth", low)
	}
}

// Guards against callers that are told to come back at once or all at the same time, while
// the queue is full.
func TestRetryAfterAtTheHeightOfAnOverload(t *testing.T) {
	r := newRig(t, Bounds{}, listed("t", 2))
	random := rand.New(rand.NewPCG(3, 4))
	var returns []time.Time
	for range 400 { // 200 requests/s of 60 ms, six times what two slots can do
		r.now = r.now.Add(5 * time.Millisecond)
		r.id++
		backlog := r.q.backlog(r.now)
		r.q.submit(ownerA, Request{ID: r.id, Organisation: fmt.Sprint(random.IntN(4)), OnTimeUntil: r.now.Add(fakeOnTime), Deadline: r.now.Add(fakeDeadline)}, r.now)
		for _, a := range r.answers() {
			if a.Refusal == nil {
				continue
			}
			if a.Refusal.RetryAfter < backlog {
				t.Fatalf("told to come back after %v, with a backlog of %v", a.Refusal.RetryAfter, backlog)
			}
			returns = append(returns, r.now.Add(a.Refusal.RetryAfter))
			if len(returns) > 20 && a.Refusal.RetryAfter < overloadRetryAfter {
				t.Fatalf("told to come back after %v", a.Refusal.RetryAfter)
			}
		}
	}
	if len(returns) < 200 {
		t.Fatalf("%d refusals, want the overload to be refused", len(returns))
	}
	first := returns[:20]
	if !slices.IsSortedFunc(first, func(a, b time.Time) int { return a.Compare(b) }) {
		t.Errorf("the first callers do not return in order: %v", first)
	}
	counts := make(map[int64]int) // by tenth of a second
	for _, at := range returns {
		counts[at.UnixMilli()/100]++
	}
	for at, n := range counts {
		if n > 20 { // mean 200 refusals/s over up to 5 s: 4 to 8
			t.Errorf("%d callers return within 100 ms at %d", n, at)
		}
	}
}

// Guards against a request that waits until its deadline although it can't be answered.
func TestRefusalBeforeTheDeadline(t *testing.T) {
	r := newRig(t, Bounds{}, listed("t", 1))
	r.granted(r.submit(ownerA, nil), "t")
	r.waits(r.submit(ownerA, nil))
	got := r.wait(fakeDeadline - fakeWork + time.Millisecond)
	if len(got) != 1 || got[0].Refusal == nil || got[0].Refusal.Reason != ReasonLate {
		t.Fatalf("%+v, want a refusal once too little time is left", got)
	}
	if a := r.submit(ownerA, func(q *Request) { q.Deadline = r.now.Add(fakeWork / 2) }); a.Refusal == nil {
		t.Fatalf("%+v, want a refusal at once", a)
	}
}

// Guards against a lasting memory of organisations: of 19,000 only those are kept that
// wait or have had more than others.
func TestOrganisationsAreForgotten(t *testing.T) {
	r := newRig(t, Bounds{}, listed("t", 1))
	for i := range 1000 {
		r.granted(r.submit(ownerA, func(q *Request) { q.Organisation = fmt.Sprint(i) }), "t")
		r.release(ownerA, r.id, Answered, nil)
	}
	if n := len(r.q.level(0).orgs); n > 1 {
		t.Fatalf("%d organisations are kept", n)
	}
}

// Guards against floors that leave nothing to the most urgent priority if many others wait.
func TestFloorsOfManyPrioritiesLeaveMostToTheFirst(t *testing.T) {
	const priorities, each = 16, 30
	var requests []Request
	for i := range priorities * each {
		requests = append(requests, Request{Route: fmt.Sprint(i % priorities), Priority: i % priorities})
	}
	first, others := 0, make(map[string]bool)
	for _, name := range orderOf(t, requests)[:50] {
		if name == "0" {
			first++
		} else {
			others[name] = true
		}
	}
	if first < 22 || len(others) < priorities/2 {
		t.Errorf("%d of 50 slots to the most urgent priority, want nearly half; %d others got one", first, len(others))
	}
}

// Guards against a lower priority that never gets its floor since each of its requests takes
// many times as long as the others of the service.
func TestFloorOfLongRequests(t *testing.T) {
	r := newRig(t, Bounds{}, listed("t", 1))
	r.q.work.add("long", 10*fakeWork, 1)
	for range 300 {
		r.q.work.add("short", fakeWork, 1)
	}
	r.granted(r.submit(ownerB, nil), "t")
	long := make(map[uint64]bool)
	for i := range 300 {
		r.waits(r.submit(ownerA, func(q *Request) {
			q.Route, q.OnTimeUntil, q.Deadline = "short", q.OnTimeUntil.Add(time.Hour), q.Deadline.Add(time.Hour)
			if i%30 == 0 {
				q.Route, q.Priority, long[q.ID] = "long", 1, true
			}
		}))
	}
	o, running, granted := ownerB, uint64(1), 0
	for range 250 {
		got := r.release(o, running, Unknown, nil)
		if o, running = ownerA, got[0].ID; long[running] {
			granted++
		}
	}
	if granted < 1 || granted > 3 { // a tenth of the work is 1.5 s, of 0.6 s each
		t.Errorf("%d of 250 slots to the long requests of the lower priority, want 2", granted)
	}
}
