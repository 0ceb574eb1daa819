package membership

import (
	"context"
	"slices"
	"sync"
	"time"

	"lynxhill.example/lynxhill/internal/board"
	"lynxhill.example/lynxhill/internal/control/loop"
	"lynxhill.example/lynxhill/internal/event"
	"lynxhill.example/lynxhill/internal/store"
	"lynxhill.example/lynxhill/internal/wire/platformapi"
)

// deadContactBackoff spaces the contacts of dead members. The interval doubles
// after each failure up to a maximum that is kept without end. It returns to the
// minimum once a member has replied, since the rest of its partition is then
// probably reachable.
type deadContactBackoff struct {
	min, max time.Duration

	mu       sync.Mutex // guards interval and next
	interval time.Duration
	next     time.Time
}

func (p *deadContactBackoff) due(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Before(p.next) {
		return false
	}
	p.interval = min(max(p.interval, p.min), p.max)
	p.next = now.Add(p.interval)
	return true
}

func (p *deadContactBackoff) record(ok bool, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if ok {
		p.interval = p.min
		p.next = now.Add(p.min)
		return
	}
	p.interval = min(2*p.interval, p.max)
	p.next = now.Add(p.interval)
}

// dueContact picks a random dead member if the next contact is due.
func (m *Manager) dueContact(now time.Time) (string, bool) {
	dead := m.view.ids(board.MemberDead)
	if len(dead) == 0 || !m.contactBackoff.due(now) {
		return "", false
	}
	return dead[int(m.rand.Float64()*float64(len(dead)))], true
}

// contactDead contacts a member that is considered dead. The digest carries its
// row, so that the member refutes its death if it is alive.
func (m *Manager) contactDead(ctx context.Context, id string) {
	target, ok := m.view.get(id)
	if !ok {
		return
	}
	reply, err := m.exchange(ctx, id, target.PeerAddr, nil, m.budget())
	m.contactBackoff.record(err == nil, m.o.Clock.Now())
	if err != nil {
		return
	}
	m.o.Logger.Log(event.MembershipHealed, "instance", id)
	m.reconcile(ctx, id, target.PeerAddr, reply)
}

// runList reads the instance list: at growing intervals after the start, every
// ListEvery in steady state, and at short intervals again when more of the listed
// instances are not members than before.
//
// The list only serves discovery, not heartbeats: digests carry everything else.
// In a large fleet, each read by every instance is a call that the platform
// counts: with a read every 10 s, 295 instances made 30 calls a second all the time.
func (m *Manager) runList(ctx context.Context) {
	if m.o.Lister == nil && m.o.Seeds == nil {
		return
	}
	interval, unmet := initialListInterval, 0
	for {
		found := m.readList(ctx)
		m.contactSeeds(ctx)
		if found > unmet {
			interval = initialListInterval
		}
		unmet = found
		wait := min(interval, m.o.ListEvery)
		interval = min(2*interval, m.o.ListEvery)
		if !loop.Sleep(ctx, m.o.Clock, m.rand.Jitter(wait, listJitter)) {
			return
		}
	}
}

const (
	// initialListInterval is the time from the first read of the list to the second;
	// it doubles each time up to ListEvery.
	initialListInterval = 2 * time.Second
	listJitter          = 0.5
	// seedContacts bounds the unknown instances contacted after one read; their
	// membership lists contain the others.
	seedContacts = 3
)

// readList contacts listed instances that are not members yet, and has this
// instance's entry written again if it is missing. It returns how many listed
// instances are still not members, 0 if the list cannot be read. A stale list is
// sufficient: it is read again, and instances that are too new to be on it are
// learned from digests.
func (m *Manager) readList(ctx context.Context) (unmet int) {
	if m.o.Lister == nil {
		return 0
	}
	listed, err := m.o.Lister.Instances(store.AllowStale(store.WithPriority(ctx, store.PriorityBackground)))
	if err != nil {
		return 0
	}
	m.markMembersKnown()
	m.rewriteMissingEntry(listed)
	m.view.setListedIDs(listed, m.o.Service)
	m.view.assumeAlive(listed, m.o.Service, m.o.Clock.Now())
	m.listRead.Store(true)
	seeds := m.unmetInstances(listed)
	for i, seed := range seeds {
		if i == seedContacts {
			break
		}
		reply, err := m.exchange(ctx, "", seed.Peer, nil, m.budget())
		if err == nil {
			m.reconcile(ctx, reply.From, seed.Peer, reply)
		}
	}
	m.removeExpiredDead(listed, m.o.Clock.Now())
	return len(m.unmetInstances(listed))
}

