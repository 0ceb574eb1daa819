package steering

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"github.com/coder/quartz"

	"lynxhill.example/lynxhill/internal/board"
	"lynxhill.example/lynxhill/internal/wire/lynxapi"
)

func controller(b *board.Board) *Controller {
	return New(Options{Board: b, Clock: quartz.NewReal(), Rand: rand.New(rand.NewPCG(1, 2)), Self: "i-0"})
}

func put(b *board.Board, id, zone string, room float64) {
	b.Members.Put(id, board.Member{ID: id, State: board.MemberAlive, CallerAddr: id + ":1", Zone: zone, Region: "tunis", FreeShare: room})
}

func TestAnswerExcludesLeavingDrainedAndStopping(t *testing.T) {
	b := board.New()
	put(b, "i-0", "lac-a", 1)
	put(b, "i-1", "lac-a", 1)
	put(b, "i-2", "lac-b", 1)
	put(b, "i-3", "charguia", 1)
	put(b, "i-4", "charguia", 1)
	b.Self.Put(board.SelfRow, board.Self{Stopping: true})
	b.Drains.Put("instance/i-1", board.Drain{Subject: "instance/i-1"})
	b.Drains.Put("place/lac-b", board.Drain{Subject: "place/lac-b"})
	m, _ := b.Members.Get("i-3")
	m.State = board.MemberLeaving
	b.Members.Put("i-3", m)
	answer := controller(b).Answer("lac-a", "tunis")
	if len(answer.Addresses) != 1 || answer.Addresses[0].ID != "i-4" {
		t.Fatalf("answer %+v, want only i-4", answer.Addresses)
	}
}

func TestSharesFollowRoom(t *testing.T) {
	b := board.New()
	rooms := map[string]float64{"a": 1, "b": 0.8, "c": 0.6, "d": 0.5, "e": 0.4, "f": 0.3, "g": 0.2, "h": 0.2}
	total := 0.0
	for id, room := range rooms {
		put(b, id, "lac-a", room)
		total += room
	}
	put(b, "far", "lac-b", 1)
	c := controller(b)
	shares := make(map[string]float64)
	const answers = 20000
	for range answers {
		for id, share := range pickShares(c.Answer("lac-a", "tunis")) {
			shares[id] += share / answers
		}
	}
	for id, room := range rooms {
		if want := room / total; math.Abs(shares[id]-want) > 0.15*want {
			t.Errorf("share of %s is %.3f, want %.3f within 15%%", id, shares[id], want)
		}
	}
	if shares["far"] != 0 {
		t.Errorf("a zone with free capacity sent %.3f of its callers to other zones", shares["far"])
	}
}

// pickShares returns the share of its requests that a caller choosing by weight
// sends to each address.
func pickShares(a lynxapi.AddressAnswer) map[string]float64 {
	sum := 0.0
	for _, address := range a.Addresses {
		sum += address.Weight
	}
	shares := make(map[string]float64)
	for _, address := range a.Addresses {
		shares[address.ID] = address.Weight / sum
	}
	return shares
}

// Guards against callers of a lost zone reaching no instance until they are
// reconfigured: a whole zone is lost while its callers hold cached answers, and
// the answers contain only instances of that zone.
func TestAnswerIncludesSparesInOtherZones(t *testing.T) {
	b := board.New()
	for _, id := range []string{"a", "b", "c", "d", "e", "f", "g"} {
		put(b, id, "lac-a", 1)
	}
	put(b, "x", "lac-b", 1)
	put(b, "y", "ariana", 1)
	c := controller(b)
	for range 100 {
		answer := c.Answer("lac-a", "tunis")
		last := answer.Addresses[len(answer.Addresses)-1]
		if last.Zone == "lac-a" || last.Weight != 0 {
			t.Fatalf("no spare outside the zone: %+v", answer.Addresses)
		}
	}
}

func TestFullZoneSpillsCallersToOtherZones(t *testing.T) {
	b := board.New()
	for _, id := range []string{"a", "b", "c"} {
		put(b, id, "lac-a", 0.05)
		put(b, id+"-near", "lac-b", 0.5)
	}
	b.Members.Put("far", board.Member{ID: "far", State: board.MemberAlive, CallerAddr: "far:1", Zone: "msasani", Region: "dar", FreeShare: 1})
	c := controller(b)
	shares := make(map[string]float64)
	const answers = 5000
	for range answers {
		for id, share := range pickShares(c.Answer("lac-a", "tunis")) {
			shares[id[len(id)-1:]] += share / answers
		}
	}
	away := shares["r"] // the IDs of instances in other zones end in "near" and "far"
	if want := 1 - 0.05/spillThreshold; math.Abs(away-want) > 0.1 {
		t.Errorf("%.2f of the callers of a zone with 5%% room are sent to other zones, want %.2f", away, want)
	}
}

func TestFallbackWhenNoInstanceAcceptsCallers(t *testing.T) {
	b := board.New()
	put(b, "i-1", "lac-a", 1)
	put(b, "i-2", "lac-b", 1)
	put(b, "i-3", "lac-b", 1)
	m, _ := b.Members.Get("i-3")
	m.State = board.MemberDead
	b.Members.Put("i-3", m)
	b.Drains.Put("place/lac-a", board.Drain{})
	b.Drains.Put("place/lac-b", board.Drain{})
	answer := controller(b).Answer("lac-a", "tunis")
	if len(answer.Addresses) != 2 || answer.Addresses[0].ID != "i-1" {
		t.Errorf("answer %+v, want i-1 and i-2", answer.Addresses)
	}
}

func TestTTLsAreJittered(t *testing.T) {
	b := board.New()
	put(b, "i-1", "lac-a", 1)
	c := controller(b)
	shortest, longest := int64(math.MaxInt64), int64(0)
	for range 1000 {
		keep := c.Answer("lac-a", "tunis").KeepMS
		shortest, longest = min(shortest, keep), max(longest, keep)
	}
	if longest > c.MaxTTL().Milliseconds() {
		t.Errorf("an answer has a TTL of %d ms, more than the longest TTL %v", longest, c.MaxTTL())
	}
	if float64(longest) < 1.7*float64(shortest) {
		t.Errorf("TTLs range from %d to %d ms only: callers that asked at the same time refresh at the same time", shortest, longest)
	}
}

func BenchmarkAnswer(b *testing.B) {
	bd := board.New()
	for i := range 370 {
		put(bd, fmt.Sprintf("i-%03d", i), fmt.Sprint("place-", i%7), 0.5)
	}
	c := controller(bd)
	c.Step()
	b.ReportAllocs()
	for b.Loop() {
		c.Answer("place-0", "tunis")
	}
}

func BenchmarkStep(b *testing.B) {
	bd := board.New()
	for i := range 370 {
		put(bd, fmt.Sprintf("i-%03d", i), fmt.Sprint("place-", i%7), 0.5)
	}
	c := controller(bd)
	for b.Loop() {
		c.Step()
	}
}
