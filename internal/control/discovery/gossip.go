package discovery

import (
	"context"
	"sort"
	"sync"
	"time"

	"lynxhill.example/lynxhill/internal/board"
	"lynxhill.example/lynxhill/internal/control/loop"
	"lynxhill.example/lynxhill/internal/gossip"
)

// markGossipTime is how long a leaving mark is disseminated. Instances that have
// not received it by then see the state in the list.
const markGossipTime = 2 * time.Minute

// markBytes is the estimated size of a mark in a digest without the id, in bytes.
const markBytes = 8

// markCursor is the position from which the next digest continues, so that a
// small budget covers all marks in turn.
type markCursor struct {
	mu   sync.Mutex // guards next
	next int
}

// newMarkTime is how long a mark is included in every digest. Older marks are
// included in turn.
const newMarkTime = 10 * time.Second

// Fill implements gossip.Participant. A row of Loads with Seq 0 carries only a leaving
// mark; its Age is the time since the sign.
func (c *Controller) Fill(digest *gossip.Digest, _ string, budget int) int {
	now := c.opts.Clock.Now()
	hot, others := c.marksToSend(now)
	used := 0
	add := func(t board.Target) bool {
		size := markBytes + len(t.ID)
		if used+size > budget {
			return false
		}
		used += size
		digest.Loads = append(digest.Loads, gossip.Load{Target: t.ID, Age: now.Sub(t.LeavingSignTime()), Leaving: true})
		return true
	}
	for _, t := range hot {
		if !add(t) {
			return used
		}
	}
	for range others {
		if !add(others[c.cursor.take(len(others))]) {
			break
		}
	}
	return used
}

// take returns the next index below n.
func (m *markCursor) take(n int) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.next = (m.next + 1) % n
	return m.next
}

// marksToSend returns the marks to disseminate: those younger than newMarkTime,
// newest first, and the others by id.
func (c *Controller) marksToSend(now time.Time) (hot, others []board.Target) {
	for _, t := range c.opts.Board.Targets.Snapshot() {
		switch age := now.Sub(t.LeavingSignTime()); {
		case !t.Leaving || age >= markGossipTime:
		case age < newMarkTime:
			hot = append(hot, t)
		default:
			others = append(others, t)
		}
	}
	sort.Slice(hot, func(i, j int) bool { return hot[i].LeavingSignTime().After(hot[j].LeavingSignTime()) })
	sort.Slice(others, func(i, j int) bool { return others[i].ID < others[j].ID })
	return hot, others
}

// spreadNewMarks makes membership exchange digests at once when a new mark is set
// on the board, by whichever source. Every instance does so once for a mark, so
// that it reaches all within a few round trips instead of a few heartbeats.
func (c *Controller) spreadNewMarks(ctx context.Context) {
	known := make(map[string]bool)
	loop.Run(ctx, loop.Options{
		Clock: c.opts.Clock, Rand: c.rand, Period: markGossipTime, Changed: c.opts.Board.Targets.Changed, MinInterval: spreadInterval,
	}, func(context.Context) {
		newMark := false
		for id, t := range c.opts.Board.Targets.Snapshot() {
			newMark = newMark || t.Leaving && !known[id]
			known[id] = t.Leaving
		}
		if newMark && c.opts.RequestExchanges != nil {
			c.opts.RequestExchanges()
		}
	})
}

// spreadInterval is the shortest time between two checks for new marks, so that
// marks set at about the same time are sent together.
const spreadInterval = 50 * time.Millisecond

// Absorb implements gossip.Participant.
func (c *Controller) Absorb(digest gossip.Digest) {
	now := c.opts.Clock.Now()
	for _, row := range digest.Loads {
		if _, known := c.opts.Board.Targets.Get(row.Target); !known {
			c.unknown.Notify()
			continue
		}
		if row.Leaving {
			c.mark(row.Target, now.Add(-row.Age-digest.Transit), "peer")
		}
	}
}
