// Package coldstart shares out among the instances what targets that have just
// started may get: few requests a second, summed over all instances, beyond
// which such a target crashes. It does no I/O and is given the time.
//
// The share follows from the names of the instances alone. Nothing is agreed
// for it and nothing is counted together, so that the sum keeps to the bound
// while instances are cut off from each other, hold each other for dead, die
// and start again: an instance that is down leaves its share unused. Two things
// would break that, and both are kept from it. Instances whose lists differ
// rank differently; each that only one of two lists names adds one sender at
// most, which is what the bound's tolerance is kept for. An instance that
// starts again does not know what it sent a moment ago, so it sends nothing to
// cold targets in its first Span.
package coldstart

import (
	"math"
	"slices"
	"time"

	"lynxhill.example/lynxhill/internal/control/rendezvous"
)

// Span is the time over which requests are counted. It is a second and a
// little, since the bound holds for any second and timers are not exact.
const Span = 1050 * time.Millisecond

// Limit is how many requests all instances together may send to a target in a
// Span: the declared rate times what operators let it be exceeded by.
func Limit(rate, overage float64) int {
	return int(math.Floor(rate * max(overage, 1)))
}

// Shares knows which instance may send how much to which target. It is not safe
// for concurrent use.
type Shares struct {
	instances []string            // that were ever heard of, in order
	senders   map[string][]string // by target: those with a share, if not all have one
	limit     int
}

// Set takes in the instances, alive or not, in order, and the limit of a
// target. Dead ones count: who holds them for dead may be cut off from them.
func (s *Shares) Set(instances []string, limit int) {
	if limit == s.limit && slices.Equal(instances, s.instances) {
		return
	}
	s.instances, s.limit, s.senders = slices.Clone(instances), limit, make(map[string][]string)
}

// Share returns how many requests the instance may send to the target in a
// Span: an equal part of the limit, or where there are more instances than it
// allows requests, one request for as many instances as it allows.
func (s *Shares) Share(instance, target string) int {
	if !slices.Contains(s.instances, instance) {
		return 0
	}
	if each := s.limit / len(s.instances); each > 0 {
		return each
	}
	senders, known := s.senders[target]
	if !known {
		senders = rendezvous.Top("coldstart/"+target, s.instances, max(s.limit, 0))
		s.senders[target] = senders
	}
	if slices.Contains(senders, instance) {
		return 1
	}
	return 0
}

// Window counts what was sent within the last Span, by whatever key. It is not
// safe for concurrent use.
type Window struct {
	sent map[string][]time.Time
}

// Count returns how much was sent for the key.
func (w *Window) Count(key string, now time.Time) int {
	times := slices.DeleteFunc(w.sent[key], func(at time.Time) bool { return now.Sub(at) >= Span })
	if len(times) == 0 {
		delete(w.sent, key)
		return 0
	}
	w.sent[key] = times
	return len(times)
}

// Add counts one more.
func (w *Window) Add(key string, now time.Time) {
	if w.sent == nil {
		w.sent = make(map[string][]time.Time)
	}
	w.sent[key] = append(w.sent[key], now)
}
