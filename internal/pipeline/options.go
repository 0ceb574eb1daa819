package pipeline

import (
	"math/rand/v2"
	"time"

	"github.com/coder/quartz"

	"lynxhill.example/lynxhill/internal/admission"
	"lynxhill.example/lynxhill/internal/claim"
	"lynxhill.example/lynxhill/internal/clock"
	"lynxhill.example/lynxhill/internal/crashguard"
	"lynxhill.example/lynxhill/internal/defaults"
	"lynxhill.example/lynxhill/internal/event"
	"lynxhill.example/lynxhill/internal/invariant"
	"lynxhill.example/lynxhill/internal/metrics"
	"lynxhill.example/lynxhill/internal/outcome"
	"lynxhill.example/lynxhill/internal/profile"
	"lynxhill.example/lynxhill/internal/stagecall"
)

// Defaults of Options.
const (
	DefaultMaxAnswerBytes = 4 << 20
	DefaultMaxAttempts    = 5
)

// Options are the parts that a Runner uses.
type Options struct {
	// Profiles returns the profile in force. A request keeps the version that
	// it was admitted under, whatever comes into force meanwhile.
	Profiles func(name string) (profile.Versioned, bool)
	Gate     admission.Gate
	Caller   stagecall.Caller
	Claims   claim.Claimer
	Remote   outcome.Remote    // nil: holders of claims are not asked
	Crash    *crashguard.Guard // nil: nothing is refused
	Clock    clock.Clock
	Rand     *rand.Rand // used under the Runner's lock
	Self     string     // id of this instance
	Place    string
	Region   string
	Check    *invariant.Checker
	// MaxAnswerBytes bounds the answer of each stage.
	MaxAnswerBytes int
	// MaxAttempts bounds the attempts of one stage, hedges included.
	MaxAttempts int
	// Report is told of every request's end, for service levels. It must not
	// block. Its Outcome holds the stage reports also when err is set.
	Report  func(req Request, prof profile.Versioned, out Outcome, err error)
	Logger  *event.Logger
	Metrics *metrics.Registry
}

func (o Options) withDefaults() Options {
	if o.Clock == nil {
		o.Clock = quartz.NewReal()
	}
	if o.Rand == nil {
		o.Rand = rand.New(rand.NewPCG(1, uint64(o.Clock.Now().UnixNano())))
	}
	defaults.Positive(&o.MaxAnswerBytes, DefaultMaxAnswerBytes)
	defaults.Positive(&o.MaxAttempts, DefaultMaxAttempts)
	return o
}

// jitter returns a random duration between half of d and one and a half of it,
// so that requests that failed together do not come back together.
func (r *Runner) jitter(d time.Duration) time.Duration {
	r.randMu.Lock()
	defer r.randMu.Unlock()
	return d/2 + time.Duration(r.opts.Rand.Int64N(int64(d)+1))
}

// chance reports true once in n calls on average.
func (r *Runner) chance(n int) bool {
	r.randMu.Lock()
	defer r.randMu.Unlock()
	return r.opts.Rand.IntN(n) == 0
}
