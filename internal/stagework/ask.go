package stagework

import (
	"context"
	"maps"
	"slices"
	"time"

	"lynxhill.example/lynxhill/internal/fleet"
	"lynxhill.example/lynxhill/internal/relay"
)

// reportTime bounds the question for a target's report.
const reportTime = 500 * time.Millisecond

// askTargets asks the targets what lies there: a dispatcher that takes over from
// another knows nothing of it. It asks once, when it gets the cell's first job.
// The lock is held.
//
// What goes wrong without the stage targets' answers: the first pieces are
// refused for want of room, where the results of the dispatcher before lie. What
// goes wrong without the engines': sessions are sent to engines that do not keep
// their prompt parts, which are read a second time while another engine has
// them; one notices it by tokens read again after each restart. A target that
// names a limit or wants nothing for a while is not asked: what it takes is kept
// for requests.
func (d *Dispatcher) askTargets(p *Planner) {
	if d.o.Client == nil {
		return
	}
	for _, v := range p.byName {
		for _, s := range v.order {
			if !d.o.Bounds.inNeed(s.target.ID) {
				go d.askRoom(s, s.target)
			}
		}
	}
	for _, name := range slices.Sorted(maps.Keys(p.pools)) {
		o := p.pools[name]
		for _, e := range o.order {
			if !d.o.Bounds.inNeed(e.target.ID) {
				go d.askKept(o, e, e.target)
			}
		}
	}
}

// askRoom asks a stage target for its free room.
func (d *Dispatcher) askRoom(s *server, target fleet.Target) {
	ctx, cancel := context.WithTimeout(d.ctx, reportTime)
	defer cancel()
	report, err := d.o.Client.Report(ctx, target)
	if err != nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	s.reported(report.FreeRoom, d.o.Clock.Now())
}

// askKept asks an engine which prompt parts it keeps.
func (d *Dispatcher) askKept(o *pool, e *engine, target fleet.Target) {
	ctx, cancel := context.WithTimeout(d.ctx, reportTime)
	defer cancel()
	parts, err := d.o.Client.Kept(ctx, target)
	if err != nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	o.found(e, parts, d.o.Clock.Now())
}

// found takes in which prompt parts an engine says it keeps. They count as used
// now: when they were is not known, and what lies in an engine's memory was not
// long ago.
func (o *pool) found(e *engine, parts []relay.PromptPart, now time.Time) {
	prompt := relay.Prompt{Parts: parts}
	e.keep(&prompt, o.capacity())
	o.use(&prompt, now)
}

// capacity is the tokens of prompt parts that an engine is believed to keep.
func (o *pool) capacity() int64 { return int64(float64(o.limits.MemoryTokens) * keptShare) }
