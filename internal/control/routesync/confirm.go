package routesync

import (
	"context"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"lynxhill.example/lynxhill/internal/control/loop"
	"lynxhill.example/lynxhill/internal/store"
)

// confirmation records that this instance holds the content of an answer of the store.
type confirmation struct {
	at     time.Duration // boot time at which the answer was current
	source string        // fromStore, or the peer whose digest reported the answer
}

// age returns the age and the source of the confirmation; the longest duration and ""
// if it is nil.
func (c *confirmation) age(now time.Duration) (age time.Duration, source string) {
	if c == nil {
		return math.MaxInt64, ""
	}
	return now - c.at, c.source
}

// confirmations holds the newest confirmation of each prefix. Prefixes are kept apart
// because each watch has its own connection: an answer to one does not show that
// changes still arrive on another.
type confirmations map[string]*atomic.Pointer[confirmation]

func newConfirmations(prefixes []string) confirmations {
	c := make(confirmations)
	for _, prefix := range prefixes {
		c[prefix] = new(atomic.Pointer[confirmation])
	}
	return c
}

// confirm records that this instance holds the store's answer that was current at the
// given boot time. An older confirmation does not replace a newer one.
func (c confirmations) confirm(prefix string, at time.Duration, source string) {
	newest, next := c[prefix], &confirmation{max(at, 0), source}
	for {
		known := newest.Load()
		if known != nil && next.at <= known.at || newest.CompareAndSwap(known, next) {
			return
		}
	}
}

// oldest returns the highest age of all prefixes' newest confirmations.
func (c confirmations) oldest(now time.Duration) time.Duration {
	oldest := time.Duration(math.MinInt64)
	for _, newest := range c {
		age, _ := newest.Load().age(now)
		oldest = max(oldest, age)
	}
	return oldest
}

// ConfirmedAge returns the age, by the boot clock, of the newest answer that the store
// gave to this instance, or to a peer that held nothing that is missing here. Of the
// prefixes' ages it returns the highest; the longest duration if a prefix has had no
// answer. The age of a list counts from the start of the call and that of a watch at
// most from the end of its wait, since a reply may have been buffered while this
// process was suspended.
func (m *Manager) ConfirmedAge() time.Duration { return m.confirmed.oldest(m.o.Boot.SinceBoot()) }

// confirmedAge is ConfirmedAge of one prefix.
func (m *Manager) confirmedAge(prefix string) time.Duration {
	age, _ := m.confirmed[prefix].Load().age(m.o.Boot.SinceBoot())
	return age
}

// RoutesConfirmed returns the age of the newest answer of the store about the routes,
// as ConfirmedAge does, and its source: the store or the peer that reported it; "" =
// there was none.
func (m *Manager) RoutesConfirmed() (age time.Duration, source string) {
	return m.confirmed[RoutesPrefix].Load().age(m.o.Boot.SinceBoot())
}

const (
	// refreshTimeout bounds a read that a caller waits for. The store usually answers
	// within milliseconds.
	refreshTimeout = 250 * time.Millisecond
	// refreshRetryShare is the time after a failed read, as a share of Times.Change,
	// in which no further read is started.
	refreshRetryShare = 0.25
	// minWatchWait is the shortest wait of a watch, which then returns the changes
	// that are there already.
	minWatchWait = time.Millisecond
)

// routesRefresh is the state of the read that concurrent calls of RefreshRoutes share.
type routesRefresh struct {
	mu        sync.Mutex    // guards the fields below
	done      chan struct{} // closed at the end of the read; nil = no read is in progress
	notBefore time.Duration // boot time before which no read is started
}

// RefreshRoutes returns RoutesConfirmed, after a short read of the store if the
// confirmation is older than Times.Change. Concurrent callers share one read. No read
// is started before everything is known, while the store is lost, or shortly after a
// failed read.
func (m *Manager) RefreshRoutes(ctx context.Context) (age time.Duration, source string) {
	age, source = m.RoutesConfirmed()
	if age <= m.o.Times().Change || !m.Synced() || m.StoreLost() {
		return age, source
	}
	r := &m.refresh
	r.mu.Lock()
	done := r.done
	if done == nil {
		// A read that ended since the first check may have confirmed the routes.
		if age, source = m.RoutesConfirmed(); age <= m.o.Times().Change {
			r.mu.Unlock()
			return age, source
		}
	}
	if done == nil && m.o.Boot.SinceBoot() >= r.notBefore {
		done = make(chan struct{})
		r.done = done
		go m.runRefresh(done)
	}
	r.mu.Unlock()
	if done == nil {
		return age, source
	}
	select {
	case <-done:
	case <-ctx.Done():
	}
	return m.RoutesConfirmed()
}

// runRefresh reads the routes. It does not use the context of the request that
// started it, since other requests wait for it too.
func (m *Manager) runRefresh(done chan struct{}) {
	ok := m.readRoutes()
	r := &m.refresh
	r.mu.Lock()
	defer r.mu.Unlock()
	if !ok {
		r.notBefore = m.o.Boot.SinceBoot() + share(refreshRetryShare, m.o.Times().Change)
	}
	r.done = nil
	close(done)
}

// readRoutes reads the current routes from the store and adopts them.
func (m *Manager) readRoutes() (ok bool) {
	started := m.o.Boot.SinceBoot()
	ctx, cancel := loop.WithTimeout(context.Background(), m.o.Clock, refreshTimeout)
	defer cancel()
	objects, version, compacted, err := m.o.Store.Watch(store.WithWatchWait(ctx, minWatchWait), RoutesPrefix, m.resumeVersion(RoutesPrefix))
	if err != nil || compacted {
		return false
	}
	m.adopt(RoutesPrefix, answer{objects: objects, version: version})
	m.storeAnswered(RoutesPrefix, started)
	return true
}
