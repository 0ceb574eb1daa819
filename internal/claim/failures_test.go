package claim

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"lynxhill.example/lynxhill/internal/errkind"
	"lynxhill.example/lynxhill/internal/metrics"
	"lynxhill.example/lynxhill/internal/store"
	"lynxhill.example/lynxhill/internal/store/memstore"
)

// Guards against an instance that mistakes its own claim for that of another
// request. After the reply to a write is lost, it reads the window back and finds
// its own entry there; the claim must be granted.
func TestLostReplyIsSettled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := memstore.New(memstore.Options{})
		a, b := testClaimer(st, "a", 1, nil), testClaimer(st, "b", 2, nil)
		st.SetFaults(memstore.Faults{LoseReply: 1})
		mustState(t, a, testRequest("k", "x", 5*time.Second), Granted)
		mustState(t, a, testRequest("l", "x", 5*time.Second), Granted)
		st.SetFaults(memstore.Faults{})
		mustState(t, b, testRequest("k", "x", time.Second), Held)
	})
}

// Guards against duplicate grants from a stale view. An instance has seen a window
// sealed and the next one not yet created, and then gets no claim of that shard
// for longer than the retention. Meanwhile, other instances create, seal and remove
// that next window. If the first instance created it again, it would search none of
// the windows in use.
func TestSleeperDoesNotRecreateWindow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		st := memstore.New(memstore.Options{})
		small := func(o *StoreOptions) { o.Shards, o.WindowBytes, o.FlushInterval = 1, 500, time.Millisecond }
		a, suspended := testClaimer(st, "a", 1, small), testClaimer(st, "s", 2, small)
		for i := 0; currentOf(suspended) == nil || currentOf(suspended).version != 0; i++ {
			mustState(t, suspended, testRequest(fmt.Sprint("s", i), "x", time.Second), Granted)
		}
		stopped := make(chan struct{})
		go func() { a.Run(ctx); close(stopped) }()
		for hour := range 40 {
			for i := range 4 {
				mustState(t, a, testRequest(fmt.Sprint(hour, "-", i), "x", time.Second), Granted)
			}
			time.Sleep(time.Hour)
		}
		mustState(t, suspended, testRequest("39-0", "x", time.Second), Held)
		cancel()
		<-stopped
	})
}

func TestLargeResultIsNotKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := memstore.New(memstore.Options{})
		a := testClaimer(st, "a", 1, nil)
		large, err := json.Marshal(make([]int, DefaultMaxResult))
		if err != nil {
			t.Fatal(err)
		}
		mustState(t, a, testRequest("k", "x", time.Second), Granted).Claim.Complete(large)
		time.Sleep(3 * time.Second)
		if done := mustState(t, a, testRequest("k", "x", time.Second), Completed); done.HasResult {
			t.Errorf("%d bytes kept", len(done.Result))
		}
	})
}

// Guards against a Run that returns without writing the completions of the last
// second before a planned stop, so that retries get outcome_unknown.
func TestStopWritesPendingCompletions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		st := memstore.New(memstore.Options{})
		a := testClaimer(st, "a", 1, nil)
		stopped := make(chan struct{})
		go func() { a.Run(ctx); close(stopped) }()
		mustState(t, a, testRequest("k", "x", time.Second), Granted).Claim.Complete(json.RawMessage(`1`))
		cancel()
		<-stopped
		mustState(t, testClaimer(st, "b", 2, nil), testRequest("k", "x", time.Second), Completed)
	})
}

// unresponsiveOwner forwards to an owner that grants a claim and then stops
// replying.
type unresponsiveOwner struct{ owner *StoreClaimer }

func (l unresponsiveOwner) ForwardClaim(ctx context.Context, _ string, m Message) (Reply, error) {
	if m.Op == MessageClaim {
		return l.owner.Handle(ctx, m)
	}
	<-ctx.Done()
	return Reply{}, errForward
}

// Guards against a Run that returns while a completion is being forwarded to an
// owner that does not reply, because it waits only for pending store writes.
func TestStopWaitsForTheOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		st := memstore.New(memstore.Options{})
		a := testClaimer(st, "a", 1, func(o *StoreOptions) {
			o.Owners = func(int) string { return "owner" }
			o.Forward = unresponsiveOwner{testClaimer(st, "owner", 3, nil)}
		})
		stopped := make(chan struct{})
		go func() { a.Run(ctx); close(stopped) }()
		mustState(t, a, testRequest("k", "x", time.Second), Granted).Claim.Complete(json.RawMessage(`1`))
		cancel()
		<-stopped
		mustState(t, testClaimer(st, "b", 2, nil), testRequest("k", "x", time.Second), Completed)
	})
}

