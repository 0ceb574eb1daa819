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
	"lynxhill.example/lynxhill/internal/wire/lynxapi"
)

// fixedUse is the usage of one instance, in requests per second by organisation.
type fixedUse map[string]float64

func (u fixedUse) Usage() []gossip.Usage {
	var rows []gossip.Usage
	for organisation, demand := range u {
		rows = append(rows, gossip.Usage{Organisation: organisation, RatePerSecond: demand})
	}
	return rows
}

// putLimit puts a limit on the board as profile sync does, with the next version.
func putLimit(b *board.Board, organisation string, rate float64, concurrent int) {
	value, _ := json.Marshal(lynxapi.OrganisationLimit{Organisation: organisation, RatePerSecond: rate, Concurrent: concurrent})
	putObject(b, organisation, board.ConfigObject{Value: value})
}

func putObject(b *board.Board, organisation string, object board.ConfigObject) {
	old, _ := b.Objects.Get(KeyPrefix + organisation)
	object.Version = old.Version + 1
	b.AdoptObject(KeyPrefix+organisation, object)
}

func TestRunFollowsTheBoard(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := board.New()
		putLimit(b, "a", 10, 4)
		c := New(Options{Board: b, Admitter: fixedUse{}, Self: "i0", Clock: quartz.NewReal()})
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan struct{})
		go func() { c.Run(ctx); close(ended) }()
		time.Sleep(3 * time.Second)
		if l, _ := b.Limits.Get("a"); l.RatePerSecond != 10 || l.Concurrent != 4 {
			t.Errorf("share of a single instance is %+v, want the whole limit", l)
		}
		time.Sleep(15 * time.Second)
		putLimit(b, "a", 20, 0)
		time.Sleep(5 * time.Second)
		if l, _ := b.Limits.Get("a"); l.RatePerSecond < 19 || l.Concurrent != 0 {
			t.Errorf("limit %+v 5 s after the change, want 20", l)
		}
		putObject(b, "a", board.ConfigObject{Value: []byte("no limit")})
		time.Sleep(2 * time.Second)
		if l, _ := b.Limits.Get("a"); l.RatePerSecond < 19 {
			t.Errorf("limit %+v after an object that cannot be decoded, want the previous limit", l)
		}
		putObject(b, "a", board.ConfigObject{Deleted: true})
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
				c := population{known: n, visible: n, reporting: n, rank: rank}
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
		c := population{known: n, visible: n, reporting: n, rank: rank}
		part := c.part(limit, own, 200+n-1)
		sum += part
		if rank == 0 && part < 0.65 {
			t.Errorf("the instance with nearly all demand gets %.2f of the limit", part)
		}
		if rank > 0 && part < evenShare/n {
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
	c := New(Options{Board: b, Admitter: use, Self: "i0", Clock: quartz.NewReal()})
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
		t.Errorf("%d bytes used of a budget of 0", n)
	}
}
