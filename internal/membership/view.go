package membership

import (
	"math/bits"
	"sort"
	"sync"
	"time"

	"lynxhill.example/lynxhill/internal/board"
	"lynxhill.example/lynxhill/internal/gossip"
)

// rank orders the states within one incarnation: the higher rank wins.
var rank = map[string]int{
	string(board.MemberAlive):   0,
	string(board.MemberSuspect): 1,
	string(board.MemberLeaving): 2,
	string(board.MemberDead):    3,
}

// urgency orders the rows that are queued for sending.
type urgency int

const (
	urgencyLoad   urgency = iota // free room: of little value to others
	urgencyConfig                // version of the configuration in force: shown in status reports
	urgencyState                 // joined, suspected, left, refuted a suspicion
)

// row is a member with what is still to be sent about it.
type row struct {
	member    gossip.Member
	bucket    int       // of the checksums
	changed   time.Time // when state or incarnation last changed
	sendsLeft int       // number of digests that still have to carry the row
	urgency   urgency
	full      bool // digests carry the addresses too
	verifying bool // a suspect that is contacted once more before it is declared dead
}

func newRow(m gossip.Member, changed time.Time) *row {
	return &row{member: m, bucket: bucketOf(m.ID), changed: changed}
}

func (r *row) dead() bool { return r.member.State == string(board.MemberDead) }

// view is the membership list and the queue of rows to send.
type view struct {
	self    string
	healing Healing
	board   *board.Board
	// keepDead is how long dead members are kept.
	keepDead time.Duration

	mu       sync.Mutex // guards the following fields
	rows     map[string]*row
	changes  uint64  // number of changes of rows
	known    rowSums // at some earlier number of changes
	refuted  int64
	revived  int64
	loadSent time.Time
	assumed  assumedMembers
	// listedIDs are the ids on the platform's list when it was last read.
	listedIDs []string
	// bulkMerge is set while the rows of a bulk repair are merged.
	bulkMerge bool
}

func newView(self gossip.Member, o Options) *view {
	now := o.Clock.Now()
	v := &view{self: self.ID, healing: o.Healing, board: o.Board, keepDead: o.KeepDead, rows: make(map[string]*row), assumed: make(assumedMembers)}
	v.rows[self.ID] = newRow(self, now)
	v.mu.Lock()
	defer v.mu.Unlock()
	v.enqueue(v.rows[self.ID], urgencyState, true, now)
	return v
}

// sendCount returns how often a row of the urgency is sent: about twice the number
// of gossip rounds that reach n instances. It is less for what every instance
// reports of itself all the time, since n such rows make up most of the bytes.
func sendCount(n int, u urgency) int {
	rounds := bits.Len(uint(n))
	switch u {
	case urgencyState:
		return 2 * rounds
	default:
		return (rounds + 1) / 2
	}
}

// enqueue queues the row for sending and writes it to the board. The caller holds mu.
func (v *view) enqueue(r *row, u urgency, full bool, now time.Time) {
	if r.sendsLeft == 0 || u >= r.urgency {
		r.urgency = u
	}
	v.publish(r)
	if v.bulkMerge && r.member.ID != v.self {
		return
	}
	r.sendsLeft = max(r.sendsLeft, sendCount(len(v.rows), u))
	r.full = r.full || full
}

func (v *view) publish(r *row) {
	m := r.member
	v.changes++
	v.markMet(m.ID)
	v.board.Members.Put(m.ID, board.Member{
		ID:             m.ID,
		Incarnation:    m.Incarnation,
		State:          board.MemberState(m.State),
		CallerAddr:     m.CallerAddr,
		AdminAddr:      m.AdminAddr,
		PeerAddr:       m.PeerAddr,
		Zone:           m.Zone,
		Region:         m.Region,
		FreeShare:      m.FreeShare,
		InFlight:       m.InFlight,
		ConfigVersion:  m.ConfigVersion,
		Changed:        r.changed,
		Left:           r.hasLeft(),
		KnownInstances: m.KnownInstances,
		Capacity:       m.Capacity,
		Features:       board.Features(m.Features),
		StoreLost:      m.StoreLost,
		TargetsLost:    m.TargetsLost,
	})
}

// setState changes a member's state as seen here. The caller holds mu.
func (v *view) setState(r *row, state board.MemberState, now time.Time) {
	r.member.State = string(state)
	r.changed = now
	v.enqueue(r, urgencyState, false, now)
}

// bulkRowCount is the number of rows in a digest from which they are a bulk repair
// and are not queued for sending: the instance that sent them sends changes to
// others itself.
const bulkRowCount = 40

// merge merges rows received from a peer.
func (v *view) merge(in []gossip.Member, now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.bulkMerge = len(in) >= bulkRowCount
	defer func() { v.bulkMerge = false }()
	for _, m := range in {
		if _, known := rank[m.State]; !known || m.ID == "" {
			continue // the state of a later version: ignore the row
		}
		v.mergeRow(m, now)
	}
}

func (v *view) mergeRow(in gossip.Member, now time.Time) {
	if in.ID == v.self {
		v.refute(in, now)
		return
	}
	old, known := v.rows[in.ID]
	if !known {
		v.add(in, now)
		return
	}
	if in.State == string(board.MemberDead) && v.healing == HealBySuspicion {
		in = deathToSuspicion(old.member, in)
	}
	if supersedes(in, old.member) {
		v.replace(old, in, now)
		return
	}
	v.refresh(old, in, now)
}

