package membership

import (
	"context"
	"sync"
	"time"

	"lynxhill.example/lynxhill/internal/board"
	"lynxhill.example/lynxhill/internal/control/loop"
	"lynxhill.example/lynxhill/internal/event"
	"lynxhill.example/lynxhill/internal/gossip"
)

// heartbeatJitter is the share by which heartbeats vary, so that instances
// started together do not stay in step.
const heartbeatJitter = 0.1

// lateBeats is how many heartbeats late a beat must be to tell that this
// process was paused: what it believes of others is then no one's fault.
const lateBeats = 4

// runHeartbeats starts one exchange a heartbeat, with every member in turn.
func (m *Manager) runHeartbeats(ctx context.Context) {
	var round turns
	var wg sync.WaitGroup
	defer wg.Wait()
	last := m.o.Clock.Now()
	for {
		if !loop.Sleep(ctx, m.o.Clock, m.rand.Spread(m.o.HeartbeatEvery, heartbeatJitter)) {
			return
		}
		now := m.o.Clock.Now()
		if now.Sub(last) > lateBeats*m.o.HeartbeatEvery {
			m.view.restartSuspicions(now)
		}
		last = now
		m.view.doubtListed(now)
		for _, suspect := range m.expired(now) {
			wg.Go(func() { m.verify(ctx, suspect) })
		}
		beat := func(budget int) {
			if id, ok := m.partner(&round); ok {
				wg.Go(func() { m.beat(ctx, id, budget) })
			}
		}
		beat(m.budget())
		for range m.extraBeats() {
			beat(min(eagerBudget, m.budget()))
		}
		if id, due := m.dueContact(now); due {
			wg.Go(func() { m.contactDead(ctx, id) })
		}
	}
}

func (m *Manager) shuffled(ids []string) []string {
	for i := len(ids) - 1; i > 0; i-- {
		j := int(m.rand.Float64() * float64(i+1))
		ids[i], ids[j] = ids[j], ids[i]
	}
	return ids
}

// beat exchanges digests of up to budget bytes with a member. If the exchange fails or takes longer than
// half of ExchangeTimeout, beat asks other members to probe the member, and suspects
// it if the exchange and all probes fail. Calls to a machine without power run into
// their timeouts, so probes that overlap with the exchange shorten the detection.
func (m *Manager) beat(ctx context.Context, id string, budget int) {
	target, ok := m.view.get(id)
	if !ok || target.State == string(board.MemberDead) {
		return
	}
	probeCtx, cancelProbes := context.WithCancel(ctx)
	defer cancelProbes()
	exchangeFailed := make(chan struct{})
	reached := make(chan bool, 1)
	go func() {
		due := loop.SleepOr(probeCtx, m.o.Clock, m.o.ExchangeTimeout/2, exchangeFailed)
		if due {
			m.callOutcomes.record(id, false, m.o.Boot.SinceBoot())
		}
		reached <- due && m.reachedByOthers(probeCtx, target)
	}()
	reply, err := m.exchange(ctx, id, target.PeerAddr, nil, budget)
	if err == nil {
		cancelProbes()
		<-reached
		m.settle(ctx, id, target.PeerAddr, reply)
		return
	}
	close(exchangeFailed)
	if <-reached || ctx.Err() != nil {
		return
	}
	m.suspect(target)
}

// maxSettle bounds the exchanges that follow one after which the lists differ
// in most buckets.
const maxSettle = 8

// settle follows an exchange by a second one when the lists still differ, and
// by several while they differ in most rows.
func (m *Manager) settle(ctx context.Context, id, addr string, reply gossip.Digest) {
	for range maxSettle {
		d := m.view.differs(reply.Sums, m.o.Clock.Now())
		if d.none() {
			return
		}
		next, err := m.exchange(ctx, id, addr, reply.Sums, m.budget())
		if err != nil || !d.bulk {
			return
		}
		reply = next
	}
}

// exchange sends a digest and takes in the reply.
func (m *Manager) exchange(ctx context.Context, id, addr string, theirs []uint32, budget int) (gossip.Digest, error) {
	ctx, cancel := loop.WithTimeout(ctx, m.o.Clock, m.o.ExchangeTimeout)
	defer cancel()
	results := m.o.Metrics.Labelled(metricExchanges)
	digest := m.compose(id, theirs, budget)
	start := m.o.Boot.SinceBoot()
	reply, err := m.o.Transport.Exchange(ctx, addr, digest)
	if err != nil {
		m.callOutcomes.record(id, false, m.o.Boot.SinceBoot())
		results.Add("failed", 1)
		return gossip.Digest{}, err
	}
	results.Add("ok", 1)
	m.callOutcomes.record(id, true, m.o.Boot.SinceBoot())
	// A reply counts as being as old as its call: a process that was paused
	// in between must not take it for fresh.
	reply.Transit = max(m.o.Boot.SinceBoot()-start, 1)
	m.absorb(reply, m.o.Clock.Now())
	return reply, nil
}

