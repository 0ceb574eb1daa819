// Package profilesync keeps the platform's configuration objects (profiles,
// drains, limits, plans) in force on this instance, carries out operators'
// changes of profiles, and fences this instance off from new work when it cannot
// confirm that its configuration is current.
//
// A few instances in each availability zone (short: zone) watch the store. The
// others learn from heartbeats that they are behind, and pull from a peer. Only
// higher versions are adopted. An instance's mark is the store version up to
// which it holds every object of a prefix.
package profilesync

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"lynxhill.example/lynxhill/internal/board"
	"lynxhill.example/lynxhill/internal/clock"
	"lynxhill.example/lynxhill/internal/control/loop"
	"lynxhill.example/lynxhill/internal/defaults"
	"lynxhill.example/lynxhill/internal/event"
	"lynxhill.example/lynxhill/internal/invariant"
	"lynxhill.example/lynxhill/internal/metrics"
	"lynxhill.example/lynxhill/internal/profile"
	"lynxhill.example/lynxhill/internal/store"
)

// Prefixes are the key prefixes of the store whose objects are kept in force. The
// first one is that of the profiles; acceptance and fencing depend on it alone.
var Prefixes = []string{profile.KeyPrefix, "drains/", "limits/", "plans/"}

// Puller fetches objects from other instances; internal/peer implements it.
type Puller interface {
	// Pull returns the objects of the prefix above the version after, by
	// ascending version. With them the caller holds everything up to mark; more
	// says that it should ask again from mark.
	Pull(ctx context.Context, instance, prefix string, after uint64) (objects []store.Object, mark uint64, more bool, err error)
}

// Options configure a Manager. Zero durations and counts take the defaults.
type Options struct {
	Self   string // instance id
	Board  *board.Board
	Store  store.Store
	Puller Puller
	Clock  clock.Clock
	Boot   clock.Boot
	Rand   *rand.Rand
	// WatchersPerZone is how many instances of a zone watch each prefix.
	WatchersPerZone int
	// Service is this system's name in the platform's instance list.
	Service string

	// FenceAfter is how long an instance goes on accepting new work without
	// confirmation that its configuration is current.
	FenceAfter time.Duration
	// FenceMargin is added to FenceAfter where other instances rely on it: it
	// covers clock drift and the period of the check.
	FenceMargin time.Duration
	// PauseAfter is the gap in the execution of this process (suspension, a
	// stopped process) after which its configuration counts as unconfirmed.
	PauseAfter time.Duration
	// WatchWait is how long one watch of the profiles waits for a change. Its
	// return confirms the configuration, so it bounds the age of confirmations.
	WatchWait time.Duration
	// ConfirmTimeout bounds how long a change is retried and read back after its
	// reply was lost.
	ConfirmTimeout time.Duration

	Logger  *event.Logger
	Metrics *metrics.Registry
	Check   *invariant.Checker
}

// Defaults of Options.
const (
	defaultWatchersPerZone = 2
	defaultService         = "lynxhill"
	defaultFenceAfter      = 12 * time.Second
	defaultFenceMargin     = time.Second
	defaultPauseAfter      = 2 * time.Second
	defaultWatchWait       = time.Second
	defaultConfirmTimeout  = 10 * time.Second
)

func (o Options) withDefaults() Options {
	defaults.Set(&o.WatchersPerZone, defaultWatchersPerZone)
	defaults.Set(&o.Service, defaultService)
	defaults.Set(&o.FenceAfter, defaultFenceAfter)
	defaults.Set(&o.FenceMargin, defaultFenceMargin)
	defaults.Set(&o.PauseAfter, defaultPauseAfter)
	defaults.Set(&o.WatchWait, defaultWatchWait)
	defaults.Set(&o.ConfirmTimeout, defaultConfirmTimeout)
	return o
}

var (
	metricAdopted  = metrics.Define("config_adopted", "objects", "Configuration objects that came into force here, by where they came from.")
	metricMark     = metrics.Define("config_mark", "version", "Highest version up to which this instance holds every object, by prefix.")
	metricIsolated = metrics.Define("config_isolated", "0 or 1", "Whether this instance takes no new work because it cannot confirm its configuration: it is isolated, or unconfirmed since its start or a pause.")
	metricAge      = metrics.Define("config_confirm_age_seconds", "seconds", "Age of the newest contact with the store, direct or through peers.")
	metricChanges  = metrics.Define("config_changes", "changes", "Changes of profiles by operators at this instance, by result.")
)

// Manager keeps the configuration in force on this instance.
type Manager struct {
	o       Options
	rand    *loop.Rand
	objects *objects
	fence   *fence
	pulls   *pullQueue
	refresh chan struct{} // makes the watcher of profiles read the store now
}

// New returns a manager. It counts as unconfirmed until it has loaded the
// configuration.
func New(o Options) *Manager {
	o = o.withDefaults()
	m := &Manager{
		o:       o,
		rand:    loop.NewRand(o.Rand),
		objects: newObjects(o),
		fence:   newFence(o),
		pulls:   newPullQueue(),
		refresh: make(chan struct{}, 1),
	}
	m.publishSelf()
	o.Metrics.Func(metricIsolated, func() any { return m.refuses() })
	o.Metrics.Func(metricMark, func() any { return m.objects.marks() })
	o.Metrics.Func(metricAge, func() any { return m.fence.confirmAge(o.Boot.SinceBoot()).Seconds() })
	return m
}

// Run watches the store, pulls from peers and checks the fence until ctx ends.
func (m *Manager) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, prefix := range Prefixes {
		wg.Go(func() { m.runWatch(ctx, prefix) })
	}
	wg.Go(func() { m.runPull(ctx) })
	wg.Go(func() { m.runFence(ctx) })
	wg.Wait()
}
