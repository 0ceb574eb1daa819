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

// Options holds the dependencies and limits of a Runner.
type Options struct {
	// Profiles returns the profile that is in force. A request keeps the version
	// that it started with, even if another one comes into force meanwhile.
	Profiles       func(name string) (profile.Versioned, bool)
	Gate           admission.Gate
	Caller         stagecall.Caller
	Claims         claim.Claimer
	RemoteOutcomes outcome.Remote    // nil: instances that hold claims are not asked for outcomes
	CrashGuard     *crashguard.Guard // nil: no request is refused
	Clock          clock.Clock
	Rand           *rand.Rand // used under the Runner's lock
	InstanceID     string     // ID of this instance
	Zone           string     // availability zone of this instance
	Region         string     // region of this instance
	Invariants     *invariant.Checker
	// MaxAnswerBytes is the maximum size of the answer of each stage.
	MaxAnswerBytes int
	// MaxAttempts is the maximum number of attempts of one stage, including
	// hedges.
	MaxAttempts int
	// Report is called at the end of every request, for service levels. It must
	// not block. The Outcome holds the stage reports even if err is set.
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

// jitter returns a random duration between 0.5 d and 1.5 d, so that requests that
// failed at the same time are not retried at the same time.
func (r *Runner) jitter(d time.Duration) time.Duration {
	r.randMu.Lock()
	defer r.randMu.Unlock()
	return d/2 + time.Duration(r.opts.Rand.Int64N(int64(d)+1))
}

// chance returns true with a probability of 1/n.
func (r *Runner) chance(n int) bool {
	r.randMu.Lock()
	defer r.randMu.Unlock()
	return r.opts.Rand.IntN(n) == 0
}
