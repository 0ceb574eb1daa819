// Package orders brings the engines of a service to the models, versions,
// adapters and roles that plans and profiles ask for. The instance that holds
// the service's lease plans from what the engines themselves report, gives
// orders that name the state wanted, and reads the state back; what did not
// happen is planned again.
package orders

import (
	"math/rand/v2"
	"time"

	"lynxhill.example/lynxhill/internal/board"
	"lynxhill.example/lynxhill/internal/clock"
	"lynxhill.example/lynxhill/internal/control/lease"
	"lynxhill.example/lynxhill/internal/defaults"
	"lynxhill.example/lynxhill/internal/event"
	"lynxhill.example/lynxhill/internal/invariant"
	"lynxhill.example/lynxhill/internal/metrics"
	"lynxhill.example/lynxhill/internal/stagecall"
	"lynxhill.example/lynxhill/internal/store"
)

// KeyPrefix is where model plans are kept in the store; the service follows.
const KeyPrefix = "plans/"

// Defaults of Options.
const (
	DefaultPeriod          = time.Second
	DefaultReadEvery       = 10 * time.Second
	DefaultCallTimeout     = 2 * time.Second
	DefaultWeightRate      = 0.2
	DefaultWeightBurst     = 2
	DefaultModelsPerEngine = 2
	DefaultMinReady        = 2
	DefaultChangingShare   = 0.25
	DefaultKeepAfter       = 2 * time.Minute
)

// Options configure a Controller.
type Options struct {
	Caller  stagecall.Caller
	Store   store.Writer
	Board   *board.Board
	Lease   lease.Lessor
	Boot    clock.Boot
	Clock   clock.Clock
	Rand    *rand.Rand
	Logger  *event.Logger
	Metrics *metrics.Registry
	Checker *invariant.Checker
	// Self is the id of this instance; orders carry it.
	Self string
	// WeightRate is how many loads of weights a second the weight store allows
	// to the whole deployment. Each service with engines gets an equal part.
	WeightRate float64
	// WeightBurst is how many loads may start at once after a quiet time.
	WeightBurst int
	// ModelsPerEngine is how many model versions an engine has room for.
	ModelsPerEngine int
	// MinReady is the number of engines for a model version that a profile
	// names and no plan does.
	MinReady int
	// ChangingShare is the share of a service's engines that may load weights
	// at the same time; at least one may.
	ChangingShare float64
	// KeepAfter is how long a model version stays loaded after the last
	// profile stopped naming it: requests admitted before still use it.
	KeepAfter time.Duration
	// Period is how often the plan is made; ReadEvery how often an engine
	// without pending orders is read back.
	Period    time.Duration
	ReadEvery time.Duration
	// CallTimeout is the longest wait for the state of an engine.
	CallTimeout time.Duration
	Scaling     Scaling
}

func (o Options) withDefaults() Options {
	defaults.Positive(&o.Period, DefaultPeriod)
	defaults.Positive(&o.ReadEvery, DefaultReadEvery)
	defaults.Positive(&o.CallTimeout, DefaultCallTimeout)
	defaults.Positive(&o.KeepAfter, DefaultKeepAfter)
	defaults.Positive(&o.WeightRate, DefaultWeightRate)
	defaults.Positive(&o.WeightBurst, DefaultWeightBurst)
	defaults.Positive(&o.ModelsPerEngine, DefaultModelsPerEngine)
	defaults.Positive(&o.MinReady, DefaultMinReady)
	defaults.Positive(&o.ChangingShare, DefaultChangingShare)
	o.Scaling = o.Scaling.withDefaults()
	return o
}
