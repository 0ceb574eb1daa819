package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"testing"
	"testing/synctest"
	"time"

	"lynxhill.example/lynxhill/internal/wire/targetapi"
)

func TestTimeModel(t *testing.T) {
	var m TimeModel
	m.setDefaults()
	if m.Decode(10, 8) <= m.Decode(10, 1) || m.Decode(10, 1) != 10*m.PerToken {
		t.Fatal("a larger batch must slow each token")
	}
	if m.Prefill(100, 60) != m.Prefill(40, 0) || m.Prefill(10, 20) != 0 {
		t.Fatal("cached tokens must cost nothing")
	}
}

func TestPrefixCacheEvictsTheLeastRecentlyUsed(t *testing.T) {
	cache := newPrefixCache(30, 0, func() bool { return false })
	key := func(name string) prefixKey { return prefixKey{model: "m", prefix: name} }
	cache.store(key("a"), 10)
	cache.store(key("b"), 10)
	cache.store(key("c"), 10)
	cache.lookup(key("a"))
	cache.store(key("d"), 10)
	cache.store(key("huge"), 31)
	if _, ok := cache.lookup(key("b")); ok {
		t.Fatal("b was used longest ago and is still there")
	}
	if _, ok := cache.lookup(key("a")); !ok {
		t.Fatal("a was used last and is gone")
	}
	var told string
	for _, e := range cache.eventsAfter(0) {
		told += fmt.Sprintf("%d%s%v ", e.Seq, e.Prefix, e.Evicted)
	}
	if told != "1afalse 2bfalse 3cfalse 4btrue 5dfalse " || cache.usedShare() != 1 {
		t.Fatalf("events %q, used %v", told, cache.usedShare())
	}
}

func TestCacheEventsAreLateAndHaveGaps(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		count := 0
		everyThird := func() bool { count++; return count%3 == 0 }
		cache := newPrefixCache(1000, time.Second, everyThird)
		for i := range 6 {
			cache.store(prefixKey{prefix: fmt.Sprint(i)}, 1)
		}
		if len(cache.eventsAfter(0)) != 0 {
			t.Fatal("events must be late")
		}
		time.Sleep(time.Second)
		var seqs []uint64
		for _, e := range cache.eventsAfter(1) {
			seqs = append(seqs, e.Seq)
		}
		if fmt.Sprint(seqs) != "[2 4 5]" {
			t.Fatalf("numbers %v", seqs)
		}
	})
}

func TestWeightStoreServesOneLoadAfterTheOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := NewWeightStore(time.Second)
		began := time.Now()
		done := make(chan time.Duration, 3)
		for range 3 {
			go func() {
				store.fetch(t.Context(), 1)
				done <- time.Since(began)
			}()
		}
		for i := range 3 {
			if took := <-done; took != time.Duration(i+1)*time.Second {
				t.Fatalf("load %d was done after %v", i, took)
			}
		}
	})
}

func order(t *testing.T, s *Server, o targetapi.Order) int {
	t.Helper()
	resp, err := post(t.Context(), client(t, false), s, targetapi.PathOrders, o)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	return resp.StatusCode
}

// A paused order-giver wakes and gives an order under its old number after
// its successor has given one. Engines that check refuse it; the others obey,
// which is what lynxhill has to prevent by other means.
func TestOrdersWithAndWithoutFence(t *testing.T) {
	for _, checks := range []bool{true, false} {
		s := start(t, Options{ChecksFence: checks, Models: []targetapi.LoadedModel{}, Weights: NewWeightStore(time.Millisecond)})
		load := targetapi.Order{Kind: targetapi.OrderLoad, Model: "m", Version: "2", Fence: 9}
		for range 2 {
			if order(t, s, load) != http.StatusOK {
				t.Fatal("order refused")
			}
		}
		for !s.models.ready("m", "2", "") {
			time.Sleep(time.Millisecond)
		}
		if s.opts.Weights.Loads() != 1 {
			t.Fatal("the same order loaded twice")
		}
		want := http.StatusOK
		if checks {
			want = http.StatusPreconditionFailed
		}
		old := targetapi.Order{Kind: targetapi.OrderUnload, Model: "m", Version: "2", Fence: 8}
		if got := order(t, s, old); got != want {
			t.Fatalf("checks %v: old number answered %d", checks, got)
		}
		if s.models.ready("m", "2", "") != checks || s.State().HighFence != 9 {
			t.Fatalf("checks %v: state %+v", checks, s.State())
		}
		if accepted := s.Orders()[2].Accepted; accepted == checks {
			t.Fatalf("record says accepted %v", accepted)
		}
	}
}

func TestAdapterAndRoleOrders(t *testing.T) {
	s := start(t, Options{Weights: NewWeightStore(time.Millisecond)})
	order(t, s, targetapi.Order{Kind: targetapi.OrderLoadAdapter, Model: "m", Version: "1", Adapter: "b"})
	for !s.models.ready("m", "1", "b") {
		time.Sleep(time.Millisecond)
	}
	order(t, s, targetapi.Order{Kind: targetapi.OrderUnloadAdapter, Model: "m", Version: "1", Adapter: "a"})
	order(t, s, targetapi.Order{Kind: targetapi.OrderRole, Role: RoleDecode})
	if s.models.ready("m", "1", "a") || s.State().Role != RoleDecode {
		t.Fatalf("state %+v", s.State())
	}
	if got := run(t, client(t, false), s, request("a1"), nil); got.refusal == nil || got.refusal.Code != targetapi.CodeNotLoaded {
		t.Fatalf("run with an unloaded adapter: %+v", got)
	}
	if order(t, s, targetapi.Order{Kind: "dance"}) != http.StatusBadRequest {
		t.Fatal("unknown order accepted")
	}
}

func TestKVExportAndImport(t *testing.T) {
	from, to := start(t, Options{ID: "from", Time: fast()}), start(t, Options{ID: "to", Time: fast()})
	req := request("warm")
	req.Prefix = "the shared prefix of all reports"
	run(t, client(t, false), from, req, nil)
	query := url.Values{"model": {"m"}, "prefix": {PrefixHash(req.Prefix)}}.Encode()
	resp, err := http.Get("http://" + from.Addr() + targetapi.PathKVExport + "?" + query)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var blob targetapi.KVBlob
	if err := json.NewDecoder(resp.Body).Decode(&blob); err != nil {
		t.Fatal(err)
	}
	imported, err := post(t.Context(), client(t, false), to, targetapi.PathKVImport, blob)
	if err != nil {
		t.Fatal(err)
	}
	imported.Body.Close()
	if fmt.Sprint(to.cacheHashes()) != fmt.Sprint(from.cacheHashes()) || len(to.cacheHashes()) != 1 {
		t.Fatalf("cached %v there, %v here", from.cacheHashes(), to.cacheHashes())
	}
}
