package platform

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// OutageMode is how the platform fails.
type OutageMode int

// Outage modes.
const (
	// OutageNone: the platform works.
	OutageNone OutageMode = iota
	// OutageRefuse: every call is answered 503.
	OutageRefuse
	// OutageHang: no call is answered until the outage ends.
	OutageHang
)

// Kind is a kind of call, for the counters and the rate limits.
type Kind string

// Kinds of calls.
const (
	KindGet       Kind = "get"
	KindList      Kind = "list"
	KindPut       Kind = "put"
	KindDelete    Kind = "delete"
	KindWatch     Kind = "watch"
	KindInstances Kind = "instances"
	KindRegister  Kind = "register"
)

// writes tells whether the call counts against the limit of writes. All
// others, a waiting watch too, count as a read.
func (k Kind) writes() bool {
	return k == KindPut || k == KindDelete || k == KindRegister
}

// Limits are the platform's rate limits; 0 means none.
type Limits struct {
	WritesPerSecond float64
	ReadsPerSecond  float64
}

// faults are the switches of a platform.
type faults struct {
	mu         sync.Mutex // guards the fields below
	rng        *rand.Rand
	outage     OutageMode
	outageOver chan struct{} // closed when the outage ends
	delay      time.Duration
	jitter     time.Duration
	loseRate   float64
	loseNext   int
	writes     *rate.Limiter
	reads      *rate.Limiter
}

func newFaults(seed uint64, limits Limits) *faults {
	f := &faults{rng: rand.New(rand.NewPCG(seed, 1)), outageOver: make(chan struct{})}
	f.setLimits(limits)
	return f
}

func (f *faults) setLimits(limits Limits) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.writes = limiter(limits.WritesPerSecond)
	f.reads = limiter(limits.ReadsPerSecond)
}

// limiter allows a burst of a tenth of a second's calls.
func limiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 1)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond/10)))
}

func (f *faults) allow(kind Kind) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if kind.writes() {
		return f.writes.Allow()
	}
	return f.reads.Allow()
}

func (f *faults) setOutage(mode OutageMode) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.outage = mode
	close(f.outageOver)
	f.outageOver = make(chan struct{})
}

func (f *faults) outageNow() (OutageMode, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.outage, f.outageOver
}

func (f *faults) setDelay(base, jitter time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.delay, f.jitter = base, jitter
}

func (f *faults) nextDelay() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.jitter <= 0 {
		return f.delay
	}
	return f.delay + time.Duration(f.rng.Int64N(int64(f.jitter)))
}

func (f *faults) setLose(share float64, next int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.loseRate, f.loseNext = share, next
}

// loseReply decides whether the reply to a write that took effect is lost.
func (f *faults) loseReply() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.loseNext > 0 {
		f.loseNext--
		return true
	}
	return f.loseRate > 0 && f.rng.Float64() < f.loseRate
}

// dropConnection ends the call without an answer: HTTP/1.1 closes the
// connection, HTTP/2 resets the stream.
func dropConnection() { panic(http.ErrAbortHandler) }
