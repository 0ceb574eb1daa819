package loadview

import (
	"math/bits"
	"slices"
	"strings"
	"sync"
	"time"

	"lynxhill.example/lynxhill/internal/board"
	"lynxhill.example/lynxhill/internal/gossip"
	"lynxhill.example/lynxhill/internal/wire/targetapi"
)

const (
	// rowBytes is the estimated size of a row in a digest, without its strings.
	rowBytes = 27
	// modelBytes is the estimated size of a model in a row, without its strings.
	modelBytes = 10
	// For modelsResendTime after a change of an engine's models, all its rows
	// carry the models. Otherwise one of modelsInterval rows does, for instances
	// that missed the change.
	modelsResendTime = 10 * time.Second
	modelsInterval   = 16
	// resendFactor, multiplied by the binary logarithm of the number of instances,
	// is how many times each instance that has a report forwards it.
	resendFactor = 2
)

// Shares of the budget for rows of targets in the receiver's zone and in the rest
// of its region. The other targets have the remainder. What one class leaves
// unused goes to the next.
const (
	zoneShare   = 0.6
	regionShare = 0.3
)

// rowState is the state of the forwarding of one target's rows.
type rowState struct {
	seq           uint64
	sent          int // how often this report was forwarded
	totalSent     int // how often any report of the target was forwarded
	models        []targetapi.LoadedModel
	role          string
	modelsChanged time.Time
}

// rowSelector holds the state by which rows are selected for a digest.
type rowSelector struct {
	mu   sync.Mutex // guards rows and the values it points to
	rows map[string]*rowState
}

// candidate is a row that may go into a digest.
type candidate struct {
	target string
	load   *board.Load // not copied, since sorting moves candidates
	*rowState
}

// Fill implements gossip.Participant. Rows of targets in the receiver's zone go first,
// and within a class those that were forwarded least.
func (c *Controller) Fill(digest *gossip.Digest, to string, budget int) int {
	now := c.opts.Clock.Now()
	receiver, _ := c.opts.Board.Members.Get(to)
	loads := c.opts.Board.Loads.Entries()
	limit := resendFactor * bits.Len(uint(c.opts.Board.Members.Len()+1))

	c.selector.mu.Lock()
	defer c.selector.mu.Unlock()
	byClass := c.candidates(loads, receiver, now, limit)
	used := 0
	for class, share := range []float64{zoneShare, zoneShare + regionShare, 1} {
		until := int(share * float64(budget))
		used = c.fillFrom(digest, byClass[class], used, until, now)
	}
	return used
}

// candidates returns the rows worth forwarding, by class; within a class those
// forwarded least come first. c.selector.mu must be held.
func (c *Controller) candidates(loads []board.Entry[board.Load], receiver board.Member, now time.Time, limit int) [3][]candidate {
	var found [3][]candidate
	for i := range loads {
		id, load := loads[i].Key, &loads[i].Value
		t, known := c.opts.Board.Targets.Get(id)
		if !known || load.Report.Seq == 0 || load.Via == receiver.ID && receiver.ID != "" || now.Sub(load.At) > c.opts.MaxGossipAge {
			continue
		}
		p := c.selector.state(id, *load, now)
		if p.sent >= limit {
			continue
		}
		class := nearness(t, receiver)
		found[class] = append(found[class], candidate{target: id, load: load, rowState: p})
	}
	for _, rows := range found {
		slices.SortFunc(rows, compare)
	}
	return found
}

// compare orders rows: those forwarded least first, then the newest.
func compare(a, b candidate) int {
	if a.sent != b.sent {
		return a.sent - b.sent
	}
	if newest := b.load.At.Compare(a.load.At); newest != 0 {
		return newest
	}
	return strings.Compare(a.target, b.target)
}

// nearness returns the class of a target's rows: 0 if the target is in the
// receiver's zone, 1 if it is in another zone of the region, else 2.
func nearness(t board.Target, receiver board.Member) int {
	switch {
	case t.Zone == receiver.Zone:
		return 0
	case t.Region == receiver.Region:
		return 1
	default:
		return 2
	}
}

