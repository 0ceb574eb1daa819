package loadview

import (
	"fmt"
	"testing"

	"github.com/coder/quartz"

	"lynxhill.example/lynxhill/internal/board"
	"lynxhill.example/lynxhill/internal/gossip"
	"lynxhill.example/lynxhill/internal/wire/targetapi"
)

func benchController() *Controller {
	b := board.New()
	for i := range 370 {
		id := fmt.Sprintf("i-%03d", i)
		zone, region := zoneOf(i, 7)
		b.Members.Put(id, board.Member{ID: id, State: board.MemberAlive, Zone: zone, Region: region})
	}
	c := New(Options{Board: b, Clock: quartz.NewReal(), Self: "i-000", Zone: "place-0", Region: "region-0"})
	for i := range 600 {
		id := fmt.Sprintf("lynx-pool-%03d", i)
		zone, region := zoneOf(i, 7)
		b.Targets.Put(id, board.Target{ID: id, Zone: zone, Region: region})
		c.Observe(id, targetapi.LoadReport{Seq: 1, Running: 3, Slots: 8})
	}
	return c
}

// BenchmarkFill measures one digest with 370 instances and 600 targets.
func BenchmarkFill(b *testing.B) {
	c := benchController()
	b.ReportAllocs()
	for b.Loop() {
		var d gossip.Digest
		c.Fill(&d, "i-007", trialBudget)
	}
}

// BenchmarkAssign measures one computation of the targets to poll.
func BenchmarkAssign(b *testing.B) {
	c := benchController()
	targets := c.opts.Board.Targets.Snapshot()
	b.ReportAllocs()
	for b.Loop() {
		f := fleetOf(c.opts.Board, c.opts.Self, c.opts.Zone, c.opts.Region)
		for _, t := range targets {
			f.isPoller(c.opts.Self, t, DefaultPollersPerTarget)
		}
	}
}
