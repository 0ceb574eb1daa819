package claim

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"

	"lynxhill.example/lynxhill/internal/errkind"
	"lynxhill.example/lynxhill/internal/store/memstore"
)

func testClaimer(st *memstore.Store, self string, seed uint64, change func(*StoreOptions)) *StoreClaimer {
	opts := StoreOptions{Store: st, Self: self, Rand: rand.New(rand.NewPCG(seed, 9)), Shards: 4}
	if change != nil {
		change(&opts)
	}
	return NewStoreClaimer(opts)
}

func testRequest(key, body string, within time.Duration) Request {
	return Request{
		Key:      Key{Organisation: "org", Key: key, Stage: "book"},
		BodyHash: body,
		Deadline: time.Now().Add(within),
	}
}

// mustState claims the key and checks the resulting state.
func mustState(t *testing.T, c Claimer, req Request, want State) Answer {
	t.Helper()
	answer, err := c.Claim(t.Context(), req)
	if err != nil || answer.State != want {
		t.Fatalf("claim: state %v, error %v, want state %v", answer.State, err, want)
	}
	return answer
}

func mustKind(t *testing.T, c Claimer, req Request, want errkind.Kind) {
	t.Helper()
	answer, err := c.Claim(t.Context(), req)
	if !errkind.Is(err, want) {
		t.Fatalf("claim: state %v, error %v, want %v", answer.State, err, want)
	}
}

// currentOf returns the current window of the first shard once its flush loop,
// which owns the window, is blocked or has ended.
func currentOf(p *StoreClaimer) *window {
	synctest.Wait()
	return p.shards[0].view.current
}

func TestClaimLife(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := memstore.New(memstore.Options{})
		a, b := testClaimer(st, "a", 1, nil), testClaimer(st, "b", 2, nil)
		first := mustState(t, a, testRequest("k", "x", time.Second), Granted)
		if held := mustState(t, b, testRequest("k", "x", time.Second), Held); held.Holder != "a" {
			t.Errorf("holder %q", held.Holder)
		}
		mustKind(t, b, testRequest("k", "other", time.Second), errkind.KeyReused)
		first.Claim.Release()
		time.Sleep(time.Second)
		second := mustState(t, b, testRequest("k", "x", time.Second), Granted)
		first.Claim.Complete(json.RawMessage(`"late"`)) // the claim has been released already
		second.Claim.Complete(json.RawMessage(`"done"`))
		time.Sleep(3 * time.Second)
		done := mustState(t, a, testRequest("k", "x", time.Second), Completed)
		if string(done.Result) != `"done"` || !done.HasResult || done.Holder != "b" {
			t.Errorf("completed: %+v", done)
		}
		key := testRequest("k", "x", 0).Key
		if answer, found, err := b.Lookup(t.Context(), key); err != nil || !found || answer.State != Completed {
			t.Errorf("lookup: %+v, %v, %v", answer, found, err)
		}
		key.Stage = "bill"
		if _, found, err := b.Lookup(t.Context(), key); err != nil || found {
			t.Errorf("lookup of a key never claimed: %v, %v", found, err)
		}
	})
}

// Guards against a lookup that searches only the current window: a claim in a
// window that was sealed long ago would be granted again by an instance that does
// not have that window in its cache.
func TestSealedWindowsAreLookedAt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := memstore.New(memstore.Options{})
		small := func(o *StoreOptions) {
			o.Shards, o.WindowBytes, o.FlushInterval, o.CacheBytes = 1, 600, time.Millisecond, 2000
		}
		a := testClaimer(st, "a", 1, small)
		for i := range 60 {
			mustState(t, a, testRequest(fmt.Sprint(i), "x", time.Second), Granted)
		}
		for i := range 60 {
			mustState(t, a, testRequest(fmt.Sprint(i), "x", time.Second), Held)
			mustState(t, testClaimer(st, "b", 2, small), testRequest(fmt.Sprint(i), "x", time.Second), Held)
		}
		if n := currentOf(a).number; n < 10 {
			t.Errorf("only %d windows", n)
		}
		if a.cache.size > 2000 {
			t.Errorf("cache of %d bytes, limit 2000", a.cache.size)
		}
	})
}

