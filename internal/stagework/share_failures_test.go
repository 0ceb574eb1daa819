package stagework

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/coder/quartz"

	"lynxhill.example/lynxhill/internal/fleet"
)

// crowded is a load of one large organisation and nine small ones that need
// twice the capacity together.
func crowded(length time.Duration) sharedLoad {
	check := zoneKind("check", 1)
	check.rate = 2 * billingCapacity() / piecesOfBilling
	check.organisation = func(r *rand.Rand) string {
		if r.IntN(2) == 0 {
			return "large"
		}
		return fmt.Sprint("small", r.IntN(9))
	}
	check.group = func(organisation string, _ []int) string { return organisation[:5] }
	return sharedLoad{kinds: []sharedKind{check}, factor: 1, length: length}
}

// TestNewDispatcherWithoutCounts guards against a new dispatcher that treats the
// organisations as equal for long: it takes over in the middle of an overload
// and knows nothing. After three seconds, the small organisations have their
// share again.
func TestNewDispatcherWithoutCounts(t *testing.T) {
	withEnv(t, zoneServices(), func(w *testEnv) {
		w.d.SetOverload(Overload{Shares: true})
		s := runShared(w, crowded(9*time.Second), 0, shareDecay, 9*time.Second)
		t.Logf("%+v", s)
		if s["small"].share() < 0.7 || s["large"].share() > s["small"].share()/2 {
			t.Errorf("from %v after the start: %.3f of the small organisations' requests are on time, %.3f of the large one's", shareDecay, s["small"].share(), s["large"].share())
		}
	})
}

// TestTwoDispatchersWithShares guards against small organisations that get nothing
// while two dispatchers schedule for the same targets: each shares what it
// schedules, and neither knows the counts of the other.
func TestTwoDispatchersWithShares(t *testing.T) {
	withEnv(t, zoneServices(), func(w *testEnv) {
		for _, s := range w.fake.targets {
			s.limits.Slots = 2 // a call of the other dispatcher does not fail
		}
		first := w.d
		first.SetOverload(Overload{Shares: true})
		second := New(Options{Client: w.fake, Clock: quartz.NewReal()})
		second.SetOverload(Overload{Shares: true})
		second.SetTargets(w.table, fleet.NewView(1, slices.Clone(w.targets)))
		other := &testEnv{t: t, fake: w.fake, d: second, table: w.table, targets: w.targets}
		l := crowded(8 * time.Second)
		l.kinds[0].name = "check"
		here, there := make(chan map[string]tally, 1), make(chan map[string]tally, 1)
		go func() { here <- runShared(w, l, 1, shareDecay, 8*time.Second) }()
		l2 := crowded(8 * time.Second)
		l2.kinds[0].name = "other"
		go func() { there <- runShared(other, l2, 2, shareDecay, 8*time.Second) }()
		for name, s := range map[string]map[string]tally{"first": <-here, "second": <-there} {
			t.Logf("%s: %+v", name, s)
			if s["small"].share() < s["large"].share() {
				t.Errorf("%s dispatcher: %.3f of the small organisations' requests are on time, %.3f of the large one's", name, s["small"].share(), s["large"].share())
			}
		}
		second.Close()
		synctest.Wait()
	})
}

// TestThousandsOfOrganisations guards against memory that grows with the number
// of organisations: 19,000 send a request each, and one sends many. The large
// one is still known, and the table is bounded.
func TestThousandsOfOrganisations(t *testing.T) {
	k := &priorityShares{organisations: make(map[string]*organisationUse)}
	now := time.Unix(1e9, 0)
	count := func(name string) {
		o := k.organisation(name, now)
		o.add(0.01, now)
		o.late += 0.01
		o.requests.add(1, now)
	}
	for n := range 19_000 {
		count(fmt.Sprint("organisation ", n))
		if n%20 == 0 {
			count("large")
		}
		now = now.Add(100 * time.Microsecond)
		if len(k.organisations) > maxShareEntries {
			t.Fatalf("%d organisations are kept", len(k.organisations))
		}
	}
	if k.overuse("large", now) == 0 || k.overuse("organisation 18999", now) != 0 {
		t.Errorf("overuse of the large organisation %v, of a small one %v", k.overuse("large", now), k.overuse("organisation 18999", now))
	}
	now = now.Add(20 * shareDecay)
	k.maxMinLevel(now)
	if n := len(k.organisations); n != 0 {
		t.Errorf("%d organisations are kept long after their last request", n)
	}
}

