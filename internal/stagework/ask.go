package stagework

import (
	"context"
	"maps"
	"slices"
	"time"

	"lynxhill.example/lynxhill/internal/fleet"
	"lynxhill.example/lynxhill/internal/relay"
)

// reportTimeout is the timeout for querying a target.
const reportTimeout = 500 * time.Millisecond

// queryTargets asks the targets for their current state, which a dispatcher
// that takes over does not know. It runs once per cell, when the cell's first
// job arrives. The caller holds the lock.
//
// Without the reports of stage targets, the first pieces are rejected for lack
// of result memory, which the results of the previous dispatcher still take.
// Without those of engines, sessions are sent to engines that do not have their
// prompt parts cached, and the parts are processed a second time; the symptom
// is a rise of redundantly processed tokens after each restart. A target that
// announces a rate limit or a pause is not queried: its capacity is left to
// requests.
func (d *Dispatcher) queryTargets(p *Planner) {
	if d.o.Client == nil {
		return
	}
	for _, v := range p.byName {
		for _, s := range v.byID {
			if !d.o.RateLimits.restricted(s.info.ID) {
				go d.queryFreeMemory(s, s.info)
			}
		}
	}
	for _, name := range slices.Sorted(maps.Keys(p.pools)) {
		o := p.pools[name]
		for _, e := range o.byID {
			if !d.o.RateLimits.restricted(e.info.ID) {
				go d.queryCachedParts(o, e, e.info)
			}
		}
	}
}

// queryFreeMemory asks a stage target for its free result memory.
func (d *Dispatcher) queryFreeMemory(s *stageTarget, target fleet.Target) {
	ctx, cancel := context.WithTimeout(d.ctx, reportTimeout)
	defer cancel()
	report, err := d.o.Client.Report(ctx, target)
	if err != nil {
		d.logReport(target, err)
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	s.applyReport(report.FreeBytes, d.o.Clock.Now())
}

// queryCachedParts asks an engine which prompt parts it has cached.
func (d *Dispatcher) queryCachedParts(o *pool, e *engine, target fleet.Target) {
	ctx, cancel := context.WithTimeout(d.ctx, reportTimeout)
	defer cancel()
	parts, err := d.o.Client.CachedParts(ctx, target)
	if err != nil {
		d.logReport(target, err)
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	o.recordCachedParts(e, parts, d.o.Clock.Now())
}

// recordCachedParts records the prompt parts that an engine reports as cached.
// They count as used now: the time of their last use is unknown, but it was
// recent, or they would have been evicted.
func (o *pool) recordCachedParts(e *engine, parts []relay.PromptPart, now time.Time) {
	prompt := relay.Prompt{Parts: parts}
	e.cacheParts(&prompt, o.cacheCapacity())
	o.recordUse(&prompt, now)
}

// cacheCapacity is the number of prompt tokens that an engine is assumed to
// keep cached.
func (o *pool) cacheCapacity() int64 { return int64(float64(o.limits.MemoryTokens) * prefixCacheShare) }