// reachedByOthers asks a few other members to exchange with the target. One
// lossy path between two instances is then not taken for a death.
func (m *Manager) reachedByOthers(ctx context.Context, target gossip.Member) bool {
	helpers := m.callOutcomes.answeredFirst(m.shuffled(m.view.ids(board.MemberAlive)), m.o.Boot.SinceBoot())
	caller := ctx
	ctx, cancel := loop.WithTimeout(ctx, m.o.Clock, 2*m.o.ExchangeTimeout)
	defer cancel()
	results := make(chan error, m.o.IndirectProbes)
	asked := 0
	for _, id := range helpers {
		if asked == m.o.IndirectProbes {
			break
		}
		helper, ok := m.view.get(id)
		if !ok || id == target.ID {
			continue
		}
		asked++
		go func() { results <- m.o.Transport.Probe(ctx, helper.PeerAddr, target.PeerAddr) }()
	}
	reached := false
	for range asked {
		if err := <-results; err == nil {
			reached = true
			cancel()
		}
	}
	if reached || caller.Err() == nil {
		m.countProbe(reached)
	}
	return reached
}

func (m *Manager) countProbe(reached bool) {
	result := "failed"
	if reached {
		result = "reached"
	}
	m.o.Metrics.Labelled(metricProbes).Add(result, 1)
}

// suspect marks the member unless it has reasserted itself meanwhile. One that
// said it was leaving is gone.
func (m *Manager) suspect(seen gossip.Member) {
	now := m.o.Clock.Now()
	v := m.view
	v.mu.Lock()
	defer v.mu.Unlock()
	r, ok := v.rows[seen.ID]
	if !ok || r.member.Incarnation != seen.Incarnation {
		return
	}
	switch board.MemberState(r.member.State) {
	case board.MemberAlive:
		v.setState(r, board.MemberSuspect, now)
		m.Hurry()
		m.o.Logger.Log(event.MembershipSuspect, "instance", seen.ID)
	case board.MemberLeaving:
		v.bury(r, true, now)
		m.o.Logger.Log(event.MembershipLeft, "instance", seen.ID)
	}
}

// verifyAtOnce bounds the suspects that are tried in one heartbeat.
const verifyAtOnce = 16

// expired returns suspects whose time to reassert themselves is over and marks
// them as being tried.
func (m *Manager) expired(now time.Time) []gossip.Member {
	v := m.view
	v.mu.Lock()
	defer v.mu.Unlock()
	var suspects []gossip.Member
	for _, r := range v.rows {
		over := r.member.State == string(board.MemberSuspect) && now.Sub(r.changed) >= m.o.SuspectAfter
		if over && !r.trying && len(suspects) < verifyAtOnce {
			r.trying = true
			suspects = append(suspects, r.member)
		}
	}
	return suspects
}

// verify tries a suspect once more and declares it dead if that fails. Most
// suspicions are hearsay: when a split heals, the word that a member is dead
// can be faster than the member's own word that it is not.
func (m *Manager) verify(ctx context.Context, suspect gossip.Member) {
	_, err := m.exchange(ctx, suspect.ID, suspect.PeerAddr, nil, min(eagerBudget, m.budget()))
	v := m.view
	v.mu.Lock()
	defer v.mu.Unlock()
	r, ok := v.rows[suspect.ID]
	if !ok {
		return
	}
	r.trying = false
	same := r.member.Incarnation == suspect.Incarnation && r.member.State == string(board.MemberSuspect)
	if err != nil && same && ctx.Err() == nil {
		v.bury(r, false, m.o.Clock.Now())
		m.o.Logger.Log(event.MembershipDead, "instance", suspect.ID)
	}
}

// restartSuspicions gives every suspect its whole time again. An instance that
// was paused for long would otherwise declare everyone dead whom it suspected
// before, on waking, though they had no time to answer.
func (v *view) restartSuspicions(now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, r := range v.rows {
		if r.member.State == string(board.MemberSuspect) {
			r.changed = now
		}
	}
}

// HandleProbe is the server's side of an indirect probe: it tries the target
// for the caller.
func (m *Manager) HandleProbe(ctx context.Context, targetPeerAddr string) error {
	ctx, cancel := loop.WithTimeout(ctx, m.o.Clock, m.o.ExchangeTimeout)
	defer cancel()
	d := m.compose("", nil, probeBudget)
	reply, err := m.o.Transport.Exchange(ctx, targetPeerAddr, d)
	if err != nil {
		return err
	}
	m.view.merge(reply.Members, m.o.Clock.Now())
	return nil
}

// probeBudget keeps the digest of an indirect probe to this instance's own
// row.
const probeBudget = 256
