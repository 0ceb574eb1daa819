// Package steering tells callers which instances to use. There is no load
// balancer in front of the instances: callers are spread only by these answers,
// which they cache for a limited time (TTL).
package steering

import (
	"math/rand/v2"
	"time"

	"lynxhill.example/lynxhill/internal/board"
	"lynxhill.example/lynxhill/internal/clock"
	"lynxhill.example/lynxhill/internal/defaults"
	"lynxhill.example/lynxhill/internal/event"
	"lynxhill.example/lynxhill/internal/metrics"
)

// Defaults of Options.
const (
	DefaultTTL       = 30 * time.Second
	DefaultJitter    = 0.3
	DefaultRamp      = 60 * time.Second
	DefaultAddresses = 6
	DefaultPeriod    = time.Second
)

// Options configure a Controller.
type Options struct {
	Board   *board.Board
	Clock   clock.Clock
	Rand    *rand.Rand
	Logger  *event.Logger
	Metrics *metrics.Registry
	// Self is the ID of this instance.
	Self string
	// TTL is how long callers may cache an answer, before jitter.
	TTL time.Duration
	// Jitter is the fraction by which the TTL varies from answer to answer, so
	// that callers that asked at the same time do not refresh at the same time.
	Jitter float64
	// Ramp is the time after which a new instance has its full weight.
	Ramp time.Duration
	// Addresses is the number of addresses in an answer.
	Addresses int
	// Period is the interval at which the weights are recomputed.
	Period time.Duration
}

func (o Options) withDefaults() Options {
	defaults.Positive(&o.TTL, DefaultTTL)
	defaults.Positive(&o.Jitter, DefaultJitter)
	defaults.Positive(&o.Ramp, DefaultRamp)
	defaults.Positive(&o.Addresses, DefaultAddresses)
	defaults.Positive(&o.Period, DefaultPeriod)
	return o
}
