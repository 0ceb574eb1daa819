package routesync

import (
	"testing"
	"time"
)

// sendDigests delivers digests of one instance to another as often as instances exchange
// them.
func (w *world) sendDigests(from, to string, during time.Duration) {
	w.t.Helper()
	for end := time.Now().Add(during); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		w.sendDigest(from, to)
	}
}

// Guards against a removed target that gets requests for as long as it runs, since the list
// of an instance which started after the removal has no tombstone of it, but a later version.
func TestListWithoutTombstoneDoesNotHideARemoval(t *testing.T) {
	inWorld(t, func(w *world) {
		knows := w.start("knows", true)
		reader := w.start("reader", true)
		time.Sleep(3 * time.Second)
		reader.link.cut()
		w.remove("targets/a")
		w.put("targets/c", "1:3")
		w.start("starts", true)
		time.Sleep(3 * time.Second)
		w.wantState(knows, "watching", "1: b c")
		w.sendDigest("starts", "reader")
		w.wantState(reader, "after a digest of the new instance", "1: a b c")
		w.sendDigest("knows", "reader")
		time.Sleep(5 * time.Second)
		w.wantState(reader, "after a digest of one that knows the removal", "1: b c")
	})
}

// Guards against a fleet whose instances ask the store after each change, since none of them,
// all just started, is held to know which targets were deleted.
func TestInstancesThatStartTogetherTrustEachOther(t *testing.T) {
	inWorld(t, func(w *world) {
		w.put(TableKey, "2") // a list is newer than its targets
		w.start("first", true)
		w.put(TableKey, "3")
		second := w.start("second", true)
		time.Sleep(time.Second)
		second.link.cut()
		w.remove("targets/a")
		w.put("targets/c", "1:3")
		time.Sleep(time.Second)
		w.sendDigest("first", "second")
		w.wantState(second, "after a digest", "3: b c")
		if second.needsPull(TargetsPrefix, w.instances["first"].targets.shareableVersion()) {
			t.Error("the second instance still lacks something")
		}
	})
}

// Guards against the same where nobody else knows of the removal any more.
func TestRemovalIsFoundThoughAllPeersAreNew(t *testing.T) {
	inWorld(t, func(w *world) {
		reader := w.start("reader", true)
		time.Sleep(3 * time.Second)
		reader.link.cut()
		w.remove("targets/a")
		w.put("targets/c", "1:3")
		w.start("starts", true)
		time.Sleep(time.Second)
		w.sendDigests("starts", "reader", 15*time.Second)
		w.wantState(reader, "after digests of the new instance", "1: b c")
		w.put("targets/d", "1:4")
		time.Sleep(time.Second)
		w.sendDigest("starts", "reader")
		w.wantState(reader, "after a further change", "1: b c d")
	})
}

// Guards against the same at an instance that was away until all tombstones had expired.
func TestExpiredTombstonesDoNotHideARemoval(t *testing.T) {
	inWorld(t, func(w *world) {
		w.start("knows", true)
		reader := w.start("reader", true)
		time.Sleep(3 * time.Second)
		reader.link.cut()
		w.remove("targets/a")
		time.Sleep(2 * tombstoneTTL)
		w.put("targets/c", "1:3")
		time.Sleep(time.Second)
		w.sendDigests("knows", "reader", 15*time.Second)
		w.wantState(reader, "after digests", "1: b c")
	})
}

// Guards against the same at an instance that got the first pages of its first transfer from
// a source which still listed the target.
func TestTransferFromTwoSourcesDoesNotHideARemoval(t *testing.T) {
	inWorld(t, func(w *world) {
		w.withTargets(2 * maxPageObjects)
		peers := &slowPeers{world: w, fail: func(instance string, page int) bool { return instance == "first" && page > 1 }}
		w.adjust = func(o *Options) { o.Puller = peers }
		w.start("first", true)
		time.Sleep(time.Second)
		reader := w.start("reader", false)
		w.sendDigest("first", "reader")
		w.remove("targets/a")
		w.put("targets/c", "1:3")
		w.start("second", true)
		time.Sleep(time.Second)
		w.sendDigest("second", "reader")
		if !reader.Targets().Usable("c") {
			t.Error("the transfer does not end with the second source")
		}
		w.sendDigests("second", "reader", 15*time.Second)
		if reader.Targets().Usable("a") {
			t.Error("the target is in use 15 s after the transfer")
		}
	})
}

// Guards against a zone that gets no work for ever, since the end of its evacuation is
// hidden by the list of an instance that started after it.
func TestListDoesNotHideTheEndOfAnEvacuation(t *testing.T) {
	withOrders(t, func(w *world) {
		w.put("evacuations/north", "{}")
		w.start("knows", true)
		reader := w.start("reader", true)
		time.Sleep(3 * time.Second)
		reader.link.cut()
		w.remove("evacuations/north")
		w.start("starts", true)
		time.Sleep(time.Second)
		w.sendDigest("starts", "reader")
		w.sendDigest("knows", "reader")
		if got := reader.evacuated(); got != "[]" {
			t.Errorf("evacuated: %s", got)
		}
	})
}