// Guards against a key that stays held by a request that was never started. A
// write is delayed beyond the call's timeout, the window is read back unchanged,
// and then the write takes effect. An unchanged window does not prove that the
// write is lost.
func TestUnchangedWindowProvesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := memstore.New(memstore.Options{})
		one := func(o *StoreOptions) { o.Shards = 1 }
		a, b := testClaimer(st, "a", 1, one), testClaimer(st, "b", 2, one)
		mustState(t, a, testRequest("warm", "x", time.Second), Granted)
		st.SetFaults(memstore.Faults{WriteDelay: 10 * time.Second})
		mustKind(t, a, testRequest("k", "x", 5*time.Second), errkind.OutcomeUnknown)
		st.SetFaults(memstore.Faults{})
		time.Sleep(time.Minute)
		mustState(t, b, testRequest("k", "x", time.Second), Granted)
	})
}

// Guards against a release that applies to any holder of the key: a release that
// is recorded again after the next attempt has claimed the key must not release
// that attempt's claim, or the stage would run twice.
func TestLateReleaseFreesOnlyItsOwnAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := memstore.New(memstore.Options{})
		a := testClaimer(st, "a", 1, nil)
		first := mustState(t, a, testRequest("k", "x", time.Second), Granted).Claim.(*grantedClaim)
		first.Release()
		time.Sleep(time.Second)
		mustState(t, a, testRequest("k", "x", time.Second), Granted)
		first.shard.record(releaseOf(first.entry, first.lifetime, time.Now()))
		time.Sleep(time.Second)
		mustState(t, a, testRequest("k", "x", time.Second), Held)
	})
}

// Guards against duplicate runs after the number of shards has been changed in the
// settings: an instance with another number would search for each key in a
// different shard from the one in which it was recorded.
func TestOtherShardCountIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := memstore.New(memstore.Options{})
		mustState(t, testClaimer(st, "a", 1, nil), testRequest("k", "x", time.Second), Granted)
		more := testClaimer(st, "b", 2, func(o *StoreOptions) { o.Shards = 64 })
		for i := range 10 {
			mustKind(t, more, testRequest(fmt.Sprint(i), "x", time.Second), errkind.StoreUnavailable)
		}
		time.Sleep(5 * time.Second) // the flush loops end
	})
}

// priorityStore records the priority of each write.
type priorityStore struct {
	store.Store
	mu   sync.Mutex // guards seen
	seen []store.Priority
}

func (s *priorityStore) Put(ctx context.Context, key string, value []byte, ifVersion uint64) (store.Object, error) {
	s.mu.Lock()
	s.seen = append(s.seen, store.PriorityOf(ctx))
	s.mu.Unlock()
	return s.Store.Put(ctx, key, value, ifVersion)
}

// Guards against claims that are refused under the platform's rate limit while
// completions are written, because both have the same priority.
func TestCompletionsYieldToClaims(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := &priorityStore{Store: memstore.New(memstore.Options{})}
		a := NewStoreClaimer(StoreOptions{Store: st, Self: "a", Rand: rand.New(rand.NewPCG(1, 1)), Shards: 1})
		c := mustState(t, a, testRequest("k", "x", time.Second), Granted).Claim
		c.Complete(nil)
		time.Sleep(3 * time.Second)
		want := []store.Priority{store.PriorityRequest, store.PriorityRequest, store.PriorityControl} // format, claim, completion
		st.mu.Lock()
		defer st.mu.Unlock()
		if !slices.Equal(st.seen, want) {
			t.Errorf("priorities %v, want %v", st.seen, want)
		}
	})
}

// Guards against counting a forwarded claim both at the owner that writes it and
// at the instance that holds it.
func TestForwardedGrantIsCountedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := memstore.New(memstore.Options{})
		var claimers []*StoreClaimer
		counts := make([]*metrics.Registry, 2)
		for i := range counts {
			counts[i] = metrics.NewRegistry()
			claimers = append(claimers, testClaimer(st, strconv.Itoa(i), uint64(i), func(o *StoreOptions) {
				o.Owners = func(int) string { return "0" }
				o.Forward, o.Metrics = reliableForwarder{&claimers}, counts[i]
			}))
		}
		mustState(t, claimers[1], testRequest("k", "x", time.Second), Granted)
		owner, holder := counts[0].Counter(metricGranted).Value(), counts[1].Counter(metricGranted).Value()
		if owner != 0 || holder != 1 {
			t.Errorf("counted %d times at the owner, %d at the holder", owner, holder)
		}
		if written := counts[0].Counter(metricWrites).Value(); written != 1 {
			t.Errorf("the owner wrote %d times", written)
		}
	})
}
