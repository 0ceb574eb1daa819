package loadview

import (
	"context"
	"maps"

	"lynxhill.example/lynxhill/internal/board"
	"lynxhill.example/lynxhill/internal/control/loop"
	"lynxhill.example/lynxhill/internal/event"
	"lynxhill.example/lynxhill/internal/stagecall"
	"lynxhill.example/lynxhill/internal/wire/targetapi"
)

// pollCache requests an engine's new cache events and applies them to the board.
func (c *Controller) pollCache(ctx context.Context, t board.Target) {
	old, _ := c.opts.Board.Prefixes.Get(t.ID)
	callCtx, cancel := loop.WithTimeout(ctx, c.opts.Clock, c.opts.CallTimeout)
	defer cancel()
	events, err := c.opts.Caller.CacheEvents(callCtx, stagecall.Target{ID: t.ID, Address: t.Address}, old.Seq)
	if err != nil || len(events) == 0 {
		return
	}
	next, gap := applyEvents(old, events, c.opts.MaxPrefixes)
	if gap {
		c.opts.Metrics.Counter(metricGaps).Add(1)
		c.opts.Logger.Log(event.CacheEventGap, "target", t.ID, "after", old.Seq)
	}
	c.opts.Board.Prefixes.Put(t.ID, next)
}

// applyEvents returns the set of cached prefixes after the events, and whether
// events were lost. After a gap the known prefixes stay as hints, but a prefix
// that is not in the set may be cached. An engine that was restarted numbers its
// events from 1 again, and its cache is empty.
func applyEvents(old board.PrefixSet, events []targetapi.CacheEvent, limit int) (board.PrefixSet, bool) {
	next := board.PrefixSet{Seq: old.Seq, Hashes: maps.Clone(old.Hashes), Gap: old.Gap}
	if next.Hashes == nil {
		next.Hashes = make(map[string]struct{})
	}
	gap := false
	for _, e := range events {
		switch {
		case e.Seq <= next.Seq && e.Seq == 1:
			next = board.PrefixSet{Hashes: make(map[string]struct{})}
		case e.Seq <= next.Seq:
			continue
		case e.Seq != next.Seq+1:
			gap, next.Gap = true, true
		}
		next.Seq = e.Seq
		apply(&next, e, limit)
	}
	return next, gap
}

func apply(set *board.PrefixSet, e targetapi.CacheEvent, limit int) {
	if e.Evicted {
		delete(set.Hashes, e.Prefix)
		return
	}
	set.Hashes[e.Prefix] = struct{}{}
	for hash := range set.Hashes {
		if len(set.Hashes) <= limit {
			return
		}
		delete(set.Hashes, hash)
		set.Gap = true
	}
}
