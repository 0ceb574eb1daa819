package stagework

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// Times of the bursts, within which outcomes are counted.
const burstFrom, burstTo = 3 * time.Second, 10 * time.Second

// TestALargeOrganisationDoesNotCrowdOutOthers guards against an organisation that
// causes an overload for all. Requests of one kind need twice the capacity for
// 7 s, half of them of one organisation; the others are of nine organisations
// with equal demand, each less than a tenth of the capacity. These are below
// their equal share and should hardly notice.
func TestALargeOrganisationDoesNotCrowdOutOthers(t *testing.T) {
	check := zoneKind("check", 1)
	check.rate = 0.4 * billingCapacity() / piecesOfBilling
	check.organisation = func(r *rand.Rand) string {
		if r.IntN(2) == 0 {
			return "large"
		}
		return fmt.Sprint("small", r.IntN(9))
	}
	check.group = func(organisation string, _ []int) string {
		if organisation == "large" {
			return organisation
		}
		return "others"
	}
	l := sharedLoad{[]sharedKind{check}, 5, burstFrom, burstTo, 13 * time.Second, 0}
	on := compareShares(t, l, burstFrom, burstTo)
	if on["others"].share() < 0.75 {
		t.Errorf("%.3f of the others' requests are on time", on["others"].share())
	}
}

// TestPriorityUnderOverload guards against a less urgent class that is served
// more often than a more urgent one, since its callers wait longer, and against
// one that gets nothing, also where organisations have a priority of their own, which
// takes precedence. Each of the classes needs more than three quarters of
// the capacity of a service; the floor of the less urgent one is an eighth of its
// demand.
func TestPriorityUnderOverload(t *testing.T) {
	for _, c := range []struct {
		name         string
		to           time.Duration
		length       time.Duration
		organisation int // priority of all organisations; 0 = they have none
	}{
		{"burst of 7 s", burstTo, 16 * time.Second, 0}, {"burst of 14 s", 17 * time.Second, 19 * time.Second, 0},
		{"organisations of one priority", burstTo, 16 * time.Second, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			b, d, a := zoneKind("check", 0), zoneKind("draft", 2), zoneKind("review", 1)
			b.rate, d.rate = 35, 24
			d.bursts = true
			d.deadline = 20 * time.Second
			l := sharedLoad{[]sharedKind{b, d, a}, 3, burstFrom, c.to, c.length, c.organisation}
			on := compareShares(t, l, burstFrom, c.to)
			var all tally
			all.add(on["check"])
			all.add(on["draft"])
			if on["check"].served() < on["draft"].served()-0.05 {
				t.Errorf("%.3f of the more urgent class is served, %.3f of the less urgent one", on["check"].served(), on["draft"].served())
			}
			if on["check"].share() < on["draft"].share()-0.05 {
				t.Errorf("%.3f of the more urgent class is on time, %.3f of the less urgent one", on["check"].share(), on["draft"].share())
			}
			if floor := floorShare * billingCapacity() / (l.factor * d.rate * piecesOfBilling); on["draft"].share() < 0.8*floor {
				t.Errorf("%.3f of the less urgent class is on time, its floor is %.3f", on["draft"].share(), floor)
			}
			if on["draft"].served() < all.served()/4 {
				t.Errorf("%.3f of the less urgent class is served, %.3f of all", on["draft"].served(), all.served())
			}
		})
	}
}

// TestLargeRequestsUnderOverload guards against a kind whose largest requests are
// never on time in an overload, since dropping them serves the most. Requests
// need a random number of pieces of a service, 1.5 times its capacity or more,
// in their first stage, whose pieces wait when the decision is made, or in the
// second.
func TestLargeRequestsUnderOverload(t *testing.T) {
	const largest, large = 5, 3 // sizes of a tenth and, with the largest, of four tenths of the requests
	random := func(r *rand.Rand) int { return randomCount(r, 2.5, 0.6, 10) }
	first := zoneKind("review", 1)
	first.pieces = func(r *rand.Rand) []int { return []int{random(r)} }
	second := zoneKind("check", 1)
	second.pieces = func(r *rand.Rand) []int { return []int{1, 4 * random(r), 1} }
	second.rate = 1.5 * billingCapacity() / 10 / 5
	for _, kind := range []sharedKind{first, second} {
		t.Run(kind.name, func(t *testing.T) {
			kind.bursts = true
			kind.group = func(_ string, pieces []int) string {
				n := pieces[0]
				if len(pieces) > 1 {
					n = pieces[1] / 4
				}
				switch {
				case n >= largest:
					return "largest"
				case n >= large:
					return "large"
				}
				return "usual"
			}
			l := sharedLoad{[]sharedKind{kind}, 5, burstFrom, burstTo, 13 * time.Second, 0}
			on := compareShares(t, l, burstFrom, burstTo)
			var all tally
			for _, c := range on {
				all.add(c)
			}
			t.Logf("all: on time %.3f", all.share())
			for _, group := range []string{"largest", "large"} {
				if on[group].share() < all.share()/2 {
					t.Errorf("%.3f of the %s requests are on time, %.3f of all", on[group].share(), group, all.share())
				}
			}
		})
	}
}

// TestOneOrganisationIsServedAsWithoutShares guards against a cost of the shares
// where there is nothing to share: all requests are of one organisation, and
// there is one kind of one priority, so that all are equal.
func TestOneOrganisationIsServedAsWithoutShares(t *testing.T) {
	const tolerance = 0.02 // the order of simultaneous events differs between runs
	check := zoneKind("check", 1)
	l := sharedLoad{[]sharedKind{check}, 4, burstFrom, burstTo, 13 * time.Second, 0}
	off := withShares(t, false, l, burstFrom, burstTo)["check"]
	on := withShares(t, true, l, burstFrom, burstTo)["check"]
	t.Logf("on time %.3f, %.3f without shares; late %d, %d of %d", on.share(), off.share(), on.late, off.late, on.asked)
	if diff := on.share() - off.share(); diff < -tolerance || diff > tolerance {
		t.Errorf("%.3f of the requests are on time, %.3f without shares", on.share(), off.share())
	}
}

// TestGoodputWithShares guards against shares that waste capacity: in the bursts
// of TestWhatIsOnTimeStaysFlatInAnOverload, as much is on time with them.
// Less than a hundredth of the target time is spent on results that are thrown
// away.
func TestGoodputWithShares(t *testing.T) {
	const least, mostWaste = 0.9, 0.01
	for _, factor := range []float64{2.5, 3} {
		goodput, seeds := 0.0, shareSeedCount()
		for seed := range seeds {
			withEnv(t, zoneServices(), func(w *testEnv) {
				w.d.SetOverload(Overload{Shares: true})
				s := runBurst(w, seed, factor)
				goodput += s.goodput(3, 10) / float64(seeds)
				results := w.d.ResultCounts()
				t.Logf("factor %v, seed %d: check %+v, draft %+v, results %+v", factor, seed, between(s.kinds["check"], 3, 10), between(s.kinds["draft"], 3, 10), results)
				if made, used := results.Milliseconds["made"], results.Milliseconds["used"]; float64(made-used) > mostWaste*float64(made) {
					t.Errorf("factor %v, seed %d: of %d ms of target time, %d ms were for results that were used", factor, seed, made, used)
				}
			})
		}
		t.Logf("factor %v: goodput %.3f of the capacity", factor, goodput)
		if goodput < least {
			t.Errorf("factor %v: goodput is %.3f of the capacity, want %v", factor, goodput, least)
		}
	}
}
