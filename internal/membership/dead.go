package membership

import (
	"time"

	"lynxhill.example/lynxhill/internal/board"
	"lynxhill.example/lynxhill/internal/event"
	"lynxhill.example/lynxhill/internal/gossip"
	"lynxhill.example/lynxhill/internal/store"
	"lynxhill.example/lynxhill/internal/wire/platformapi"
)

// Dead members are kept for KeepDead.
//
// What goes wrong otherwise: the larger side of a split, cut off from the store,
// goes on under the profiles that it has. The smaller side forgets those it
// holds for dead, takes itself for the whole fleet and accepts a change that is
// not in force on the larger side. So dead members are known as long as a lost
// link may last, and new instances are told of them. Those that announced their
// leaving are no such case.

const (
	// deadSumFrom and deadSumTail bound the ages between which dead rows go into
	// the checksum: at both ends instances differ by seconds, and the rows would
	// be sent for nothing.
	deadSumFrom = time.Minute
	deadSumTail = 10 * time.Minute
	// goneAfter is how long a member must be dead before a list entry that says
	// it is leaving counts: the list lags, and the entry may be of an earlier life.
	goneAfter = 2 * time.Minute
)

func (r *row) hasLeft() bool { return r.dead() && r.member.Left }

// fleet is how many instances a member that dies now may have known. The
// caller holds mu.
func (v *view) fleet() int {
	count := 0
	for _, r := range v.rows {
		if !r.hasLeft() && r.member.State != string(board.MemberLeaving) {
			count++
		}
	}
	return count
}

// bury marks a member dead. The caller holds mu.
func (v *view) bury(r *row, left bool, now time.Time) {
	r.member.Left = left
	r.member.Fleet = v.fleet()
	v.setState(r, board.MemberDead, now)
}

// outgoing is a row as it is sent at the time.
func outgoing(r *row, now time.Time) gossip.Member {
	m := r.member
	if r.dead() {
		m.DeadFor = now.Sub(r.changed)
	}
	return m
}

// addDead lists a dead member that this instance never met. The caller holds mu.
func (v *view) addDead(in gossip.Member, now time.Time) {
	if in.Light() || in.Left || in.DeadFor >= v.keepDead-deadSumTail {
		return
	}
	r := &row{member: in, changed: now.Add(-in.DeadFor)}
	v.rows[in.ID] = r
	v.publish(r)
}

// mergeDead takes what a peer knows more of the same death: the earliest time,
// so that the ages agree and nobody keeps the row alive for others.
func (v *view) mergeDead(old *row, in gossip.Member, now time.Time) {
	since := now.Add(-in.DeadFor)
	earlier := since.Before(old.changed)
	fewer := in.Fleet > 0 && (old.member.Fleet == 0 || in.Fleet < old.member.Fleet)
	if !earlier && !fewer && (!in.Left || old.member.Left) {
		return
	}
	if earlier {
		old.changed = since
	}
	if fewer {
		old.member.Fleet = in.Fleet
	}
	old.member.Left = old.member.Left || in.Left
	v.publish(old)
}

// deadSum is a checksum over the dead members that every instance should know.
// The caller holds mu.
func (v *view) deadSum(now time.Time) (sum uint32) {
	for id, r := range v.rows {
		age := now.Sub(r.changed)
		if r.dead() && !r.hasLeft() && age >= deadSumFrom && age < v.keepDead-deadSumTail {
			sum += mix(uint64(rowSum(r.member)), uint64(len(id)))
		}
	}
	return sum
}

// deadRows returns the dead rows from the given bucket on. The caller holds mu.
func (v *view) deadRows(first int) (rows []*row) {
	for i := range sumBuckets {
		for _, r := range v.bucket((first + i) % sumBuckets) {
			if r.dead() {
				rows = append(rows, r)
			}
		}
	}
	return rows
}

// forget drops dead members that the list lacks. While the list cannot be read
// none is dropped: after a long split they are the way back together.
func (m *Manager) forget(listed []store.Instance, now time.Time) {
	present := make(map[string]string)
	for _, in := range listed {
		present[in.ID] = in.State
	}
	v := m.view
	v.mu.Lock()
	defer v.mu.Unlock()
	for id, r := range v.rows {
		if !r.dead() {
			continue
		}
		age := now.Sub(r.changed)
		state, isListed := present[id]
		if state == platformapi.StateLeaving && !r.member.Left && age >= goneAfter {
			r.member.Left = true
			v.publish(r)
			m.o.Logger.Log(event.MembershipGone, "instance", id)
		}
		keep := m.o.KeepDead
		if r.member.Left {
			keep = m.o.ForgetAfter
		}
		if !isListed && age >= keep {
			delete(v.rows, id)
			v.board.Members.Delete(id)
		}
	}
}
