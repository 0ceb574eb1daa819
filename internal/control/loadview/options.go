// Package loadview keeps the board's loads: each target is polled by a few
// instances, and digests are passed on with the heartbeats within a budget of
// bytes. Reports are aged by what they lag, and never look newer than they
// are. Clocks of instances differ, so that ages are passed on, not moments.
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
	DefaultPassOnAge        = 10 * time.Second
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
	Place   string
	Region  string
	// PollEvery is how often each poller of a target asks for its load.
	PollEvery time.Duration
	// PollersPerTarget is the number of instances that poll a target.
	PollersPerTarget int
	// CachePollEvery is how often an engine's cache events are asked for.
	CachePollEvery time.Duration
	// CallTimeout is the longest wait for a poll.
	CallTimeout time.Duration
	// Transit is added to the age of passed-on rows whose digest does not say
	// how long it can have been under way.
	Transit time.Duration
	// MaxLag is the greatest difference between a target's clock and ours that
	// counts as the lag of its reports; a greater one counts as a clock that
	// is wrong.
	MaxLag time.Duration
	// PassOnAge is the age up to which rows are passed on.
	PassOnAge time.Duration
	// MaxPrefixes bounds the prefixes remembered of one engine.
	MaxPrefixes int
}

func (o Options) withDefaults() Options {
	defaults.Positive(&o.PollEvery, DefaultPollEvery)
	defaults.Positive(&o.CachePollEvery, DefaultCachePollEvery)
	defaults.Positive(&o.CallTimeout, DefaultCallTimeout)
	defaults.Positive(&o.Transit, DefaultTransit)
	defaults.Positive(&o.MaxLag, DefaultMaxLag)
	defaults.Positive(&o.PassOnAge, DefaultPassOnAge)
	defaults.Positive(&o.PollersPerTarget, DefaultPollersPerTarget)
	defaults.Positive(&o.MaxPrefixes, DefaultMaxPrefixes)
	return o
}
