// Package steering answers the callers' question which instances to use. No
// balancer stands before the instances: the answer, which callers keep for a
// while, is all that spreads them.
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
	DefaultKeep      = 30 * time.Second
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
	// Self is the id of this instance.
	Self string
	// Keep is how long callers may keep an answer, before jitter.
	Keep time.Duration
	// Jitter is the share by which the keep time varies from answer to
	// answer, so that callers that asked together do not ask again together.
	Jitter float64
	// Ramp is the time in which a new instance reaches its full weight.
	Ramp time.Duration
	// Addresses is the number of addresses in an answer.
	Addresses int
	// Period is how often the weights are computed without a change.
	Period time.Duration
}

func (o Options) withDefaults() Options {
	defaults.Positive(&o.Keep, DefaultKeep)
	defaults.Positive(&o.Jitter, DefaultJitter)
	defaults.Positive(&o.Ramp, DefaultRamp)
	defaults.Positive(&o.Addresses, DefaultAddresses)
	defaults.Positive(&o.Period, DefaultPeriod)
	return o
}
