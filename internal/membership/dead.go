package membership

import (
	"slices"
	"time"

	"lynxhill.example/lynxhill/internal/board"
	"lynxhill.example/lynxhill/internal/event"
	"lynxhill.example/lynxhill/internal/gossip"
	"lynxhill.example/lynxhill/internal/store"
	"lynxhill.example/lynxhill/internal/wire/platformapi"
)

// Dead members are kept for KeepDead.
//
// Otherwise the following could happen when a split leaves the larger side without
// the store, so that it continues with its current profiles. The smaller side removes
// the members that it considers dead, regards itself as the whole fleet and accepts a
// change that is not in force on the larger side. Dead members are therefore kept for
// as long as a network split may last, and new instances learn of them. Members that
// announced their leaving are excluded.

const (
	// deadSumFrom and deadSumTail limit the ages at which dead rows are part of the
	// checksum: at both ends the ages differ between instances by seconds, and the
	// rows would be sent needlessly.
	deadSumFrom = time.Minute
	deadSumTail = 10 * time.Minute
	// goneAfter is how long a member must be dead before a list entry in state
	// leaving counts: the list lags behind, and the entry may be of an earlier run.
	goneAfter = 2 * time.Minute
)

func (r *row) hasLeft() bool { return r.dead() && r.member.Left }

// fleetSize returns how many instances a member that dies now may have known. The
// caller holds mu.
func (v *view) fleetSize() int {
	count := 0
	for _, r := range v.rows {
		if !r.hasLeft() && r.member.State != string(board.MemberLeaving) {
			count++
		}
	}
	return count
}

// markDead marks a member as dead. The caller holds mu.
func (v *view) markDead(r *row, left bool, now time.Time) {
	r.member.Left = left
	r.member.KnownInstances = v.fleetSize()
	v.setState(r, board.MemberDead, now)
}

// outgoing returns a row as it is sent now.
func outgoing(r *row, now time.Time) gossip.Member {
	m := r.member
	if r.dead() {
		m.DeadFor = now.Sub(r.changed)
	}
	return m
}

// addDead adds a dead member that this instance never knew. The caller holds mu.
func (v *view) addDead(in gossip.Member, now time.Time) {
	if in.Light() || in.Left || in.DeadFor >= v.keepDead-deadSumTail {
		return
	}
	r := newRow(in, now.Add(-in.DeadFor))
	v.rows[in.ID] = r
	v.publish(r)
}

// mergeDead merges a peer's report of the same death. The earliest time wins, so that
// the ages agree and no instance keeps the row from expiring on the others.
func (v *view) mergeDead(old *row, in gossip.Member, now time.Time) {
	since := now.Add(-in.DeadFor)
	earlier := since.Before(old.changed)
	fewer := in.KnownInstances > 0 && (old.member.KnownInstances == 0 || in.KnownInstances < old.member.KnownInstances)
	if !earlier && !fewer && (!in.Left || old.member.Left) {
		return
	}
	if earlier {
		old.changed = since
	}
	if fewer {
		old.member.KnownInstances = in.KnownInstances
	}
	old.member.Left = old.member.Left || in.Left
	v.publish(old)
}

// deadSum returns a checksum of the dead members that every instance should know.
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

// deadRows returns the dead rows, starting at the given bucket. The caller holds mu.
func (v *view) deadRows(first int) []*row {
	return slices.DeleteFunc(v.rowsIn(allBuckets(), first), func(r *row) bool { return !r.dead() })
}

// removeExpiredDead removes expired dead members that are not listed. While the list
// cannot be read, none is removed: after a long split, contacting them is the only way
// to reconnect.
func (m *Manager) removeExpiredDead(listed []store.Instance, now time.Time) {
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
			v.changes++
			v.board.Members.Delete(id)
		}
	}
}
