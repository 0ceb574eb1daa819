package notice

import (
	"math"
	"slices"
	"time"

	"lynxhill.example/lynxhill/internal/board"
	"lynxhill.example/lynxhill/internal/gossip"
)

var _ gossip.Participant = (*Tracker)(nil)

const (
	// minTransit is the least transit time that is added to the age of a notice
	// from another instance. A notice must not appear newer than it is, or instances
	// would renew it for one another without end.
	minTransit = 100 * time.Millisecond
	// rowBytes is the size of a row in a digest beyond the names in it.
	rowBytes = 32
)

// Fill implements gossip.Participant. Rows are sent in rotation, starting after the last
// one sent, so that all of them are sent within a few exchanges.
func (k *Tracker) Fill(digest *gossip.Digest, _ string, budget int) int {
	if !k.nonEmpty.Load() {
		return 0
	}
	now, used := k.o.Clock.Now(), 0
	rows := k.o.Board.Notices.Snapshot()
	for _, target := range k.rotation(rows) {
		n, send := outgoingNotice(target, rows[target], now)
		if !send {
			continue
		}
		size := len(target) + len(n.Limit.By) + rowBytes
		if used+size > budget {
			break
		}
		used += size
		digest.Notices = append(digest.Notices, n)
		k.lastSent.Store(&target)
	}
	return used
}

// outgoingNotice returns the row of a target for a digest, and whether it holds
// anything to send.
func outgoingNotice(target string, row board.Notice, now time.Time) (gossip.Notice, bool) {
	n := gossip.Notice{Target: target}
	if age := now.Sub(row.LeavingAt); row.Leaving && age < unlistedTTL {
		n.Leaving, n.LeavingAge = true, age
	}
	if age := now.Sub(row.Limit.At); row.Limit.By != "" && age < limitTTL {
		n.Limit = gossip.NoticeLimit{By: row.Limit.By, Seq: row.Limit.Seq, Age: age, Named: row.Limit.Named, Rate: row.Limit.Rate}
	}
	return n, n.Leaving || n.Limit.By != ""
}

// rotation returns the targets sorted by name, starting after the last one sent.
func (k *Tracker) rotation(rows map[string]board.Notice) []string {
	targets := make([]string, 0, len(rows))
	for target := range rows {
		targets = append(targets, target)
	}
	slices.Sort(targets)
	last := k.lastSent.Load()
	if last == nil {
		return targets
	}
	start, found := slices.BinarySearch(targets, *last)
	if found {
		start++
	}
	return slices.Concat(targets[start:], targets[:start])
}

// Absorb implements gossip.Participant.
func (k *Tracker) Absorb(digest gossip.Digest) {
	now := k.o.Clock.Now()
	sent := now.Add(-max(digest.Transit, minTransit))
	for _, n := range digest.Notices {
		if n.Target == "" {
			continue
		}
		k.updateRow(n.Target, func(row *board.Notice) {
			if n.Leaving && n.LeavingAge < unlistedTTL {
				markLeaving(row, sent.Add(-n.LeavingAge))
			}
			mergeLimit(&row.Limit, n.Limit, sent)
		})
	}
}

// mergeLimit applies a limit received from another instance if it is newer than
// the known one. Two reports by the same instance are ordered by their sequence
// number, reports by different instances by the time at which they received the
// limit. sent is the estimated time at which the digest was sent.
func mergeLimit(row *board.TargetLimit, in gossip.NoticeLimit, sent time.Time) {
	if in.By == "" || in.Age >= limitTTL || !(in.Rate >= 0) || math.IsInf(in.Rate, 0) {
		return
	}
	at := sent.Add(-in.Age)
	newer := at.After(row.At)
	if in.By == row.By {
		newer = in.Seq > row.Seq
	}
	if newer {
		*row = board.TargetLimit{Named: in.Named, Rate: in.Rate, At: at, By: in.By, Seq: in.Seq}
	}
}
