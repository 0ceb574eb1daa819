// Package routesync maintains this instance's copy of the table of routes, the list of
// targets and the orders to evacuate availability zones. They come from the
// platform's store by list and watch, and from peers by gossip digests and pulls when
// this instance does not watch the store, or the store is unavailable or throttles
// the instance.
//
// Within the lifetime of a process, no object reverts to an older state: targets and
// orders are merged by the store's versions and tables by the operator's version,
// whatever their source. The package makes decisions only; it does no I/O of its own
// and reads no global clock.
package routesync

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"lynxhill.example/lynxhill/internal/clock"
	"lynxhill.example/lynxhill/internal/control/loop"
	"lynxhill.example/lynxhill/internal/event"
	"lynxhill.example/lynxhill/internal/fleet"
	"lynxhill.example/lynxhill/internal/gossip"
	"lynxhill.example/lynxhill/internal/metrics"
	"lynxhill.example/lynxhill/internal/route"
	"lynxhill.example/lynxhill/internal/store"
)

// Keys of the objects in the platform's store. The prefixes also name the rows in
// gossip digests and in peers' pulls.
const (
	RoutesPrefix  = "routes/"
	TableKey      = RoutesPrefix + "main"
	TargetsPrefix = "targets/"
)

// Puller fetches objects from other instances. Package peer implements it.
type Puller interface {
	// Pull returns the objects of the prefix whose version is above after, by
	// rising version. With them the caller holds everything up to the returned
	// version. If more is true, the caller pulls the next page from that version.
	Pull(ctx context.Context, instance, prefix string, after uint64) ([]store.Object, uint64, bool, error)
}

// Decoder decodes the configuration as the store holds it; every relay.Decoder
// implements it. It is declared here because package relay imports net/http, which a
// decision package must not import, not even indirectly.
type Decoder interface {
	// Table decodes the declared routes. The returned table is built.
	Table(value []byte) (*route.Table, error)
	// Target decodes an entry of the target list.
	Target(id string, value []byte) (fleet.Target, error)
}

// Store is the part of the platform's store that a Manager uses.
type Store interface {
	store.Reader
	store.Pager
	store.Watcher
}

// Options configure a Manager. Zero RetryMin, RetryMax and RecoveryGrace are replaced
// by defaults.
type Options struct {
	Self    string // instance id
	Store   Store
	Decoder Decoder
	Puller  Puller // nil: nothing is pulled from peers
	Clock   clock.Clock
	Boot    clock.Boot
	Rand    *rand.Rand // for jitter; nil takes a fixed seed
	Logger  *event.Logger
	Metrics *metrics.Registry

	// Times returns the times that apply now. nil = defaults.
	Times func() Times
	// WatchGap is the shortest time between the starts of two watches of a prefix.
	// Changes come in series, as when the targets of a service are replaced, and
	// each of them ends all pending watches. The first change of a series is
	// received at once, the others at most WatchGap later. 0 = no pause.
	WatchGap time.Duration
	// RetryMin and RetryMax bound the pause after a failed call to the store.
	RetryMin, RetryMax time.Duration
	// RecoveryGrace is the time after the recovery of the store for which a target
	// that is missing from the list is kept.
	RecoveryGrace time.Duration

	// OnTable and OnTargets are called after each change, in order and without
	// locks held. Both may be nil. They must not block for long, since the next
	// change is delivered after they return.
	OnTable   func(*route.Table)
	OnTargets func(old, new *fleet.View)
	// CallsStore reports whether this instance calls the store itself, given the age of
	// the newest answer of the store known to it, its own or a peer's. Instances
	// that do not call the store receive changes from those that do. nil = it
	// always does.
	CallsStore func(age time.Duration) bool
	// ListsWhole reports whether this instance reads all pages of a list of the store. If
	// not, it reads the first one and expects the others from peers. nil = it always does.
	ListsWhole func() bool
	// MaxTransfers is the number of peers that may pull long lists from this instance at
	// the same time. 0 = defaultTransfers.
	MaxTransfers int
	// ProbeKey is the key of the object that is read to check whether the store
	// answers, which a pending watch does not show. The reads may return stale data.
	// "" = the store is not probed.
	ProbeKey string
	// Probes reports whether this instance probes the store, given the age of the
	// newest answer of the store known to it, its own or a peer's. nil = it always
	// does.
	Probes func(age time.Duration) bool
	// Evacuations reports whether the platform has orders to evacuate availability
	// zones. If not, they are not watched, which saves calls to the store.
	Evacuations bool
	// RequestExchanges requests extra gossip exchanges at once. May be nil.
	RequestExchanges func()
	// AnnouncedShutdown reports whether a target has announced its shutdown in its own
	// answers, in the start that is given. Its entry says so too, but is not updated
	// while the store is unavailable. nil = no target has.
	AnnouncedShutdown func(target fleet.Target) bool
}

// Defaults of Options.
const (
	defaultChange        = 20 * time.Second
	defaultRetryMin      = 100 * time.Millisecond
	defaultRetryMax      = time.Second
	defaultRecoveryGrace = 2 * time.Second
)

func (o Options) withDefaults() Options {
	setDefault(&o.RetryMin, defaultRetryMin)
	setDefault(&o.RetryMax, defaultRetryMax)
	setDefault(&o.RecoveryGrace, defaultRecoveryGrace)
	if o.Times == nil {
		o.Times = func() Times { return TimesOf(defaultChange, defaultChange) }
	}
	if o.CallsStore == nil {
		o.CallsStore = func(time.Duration) bool { return true }
	}
	if o.ListsWhole == nil {
		o.ListsWhole = func() bool { return true }
	}
	if o.MaxTransfers == 0 {
		o.MaxTransfers = defaultTransfers
	}
	if o.Probes == nil {
		o.Probes = func(time.Duration) bool { return true }
	}
	if o.RequestExchanges == nil {
		o.RequestExchanges = func() {}
	}
	return o
}

