package notice

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"lynxhill.example/lynxhill/internal/board"
	"lynxhill.example/lynxhill/internal/fleet"
	"lynxhill.example/lynxhill/internal/gossip"
)

const plenty = 1 << 20

// three returns three keepers that have heard nothing.
func three() []*Keeper {
	var list []*Keeper
	for n := range 3 {
		list = append(list, New(Options{Self: fmt.Sprint("i-", n), Board: board.New()}))
	}
	return list
}

// tell has one keeper tell another what it knows.
func tell(from, to *Keeper) {
	var digest gossip.Digest
	from.Fill(&digest, "", plenty)
	to.Absorb(digest)
}

// TestTheNewestWordHolds: of what instances tell each other the word that a target gave last holds, whatever way it comes.
func TestTheNewestWordHolds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k := three()
		k[0].Sent("a").Answered(limitOf(2), true)
		tell(k[0], k[1])
		time.Sleep(time.Second)
		k[0].Sent("a").Answered(limitOf(1), true)
		tell(k[1], k[0])
		tell(k[1], k[2])
		if rate, _ := k[0].Limit("a"); rate != 1 {
			t.Errorf("an older word of its own came back: %v", rate)
		}
		tell(k[0], k[2])
		tell(k[1], k[2])
		if rate, _ := k[2].Limit("a"); rate != 1 {
			t.Errorf("the older of two words holds: %v", rate)
		}
		time.Sleep(time.Second)
		k[2].Sent("a").Answered(fleet.Notice{}, true)
		tell(k[0], k[2])
		tell(k[2], k[0])
		for _, n := range []int{0, 2} {
			if _, named := k[n].Limit("a"); named {
				t.Errorf("i-%d: the limit has not ended", n)
			}
		}
	})
}

// Symptom: a target is spared for ever after an instance heard its limit once. Events: no instance hears from the target
// again; instances tell each other what they know. Cause: what comes back by way of others looked new.
func TestNoWordLivesOnItsEcho(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k := three()
		k[0].Sent("a").Answered(limitOf(2), true)
		k[0].Sent("b").Answered(fleet.Notice{Leaving: true}, true)
		for range 2 * int(unlistedLife/time.Second) {
			for n := range k {
				tell(k[n], k[(n+1)%3])
				tell(k[n], k[(n+2)%3])
				k[n].Forget(func(string) bool { return false })
			}
			time.Sleep(time.Second)
		}
		for n := range k {
			if len(k[n].o.Board.Notices.Snapshot()) > 0 {
				t.Errorf("i-%d still keeps %v", n, k[n].o.Board.Notices.Snapshot())
			}
		}
	})
}

// TestManyRowsGetRound: what does not fit one digest is told in the next ones.
func TestManyRowsGetRound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k := three()
		const targets = 100
		for n := range targets {
			k[0].Sent(fmt.Sprint("t", n)).Answered(limitOf(1), true)
		}
		for range 20 {
			var digest gossip.Digest
			if used := k[0].Fill(&digest, "", 400); used > 400 {
				t.Fatalf("%d bytes used of 400", used)
			}
			k[1].Absorb(digest)
		}
		if n := k[1].o.Board.Notices.Len(); n != targets {
			t.Errorf("%d of %d targets got round", n, targets)
		}
	})
}

// TestWordThatCannotBeSoIsLeftOut: a row of nonsense changes nothing.
func TestWordThatCannotBeSoIsLeftOut(t *testing.T) {
	k := three()[0]
	zero := 0.0
	for _, l := range []gossip.NoticeLimit{
		{By: "x", Named: true, Rate: -1}, {By: "x", Named: true, Rate: 1 / zero}, {By: "x", Named: true, Rate: zero / zero}, {Named: true, Rate: 1},
		{By: "x", Named: true, Rate: 1, Age: time.Hour},
	} {
		k.Absorb(gossip.Digest{Notices: []gossip.Notice{{Target: "a", Limit: l}, {Limit: l}}})
		if _, named := k.Limit("a"); named {
			t.Errorf("%+v was taken", l)
		}
	}
}
