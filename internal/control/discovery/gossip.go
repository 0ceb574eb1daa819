package discovery

import (
	"sort"
	"sync"
	"time"

	"lynxhill.example/lynxhill/internal/board"
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

// Fill implements gossip.Part. A row of Loads with Seq 0 carries a leaving mark
// alone; Age is the time since the mark.
func (c *Controller) Fill(digest *gossip.Digest, _ string, budget int) int {
	now := c.opts.Clock.Now()
	leaving := c.freshMarks(now)
	used := 0
	for range leaving {
		t := leaving[c.marks.take(len(leaving))]
		size := markBytes + len(t.ID)
		if used+size > budget {
			break
		}
		used += size
		digest.Loads = append(digest.Loads, gossip.Load{Target: t.ID, Age: now.Sub(t.LeavingSince), Leaving: true})
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

func (c *Controller) freshMarks(now time.Time) []board.Target {
	var fresh []board.Target
	for _, t := range c.opts.Board.Targets.Snapshot() {
		if t.Leaving && now.Sub(t.LeavingSince) < passOnFor {
			fresh = append(fresh, t)
		}
	}
	sort.Slice(fresh, func(i, j int) bool { return fresh[i].ID < fresh[j].ID })
	return fresh
}

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