// Guards against keys that stay held after a store outage in which no write
// succeeded before the caller's deadline.
func TestStoreDownMeansNothingClaimed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := memstore.New(memstore.Options{})
		a := testClaimer(st, "a", 1, nil)
		st.SetFaults(memstore.Faults{Outage: true})
		start := time.Now()
		mustKind(t, a, testRequest("k", "x", 3*time.Second), errkind.StoreUnavailable)
		if waited := time.Since(start); waited != 3*time.Second {
			t.Errorf("waited %v of a deadline of 3s", waited)
		}
		go func() {
			time.Sleep(2 * time.Second)
			st.SetFaults(memstore.Faults{})
		}()
		mustState(t, a, testRequest("k", "x", 10*time.Second), Granted)
	})
}

// Guards against a claim whose write takes effect after the caller's deadline and
// is never released: the caller's error would say that nothing was claimed, but its
// retries would find the key held.
func TestLateWriteIsReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := memstore.New(memstore.Options{})
		a, b := testClaimer(st, "a", 1, nil), testClaimer(st, "b", 2, nil)
		mustState(t, a, testRequest("warm", "x", time.Second), Granted)
		st.SetFaults(memstore.Faults{Delay: 2 * time.Second})
		mustKind(t, a, testRequest("k", "x", time.Second), errkind.StoreUnavailable) // still reading
		st.SetFaults(memstore.Faults{})
		time.Sleep(5 * time.Second)
		mustState(t, a, testRequest("k", "x", time.Second), Granted).Claim.Release()
		time.Sleep(5 * time.Second)
		st.SetFaults(memstore.Faults{Delay: 2 * time.Second})
		mustKind(t, a, testRequest("k", "x", time.Second), errkind.OutcomeUnknown)
		st.SetFaults(memstore.Faults{})
		time.Sleep(10 * time.Second)
		mustState(t, b, testRequest("k", "x", time.Second), Granted)
	})
}

func TestKeyTimes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := memstore.New(memstore.Options{})
		a := testClaimer(st, "a", 1, nil)
		at := func(age time.Duration) string {
			id := uuid.UUID{6: 0x70, 8: 0x80}
			ms := time.Now().Add(-age).UnixMilli()
			for i := range 6 {
				id[i] = byte(ms >> (8 * (5 - i)))
			}
			return id.String()
		}
		key := at(0)
		mustState(t, a, testRequest(key, "x", time.Second), Granted)
		mustState(t, a, testRequest(at(50*time.Minute), "x", time.Second), Granted)
		mustKind(t, a, testRequest(at(2*time.Hour), "x", time.Second), errkind.KeyExpired)
		mustKind(t, a, testRequest(at(-time.Hour), "x", time.Second), errkind.BadRequest)
		time.Sleep(DefaultRetention)
		mustKind(t, a, testRequest(key, "x", time.Second), errkind.KeyExpired)
	})
}

// Guards against old windows that are never removed, which would fill the store,
// and against windows that are removed before the end of their retention, which
// would let a key run again.
func TestOldWindowsAreRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		st := memstore.New(memstore.Options{})
		small := func(o *StoreOptions) { o.Shards, o.WindowBytes, o.FlushInterval = 1, 600, time.Millisecond }
		a := testClaimer(st, "a", 1, small)
		stopped := make(chan struct{})
		go func() { a.Run(ctx); close(stopped) }()
		for hour := range 30 {
			for i := range 5 {
				mustState(t, a, testRequest(fmt.Sprint(hour, "-", i), "x", time.Second), Granted)
			}
			time.Sleep(time.Hour)
			if hour > 2 && hour < 23 {
				mustState(t, a, testRequest("0-0", "x", time.Second), Held)
			}
		}
		objects, _, err := st.List(ctx, keyPrefix)
		if err != nil || len(objects) > 28 {
			t.Errorf("%d objects left, %v", len(objects), err)
		}
		if n := currentOf(a).number; n < 30 {
			t.Errorf("only %d windows were opened", n)
		}
		mustState(t, testClaimer(st, "b", 2, small), testRequest("29-0", "x", time.Second), Held)
		cancel()
		<-stopped
	})
}