// deathToSuspicion turns a report that a member is dead into a suspicion. When two
// parts of a split fleet reconnect, each regards the other as dead. Merging the
// reports as they are would remove live members until each has refuted its death.
// A suspicion has no cost if they are alive, and only delays the detection of those
// that are dead.
func deathToSuspicion(known, in gossip.Member) gossip.Member {
	if known.State == string(board.MemberDead) || known.State == string(board.MemberLeaving) {
		return in
	}
	in.State = string(board.MemberSuspect)
	in.DeadFor, in.Left, in.KnownInstances = 0, false, 0 // the suspicion starts now
	return in
}

func supersedes(in, old gossip.Member) bool {
	if in.Incarnation != old.Incarnation {
		return in.Incarnation > old.Incarnation
	}
	return rank[in.State] > rank[old.State]
}

func (v *view) add(in gossip.Member, now time.Time) {
	if in.State == string(board.MemberDead) {
		v.dropAssumed(in.ID)
		v.addDead(in, now)
		return
	}
	if in.Light() {
		if in.State != string(board.MemberAlive) {
			v.dropAssumed(in.ID)
		}
		return // the full row arrives with the repair of its bucket
	}
	r := newRow(in, now)
	v.rows[in.ID] = r
	v.enqueue(r, urgencyState, true, now)
}

// replace adopts a row that supersedes the known one.
func (v *view) replace(old *row, in gossip.Member, now time.Time) {
	if old.dead() && in.State == string(board.MemberAlive) && in.Incarnation == old.member.Incarnation+1 {
		v.revived++
	}
	restarted := !in.Light() && in.PeerAddr != old.member.PeerAddr
	if in.Light() {
		keepAddresses(&in, old.member)
	}
	if in.Incarnation == old.member.Incarnation {
		in.Features |= old.member.Features
		if in.Seq < old.member.Seq {
			keepLoad(&in, old.member)
		}
	}
	if in.State == string(board.MemberDead) {
		in.Left = in.Left || old.member.State == string(board.MemberLeaving)
	}
	old.member = in
	old.changed = now.Add(-in.DeadFor)
	old.member.DeadFor = 0
	v.enqueue(old, urgencyState, restarted, now)
}

func keepAddresses(in *gossip.Member, old gossip.Member) {
	in.CallerAddr, in.AdminAddr, in.PeerAddr = old.CallerAddr, old.AdminAddr, old.PeerAddr
	in.Zone, in.Region, in.Capacity = old.Zone, old.Region, old.Capacity
}

func keepLoad(in *gossip.Member, old gossip.Member) {
	in.FreeShare, in.InFlight, in.ConfigVersion, in.Seq = old.FreeShare, old.InFlight, old.ConfigVersion, old.Seq
	in.StoreLost, in.TargetsLost = old.StoreLost, old.TargetsLost
}

// refresh adopts newer load and configuration of the same incarnation.
func (v *view) refresh(old *row, in gossip.Member, now time.Time) {
	if in.Incarnation == old.member.Incarnation && old.dead() && in.State == string(board.MemberDead) {
		v.mergeDead(old, in, now)
	}
	if in.Incarnation != old.member.Incarnation {
		return
	}
	v.addFeatures(old, in.Features)
	if in.Seq <= old.member.Seq {
		return
	}
	u := urgencyLoad
	if in.ConfigVersion != old.member.ConfigVersion {
		u = urgencyConfig
	}
	if in.StoreLost != old.member.StoreLost || in.TargetsLost != old.member.TargetsLost {
		u = urgencyState
	}
	m := &old.member
	m.FreeShare, m.InFlight, m.ConfigVersion, m.Seq = in.FreeShare, in.InFlight, in.ConfigVersion, in.Seq
	m.StoreLost, m.TargetsLost = in.StoreLost, in.TargetsLost
	v.enqueue(old, u, false, now)
}

// addFeatures adds features that were missing in an earlier row of the same incarnation,
// which an instance without features had passed on.
func (v *view) addFeatures(r *row, f uint32) {
	if r.member.Features|f == r.member.Features {
		return
	}
	r.member.Features |= f
	v.publish(r)
}

// refute raises this instance's incarnation when a peer regards it as suspect or
// dead, or knows a higher incarnation than the current one (after a restart at
// which the clock was set back).
func (v *view) refute(in gossip.Member, now time.Time) {
	r := v.rows[v.self]
	challenged := in.State != r.member.State && in.Incarnation == r.member.Incarnation && rank[in.State] > rank[r.member.State]
	if !challenged && in.Incarnation <= r.member.Incarnation {
		return
	}
	r.member.Incarnation = in.Incarnation + 1
	r.changed = now
	v.refuted++
	v.enqueue(r, urgencyState, false, now)
}

// ids returns the ids of the members in one of the states, without self, sorted.
func (v *view) ids(states ...board.MemberState) []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	var ids []string
	for id, r := range v.rows {
		for _, s := range states {
			if id != v.self && r.member.State == string(s) {
				ids = append(ids, id)
			}
		}
	}
	sort.Strings(ids)
	return ids
}

// get returns a member's row.
func (v *view) get(id string) (gossip.Member, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	r, ok := v.rows[id]
	if !ok {
		return gossip.Member{}, false
	}
	return r.member, true
}
