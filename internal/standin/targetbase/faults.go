package targetbase

import (
	"bytes"
	"math/rand/v2"
	"sync"
	"time"

	"lynxhill.example/lynxhill/internal/wire/targetapi"
)

// MixKind is a way to spoil an answer, so that the caller's checks have
// something to find.
type MixKind int

// Ways to spoil an answer.
const (
	MixNone     MixKind = iota
	MixIDs              // an answer or frame of another request
	MixGap              // a frame left out (a cut body for an answer that doesn't stream)
	MixTruncate         // a stream that ends early with its connection closed cleanly
	mixKinds    = 3
	mixFrames   = 4 // the spoilt frame is one of the first few
)

// Plan is what the fault switches have in store for one run.
type Plan struct {
	Slow      float64 // factor on the service time
	Fail      bool
	LoseReply bool
	Crash     bool
	Mix       MixKind
	MixAt     int // frame at which a stream is spoilt
}

// faults are the switches of a target.
type faults struct {
	mu           sync.Mutex // guards the fields below
	rng          *rand.Rand
	slow         float64
	fail         float64
	refuse       bool
	leaving      bool
	mix          float64
	lose         float64
	loseNext     int
	marker       []byte
	restartAfter time.Duration
}

func newFaults(seed uint64) *faults {
	return &faults{rng: rand.New(rand.NewPCG(seed, 2)), slow: 1}
}

func (f *faults) set(change func(*faults)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(f)
}

// accepts reports whether new calls are taken, and if not, with what code
// they are refused.
func (f *faults) accepts() (code string, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.leaving:
		return targetapi.CodeLeaving, false
	case f.refuse:
		return targetapi.CodeBusy, false
	}
	return "", true
}

func (f *faults) chance(p float64) bool { return p > 0 && f.rng.Float64() < p }

func (f *faults) plan(req *targetapi.RunRequest) Plan {
	f.mu.Lock()
	defer f.mu.Unlock()
	plan := Plan{Slow: f.slow, Fail: f.chance(f.fail), LoseReply: f.loses()}
	if f.chance(f.mix) {
		plan.Mix = MixKind(1 + f.rng.IntN(mixKinds))
		plan.MixAt = f.rng.IntN(mixFrames)
	}
	plan.Crash = len(f.marker) > 0 && bytes.Contains(req.Input, f.marker)
	return plan
}

func (f *faults) loses() bool {
	if f.loseNext > 0 {
		f.loseNext--
		return true
	}
	return f.chance(f.lose)
}

func (f *faults) restartDelay() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.restartAfter
}

// float returns a random number in [0, 1) of the target's own sequence.
func (f *faults) float() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rng.Float64()
}

// normal returns a normally distributed random number.
func (f *faults) normal() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rng.NormFloat64()
}
