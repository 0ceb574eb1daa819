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

// Symptom: a booking is refused although nobody else wants it. Events: the
// reply to the claim's write is lost. Cause: the instance's own entry, found
// by reading back, is taken for somebody else's.
func TestLostReplyIsSettled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := memstore.New(memstore.Options{})
		a, b := testPages(st, "a", 1, nil), testPages(st, "b", 2, nil)
		st.SetFaults(memstore.Faults{LoseReply: 1})
		mustState(t, a, testRequest("k", "x", 5*time.Second), Granted)
		mustState(t, a, testRequest("l", "x", 5*time.Second), Granted)
		st.SetFaults(memstore.Faults{})
		mustState(t, b, testRequest("k", "x", time.Second), Held)
	})
}

// Symptom: a booking is made twice, a day after a quiet one. Events: an
// instance has seen a window sealed and the next one not yet created; it gets
// no claim of that shard for longer than the retention; the windows go on, and
// the one it would create is long removed. Cause: it creates it again, and
// looks in none of those that are in use.
func TestSleeperDoesNotRecreateWindow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		st := memstore.New(memstore.Options{})
		small := func(o *PagesOptions) { o.Shards, o.WindowBytes, o.FlushInterval = 1, 500, time.Millisecond }
		a, sleeper := testPages(st, "a", 1, small), testPages(st, "s", 2, small)
		for i := 0; currentOf(sleeper) == nil || currentOf(sleeper).version != 0; i++ {
			mustState(t, sleeper, testRequest(fmt.Sprint("s", i), "x", time.Second), Granted)
		}
		stopped := make(chan struct{})
		go func() { a.Run(ctx); close(stopped) }()
		for hour := range 40 {
			for i := range 4 {
				mustState(t, a, testRequest(fmt.Sprint(hour, "-", i), "x", time.Second), Granted)
			}
			time.Sleep(time.Hour)
		}
		mustState(t, sleeper, testRequest("39-0", "x", time.Second), Held)
		cancel()
		<-stopped
	})
}

func TestLargeResultIsNotKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := memstore.New(memstore.Options{})
		a := testPages(st, "a", 1, nil)
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

// Symptom: completions of the last second before a planned stop are missing,
// and resends are told outcome_unknown. Cause: Run ends without writing them.
func TestStopWritesWhatWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		st := memstore.New(memstore.Options{})
		a := testPages(st, "a", 1, nil)
		stopped := make(chan struct{})
		go func() { a.Run(ctx); close(stopped) }()
		mustState(t, a, testRequest("k", "x", time.Second), Granted).Claim.Complete(json.RawMessage(`1`))
		cancel()
		<-stopped
		mustState(t, testPages(st, "b", 2, nil), testRequest("k", "x", time.Second), Completed)
	})
}

// deadLink is the way to an owner that grants a claim and then dies.
type deadLink struct{ owner *Pages }

func (l deadLink) ForwardClaim(ctx context.Context, _ string, m Message) (Reply, error) {
	if m.Op == MessageClaim {
		return l.owner.Handle(ctx, m)
	}
	<-ctx.Done()
	return Reply{}, errLink
}

// Symptom: the same. Events: the completion is on its way to an owner that
// does not answer. Cause: only what waits for the store is waited for.
func TestStopWaitsForTheOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		st := memstore.New(memstore.Options{})
		a := testPages(st, "a", 1, func(o *PagesOptions) {
			o.Owners = func(int) string { return "owner" }
			o.Forward = deadLink{testPages(st, "owner", 3, nil)}
		})
		stopped := make(chan struct{})
		go func() { a.Run(ctx); close(stopped) }()
		mustState(t, a, testRequest("k", "x", time.Second), Granted).Claim.Complete(json.RawMessage(`1`))
		cancel()
		<-stopped
		mustState(t, testPages(st, "b", 2, nil), testRequest("k", "x", time.Second), Completed)
	})
}

// Symptom: a key stays held by a request that was never started. Events: a
// write is stuck on its way for longer than the call's time limit; reading
// back shows the window as it was; then the write takes effect. Cause: the
// unchanged window is taken as proof that the write is lost.
func TestUnchangedWindowProvesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := memstore.New(memstore.Options{})
		one := func(o *PagesOptions) { o.Shards = 1 }
		a, b := testPages(st, "a", 1, one), testPages(st, "b", 2, one)
		mustState(t, a, testRequest("warm", "x", time.Second), Granted)
		st.SetFaults(memstore.Faults{WriteDelay: 10 * time.Second})
		mustKind(t, a, testRequest("k", "x", 5*time.Second), errkind.OutcomeUnknown)
		st.SetFaults(memstore.Faults{})
		time.Sleep(time.Minute)
		mustState(t, b, testRequest("k", "x", time.Second), Granted)
	})
}

// Symptom: a booking is made twice. Events: an attempt's release is written
// again after the next attempt has claimed the key. Cause: a release counts
// for whoever holds the key.
func TestLateReleaseFreesOnlyItsOwnAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := memstore.New(memstore.Options{})
		a := testPages(st, "a", 1, nil)
		first := mustState(t, a, testRequest("k", "x", time.Second), Granted).Claim.(*granted)
		first.Release()
		time.Sleep(time.Second)
		mustState(t, a, testRequest("k", "x", time.Second), Granted)
		first.shard.record(releaseOf(first.entry, first.life, time.Now()))
		time.Sleep(time.Second)
		mustState(t, a, testRequest("k", "x", time.Second), Held)
	})
}

// Symptom: after a change of the settings, resends run a second time. Events:
// an instance is started with another number of shards. Cause: it looks for
// every key in another shard than the one it was recorded in.
func TestOtherShardCountIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := memstore.New(memstore.Options{})
		mustState(t, testPages(st, "a", 1, nil), testRequest("k", "x", time.Second), Granted)
		more := testPages(st, "b", 2, func(o *PagesOptions) { o.Shards = 64 })
		for i := range 10 {
			mustKind(t, more, testRequest(fmt.Sprint(i), "x", time.Second), errkind.StoreUnavailable)
		}
		time.Sleep(5 * time.Second) // the flush loops end
	})
}

// priorityStore notes the priority of each write.
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

// Symptom: bookings are refused while the platform's limit is short, although
// completions go through. Cause: both are written with the same priority.
func TestCompletionsYieldToClaims(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := &priorityStore{Store: memstore.New(memstore.Options{})}
		a := NewPages(PagesOptions{Store: st, Self: "a", Rand: rand.New(rand.NewPCG(1, 1)), Shards: 1})
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

// Symptom: twice as many claims are reported as were asked for. Cause: a claim
// that its owner wrote for another instance is counted at both.
func TestForwardedGrantIsCountedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := memstore.New(memstore.Options{})
		var pages []*Pages
		counts := make([]*metrics.Registry, 2)
		for i := range counts {
			counts[i] = metrics.NewRegistry()
			pages = append(pages, testPages(st, strconv.Itoa(i), uint64(i), func(o *PagesOptions) {
				o.Owners = func(int) string { return "0" }
				o.Forward, o.Metrics = goodLink{&pages}, counts[i]
			}))
		}
		mustState(t, pages[1], testRequest("k", "x", time.Second), Granted)
		owner, holder := counts[0].Counter(metricGranted).Value(), counts[1].Counter(metricGranted).Value()
		if owner != 0 || holder != 1 {
			t.Errorf("counted %d times at the owner, %d at the holder", owner, holder)
		}
		if written := counts[0].Counter(metricWrites).Value(); written != 1 {
			t.Errorf("the owner wrote %d times", written)
		}
	})
}
