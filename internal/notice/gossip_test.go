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

const largeBudget = 1 << 20

// newTrackers returns three trackers without notices.
func newTrackers() []*Tracker {
	var list []*Tracker
	for n := range 3 {
		list = append(list, New(Options{Self: fmt.Sprint("i-", n), Board: board.New()}))
	}
	return list
}

// sendDigest sends the notices of one tracker to another.
func sendDigest(from, to *Tracker) {
	var digest gossip.Digest
	from.Fill(&digest, "", largeBudget)
	to.Absorb(digest)
}

// TestNewestNoticeWins checks that the last limit of a target wins, whatever way it reaches an instance.
func TestNewestNoticeWins(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k := newTrackers()
		k[0].BeginRequest("a").ResponseReceived(limitOf(2), true)
		sendDigest(k[0], k[1])
		time.Sleep(time.Second)
		k[0].BeginRequest("a").ResponseReceived(limitOf(1), true)
		sendDigest(k[1], k[0])
		sendDigest(k[1], k[2])
		if rate, _ := k[0].Limit("a"); rate != 1 {
			t.Errorf("an older notice of its own replaced the newer one: %v", rate)
		}
		sendDigest(k[0], k[2])
		sendDigest(k[1], k[2])
		if rate, _ := k[2].Limit("a"); rate != 1 {
			t.Errorf("the older of two notices won: %v", rate)
		}
		time.Sleep(time.Second)
		k[2].BeginRequest("a").ResponseReceived(fleet.Notice{}, true)
		sendDigest(k[0], k[2])
		sendDigest(k[2], k[0])
		for _, n := range []int{0, 2} {
			if _, named := k[n].Limit("a"); named {
				t.Errorf("i-%d: the limit has not ended", n)
			}
		}
	})
}

// Guards against a target that is spared without end after one instance received its limit. No instance received anything
// from the target any more, but a notice that came back through other instances appeared new.
func TestGossipDoesNotExtendNoticeTTL(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k := newTrackers()
		k[0].BeginRequest("a").ResponseReceived(limitOf(2), true)
		k[0].BeginRequest("b").ResponseReceived(fleet.Notice{Leaving: true}, true)
		for range 2 * int(unlistedTTL/time.Second) {
			for n := range k {
				sendDigest(k[n], k[(n+1)%3])
				sendDigest(k[n], k[(n+2)%3])
				k[n].RemoveExpired(func(string) bool { return false })
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

// TestAllRowsAreSentInTurn checks that rows that do not fit one digest are sent in the next ones.
func TestAllRowsAreSentInTurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k := newTrackers()
		const targets = 100
		for n := range targets {
			k[0].BeginRequest(fmt.Sprint("t", n)).ResponseReceived(limitOf(1), true)
		}
		for range 20 {
			var digest gossip.Digest
			if used := k[0].Fill(&digest, "", 400); used > 400 {
				t.Fatalf("%d bytes used of 400", used)
			}
			k[1].Absorb(digest)
		}
		if n := k[1].o.Board.Notices.Len(); n != targets {
			t.Errorf("%d of %d targets received", n, targets)
		}
	})
}

// TestInvalidLimitIsIgnored checks that invalid rows change nothing.
func TestInvalidLimitIsIgnored(t *testing.T) {
	k := newTrackers()[0]
	zero := 0.0
	for _, l := range []gossip.NoticeLimit{
		{By: "x", Named: true, Rate: -1}, {By: "x", Named: true, Rate: 1 / zero}, {By: "x", Named: true, Rate: zero / zero}, {Named: true, Rate: 1},
		{By: "x", Named: true, Rate: 1, Age: time.Hour},
	} {
		k.Absorb(gossip.Digest{Notices: []gossip.Notice{{Target: "a", Limit: l}, {Limit: l}}})
		if _, named := k.Limit("a"); named {
			t.Errorf("%+v was accepted", l)
		}
	}
}
