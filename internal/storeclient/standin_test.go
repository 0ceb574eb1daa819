package storeclient

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"lynxhill.example/lynxhill/internal/claim"
	standin "lynxhill.example/lynxhill/internal/standin/platform"
	"lynxhill.example/lynxhill/internal/store"
)

func newStandin(t *testing.T) *standin.Server {
	t.Helper()
	server, err := standin.New(standin.Options{Seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	return server
}

func TestAgainstStandin(t *testing.T) {
	server := newStandin(t)
	c, ctx := clientOf(server.Addr()), t.Context()
	first, err := c.Put(ctx, "p/a", []byte("1"), 0)
	if err != nil {
		t.Fatal(err)
	}
	if current, err := c.Put(ctx, "p/a", []byte("2"), 0); !errors.Is(err, store.ErrConflict) || current.Version != first.Version {
		t.Errorf("second create: %+v, %v", current, err)
	}
	server.LoseReplies(1)
	if _, err := c.Put(ctx, "p/a", []byte("2"), first.Version); !errors.Is(err, store.ErrUnknown) {
		t.Errorf("lost reply: %v", err)
	}
	server.LoseReplies(0)
	if obj, err := c.Get(ctx, "p/a"); err != nil || string(obj.Value) != "2" {
		t.Errorf("the lost write: %+v, %v", obj, err)
	}
	if objects, _, _, err := c.Watch(ctx, "p/", first.Version); err != nil || len(objects) != 1 {
		t.Errorf("watch: %v, %v", objects, err)
	}
	server.Outage(standin.OutageRefuse)
	if _, err := c.Put(ctx, "p/b", nil, 0); !errors.Is(err, store.ErrUnavailable) {
		t.Errorf("outage: %v", err)
	}
}

// TestClaimsOverStandin makes claims from two instances over real connections, with lost
// replies.
func TestClaimsOverStandin(t *testing.T) {
	server := newStandin(t)
	server.LoseReplies(0.2)
	var pages []*claim.StoreClaimer
	for i := range 2 {
		c := New(Options{Endpoints: []string{server.Addr()}, Seed: uint64(i), Budget: Budget{WritesPerSecond: 1e4, ReadsPerSecond: 1e4}})
		pages = append(pages, claim.NewStoreClaimer(claim.StoreOptions{
			Store: c, Self: fmt.Sprint(i), Rand: rand.New(rand.NewPCG(uint64(i), 1)), Shards: 2, FlushInterval: 5 * time.Millisecond,
		}))
	}
	var mu sync.Mutex // guards grants
	grants := make(map[string]int)
	var wg sync.WaitGroup
	for n := range 200 {
		wg.Go(func() {
			key := fmt.Sprint(n / 2) // each key is claimed once by each instance
			answer, err := pages[n%2].Claim(t.Context(), claim.Request{
				Key: claim.Key{Organisation: "o", Key: key, Stage: "s"}, BodyHash: "b", Deadline: time.Now().Add(30 * time.Second),
			})
			if err != nil {
				t.Errorf("claim of %s: %v", key, err)
				return
			}
			mu.Lock()
			defer mu.Unlock()
			if answer.State == claim.Granted {
				grants[key]++
			}
		})
	}
	wg.Wait()
	for key, n := range grants {
		if n != 1 {
			t.Errorf("key %s granted %d times", key, n)
		}
	}
	if len(grants) != 100 {
		t.Errorf("%d of 100 keys granted", len(grants))
	}
}
