package reservation

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

const ms = time.Millisecond

// start is not at the beginning of a window.
var start = time.Unix(1_700_000_000, 37_000_000)

// capacity of two services, a and b, that are free after the given time.
func capacity(free time.Duration) map[string]Capacity {
	return map[string]Capacity{
		"a": {PerWindow: 400 * ms, FreeAt: start.Add(free)},
		"b": {PerWindow: 100 * ms, FreeAt: start.Add(free)},
	}
}

// request asks for work at service a.
func request(key string, work, latest time.Duration) Request {
	return Request{CallerKey: key, Latest: start.Add(latest), OnTime: true, Demands: []Demand{{Service: "a", Work: work}}}
}

// TestValidity guards against reservations that are claimed by callers that come much too
// early, which would jump the queue, or twice.
func TestValidity(t *testing.T) {
	for _, c := range []struct {
		after time.Duration // the time of the reservation
		valid bool
	}{{-151 * ms, false}, {-150 * ms, true}, {0, true}, {400 * ms, true}, {401 * ms, false}} {
		b := New()
		r, ok := b.Offer(request("x", 50*ms, time.Second), capacity(300*ms), start)
		if !ok || r.Due.Before(start.Add(300*ms)) {
			t.Fatalf("offered %v %v", r.Due.Sub(start), ok)
		}
		if _, ok := b.Claim("x", r.Due.Add(c.after)); ok != c.valid {
			t.Errorf("%v after its time: claimed %v", c.after, ok)
		}
		if _, ok := b.Claim("x", r.Due.Add(c.after)); ok {
			t.Errorf("claimed twice")
		}
	}
}

// TestNoMoment guards against callers that are told to come back when it is of no use.
func TestNoMoment(t *testing.T) {
	for name, q := range map[string]Request{
		"capacity is free too late":    request("x", 50*ms, 200*ms),
		"the caller is not identified": request("", 50*ms, time.Second),
		"a service without targets":    {CallerKey: "x", Latest: start.Add(time.Second), Demands: []Demand{{Service: "c", Work: ms}}},
		"no work":                      {CallerKey: "x", Latest: start.Add(time.Second)},
	} {
		if r, ok := New().Offer(q, capacity(300*ms), start); ok {
			t.Errorf("%s: offered %v", name, r.Due.Sub(start))
		}
	}
}

// TestAnUnclaimedReservationGivesItsCapacityBack guards against capacity that is lost to
// callers that do not return.
func TestAnUnclaimedReservationGivesItsCapacityBack(t *testing.T) {
	b := New()
	r, _ := b.Offer(request("x", 50*ms, time.Second), capacity(0), start)
	if over := b.Expire(r.Due.Add(ValidAfter)); len(over) != 0 || len(b.Schedule("a", r.Due.Add(ValidAfter))) != 1 {
		t.Errorf("expired early: %v", over)
	}
	late := r.Due.Add(ValidAfter + ms)
	if left := b.Schedule("a", late); len(left) != 0 {
		t.Errorf("work that is over still counts: %v", left)
	}
	if over := b.Expire(late); len(over) != 1 || b.Len() != 0 || len(b.reserved["a"]) != 0 {
		t.Errorf("expired %v, %d left, windows %v", over, b.Len(), b.reserved["a"])
	}
}

// TestACallerThatAsksAgainKeepsItsTime guards against callers that retry at once and hold
// several reservations.
func TestACallerThatAsksAgainKeepsItsTime(t *testing.T) {
	b := New()
	first, _ := b.Offer(request("x", 50*ms, time.Second), capacity(300*ms), start)
	again, ok := b.Offer(request("x", 50*ms, time.Second), capacity(500*ms), start.Add(20*ms))
	if !ok || again.Due != first.Due || b.Len() != 1 {
		t.Errorf("%v, then %v; %d reservations", first.Due, again.Due, b.Len())
	}
}