// contactSeeds contacts some seeds while this instance knows no other.
//
// Otherwise an instance that starts under a new id while the instance list is
// unavailable would never learn of the others, nor they of it.
func (m *Manager) contactSeeds(ctx context.Context) {
	if m.o.Seeds == nil || len(m.view.ids(board.MemberAlive)) > 0 {
		return
	}
	seeds := m.shuffled(slices.Clone(m.o.Seeds()))
	for _, addr := range seeds[:min(len(seeds), seedContacts)] {
		if addr == m.o.Self.PeerAddr {
			continue
		}
		reply, err := m.exchange(ctx, "", addr, nil, m.budget())
		if err == nil {
			m.reconcile(ctx, reply.From, addr, reply)
		}
	}
}

// unmetInstances returns the listed instances that are not members yet, in random
// order.
func (m *Manager) unmetInstances(listed []store.Instance) []store.Instance {
	byID := make(map[string]store.Instance)
	var ids []string
	for _, in := range listed {
		if in.Service != m.o.Service || in.ID == m.o.Self.ID || in.Peer == "" {
			continue
		}
		if _, known := m.view.get(in.ID); !known {
			byID[in.ID] = in
			ids = append(ids, in.ID)
		}
	}
	var seeds []store.Instance
	for _, id := range m.shuffled(ids) {
		seeds = append(seeds, byID[id])
	}
	return seeds
}

// minEntryAge is the age of this instance's entry from which a list without it
// shows that the entry is gone: the list lags behind.
const minEntryAge = 10 * time.Second

// rewriteMissingEntry has the entry written again if the list lacks it although it
// was written at least minEntryAge ago.
//
// The entry can get lost when the previous run of this instance requested its
// removal, the response was lost, and the removal takes effect after this run has
// written its entry. Instances that start later would then never contact this one.
func (m *Manager) rewriteMissingEntry(listed []store.Instance) {
	written := m.registeredAt.Load()
	if written == 0 || m.o.Boot.SinceBoot()-time.Duration(written) < minEntryAge {
		return
	}
	if !slices.ContainsFunc(listed, func(in store.Instance) bool { return in.ID == m.o.Self.ID }) {
		m.unlisted.Notify()
	}
}

// runRegister keeps this instance's entry in the instance list up to date.
func (m *Manager) runRegister(ctx context.Context) {
	if m.o.Lister == nil {
		return
	}
	retry := initialListInterval
	for {
		unlisted := m.unlisted.Wait()
		wait := m.o.RegisterEvery
		if err := m.register(ctx); err != nil {
			m.o.Logger.Log(event.MembershipRegisterFailed, "err", err)
			wait = min(wait, retry)
			retry = min(2*retry, m.o.RegisterEvery)
		} else {
			retry = initialListInterval
			m.registeredAt.Store(max(int64(m.o.Boot.SinceBoot()), 1))
		}
		if !loop.SleepOr(ctx, m.o.Clock, m.rand.Jitter(wait, listJitter), unlisted) {
			return
		}
	}
}

func (m *Manager) register(ctx context.Context) error {
	self, _ := m.view.get(m.o.Self.ID)
	state := platformapi.StateLive
	if self.State == string(board.MemberLeaving) {
		state = platformapi.StateLeaving
	}
	return m.o.Lister.Register(store.WithPriority(ctx, store.PriorityBackground), store.Instance{
		ID:      self.ID,
		Service: m.o.Service,
		Kind:    "lynxhill",
		Address: self.CallerAddr,
		Peer:    self.PeerAddr,
		Zone:    self.Zone,
		Region:  self.Region,
		State:   state,

		Capacity: self.Capacity,
	})
}
