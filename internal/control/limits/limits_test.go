package limits

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/coder/quartz"

	"lynxhill.example/lynxhill/internal/board"
	"lynxhill.example/lynxhill/internal/gossip"
	"lynxhill.example/lynxhill/internal/store/memstore"
	"lynxhill.example/lynxhill/internal/wire/lynxapi"
)

// fixedUse is the use of one instance.
type fixedUse map[string]float64

func (u fixedUse) Usage() []gossip.Usage {
	var rows []gossip.Usage
	for organisation, demand := range u {
		rows = append(rows, gossip.Usage{Organisation: organisation, RatePerSecond: demand})
	}
	return rows
}

func putLimit(t *testing.T, s *memstore.Store, organisation string, rate float64, concurrent int) {
	t.Helper()
	key := KeyPrefix + organisation
	old, _ := s.Get(context.Background(), key)
	value, _ := json.Marshal(lynxapi.OrganisationLimit{Organisation: organisation, RatePerSecond: rate, Concurrent: concurrent})
	if _, err := s.Put(context.Background(), key, value, old.Version); err != nil {
		t.Fatalf("put: %v", err)
	}
}

func TestRunFollowsTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := memstore.New(memstore.Options{Clock: quartz.NewReal()})
		putLimit(t, s, "a", 10, 4)
		b := board.New()
		c := New(Options{Board: b, Store: s, Door: fixedUse{}, Self: "i0", Clock: quartz.NewReal()})
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan struct{})
		go func() { c.Run(ctx); close(ended) }()
		time.Sleep(3 * time.Second)
		if l, _ := b.Limits.Get("a"); l.RatePerSecond != 10 || l.Concurrent != 4 {
			t.Errorf("limit of a lone instance %+v, want all of it", l)
		}
		time.Sleep(15 * time.Second) // its watch stands by now
		putLimit(t, s, "a", 20, 0)
		time.Sleep(5 * time.Second)
		if l, _ := b.Limits.Get("a"); l.RatePerSecond < 19 || l.Concurrent != 0 {
			t.Errorf("limit %+v 5 s after the change, want 20", l)
		}
		o, _ := s.Get(ctx, KeyPrefix+"a")
		if err := s.Delete(ctx, KeyPrefix+"a", o.Version); err != nil {
			t.Fatalf("delete: %v", err)
		}
		time.Sleep(2 * time.Second)
		if l, found := b.Limits.Get("a"); found {
			t.Errorf("limit %+v after it was deleted", l)
		}
		cancel()
		<-ended
	})
}

func TestWholeSharesAddUp(t *testing.T) {
	for n := 1; n <= 60; n++ {
		for _, limit := range []int{1, 2, 5, 7, 50, 1000} {
			sum := 0
			for rank := range n {
				c := crowd{known: n, visible: n, heard: n, rank: rank}
				l := c.shareOf(lynxapi.OrganisationLimit{Concurrent: limit}, 1, float64(n-1), 12345)
				sum += max(l.Concurrent, 0)
				if l.Concurrent == 0 {
					t.Fatalf("limit %d over %d instances: share 0 would mean no limit", limit, n)
				}
			}
			if sum != limit {
				t.Errorf("limit %d over %d instances adds up to %d", limit, n, sum)
			}
		}
	}
}

func TestSharesFollowDemand(t *testing.T) {
	const n, limit = 8, 100.0
	sum := 0.0
	for rank := range n {
		own := 1.0
		if rank == 0 {
			own = 200
		}
		c := crowd{known: n, visible: n, heard: n, rank: rank}
		part := c.part(limit, own, 200+n-1)
		sum += part
		if rank == 0 && part < 0.65 {
			t.Errorf("the instance with nearly all demand gets %.2f of the limit", part)
		}
		if rank > 0 && part < equalShare/n {
			t.Errorf("an instance with little demand gets %.3f, below the floor", part)
		}
	}
	if sum < 0.999 || sum > 1.001 {
		t.Errorf("parts add up to %.4f", sum)
	}
}