// TestAdoption guards against a successor that reserves more than it can serve, or counts a
// reservation twice, when several owners send copies.
func TestAdoption(t *testing.T) {
	b := New()
	var copies []Reservation
	for n := range 6 { // 6 times 50 ms do not fit half of 400 ms
		r := Reservation{Request: request(fmt.Sprint(n), 50*ms, time.Second), Due: start.Add(263 * ms)}
		copies = append(copies, r)
	}
	over := Reservation{Request: request("over", ms, time.Second), Due: start.Add(-time.Second)}
	far := Reservation{Request: request("far", ms, time.Hour), Due: start.Add(time.Hour)}
	unknown := Reservation{Request: Request{CallerKey: "unknown", Demands: []Demand{{Service: "c", Work: ms}}}, Due: start.Add(300 * ms)}
	adopted := b.Adopt(append(copies, over, far, unknown), capacity(0), start)
	if len(adopted) != 4 || len(b.Adopt(copies, capacity(0), start)) != 0 {
		t.Errorf("adopted %d of 6 that need 1.5 times the share", len(adopted))
	}
	if r, ok := b.Claim("0", start.Add(263*ms)); !ok || r.Due != start.Add(263*ms) {
		t.Errorf("claimed %v %v", r.Due, ok)
	}
}

// step is a random operation on a book and the checks that hold after each.
type bookRun struct {
	b   *Book
	r   *rand.Rand
	now time.Time
	n   int
}

func (s *bookRun) step() string {
	s.now = s.now.Add(time.Duration(s.r.IntN(30)) * ms)
	free := capacity(0)
	for name, c := range free {
		c.FreeAt = s.now.Add(time.Duration(s.r.IntN(600)) * ms)
		free[name] = c
	}
	switch s.r.IntN(5) {
	case 0:
		s.b.Expire(s.now)
	case 1:
		s.b.Claim(fmt.Sprint(s.r.IntN(s.n+1)), s.now)
	case 2:
		d := []Demand{{Service: "a", Work: time.Duration(s.r.IntN(200)) * ms}}
		key := fmt.Sprint("adopted", s.r.IntN(1000))
		s.b.Adopt([]Reservation{{Request: Request{CallerKey: key, Demands: d}, Due: s.now.Add(time.Duration(s.r.IntN(900)) * ms)}}, free, s.now)
	default:
		return s.offer(free)
	}
	return ""
}

// offer offers a reservation and checks it.
func (s *bookRun) offer(free map[string]Capacity) string {
	s.n++
	q := Request{CallerKey: fmt.Sprint(s.n), Priority: s.r.IntN(2), OnTime: s.r.IntN(2) == 0, Latest: s.now.Add(time.Duration(s.r.IntN(2000)) * ms)}
	for _, name := range []string{"a", "b", "a"}[:1+s.r.IntN(3)] {
		q.Demands = append(q.Demands, Demand{Service: name, Work: time.Duration(s.r.IntN(300)) * ms})
	}
	before := s.b.List(s.now)
	r, ok := s.b.Offer(q, free, s.now)
	if !ok {
		return ""
	}
	if r.Due.After(q.Latest) || r.Due.Before(s.now) {
		return fmt.Sprintf("due %v, latest %v", r.Due, q.Latest)
	}
	for _, d := range q.Demands {
		if r.Due.Before(free[d.Service].FreeAt) {
			return "due before the forecast has capacity"
		}
	}
	for _, o := range before {
		if o.Priority == q.Priority && o.OnTime == q.OnTime && overlap(o.Demands, q.Demands) && r.Due.Before(o.Due) {
			return fmt.Sprintf("due %v, before %v that was offered earlier", r.Due, o.Due)
		}
	}
	return ""
}

// overlap reports whether both need the same service.
func overlap(a, b []Demand) bool {
	return slices.ContainsFunc(a, func(d Demand) bool {
		return slices.ContainsFunc(b, func(o Demand) bool { return o.Service == d.Service })
	})
}