// state returns the target's state, updated to the given load.
func (s *rowSelector) state(id string, load board.Load, now time.Time) *rowState {
	p := s.rows[id]
	if p == nil {
		p = &rowState{}
		s.rows[id] = p
	}
	if p.seq != load.Report.Seq {
		p.seq, p.sent = load.Report.Seq, 0
	}
	if load.Report.Models != nil && !sameModels(p, load.Report) {
		p.models, p.role, p.modelsChanged = load.Report.Models, load.Report.Role, now
	}
	return p
}

func sameModels(p *rowState, r targetapi.LoadReport) bool {
	return p.role == r.Role && slices.EqualFunc(p.models, r.Models, equalModel)
}

func equalModel(a, b targetapi.LoadedModel) bool {
	return a.Model == b.Model && a.Version == b.Version && a.Ready == b.Ready && slices.Equal(a.Adapters, b.Adapters)
}

// fillFrom adds rows to the digest until the next one would exceed until, and
// returns the bytes used.
func (c *Controller) fillFrom(digest *gossip.Digest, rows []candidate, used, until int, now time.Time) int {
	for _, row := range rows {
		digestRow, size := row.digest(now)
		if used+size > until {
			break
		}
		used += size
		row.sent++
		row.totalSent++
		digest.Loads = append(digest.Loads, digestRow)
		c.opts.Metrics.Counter(metricRowsSent).Add(1)
	}
	return used
}

// digest returns the row as it is sent, and its estimated size in bytes.
func (r candidate) digest(now time.Time) (gossip.Load, int) {
	report := r.load.Report
	row := gossip.Load{
		Target: r.target, Seq: report.Seq, Age: now.Sub(r.load.At),
		Running: report.Running, Queued: report.Queued, Slots: report.Slots,
		MeanMS: report.MeanMS, KVUsed: report.KVUsed, Leaving: report.Leaving,
	}
	size := rowBytes + len(r.target)
	if now.Sub(r.modelsChanged) < modelsResendTime || r.totalSent%modelsInterval == 0 {
		size += r.addModels(&row)
	}
	return row, size
}

func (r candidate) addModels(row *gossip.Load) int {
	row.ModelsKnown, row.Role = true, r.role
	size := len(r.role)
	for _, m := range r.models {
		row.Models = append(row.Models, gossip.LoadedModel(m))
		size += modelBytes + len(m.Model) + len(m.Version)
		for _, adapter := range m.Adapters {
			size += 2 + len(adapter)
		}
	}
	return size
}

// retain drops the state of targets that are not in targets.
func (s *rowSelector) retain(targets map[string]board.Target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.rows {
		if _, there := targets[id]; !there {
			delete(s.rows, id)
		}
	}
}

// Absorb implements gossip.Participant. It adds the time that the digest can have been in
// transit to the age of each row, so that a report never looks newer than it is.
func (c *Controller) Absorb(digest gossip.Digest) {
	now := c.opts.Clock.Now()
	transit := digest.Transit
	if transit == 0 {
		transit = c.opts.Transit
	}
	for _, row := range digest.Loads {
		if _, known := c.opts.Board.Targets.Get(row.Target); !known || row.Seq == 0 {
			continue
		}
		result := "old"
		if c.mergeRow(row, now, now.Add(-row.Age-transit), digest.From) {
			result = "news"
		}
		c.opts.Metrics.Labelled(metricRowsUsed).Add(result, 1)
	}
}

// mergeRow merges a row received from a peer and reports whether it was newer. If
// the row has no models, the known ones are kept.
func (c *Controller) mergeRow(row gossip.Load, now, at time.Time, from string) bool {
	load := board.Load{Received: now, At: at, Via: from, Report: targetapi.LoadReport{
		Target: row.Target, Seq: row.Seq, AtMS: at.UnixMilli(), Running: row.Running, Queued: row.Queued,
		Slots: row.Slots, MeanMS: row.MeanMS, KVUsed: row.KVUsed, Leaving: row.Leaving, Role: row.Role,
	}}
	if row.ModelsKnown {
		load.Report.Models = make([]targetapi.LoadedModel, len(row.Models))
		for i, m := range row.Models {
			load.Report.Models[i] = targetapi.LoadedModel(m)
		}
	}
	return c.opts.Board.Loads.Update(row.Target, func(old board.Load, found bool) (board.Load, bool) {
		if found && !newer(load, old) {
			return old, false
		}
		if !row.ModelsKnown {
			load.Report.Models, load.Report.Role = old.Report.Models, old.Report.Role
		}
		return load, true
	})
}