func setDefault(value *time.Duration, fallback time.Duration) {
	if *value == 0 {
		*value = fallback
	}
}

// Manager maintains the table of routes, the targets and the evacuation orders. It is
// safe for concurrent use.
type Manager struct {
	o                Options
	rand             *loop.Rand
	watchLoops       []*watchLoop
	pulls            map[string]chan pullSource // by prefix
	deletionsChanged chan struct{}              // wakes runPendingDeletions

	table         atomic.Pointer[route.Table]
	view          atomic.Pointer[fleet.View]
	confirmed     confirmations
	refresh       routesRefresh
	answeredAt    atomic.Int64 // when the store last answered a list or watch, boot time in ns
	probeFailedAt atomic.Int64 // when the newest probe of the store failed, boot time in ns; 0 = it succeeded, or none was made
	behindAt      atomic.Int64 // when a digest last listed versions that are missing here, boot time in ns; 0 = never

	mu      sync.Mutex // guards the fields below
	health  health
	era     era
	routes  routes
	targets *targets
	// pulledTargets is how far the last incomplete pull of targets came.
	pulledTargets pullCursor
	transfers     transfers
	// evacuations holds the orders by which the targets of a zone take no new work.
	evacuations *evacuations
	queue       []func() // log entries and callbacks to be run by deliver, in order
	delivering  bool     // a goroutine is running deliver
}

var _ gossip.Participant = (*Manager)(nil)

// New returns a manager without a table, targets or orders.
func New(o Options) *Manager {
	o = o.withDefaults()
	m := &Manager{
		o:                o,
		rand:             loop.NewRand(o.Rand),
		pulls:            make(map[string]chan pullSource),
		deletionsChanged: make(chan struct{}, 1),
		health:           health{grace: o.RecoveryGrace, failing: make(map[string]time.Duration)},
		targets:          newTargets(),
		evacuations:      newEvacuations(),
		transfers:        transfers{limit: o.MaxTransfers, active: make(map[string]time.Duration)},
	}
	for _, prefix := range o.prefixes() {
		m.watchLoops = append(m.watchLoops, &watchLoop{prefix: prefix})
		m.pulls[prefix] = make(chan pullSource, 1)
	}
	if o.Evacuations {
		m.pulls[lostEvacuationsPrefix] = make(chan pullSource, 1)
	}
	m.confirmed = newConfirmations(o.prefixes())
	m.view.Store(fleet.NewView(0, nil))
	return m
}

// prefixes returns the prefixes that are listed and watched.
func (o Options) prefixes() []string {
	prefixes := []string{RoutesPrefix, TargetsPrefix}
	if o.Evacuations {
		prefixes = append(prefixes, EvacuationsPrefix)
	}
	return prefixes
}

// Run lists, watches, pulls and probes until ctx ends, and returns when all of its
// goroutines have stopped. It must be called once only.
func (m *Manager) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, f := range m.watchLoops {
		wg.Go(func() { m.runWatchLoop(ctx, f) })
	}
	for prefix, sources := range m.pulls {
		wg.Go(func() { m.runPulls(ctx, prefix, sources) })
	}
	wg.Go(func() { m.runPendingDeletions(ctx) })
	if m.o.ProbeKey != "" {
		wg.Go(func() { m.runProbes(ctx) })
	}
	wg.Wait()
}

// Table returns the table in force, nil until a table is known. It never blocks.
func (m *Manager) Table() *route.Table { return m.table.Load() }

// Targets returns the known targets, never nil. It never blocks.
func (m *Manager) Targets() *fleet.View { return m.view.Load() }

// Synced reports whether the table, the complete list of targets and all evacuation
// orders are known, each from the store or from a peer that knew them completely.
func (m *Manager) Synced() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.syncedLocked()
}

// syncedLocked is Synced for a caller that holds mu.
func (m *Manager) syncedLocked() bool {
	return m.routes.known() && m.targets.known && (m.evacuations.known || !m.o.Evacuations)
}

// Refresh cancels calls in progress, reads the changes of all prefixes from the store at
// once, and requests extra gossip exchanges. It is called after the process was suspended,
// since watches from before may wait on a dead connection. A prefix is listed only if it
// was not yet, or if the store no longer has the changes.
func (m *Manager) Refresh() {
	for _, f := range m.watchLoops {
		f.requestRefresh()
	}
	m.o.RequestExchanges()
}

// change runs fn with mu held and then delivers what fn has queued.
func (m *Manager) change(fn func()) {
	m.mu.Lock()
	fn()
	m.mu.Unlock()
	m.deliver()
}

// deliver runs the queued functions without holding mu. Only one goroutine does so at
// a time, which preserves the order; it also runs what others queue in the meantime.
func (m *Manager) deliver() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.delivering {
		return
	}
	m.delivering = true
	for len(m.queue) > 0 {
		next := m.queue[0]
		m.queue = m.queue[1:]
		m.mu.Unlock()
		next()
		m.mu.Lock()
	}
	m.delivering = false
}

// log queues a log entry. The caller holds mu.
func (m *Manager) log(id event.ID, keyvals ...any) {
	m.queue = append(m.queue, func() { m.o.Logger.Log(id, keyvals...) })
}
