package storeclient

import (
	"testing"
	"time"

	"lynxhill.example/lynxhill/internal/store"
)

func TestShareOfTheBudget(t *testing.T) {
	for _, c := range []struct {
		members, shards int
		writes, reads   float64
	}{
		{0, 0, 40, 150},
		{1, 64, 40, 150}, // a single instance gets no more than one of eight
		{8, 8, 40, 150},
		{16, 0, 20, 75},
		{370, 0, 2, 5},
		{370, 1, 7, 10},
		{370, 64, 40, 150},
	} {
		b := DefaultFleetBudget.Share(c.members, c.shards)
		if b.WritesPerSecond != c.writes || b.ReadsPerSecond != c.reads || b.Watches != DefaultBudget.Watches {
			t.Errorf("%d members, %d shards: %+v, want %v writes, %v reads", c.members, c.shards, b, c.writes, c.reads)
		}
	}
}

func TestChangedBudgetHoldsAtOnce(t *testing.T) {
	g := newLimiter(DefaultBudget, 1)
	g.setBudget(start, DefaultFleetBudget.Share(370, 0))
	if n := admitted(g, start, 10*time.Second); n > 30 {
		t.Errorf("%d writes in ten seconds under a share of 2 a second", n)
	}
	g.setBudget(start.Add(10*time.Second), DefaultBudget)
	if n := admitted(g, start.Add(10*time.Second), 10*time.Second); n < 390 {
		t.Errorf("%d writes in ten seconds under a share of 40 a second", n)
	}
}

// admitted counts the admitted writes of an instance that attempts one every
// millisecond.
func admitted(g *limiter, from time.Time, length time.Duration) (n int) {
	for now := from; now.Before(from.Add(length)); now = now.Add(time.Millisecond) {
		if _, err := g.admit(now, callWrite, store.PriorityOperator); err == nil {
			g.done(now, callWrite, false, resultOK)
			n++
		}
	}
	return n
}

// Guards against a fault that makes every instance write at its full rate and so
// brings the platform to a stop for all its users, as with 370 instances that each have
// the budget of one of eight. The test also checks that owners of claim shards, who
// write for the whole fleet, are not limited by an even share.
func TestLargeFleetSharesThePlatform(t *testing.T) {
	const instances, shards = 370, 64
	asked, shed := 0, 0
	for i := range instances {
		owned := 0
		if i < shards {
			owned = 1
		}
		share := DefaultFleetBudget.Share(instances, owned)
		asked += admitted(newLimiter(share, uint64(i)), start, 20*time.Second)
		if owned > 0 {
			shed += shedClaims(newLimiter(share, uint64(i)), 20*time.Second)
		}
	}
	perSecond := float64(asked) / 20
	t.Logf("all instances at their full rate: %.0f writes/s; claim writes shed at owners: %d", perSecond, shed)
	if perSecond > 1300 {
		t.Errorf("%.0f writes a second when all instances write at their full rate", perSecond)
	}
	if shed > 0 {
		t.Errorf("%d writes of claims were shed", shed)
	}
}

// shedClaims counts the shed writes of an owner that writes claims every 250 ms and
// renews a lease every three seconds.
func shedClaims(g *limiter, length time.Duration) (shed int) {
	for at := time.Duration(0); at < length; at += 250 * time.Millisecond {
		now := start.Add(at)
		if at%(3*time.Second) == 0 {
			_, _ = g.admit(now, callWrite, store.PriorityControl)
		}
		if _, err := g.admit(now, callWrite, store.PriorityRequest); err != nil {
			shed++
		}
	}
	return shed
}