// TestMaxMinLevel checks the shares of organisations whose demands differ.
func TestMaxMinLevel(t *testing.T) {
	now := time.Unix(1e9, 0)
	for _, c := range []struct {
		what         string
		onTime, late []float64
		level        float64
		over         []string
	}{
		{"all is on time", []float64{1, 2, 5}, []float64{0, 0, 0}, 5, nil},
		{"equal shares", []float64{2, 2, 2}, []float64{2, 2, 2}, 2, nil},
		{"one above its share", []float64{6, 2, 2}, []float64{6, 2, 2}, 10.0 / 3, []string{"0"}},
		{"small demands are met", []float64{1, 1, 10}, []float64{0, 4, 4}, 6, []string{"2"}},
	} {
		k := &priorityShares{organisations: make(map[string]*organisationUse)}
		for i := range c.onTime {
			o := k.organisation(fmt.Sprint(i), now)
			o.add(c.onTime[i], now)
			o.late = c.late[i]
			o.requests.add(1, now)
		}
		if level := k.maxMinLevel(now); level < c.level-1e-9 || level > c.level+1e-9 {
			t.Errorf("%s: level %v, want %v", c.what, level, c.level)
		}
		var over []string
		for _, name := range slices.Sorted(maps.Keys(k.organisations)) {
			if k.overuse(name, now) > 0 {
				over = append(over, name)
			}
		}
		if !slices.Equal(over, c.over) {
			t.Errorf("%s: above their share: %v, want %v", c.what, over, c.over)
		}
	}
}

// TestCallerThatLeavesTakesNoTargetTime guards against pieces that run for a
// caller that has left: its waiting pieces are not sent, its results are
// released and counted.
func TestCallerThatLeavesTakesNoTargetTime(t *testing.T) {
	withEnv(t, zoneServices(), func(w *testEnv) {
		assignment, refusal := w.submit(newJob("leaves", 2*time.Second, 6*time.Second, urgentChain, 1, 6, 10))
		if refusal != nil {
			t.Fatal(refusal.Reason)
		}
		time.Sleep(300 * ms) // the first stage has run, the second is running
		assignment.End()
		time.Sleep(time.Second)
		w.fake.mu.Lock()
		defer w.fake.mu.Unlock()
		if n := len(w.fake.sent); n != 7 {
			t.Errorf("%d pieces were sent, want those of the first two stages", n)
		}
		if c := w.d.ResultCounts().Number; c["made"] != 7 || c["used"] != 0 || c["caller_left"] != 7 {
			t.Errorf("results: %v", c)
		}
	})
}

// BenchmarkSharesOfManyOrganisations submits a job of one of 19,000
// organisations, and cancels it, while 200 jobs wait in an overload.
func BenchmarkSharesOfManyOrganisations(b *testing.B) {
	now := time.Now()
	for _, shares := range []bool{false, true} {
		b.Run(fmt.Sprintf("shares=%t", shares), func(b *testing.B) {
			p := benchPlanner(b, 200, 5, 12, now)
			p.overload.Shares = shares
			for _, j := range p.urgencyQueue.jobs {
				j.Organisation = fmt.Sprint("organisation ", len(j.ID))
				if shares {
					p.countShares(j, now)
				}
			}
			n := 0
			b.ReportAllocs()
			for b.Loop() {
				for j := range p.jobs {
					j.late, j.OnTimeUntil = false, now.Add(300*time.Millisecond)
				}
				in := benchJob(200, now)
				in.Organisation = fmt.Sprint("organisation ", n%19_000)
				n++
				now = now.Add(263 * time.Microsecond) // 3,800 requests per second
				if j, _ := p.submit(in, func(Placement, *Refusal) {}, now); j != nil {
					p.cancel(j, now)
				}
			}
		})
	}
}

// BenchmarkPlanInOverload makes a plan while targets are free and 200 jobs wait,
// half of them late, for a service that is short of capacity.
func BenchmarkPlanInOverload(b *testing.B) {
	now := time.Now()
	for _, shares := range []bool{false, true} {
		b.Run(fmt.Sprintf("shares=%t", shares), func(b *testing.B) {
			p := benchPlanner(b, 200, 40, 12, now)
			p.overload.Shares = shares
			for n, j := range p.arrivalQueue.jobs {
				j.late = n%2 == 0
			}
			v := p.services["enc"]
			v.shares.late.at(now).late = v.shareCapacity(now)
			b.ReportAllocs()
			for b.Loop() {
				undo(p.plan(now))
			}
		})
	}
}

// TestFloorsCountPrioritiesWithDemand guards against floors that shrink for good with each
// priority that ever had a job.
func TestFloorsCountPrioritiesWithDemand(t *testing.T) {
	var s serviceShares
	began := time.Unix(1e9, 0)
	for n := range 20 {
		s.priority(n).all.add(1, began)
	}
	if share := s.floorShare(began); share > maxFloors/19+1e-9 {
		t.Errorf("20 priorities: floors of %v each", share)
	}
	now := began.Add(time.Minute)
	s.priority(0).all.add(1, now)
	s.priority(1).all.add(1, now)
	if share := s.floorShare(now); share != floorShare {
		t.Errorf("2 of 20 priorities have demand: floors of %v, want %v", share, floorShare)
	}
}
