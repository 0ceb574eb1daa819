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

// passOnFor is how long a leaving mark is passed on. Whoever missed it by then
// sees it in the list.
const passOnFor = 2 * time.Minute

// markBytes is an estimate of a mark's size in a digest, without the id.
const markBytes = 8

// marks remembers where the next digest goes on, so that a small budget
// reaches all marks in turn.
type marks struct {
	mu   sync.Mutex // guards next
	next int
}

// hotFor is how long a mark goes into every digest; then they go in turn.
const hotFor = 10 * time.Second

// Fill implements gossip.Part. A row of Loads with Seq 0 carries a leaving mark
// alone; Age is the time since the sign.
func (c *Controller) Fill(digest *gossip.Digest, _ string, budget int) int {
	now := c.opts.Clock.Now()
	hot, others := c.freshMarks(now)
	used := 0
	add := func(t board.Target) bool {
		size := markBytes + len(t.ID)
		if used+size > budget {
			return false
		}
		used += size
		digest.Loads = append(digest.Loads, gossip.Load{Target: t.ID, Age: now.Sub(t.Sign()), Leaving: true})
		return true
	}
	for _, t := range hot {
		if !add(t) {
			return used
		}
	}
	for range others {
		if !add(others[c.marks.take(len(others))]) {
			break
		}
	}
	return used
}

// take returns the next index below n.
func (m *marks) take(n int) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.next = (m.next + 1) % n
	return m.next
}

// freshMarks returns the marks that are passed on: those of the last seconds,
// newest first, and the others.
func (c *Controller) freshMarks(now time.Time) (hot, others []board.Target) {
	for _, t := range c.opts.Board.Targets.Snapshot() {
		switch age := now.Sub(t.Sign()); {
		case !t.Leaving || age >= passOnFor:
		case age < hotFor:
			hot = append(hot, t)
		default:
			others = append(others, t)
		}
	}
	sort.Slice(hot, func(i, j int) bool { return hot[i].Sign().After(hot[j].Sign()) })
	sort.Slice(others, func(i, j int) bool { return others[i].ID < others[j].ID })
	return hot, others
}

// hurryMarks makes membership pass new marks on at once, whoever set them.
// Every instance does so once a mark, so that a mark reaches all in a few round
// trips instead of a few heartbeats.
func (c *Controller) hurryMarks(ctx context.Context) {
	known := make(map[string]bool)
	loop.Run(ctx, loop.Options{
		Clock: c.opts.Clock, Rand: c.rand, Period: passOnFor, Changed: c.opts.Board.Targets.Changed, Settle: hurrySettle,
	}, func(context.Context) {
		news := false
		for id, t := range c.opts.Board.Targets.Snapshot() {
			news = news || t.Leaving && !known[id]
			known[id] = t.Leaving
		}
		if news && c.opts.Hurry != nil {
			c.opts.Hurry()
		}
	})
}

// hurrySettle is the least time between two looks at the marks, so that many at
// once go out together.
const hurrySettle = 50 * time.Millisecond

// Absorb implements gossip.Part.
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
