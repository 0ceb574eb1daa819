// Package lease elects, for each service, the instance that may give orders to the
// service's engines: the holder of the service's lease. The lease is an object in
// the platform's store; the version of the object is the fencing number.
//
// At most one instance holds a lease because of three rules. Every write is
// conditional on the version that was read. A holder measures its lease from just
// before it sent the write, on a clock that also counts suspended time, and checks
// that clock before every order. All other instances measure the lease from just
// after they read the version, so that for them it ends later than for its holder.
// Membership only limits which instances contend for a lease; safety does not
// depend on it.
package lease

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"lynxhill.example/lynxhill/internal/board"
	"lynxhill.example/lynxhill/internal/clock"
	"lynxhill.example/lynxhill/internal/defaults"
	"lynxhill.example/lynxhill/internal/event"
	"lynxhill.example/lynxhill/internal/metrics"
	"lynxhill.example/lynxhill/internal/profile"
	"lynxhill.example/lynxhill/internal/store"
)

// KeyPrefix is the prefix of the keys of lease objects in the store. The name of
// the service follows it.
const KeyPrefix = "leases/"

// Defaults of Options.
const (
	DefaultDuration   = 10 * time.Second
	DefaultCandidates = 3
	// If Margin and OrderTimeout are not set, they are Duration divided by
	// marginDivisor and orderTimeoutDivisor. An order has to end within the lease
	// minus the margin, so a longer OrderTimeout would leave little time in which
	// orders can be given.
	marginDivisor       = 8
	orderTimeoutDivisor = 3
)

// Store is the part of the platform's store that the manager uses.
type Store interface {
	store.Reader
	store.Writer
}

// Options configures a Manager.
type Options struct {
	Store  Store
	Board  *board.Board
	Clock  clock.Clock
	Boot   clock.Boot
	Rand   *rand.Rand
	Logger *event.Logger
	// Metrics may be nil.
	Metrics *metrics.Registry
	// Self is the id of this instance.
	Self string
	// Services returns the services whose engines accept orders. If nil, these are
	// the services with generating targets and those for which an active profile
	// names a model.
	Services func() []string
	// Duration is the time after which a lease expires unless it is renewed.
	Duration time.Duration
	// Margin covers rate differences between the instances' clocks and the time
	// between the check of the lease and the sending of an order.
	Margin time.Duration
	// OrderTimeout is the maximum time that an order can take.
	OrderTimeout time.Duration
	// Candidates is how many of the live instances contend for a lease.
	Candidates int
}

func (o Options) withDefaults() Options {
	defaults.Positive(&o.Duration, DefaultDuration)
	defaults.Positive(&o.Margin, o.Duration/marginDivisor)
	defaults.Positive(&o.OrderTimeout, o.Duration/orderTimeoutDivisor)
	defaults.Positive(&o.Candidates, DefaultCandidates)
	if o.Services == nil {
		o.Services = func() []string { return engineServices(o.Board) }
	}
	return o
}

// engineServices returns the services whose targets serve models: those with
// generating targets, and those for which an active profile names a model.
func engineServices(b *board.Board) []string {
	named := make(map[string]bool)
	for _, p := range b.Profiles.Snapshot() {
		if !p.Deleted {
			addModelServices(named, p.Profile)
		}
	}
	services := make(map[string]bool)
	for _, t := range b.Targets.Snapshot() {
		if t.Kind == profile.KindGenerate || named[t.Service] {
			services[t.Service] = true
		}
	}
	return slices.Sorted(maps.Keys(services))
}

func addModelServices(named map[string]bool, p profile.Profile) {
	for _, stage := range p.Stages {
		for _, provider := range stage.Providers {
			if provider.Model != "" {
				named[provider.Service] = true
			}
		}
	}
}
