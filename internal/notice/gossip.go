package notice

import (
	"math"
	"slices"
	"time"

	"lynxhill.example/lynxhill/internal/board"
	"lynxhill.example/lynxhill/internal/gossip"
)

var _ gossip.Part = (*Keeper)(nil)

const (
	// onTheWay is added to the age of what another instance tells, beside what is
	// known of the time that it took: it must not look younger than it is, or it
	// would live for ever on its own echo.
	onTheWay = 100 * time.Millisecond
	// rowBytes is the size of a row in a digest beside the names in it.
	rowBytes = 32
)

// Fill implements gossip.Part. Rows are sent in turn, beginning after the last
// one sent, so that many get round within a few exchanges.
func (k *Keeper) Fill(digest *gossip.Digest, _ string, budget int) int {
	if !k.any.Load() {
		return 0
	}
	now, used := k.o.Clock.Now(), 0
	rows := k.o.Board.Notices.Snapshot()
	for _, target := range k.inTurn(rows) {
		n, worth := told(target, rows[target], now)
		if !worth {
			continue
		}
		size := len(target) + len(n.Limit.By) + rowBytes
		if used+size > budget {
			break
		}
		used += size
		digest.Notices = append(digest.Notices, n)
		k.cursor.Store(&target)
	}
	return used
}

// told returns what is told of a target, and whether it is worth it.
func told(target string, row board.Notice, now time.Time) (gossip.Notice, bool) {
	n := gossip.Notice{Target: target}
	if age := now.Sub(row.LeavingAt); row.Leaving && age < unlistedLife {
		n.Leaving, n.LeavingAge = true, age
	}
	if age := now.Sub(row.Limit.At); row.Limit.By != "" && age < limitLife {
		n.Limit = gossip.NoticeLimit{By: row.Limit.By, Seq: row.Limit.Seq, Age: age, Named: row.Limit.Named, Rate: row.Limit.Rate}
	}
	return n, n.Leaving || n.Limit.By != ""
}

// inTurn returns the targets in order, beginning after the cursor.
func (k *Keeper) inTurn(rows map[string]board.Notice) []string {
	targets := make([]string, 0, len(rows))
	for target := range rows {
		targets = append(targets, target)
	}
	slices.Sort(targets)
	last := k.cursor.Load()
	if last == nil {
		return targets
	}
	start, found := slices.BinarySearch(targets, *last)
	if found {
		start++
	}
	return slices.Concat(targets[start:], targets[:start])
}

// Absorb implements gossip.Part.
func (k *Keeper) Absorb(digest gossip.Digest) {
	now := k.o.Clock.Now()
	sent := now.Add(-max(digest.Transit, onTheWay))
	for _, n := range digest.Notices {
		if n.Target == "" {
			continue
		}
		k.update(n.Target, func(row *board.Notice) {
			if n.Leaving && n.LeavingAge < unlistedLife {
				leaves(row, sent.Add(-n.LeavingAge))
			}
			absorbLimit(&row.Limit, n.Limit, sent)
		})
	}
}

// absorbLimit takes in what another instance tells of a limit if it is newer
// than what is known. Of one instance's word the count tells which is newer, of
// two instances' words the time at which they were heard. sent is when the
// digest was sent, as well as can be told.
func absorbLimit(row *board.TargetLimit, in gossip.NoticeLimit, sent time.Time) {
	if in.By == "" || in.Age >= limitLife || !(in.Rate >= 0) || math.IsInf(in.Rate, 0) {
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
