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

// heartbeatJitter is the jitter of the heartbeat interval, so that instances that
// were started together do not stay in step.
const heartbeatJitter = 0.1

// pausedAfterHeartbeats is the number of heartbeat intervals without a heartbeat
// after which this process must have been paused. Suspicions from before the pause
// then say nothing about the other instances.
const pausedAfterHeartbeats = 4

// runHeartbeats starts one exchange per heartbeat interval, with each member in turn.
func (m *Manager) runHeartbeats(ctx context.Context) {
	var round heartbeatRound
	var wg sync.WaitGroup
	defer wg.Wait()
	last := m.o.Clock.Now()
	for {
		if !loop.Sleep(ctx, m.o.Clock, m.rand.Jitter(m.o.HeartbeatEvery, heartbeatJitter)) {
			return
		}
		now := m.o.Clock.Now()
		if now.Sub(last) > pausedAfterHeartbeats*m.o.HeartbeatEvery {
			m.view.restartSuspicions(now)
		}
		last = now
		m.view.expireAssumed(now)
		for _, suspect := range m.expiredSuspects(now) {
			wg.Go(func() { m.verify(ctx, suspect) })
		}
		start := func(budget int) {
			if id, ok := m.partner(&round); ok {
				wg.Go(func() { m.heartbeat(ctx, id, budget) })
			}
		}
		start(m.budget())
		for range m.extraHeartbeats() {
			start(min(eagerBudget, m.budget()))
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

// heartbeat exchanges digests of up to budget bytes with a member. If the exchange
// fails or takes longer than half of ExchangeTimeout, heartbeat asks other members
// to probe the member, and suspects it if the exchange and all probes fail. Calls to
// a host without power time out, so probes that overlap with the exchange shorten
// the detection.
func (m *Manager) heartbeat(ctx context.Context, id string, budget int) {
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
		m.reconcile(ctx, id, target.PeerAddr, reply)
		return
	}
	close(exchangeFailed)
	if <-reached || ctx.Err() != nil {
		return
	}
	m.suspect(target)
}

// maxReconcileExchanges bounds the exchanges that follow one after which the lists
// differ in most buckets.
const maxReconcileExchanges = 8

// reconcile repeats an exchange once if the lists still differ after it, and
// several times while they differ in most rows.
func (m *Manager) reconcile(ctx context.Context, id, addr string, reply gossip.Digest) {
	for range maxReconcileExchanges {
		d := m.view.compare(reply.Sums, m.o.Clock.Now())
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

// exchange sends a digest and merges the reply.
func (m *Manager) exchange(ctx context.Context, id, addr string, remoteSums []uint32, budget int) (gossip.Digest, error) {
	ctx, cancel := loop.WithTimeout(ctx, m.o.Clock, m.o.ExchangeTimeout)
	defer cancel()
	results := m.o.Metrics.Labelled(metricExchanges)
	digest := m.compose(id, remoteSums, budget)
	start := m.o.Boot.SinceBoot()
	reply, err := m.o.Transport.Exchange(ctx, addr, digest)
	if err != nil {
		m.callOutcomes.record(id, false, m.o.Boot.SinceBoot())
		results.Add("failed", 1)
		return gossip.Digest{}, err
	}
	results.Add("ok", 1)
	m.callOutcomes.record(id, true, m.o.Boot.SinceBoot())
	// The age of a reply is taken to be the duration of its call: a process that
	// was paused in between must not treat the reply as recent.
	reply.Transit = max(m.o.Boot.SinceBoot()-start, 1)
	m.absorb(reply, m.o.Clock.Now())
	return reply, nil
}

// reachedByOthers asks a few other members to exchange digests with the target, so
// that packet loss between two instances is not mistaken for a dead instance.
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

// suspect marks the member as suspect unless it has refuted that meanwhile. A
// member that announced its leaving is marked dead.
func (m *Manager) suspect(member gossip.Member) {
	now := m.o.Clock.Now()
	v := m.view
	v.mu.Lock()
	defer v.mu.Unlock()
	r, ok := v.rows[member.ID]
	if !ok || r.member.Incarnation != member.Incarnation {
		return
	}
	switch board.MemberState(r.member.State) {
	case board.MemberAlive:
		v.setState(r, board.MemberSuspect, now)
		m.RequestExchanges()
		m.o.Logger.Log(event.MembershipSuspect, "instance", member.ID)
	case board.MemberLeaving:
		v.markDead(r, true, now)
		m.o.Logger.Log(event.MembershipLeft, "instance", member.ID)
	}
}

// maxVerifications bounds the suspects whose verification starts in one heartbeat.
const maxVerifications = 16

// expiredSuspects returns the suspects whose time to refute the suspicion is over
// and marks them as being verified.
func (m *Manager) expiredSuspects(now time.Time) []gossip.Member {
	v := m.view
	v.mu.Lock()
	defer v.mu.Unlock()
	var suspects []gossip.Member
	for _, r := range v.rows {
		over := r.member.State == string(board.MemberSuspect) && now.Sub(r.changed) >= m.o.SuspectAfter
		if over && !r.verifying && len(suspects) < maxVerifications {
			r.verifying = true
			suspects = append(suspects, r.member)
		}
	}
	return suspects
}

// verify contacts a suspect once more and declares it dead if that fails. Most
// suspicions originate from reports of other instances: when a split heals, the
// report that a member is dead can arrive before the member's own refutation.
func (m *Manager) verify(ctx context.Context, suspect gossip.Member) {
	_, err := m.exchange(ctx, suspect.ID, suspect.PeerAddr, nil, min(eagerBudget, m.budget()))
	v := m.view
	v.mu.Lock()
	defer v.mu.Unlock()
	r, ok := v.rows[suspect.ID]
	if !ok {
		return
	}
	r.verifying = false
	same := r.member.Incarnation == suspect.Incarnation && r.member.State == string(board.MemberSuspect)
	if err != nil && same && ctx.Err() == nil {
		v.markDead(r, false, m.o.Clock.Now())
		m.o.Logger.Log(event.MembershipDead, "instance", suspect.ID)
	}
}

// restartSuspicions restarts the timeout of every suspicion. Otherwise an instance
// that was paused for long would, on resuming, declare dead all members that it had
// suspected before, although they had no time to refute it.
func (v *view) restartSuspicions(now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, r := range v.rows {
		if r.member.State == string(board.MemberSuspect) {
			r.changed = now
		}
	}
}

// HandleProbe serves an indirect probe: it contacts the target on behalf of the
// caller.
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

// probeBudget limits the digest of an indirect probe to this instance's own row.
const probeBudget = 256
