package routesync

import (
	"testing"
	"testing/synctest"
	"time"

	"lynxhill.example/lynxhill/internal/event"
	"lynxhill.example/lynxhill/internal/fleet"
)

// Guards against requests to a target whose name a foreign writer has taken: it gets no new work at once, on all instances,
// and is used again with its next entry. The others stay as they are.
func TestEntryThatNamesNoTargetStopsNewWork(t *testing.T) {
	for _, bad := range []string{"bad", "1:1/other"} {
		inWorld(t, func(w *world) {
			n, other := w.start("x", true), w.start("y", false)
			w.sendDigest("x", "y")
			w.put("targets/a", bad)
			w.put("targets/c", "bad")
			w.put("targets/d", "1:4")
			w.wantState(n, "unusable", "1: -a b d")
			w.sendDigest("x", "y")
			w.wantState(other, "unusable, from a peer", "1: -a b d")
			n.Refresh()
			synctest.Wait()
			w.sendDigest("y", "x")
			w.wantEvents(n, event.TargetUnreadable, 2)
			w.wantEvents(other, event.TargetUnreadable, 2)
			w.put("targets/a", "1:1")
			w.wantState(n, "mended", "1: a b d")
			w.sendDigest("x", "y")
			w.wantState(other, "mended, from a peer", "1: a b d")
			w.wantEvents(n, event.TargetReadable, 1)
			w.put("targets/a", bad)
			w.remove("targets/a")
			w.wantState(n, "deleted", "1: b d")
		})
	}
}

// Guards against an entry from before a restore of the store that names no target and stays in force for ever, and against a
// target that is used because of it.
func TestUnusableEntryAndTheStoresReturn(t *testing.T) {
	inWorld(t, func(w *world) {
		w.put("targets/a", "1:1#5")
		n := w.start("x", true)
		copied := w.store.Snapshot()
		w.put("targets/a", "-1:1#6")
		w.put("targets/b", "bad")
		w.wantState(n, "before", "1: -a -b")
		w.storeOutage(func() { w.store.Restore(copied) })
		w.wantState(n, "store restored", "1: -a b")
	})
}

// target returns a target of the instance.
func (n *testInstance) target(id string) fleet.Target {
	t, _ := n.Targets().Get(id)
	return t
}

// Guards against a target that starts again under its id and is taken for the one before: its lower sequence numbers are held
// for those of old entries, and its cold period or its end for those of the earlier start.
func TestTargetStartsAgainUnderItsID(t *testing.T) {
	inWorld(t, func(w *world) {
		w.put("targets/a", "-1:1#500*9s^100")
		n := w.start("x", true)
		w.wantState(n, "draining", "1: -a b")
		w.put("targets/a", "1:1#1*1s^200")
		w.wantState(n, "started again", "1: a b")
		if got := n.target("a"); got.Started != 200 || time.Until(got.ColdUntil) > time.Second+coldMargin {
			t.Errorf("started again: %+v", got)
		}
		w.wantEvents(n, event.TargetStartedAgain, 1)

		copied := w.store.Snapshot()
		w.put("targets/a", "-1:1#900^300")
		w.put("targets/a", "1:1#2^400")
		w.wantState(n, "started again and again", "1: a b")
		w.storeOutage(func() { w.store.Restore(copied) })
		if got := n.target("a"); got.Started != 400 || got.Draining {
			t.Errorf("store restored from a copy of an earlier start: %+v", got)
		}
		w.put("targets/a", "1:1#1^500")
		if synctest.Wait(); n.target("a").Started != 500 {
			t.Errorf("started again in the new era: %+v", n.target("a"))
		}
		w.put("targets/a", "1:1#2")
		if synctest.Wait(); n.target("a").Started != 500 {
			t.Errorf("entry without a start: %+v", n.target("a"))
		}
	})
}

// Guards against a late copy of an entry that brings an earlier start back, also after the target was deleted.
func TestEarlierStartDoesNotComeBack(t *testing.T) {
	inWorld(t, func(w *world) {
		n := w.start("x", true)
		w.put("targets/a", "1:1#1^200")
		w.wantState(n, "first", "1: a b")
		w.put("targets/a", "-1:1#70^100")
		w.wantState(n, "late copy", "1: a b")
		if got := n.target("a").Started; got != 200 {
			t.Errorf("late copy: start %d", got)
		}
		w.wantEvents(n, event.TargetStartPast, 1)
		w.wantEvents(n, event.TargetUnreadable, 0)
		w.put("targets/a", "-1:1#2^200")
		w.wantState(n, "next entry", "1: -a b")
		w.remove("targets/a")
		w.wantState(n, "deleted", "1: b")
		w.put("targets/a", "1:1#70^100")
		w.wantState(n, "late copy after the deletion", "1: b")
		w.put("targets/a", "1:1#1^300")
		w.wantState(n, "started again", "1: a b")
	})
}

// Guards against a target that announced its end and starts again under its id: the announcement is of the earlier start.
func TestAnnouncementIsOfOneStart(t *testing.T) {
	inWorld(t, func(w *world) {
		w.adjust = func(o *Options) {
			o.AnnouncedShutdown = func(t fleet.Target) bool { return t.ID == "a" && t.Started == 100 }
		}
		w.put("targets/a", "1:1^100")
		n := w.start("x", true)
		w.wantState(n, "announced", "1: -a b")
		w.put("targets/a", "1:1^200")
		w.wantState(n, "started again", "1: a b")
	})
}

// Guards against a target that leaves and gets requests again, since the store executes an
// earlier write of the target late: a later start, or a later write, does take it back.
func TestLateWriteDoesNotTakeADepartureBack(t *testing.T) {
	for _, c := range []struct{ late, want string }{
		{"1:1#6^1", "1: -a b"},
		{"1:1@north#5^1", "1: -a b"},
		{"1:1#8^1", "1: a b"},
		{"1:9#1^2", "1: a b"},
	} {
		inWorld(t, func(w *world) {
			w.put("targets/a", "1:1#5^1")
			n := w.start("n", true)
			time.Sleep(time.Second)
			w.put("targets/a", "-1:1#7^1")
			time.Sleep(time.Second)
			w.put("targets/a", c.late)
			time.Sleep(time.Second)
			w.wantState(n, c.late, c.want)
			w.put("targets/a", "1:1@south#6^1")
			time.Sleep(time.Second)
			if c.want == "1: -a b" {
				w.wantState(n, "a second late write", c.want)
			}
		})
	}
}
