// Package orders reconciles the engines of a service with the models, versions,
// adapters and roles that plans and profiles ask for. The instance that holds the
// service's lease plans from what the engines themselves report, sends orders that
// name the desired state, and reads the state back. What was not carried out is
// planned again.
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

// KeyPrefix is the prefix of the model plans' keys in the store; the service
// follows.
const KeyPrefix = "plans/"

// Defaults of Options.
const (
	DefaultPeriod          = time.Second
	DefaultReadInterval    = 10 * time.Second
	DefaultCallTimeout     = 2 * time.Second
	DefaultWeightRate      = 0.2
	DefaultWeightBurst     = 2
	DefaultModelsPerEngine = 2
	DefaultMinReady        = 2
	DefaultMaxLoadingShare = 0.25
	DefaultUnloadDelay     = 2 * time.Minute
)

// Options configure a Controller.
type Options struct {
	Caller  stagecall.Caller
	Store   store.Writer
	Board   *board.Board
	Lease   lease.Checker
	Boot    clock.Boot
	Clock   clock.Clock
	Rand    *rand.Rand
	Logger  *event.Logger
	Metrics *metrics.Registry
	Checker *invariant.Checker
	// Self is the ID of this instance; orders carry it.
	Self string
	// WeightRate is the number of loads of weights per second that the weight
	// store allows for the whole deployment. Each service with engines gets an
	// equal part.
	WeightRate float64
	// WeightBurst is the number of loads that may start at once after an idle
	// period.
	WeightBurst int
	// ModelsPerEngine is the number of model versions that an engine has room for.
	ModelsPerEngine int
	// MinReady is the minimum number of engines for a model version that is named
	// by a profile but not by a plan.
	MinReady int
	// MaxLoadingShare is the fraction of a service's engines that may load weights
	// at the same time; at least one engine may.
	MaxLoadingShare float64
	// UnloadDelay is how long a model version stays loaded after the last profile
	// or plan stopped naming it, because requests admitted before still use it.
	UnloadDelay time.Duration
	// Period is the interval between plans. ReadInterval is the interval at which
	// the state of an engine without pending orders is read.
	Period       time.Duration
	ReadInterval time.Duration
	// CallTimeout is the timeout of reading the state of an engine.
	CallTimeout time.Duration
	Scaling     Scaling
}

func (o Options) withDefaults() Options {
	defaults.Positive(&o.Period, DefaultPeriod)
	defaults.Positive(&o.ReadInterval, DefaultReadInterval)
	defaults.Positive(&o.CallTimeout, DefaultCallTimeout)
	defaults.Positive(&o.UnloadDelay, DefaultUnloadDelay)
	defaults.Positive(&o.WeightRate, DefaultWeightRate)
	defaults.Positive(&o.WeightBurst, DefaultWeightBurst)
	defaults.Positive(&o.ModelsPerEngine, DefaultModelsPerEngine)
	defaults.Positive(&o.MinReady, DefaultMinReady)
	defaults.Positive(&o.MaxLoadingShare, DefaultMaxLoadingShare)
	o.Scaling = o.Scaling.withDefaults()
	return o
}