// unordered returns how the book's orders by time differ from its reservations.
func (s *bookRun) unordered() string {
	want, sorted := make(map[string]int), slices.IsSortedFunc(s.b.byDue, compareDue)
	for _, r := range s.b.byKey {
		for _, d := range r.Demands {
			want[d.Service]++
		}
	}
	for service, list := range s.b.schedule {
		sorted = sorted && slices.IsSortedFunc(list, compareAt)
		if len(list) != want[service] {
			return fmt.Sprintf("%d entries for %s, want %d", len(list), service, want[service])
		}
	}
	if !sorted || len(s.b.byDue) != len(s.b.byKey) {
		return fmt.Sprintf("sorted %v, %d of %d reservations", sorted, len(s.b.byDue), len(s.b.byKey))
	}
	return ""
}

// full returns a window of which more than half is reserved, or whose sum differs from the
// reservations.
func (s *bookRun) full() string {
	sums := make(map[share]time.Duration)
	for _, r := range s.b.byKey {
		for _, c := range r.shares {
			sums[share{service: c.service, window: c.window}] += c.work
		}
	}
	for name, windows := range s.b.reserved {
		most := time.Duration(MaxShare * float64(capacity(0)[name].PerWindow))
		for window, work := range windows {
			if work > most || work != sums[share{service: name, window: window}] {
				return fmt.Sprintf("%v of at most %v in a window of %s, sum of the reservations %v", work, most, name, sums[share{service: name, window: window}])
			}
		}
	}
	return ""
}

// TestBookProperties checks after each of many random operations that no more than half of a
// window is reserved, that no reservation is beyond the caller's time or before the forecast
// has capacity, and that times are in the order of the offers.
func TestBookProperties(t *testing.T) {
	properties := gopter.NewProperties(nil)
	properties.Property("offers", prop.ForAll(func(seed uint64) string {
		s := &bookRun{b: New(), r: rand.New(rand.NewPCG(seed, 1)), now: start}
		for range 300 {
			if wrong := s.step(); wrong != "" {
				return wrong
			}
			if wrong := s.full(); wrong != "" {
				return wrong
			}
			if wrong := s.unordered(); wrong != "" {
				return wrong
			}
		}
		return ""
	}, gen.UInt64()))
	properties.TestingRun(t)
}

// Guards against times that are compared by the wall clock: when that was stepped, the order of
// reservations was inconsistent, one could not be removed, and Expire went on for ever.
func TestTimesHaveTheMonotonicReadingOfNow(t *testing.T) {
	now := time.Now()
	b := New()
	free := map[string]Capacity{"a": {PerWindow: 400 * ms, FreeAt: now}}
	for n := range 40 {
		r, ok := b.Offer(Request{CallerKey: fmt.Sprint(n), Latest: now.Add(5 * time.Second), Demands: []Demand{{Service: "a", Work: 90 * ms}}}, free, now)
		if !ok || !strings.Contains(r.Due.String(), " m=") {
			t.Fatalf("caller %d: %v, due %v", n, ok, r.Due)
		}
	}
	if over := b.Expire(now.Add(time.Minute)); len(over) != 40 || b.Len() != 0 {
		t.Errorf("%d expired, %d are left", len(over), b.Len())
	}
}

// Guards against an endless loop if a reservation cannot be found by its time.
func TestExpireEndsThoughTheOrderIsWrong(t *testing.T) {
	b := New()
	for n := range 3 {
		if _, ok := b.Offer(request(fmt.Sprint(n), 100*ms, 5*time.Second), capacity(0), start); !ok {
			t.Fatal("no reservation")
		}
	}
	slices.Reverse(b.byDue)
	if over := b.Expire(start.Add(time.Minute)); len(over) != 3 || b.Len() != 0 || len(b.byDue) != 0 {
		t.Errorf("%d expired, %d and %d are left", len(over), b.Len(), len(b.byDue))
	}
}
