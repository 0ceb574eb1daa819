package membership

import (
	"context"
	"math"
	"sync"
	"time"

	"lynxhill.example/lynxhill/internal/board"
	"lynxhill.example/lynxhill/internal/control/loop"
	"lynxhill.example/lynxhill/internal/event"
	"lynxhill.example/lynxhill/internal/gossip"
)

// New returns a Manager whose list holds this instance only.
func New(o Options) *Manager {
	o = o.withDefaults()
	incarnation := uint64(o.Started.UnixMilli())
	self := gossip.Member{
		ID:          o.Self.ID,
		Incarnation: max(incarnation, o.Self.Incarnation),
		State:       string(board.MemberAlive),
		CallerAddr:  o.Self.CallerAddr,
		AdminAddr:   o.Self.AdminAddr,
		PeerAddr:    o.Self.PeerAddr,
		Zone:        o.Self.Zone,
		Region:      o.Self.Region,
		FreeShare:   1,
		Capacity:    o.Self.Capacity,
		Features:    uint32(o.Self.Features),
	}
	m := &Manager{
		o:              o,
		rand:           loop.NewRand(o.Rand),
		view:           newView(self, o),
		contactBackoff: deadContactBackoff{min: o.ContactMin, max: o.ContactMax},
	}
	for _, p := range o.Parts {
		m.parts.add(p)
	}
	o.Metrics.Func(metricMembers, func() any { return m.countByState() })
	o.Metrics.Func(metricRefutations, func() any { refuted, _ := m.view.counts(); return refuted })
	o.Metrics.Func(metricRevivals, func() any { _, revived := m.view.counts(); return revived })
	return m
}

// Run exchanges digests until ctx is cancelled.
func (m *Manager) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, run := range []func(context.Context){m.runHeartbeats, m.runEager, m.runList, m.runRegister} {
		wg.Go(func() { run(ctx) })
	}
	wg.Wait()
}

// HandleExchange serves an exchange that another instance started.
func (m *Manager) HandleExchange(_ context.Context, d gossip.Digest) gossip.Digest {
	d.Transit = 0
	m.absorb(d, m.o.Clock.Now())
	return m.compose(d.From, d.Sums, m.budget())
}

// Silence returns how long, by the boot clock, no other instance has sent a
// digest or replied to one; 0 if none ever has.
func (m *Manager) Silence() time.Duration {
	heard := m.lastHeard.Load()
	if heard == 0 {
		return 0
	}
	return m.o.Boot.SinceBoot() - time.Duration(heard)
}

// MembersKnownFor returns how long ago, by the boot clock, this instance first learned
// who the members are, from the instance list or from a digest of another
// instance; 0 if it has not yet.
func (m *Manager) MembersKnownFor() time.Duration {
	known := m.membersKnownAt.Load()
	if known == 0 {
		return 0
	}
	return m.o.Boot.SinceBoot() - time.Duration(known)
}

// ListRead reports whether the instance list has been read since this process started.
func (m *Manager) ListRead() bool { return m.listRead.Load() }

func (m *Manager) markMembersKnown() {
	m.membersKnownAt.CompareAndSwap(0, max(int64(m.o.Boot.SinceBoot()), 1))
}

// budget returns the estimated size limit of one digest. Per heartbeat interval an
// instance starts one exchange and answers one on average, and each has a digest
// in both directions.
func (m *Manager) budget() int {
	const digestsPerHeartbeat = 4
	perHeartbeat := float64(m.o.BytesPerSecond) * m.o.HeartbeatEvery.Seconds()
	return int(perHeartbeat / digestsPerHeartbeat)
}

// minRoomChange is the smallest change of the free room that is sent.
const minRoomChange = 0.05

// loadIntervalPerMember, multiplied by the number of members, is the least time
// between two load rows of one instance. At 370 instances, a row of every instance
// each second would use up the whole budget.
const loadIntervalPerMember = 30 * time.Millisecond

// SetLoad sets the free room (free share of the admission limit, 0 to 1) and the
// number of requests in flight that this instance reports to the others.
func (m *Manager) SetLoad(room float64, inFlight int) {
	v := m.view
	now := m.o.Clock.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	self := v.rows[v.self]
	interval := max(m.o.HeartbeatEvery, time.Duration(len(v.rows))*loadIntervalPerMember)
	if math.Abs(self.member.FreeShare-room) < minRoomChange || now.Sub(v.loadSent) < interval {
		return
	}
	v.loadSent = now
	self.member.FreeShare, self.member.InFlight = room, inFlight
	self.member.Seq++
	v.enqueue(self, urgencyLoad, false, now)
}

// syncConfigVersion copies the version of the configuration in force from the
// board to this instance's row. It returns whether the version rose.
func (m *Manager) syncConfigVersion() bool {
	row, _ := m.o.Board.Self.Get(board.SelfRow)
	v := m.view
	v.mu.Lock()
	defer v.mu.Unlock()
	self := v.rows[v.self]
	if row.ConfigVersion <= self.member.ConfigVersion {
		return false
	}
	self.member.ConfigVersion = row.ConfigVersion
	self.member.Seq++
	v.enqueue(self, urgencyConfig, false, m.o.Clock.Now())
	return true
}

// syncLost updates in this instance's row whether it has lost the store or the targets.
func (m *Manager) syncLost() {
	store := m.o.StoreLost != nil && m.o.StoreLost()
	targets := m.o.TargetsLost != nil && m.o.TargetsLost()
	v := m.view
	v.mu.Lock()
	defer v.mu.Unlock()
	self := v.rows[v.self]
	if store == self.member.StoreLost && targets == self.member.TargetsLost {
		return
	}
	self.member.StoreLost, self.member.TargetsLost = store, targets
	self.member.Seq++
	v.enqueue(self, urgencyState, false, m.o.Clock.Now())
}

// Leave announces that this instance is leaving, at once and in the following
// heartbeats. The instance takes part in exchanges until Run ends.
func (m *Manager) Leave(ctx context.Context) {
	v := m.view
	v.mu.Lock()
	v.setState(v.rows[v.self], board.MemberLeaving, m.o.Clock.Now())
	v.mu.Unlock()
	m.o.Logger.Log(event.MembershipLeaving, "instance", m.o.Self.ID)
	m.spread(ctx)
}

func (v *view) counts() (refuted, revived int64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.refuted, v.revived
}

func (m *Manager) countByState() map[string]int {
	counts := make(map[string]int)
	m.view.mu.Lock()
	defer m.view.mu.Unlock()
	for _, r := range m.view.rows {
		counts[r.member.State]++
	}
	return counts
}