func TestDigestsFitTheBudget(t *testing.T) {
	b := board.New()
	use := fixedUse{}
	c := New(Options{Board: b, Door: use, Self: "i0", Clock: quartz.NewReal()})
	for i := range 19000 {
		name := fmt.Sprintf("org-%05d", i)
		c.objects[name] = lynxapi.OrganisationLimit{RatePerSecond: 10}
		if i < 500 {
			use[name] = float64(i) / 100
		}
	}
	c.Tick()
	var d gossip.Digest
	used := c.Fill(&d, "i1", 1024)
	if used > 1024 || len(d.Usage) < 40 {
		t.Errorf("%d rows in %d bytes of 1024", len(d.Usage), used)
	}
	if d.Usage[1].Organisation != "org-00499" {
		t.Errorf("first row %s, want the one nearest to its limit", d.Usage[1].Organisation)
	}
	if n := c.Fill(&d, "i1", 0); n != 0 {
		t.Errorf("%d bytes of a budget of none", n)
	}
}

func TestLaterComparesLowBits(t *testing.T) {
	cases := []struct {
		told  uint64
		known uint64
		later bool
	}{
		{5, 4, true}, {4, 4, false}, {3, 4, false},
		{1<<32 + 1, 1<<32 - 1, true}, {1<<32 - 1, 1<<32 + 1, false},
		{20_000_001, 20_000_000, true}, {20_000_000, 20_000_001, false},
	}
	for _, c := range cases {
		if got := later(uint32(c.told), c.known); got != c.later {
			t.Errorf("later(%d, %d) = %v", c.told, c.known, got)
		}
	}
}

// Symptom: an instance without a watch takes up a new limit only half a minute
// later. A peer's digest tells it that there is a later version.
func TestPeerTellsOfALaterVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := memstore.New(memstore.Options{Clock: quartz.NewReal()})
		putLimit(t, s, "a", 10, 0)
		var watcher, other *Controller
		boards := make([]*board.Board, 2)
		for i := range boards {
			b := board.New()
			boards[i] = b
			for _, id := range []string{"i0", "i1", "i2", "i3", "i4"} {
				b.Members.Put(id, board.Member{ID: id, State: board.MemberAlive})
			}
		}
		watcher = New(Options{Board: boards[0], Store: s, Door: fixedUse{}, Self: "i0", Clock: quartz.NewReal()})
		other = New(Options{Board: boards[1], Store: s, Door: fixedUse{}, Self: "i4", Clock: quartz.NewReal()})
		ctx, cancel := context.WithCancel(context.Background())
		go watcher.Run(ctx)
		go other.Run(ctx)
		time.Sleep(15 * time.Second)
		calls := s.Counts()
		putLimit(t, s, "a", 50, 0)
		time.Sleep(time.Second)
		if l := watcher.Limits(); l[0].RatePerSecond != 50 {
			t.Errorf("the watcher has %+v a second after the change", l[0])
		}
		if l := other.Limits(); l[0].RatePerSecond != 10 {
			t.Errorf("the other has %+v before it heard of the change: the test shows nothing", l[0])
		}
		var d gossip.Digest
		d.From = "i0"
		watcher.Fill(&d, "i4", 1024)
		other.Absorb(d)
		time.Sleep(pullSpread + time.Second)
		if l := other.Limits(); l[0].RatePerSecond != 50 {
			t.Errorf("the other has %+v %s after it heard of the change", l[0], pullSpread)
		}
		other.Absorb(d) // heard again: nothing to pull
		time.Sleep(pullSpread + time.Second)
		if after := s.Counts(); after.Total()-calls.Total() > 8 {
			t.Errorf("%d calls for one change", after.Total()-calls.Total())
		}
		cancel()
		synctest.Wait()
	})
}
