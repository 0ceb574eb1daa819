package stagework

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"
)

// sharedKind is a kind of request with the keys by which its outcomes are
// counted.
type sharedKind struct {
	requestKind
	priority     int
	organisation func(r *rand.Rand) string
	group        func(organisation string, pieces []int) string // nil = the kind's name
}

// sharedLoad is a load with a burst.
type sharedLoad struct {
	kinds            []sharedKind
	factor           float64 // of the rates of the kinds that burst
	from, to, length time.Duration
	// organisationPriority takes precedence over the priorities of the kinds; 0 = it does not.
	organisationPriority int
}

// runShared runs the load and returns the outcomes, by group, of the requests
// that arrived between two times.
func runShared(w *testEnv, l sharedLoad, seed uint64, since, until time.Duration) map[string]tally {
	s := make(map[string]tally)
	var mu sync.Mutex // guards s
	var wg, arrivals sync.WaitGroup
	began := time.Now()
	for k, kind := range l.kinds {
		arrivals.Go(func() {
			r := rand.New(rand.NewPCG(seed, uint64(k)))
			for n := 0; time.Since(began) < l.length; n++ {
				rate, at := kind.rate, time.Since(began)
				if kind.bursts && at >= l.from && at < l.to {
					rate *= l.factor
				}
				time.Sleep(time.Duration(r.ExpFloat64() / rate * float64(time.Second)))
				job := newJob(fmt.Sprint(kind.name, n), kind.aim, kind.deadline, kind.stages, kind.pieces(r)...)
				job.Priority, job.Route, job.Organisation = kind.priority, kind.name, kind.organisation(r)
				if l.organisationPriority > 0 {
					job.Priority, job.RoutePriority = l.organisationPriority, kind.priority
				}
				group := kind.name
				if kind.group != nil {
					group = kind.group(job.Organisation, job.Pieces)
				}
				at = time.Since(began)
				wg.Go(func() {
					e, _, _ := w.submitWithRetries(job, 2, false)
					if at >= since && at < until {
						mu.Lock()
						defer mu.Unlock()
						c := s[group]
						c.add(outcome(e, job))
						s[group] = c
					}
				})
			}
		})
	}
	arrivals.Wait()
	wg.Wait()
	return s
}

// shareSeeds is the number of seeds that the loads are run with in a test; with
// -measure-overload, it is loadSeeds.
const shareSeeds = 1

func shareSeedCount() uint64 {
	if *measureOverload {
		return loadSeeds
	}
	return shareSeeds
}

// compareShares runs the load with shares, and also without them if the results
// are measured, and logs and returns the outcomes with shares.
func compareShares(t *testing.T, l sharedLoad, since, until time.Duration) map[string]tally {
	t.Helper()
	var off map[string]tally
	if *measureOverload {
		off = withShares(t, false, l, since, until)
	}
	on := withShares(t, true, l, since, until)
	logTallies(t, off, on)
	return on
}

// withShares runs the load with the zone's services, with several seeds, and
// returns the sums of the outcomes.
func withShares(t *testing.T, shares bool, l sharedLoad, since, until time.Duration) map[string]tally {
	t.Helper()
	sum := make(map[string]tally)
	for seed := range shareSeedCount() {
		withEnv(t, zoneServices(), func(w *testEnv) {
			w.d.SetOverload(Overload{Shares: shares})
			for group, c := range runShared(w, l, seed, since, until) {
				all := sum[group]
				all.add(c)
				sum[group] = all
			}
			t.Logf("shares %t, seed %d: %+v", shares, seed, w.d.ShareCounts())
			t.Logf("results %+v", w.d.ResultCounts())
		})
	}
	return sum
}

func oneOrganisation(*rand.Rand) string { return "one" }

// served is the share of requests that were answered, on time or late.
func (c tally) served() float64 { return float64(c.onTime+c.late) / float64(max(c.asked, 1)) }

// logTallies logs outcomes with and without shares.
func logTallies(t *testing.T, off, on map[string]tally) {
	for group, c := range on {
		o := off[group]
		t.Logf("%-14s on time %.3f (%.3f without shares), late %.3f (%.3f), asked %d (%d)", group, c.share(), o.share(),
			c.served()-c.share(), o.served()-o.share(), c.asked, o.asked)
	}
}

// zoneKind returns a kind of the zone's requests.
func zoneKind(name string, priority int) sharedKind {
	for _, k := range zoneRequestKinds() {
		if k.name == name {
			return sharedKind{requestKind: k, priority: priority, organisation: oneOrganisation}
		}
	}
	panic("unknown kind " + name)
}
