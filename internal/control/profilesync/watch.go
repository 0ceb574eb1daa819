package profilesync

import (
	"context"
	"slices"
	"time"

	"lynxhill.example/lynxhill/internal/control/loop"
	"lynxhill.example/lynxhill/internal/control/rendezvous"
	"lynxhill.example/lynxhill/internal/profile"
	"lynxhill.example/lynxhill/internal/store"
)

const (
	// standBy is how often an instance that does not watch looks whether it
	// should.
	standBy = time.Second
	// watchGrace is added to the wait of a watch before it counts as lost.
	watchGrace = 2 * time.Second
	// otherWatchWait is the wait of watches whose return confirms nothing.
	otherWatchWait = 10 * time.Second
	backoffMin     = 500 * time.Millisecond
	backoffMax     = 8 * time.Second
	// startSpread spreads the first readings of instances that are started
	// together. Profiles come first: without them nothing can be served.
	startSpread      = 300 * time.Millisecond
	otherStartSpread = 3 * time.Second
)

// watchState is where a watcher of a prefix is.
type watchState struct {
	prefix  string
	after   uint64 // store version to go on from
	listed  bool
	backoff time.Duration
}

// runWatch reads and watches a prefix while this instance is one of its
// watchers.
func (m *Manager) runWatch(ctx context.Context, prefix string) {
	spread := otherStartSpread
	if prefix == profile.KeyPrefix {
		spread = startSpread
	}
	if !loop.Sleep(ctx, m.o.Clock, time.Duration(m.rand.Float64()*float64(spread))) {
		return
	}
	state := &watchState{prefix: prefix}
	for ctx.Err() == nil {
		if !m.watches(prefix) {
			m.idle(ctx, prefix)
			continue
		}
		m.watchOnce(ctx, state)
	}
}

// idle waits until it is time to look again, or until a change was written
// through this instance.
func (m *Manager) idle(ctx context.Context, prefix string) {
	var refresh <-chan struct{}
	if prefix == profile.KeyPrefix {
		refresh = m.refresh
	}
	timer := m.o.Clock.NewTimer(m.rand.Spread(standBy, 0.2))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-refresh:
		state := &watchState{prefix: prefix}
		m.watchOnce(ctx, state)
	}
}

// watches reports whether this instance watches the prefix: it ranks among the
// first of its place, or nobody's contact with the store has reached it for
// half of the time after which it would stop taking work.
func (m *Manager) watches(prefix string) bool {
	now := m.o.Boot.SinceBoot()
	if prefix == profile.KeyPrefix && m.fence.confirmAge(now) > m.o.FenceAfter/2 {
		return true
	}
	self, ok := m.o.Board.Members.Get(m.o.Self)
	if !ok {
		return true // membership has not run yet: as good as alone
	}
	live := m.o.Board.LiveMembersIn(self.Place, m.o.Self)
	return slices.Contains(rendezvous.Top(self.Place+"/"+prefix, live, m.o.WatchersPerPlace), m.o.Self)
}

// watchOnce makes one call to the store, or waits out the backoff after one
// that failed.
func (m *Manager) watchOnce(ctx context.Context, w *watchState) {
	started := m.o.Boot.SinceBoot()
	err := m.read(ctx, w)
	if err != nil {
		w.backoff = min(max(2*w.backoff, backoffMin), backoffMax)
		loop.Sleep(ctx, m.o.Clock, m.rand.Spread(w.backoff, 0.5))
		return
	}
	w.backoff = 0
	if w.prefix == profile.KeyPrefix {
		m.fence.store(started)
		m.releaseEvidence()
	}
}

// read lists the prefix when nothing is held yet or the store no longer knows
// the changes since, and watches it otherwise.
func (m *Manager) read(ctx context.Context, w *watchState) error {
	wait := otherWatchWait
	if w.prefix == profile.KeyPrefix {
		wait = m.o.WatchWait
	}
	ctx, cancel := loop.WithTimeout(ctx, m.o.Clock, wait+watchGrace)
	defer cancel()
	w.after = max(w.after, m.objects.markOf(w.prefix))
	if w.after == 0 && !w.listed {
		return m.list(ctx, w)
	}
	waitCtx := store.WithWatchWait(ctx, wait)
	changed, version, compacted, err := m.o.Store.Watch(waitCtx, w.prefix, w.after)
	if err != nil {
		return err
	}
	if compacted {
		return m.list(ctx, w)
	}
	mark := uint64(0)
	for _, obj := range changed {
		mark = max(mark, obj.Version)
	}
	m.objects.adoptChanges(w.prefix, changed, mark, fromStore)
	w.after = max(w.after, version, mark)
	return nil
}

func (m *Manager) list(ctx context.Context, w *watchState) error {
	listed, version, err := m.o.Store.List(ctx, w.prefix)
	if err != nil {
		return err
	}
	m.objects.adoptList(w.prefix, listed, version)
	w.after, w.listed = max(w.after, version), true
	m.lookForOthers(ctx)
	return nil
}

// lookForOthers asks the instance list whether this instance is alone, as long
// as it has met no other: one that never met its peers must not take itself
// for a majority.
func (m *Manager) lookForOthers(ctx context.Context) {
	if m.fence.metAnyone() {
		return
	}
	listed, err := m.o.Store.Instances(ctx)
	if err != nil {
		return
	}
	others := slices.ContainsFunc(listed, func(in store.Instance) bool {
		return in.Service == m.o.Service && in.ID != m.o.Self
	})
	m.fence.setOthers(others)
}

// Refresh makes this instance read the store soon, whether or not it watches.
func (m *Manager) Refresh() {
	select {
	case m.refresh <- struct{}{}:
	default:
	}
}
