// Package lease decides which instance gives orders to the engines of a
// service: the holder of the service's lease, an object in the platform's
// store. The object's version is the fencing number.
//
// Safety rests on three rules. Every write is conditional on the version that
// was read. A holder counts its lease from the moment before the write was
// sent, on a clock that also counts suspended time, and checks that clock
// before every order. Everybody else counts the lease from the moment after
// the version was read, so that a lease seems longer from outside than to its
// holder. Who may try is only a hint, taken from membership.
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

// KeyPrefix is where leases are kept in the store; the service follows.
const KeyPrefix = "leases/"

// Defaults of Options.
const (
	DefaultDuration   = 10 * time.Second
	DefaultCandidates = 3
	// marginPart and orderPart of the lease are the margin and the longest
	// time of an order, unless they are set. Since an order has to end inside
	// the lease less the margin, longer ones would leave little of it.
	marginPart = 8
	orderPart  = 3
)

// Store is what the manager needs of the platform.
type Store interface {
	store.Reader
	store.Writer
}

// Options configure a Manager.
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
	// Services names the services whose engines take orders; nil means those
	// with generating targets or with a model named by a profile in force.
	Services func() []string
	// Duration is how long a lease lasts unless it is renewed.
	Duration time.Duration
	// Margin covers differences in the rate of the instances' clocks and the
	// time between the check of the lease and the sending of an order.
	Margin time.Duration
	// OrderTimeout is the longest time that an order can be under way.
	OrderTimeout time.Duration
	// Candidates is how many of the live instances try for a lease.
	Candidates int
}

func (o Options) withDefaults() Options {
	defaults.Positive(&o.Duration, DefaultDuration)
	defaults.Positive(&o.Margin, o.Duration/marginPart)
	defaults.Positive(&o.OrderTimeout, o.Duration/orderPart)
	defaults.Positive(&o.Candidates, DefaultCandidates)
	if o.Services == nil {
		o.Services = func() []string { return engineServices(o.Board) }
	}
	return o
}

// engineServices returns the services whose targets hold models: those with
// generating targets, and those for which a profile in force names a model.
func engineServices(b *board.Board) []string {
	named := make(map[string]bool)
	for _, p := range b.Profiles.Snapshot() {
		if !p.Deleted {
			nameServices(named, p.Profile)
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

func nameServices(named map[string]bool, p profile.Profile) {
	for _, stage := range p.Stages {
		for _, provider := range stage.Providers {
			if provider.Model != "" {
				named[provider.Service] = true
			}
		}
	}
}
