// Package loadview maintains the load of each target on the board. Each target is
// polled by a few instances, which gossip its load to the others: heartbeats carry
// digests of load rows within a byte budget. A report's lag is added to its age,
// so that a report never looks newer than it is. Since the instances' clocks
// differ, digests carry ages, not points in time.
package loadview

import (
	"math/rand/v2"
	"time"

	"lynxhill.example/lynxhill/internal/board"
	"lynxhill.example/lynxhill/internal/clock"
	"lynxhill.example/lynxhill/internal/defaults"
	"lynxhill.example/lynxhill/internal/event"
	"lynxhill.example/lynxhill/internal/metrics"
	"lynxhill.example/lynxhill/internal/stagecall"
)

// Defaults of Options.
const (
	DefaultPollEvery        = time.Second
	DefaultPollersPerTarget = 2
	DefaultCachePollEvery   = 5 * time.Second
	DefaultCallTimeout      = 800 * time.Millisecond
	DefaultTransit          = 100 * time.Millisecond
	DefaultMaxLag           = 5 * time.Second
	DefaultMaxGossipAge     = 10 * time.Second
	DefaultMaxPrefixes      = 4096
)

// Options configure a Controller.
type Options struct {
	Caller  stagecall.Caller
	Board   *board.Board
	Clock   clock.Clock
	Rand    *rand.Rand
	Logger  *event.Logger
	Metrics *metrics.Registry
	Self    string
	Zone    string
	Region  string
	// PollEvery is the interval at which each poller of a target requests its load.
	PollEvery time.Duration
	// PollersPerTarget is the number of instances that poll a target.
	PollersPerTarget int
	// CachePollEvery is the interval at which an engine's cache events are requested.
	CachePollEvery time.Duration
	// CallTimeout is the timeout of a poll.
	CallTimeout time.Duration
	// Transit is added to the age of the rows of a digest that does not state how
	// long it can have been in transit.
	Transit time.Duration
	// MaxLag is the greatest difference between a target's clock and the local
	// clock that is treated as lag of the target's reports. If the difference is
	// greater, the target's clock is taken to be wrong.
	MaxLag time.Duration
	// MaxGossipAge is the age up to which rows are forwarded.
	MaxGossipAge time.Duration
	// MaxPrefixes bounds the number of cached prefixes stored per engine.
	MaxPrefixes int
}

func (o Options) withDefaults() Options {
	defaults.Positive(&o.PollEvery, DefaultPollEvery)
	defaults.Positive(&o.CachePollEvery, DefaultCachePollEvery)
	defaults.Positive(&o.CallTimeout, DefaultCallTimeout)
	defaults.Positive(&o.Transit, DefaultTransit)
	defaults.Positive(&o.MaxLag, DefaultMaxLag)
	defaults.Positive(&o.MaxGossipAge, DefaultMaxGossipAge)
	defaults.Positive(&o.PollersPerTarget, DefaultPollersPerTarget)
	defaults.Positive(&o.MaxPrefixes, DefaultMaxPrefixes)
	return o
}
