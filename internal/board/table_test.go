package board

import (
	"fmt"
	"sync"
	"testing"
	"time"
)

func TestTableKeepsRows(t *testing.T) {
	table := NewTable[int]()
	for i := range 1000 {
		table.Put(fmt.Sprint(i), i)
	}
	table.Delete("7")
	if n, rows := table.Len(), table.Snapshot(); n != 999 || len(rows) != 999 || rows["999"] != 999 {
		t.Fatalf("%d rows, %d in the snapshot", n, len(rows))
	}
	if _, found := table.Get("7"); found {
		t.Error("a deleted row was found")
	}
}

func TestOnlyChangesSignal(t *testing.T) {
	table := NewTable[int]()
	table.Put("a", 1)
	changed, revision := table.Changed(), table.Revision()
	table.Delete("b")
	table.Update("a", func(old int, _ bool) (int, bool) { return old, false })
	select {
	case <-changed:
		t.Error("signalled without a change")
	default:
	}
	if table.Revision() != revision {
		t.Error("the revision rose without a change")
	}
	table.Update("a", func(old int, _ bool) (int, bool) { return old + 1, true })
	select {
	case <-changed:
	default:
		t.Error("no signal of a change")
	}
}

// Guards against a controller that does not wake up although a fact that it reads has
// changed, because the fact changes between its read and the start of its wait.
func TestChangeBetweenReadAndWaitIsSeen(t *testing.T) {
	table := NewTable[int]()
	changed := table.Changed()
	_, _ = table.Get("a")
	table.Put("a", 1)
	select {
	case <-changed:
	default:
		t.Fatal("the change was missed")
	}
}

func TestConcurrentUpdatesLoseNothing(t *testing.T) {
	table := NewTable[int]()
	var running sync.WaitGroup
	for worker := range 8 {
		running.Go(func() {
			for i := range 1000 {
				key := fmt.Sprint((worker + i) % 50)
				table.Update(key, func(old int, _ bool) (int, bool) { return old + 1, true })
			}
		})
	}
	running.Wait()
	sum := 0
	for _, n := range table.Snapshot() {
		sum += n
	}
	if sum != 8000 || table.Revision() != 8000 {
		t.Errorf("%d of 8000 updates kept, revision %d", sum, table.Revision())
	}
}

func TestFirstSignOfLeavingWins(t *testing.T) {
	at := func(s int) time.Time { return time.Unix(int64(s), 0) }
	target, marked := Target{ID: "t", LiveSince: at(10)}.MarkLeaving(at(9), at(20))
	if marked {
		t.Fatal("a sign from before the target was live again was accepted")
	}
	target, marked = target.MarkLeaving(at(11), at(21))
	if !marked || !target.Leaving || target.LeavingSince != at(21) || target.LeavingSignTime() != at(11) {
		t.Fatalf("after the first sign: %+v", target)
	}
	if again, marked := target.MarkLeaving(at(15), at(22)); marked || again != target {
		t.Error("a second sign changed the mark")
	}
	if old := (Target{Leaving: true, LeavingSince: at(5)}); old.LeavingSignTime() != at(5) {
		t.Error("a mark without a time of its sign does not use the time at which it was learned")
	}
}

func TestLiveMembers(t *testing.T) {
	b := New()
	b.Members.Put("b", Member{ID: "b", State: MemberAlive, Zone: "lac-a"})
	b.Members.Put("c", Member{ID: "c", State: MemberSuspect, Zone: "lac-a"})
	b.Members.Put("d", Member{ID: "d", State: MemberAlive, Zone: "lac-b"})
	if got := fmt.Sprint(b.LiveMembers("a")); got != "[a b d]" {
		t.Errorf("live members %s, want [a b d]", got)
	}
	if got := fmt.Sprint(b.LiveMembersIn("lac-a", "a")); got != "[a b]" {
		t.Errorf("live members of lac-a %s, want [a b]", got)
	}
}

// Guards against a lost wake-up when a controller starts to wait at the moment of a
// write on another goroutine: the writer saw no waiter, and the waiter read the row as
// it was before the write.
func TestNoWakeUpIsLost(t *testing.T) {
	for range 3000 {
		table := NewTable[int]()
		go table.Put("a", 1)
		for {
			changed := table.Changed()
			if _, found := table.Get("a"); found {
				break
			}
			select {
			case <-changed:
			case <-time.After(5 * time.Second):
				t.Fatal("the change did not wake the waiter")
			}
		}
	}
}

func TestObjectsOnlyRise(t *testing.T) {
	b := New()
	for _, version := range []uint64{3, 2, 3, 5, 4} {
		b.AdoptObject("plans/a", ConfigObject{Version: version})
	}
	if o, _ := b.Objects.Get("plans/a"); o.Version != 5 {
		t.Errorf("version %d, want 5", o.Version)
	}
	if b.AdoptObject("plans/a", ConfigObject{Version: 5, Deleted: true}) {
		t.Error("adopted an object with the stored version")
	}
}
