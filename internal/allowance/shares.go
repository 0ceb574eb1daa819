package allowance

import (
	"maps"
	"slices"
	"time"

	"lynxhill.example/lynxhill/internal/control/rendezvous"
)

// maxSenders is how many targets' senders are remembered; they are worked out
// again if there are more.
const maxSenders = 4096

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
	if limit == s.limit && slices.Equal(instances, s.instances) && len(s.senders) < maxSenders {
		return
	}
	s.instances, s.limit, s.senders = slices.Clone(instances), limit, make(map[string][]string)
}

// Share returns how many requests the instance may send to the target in a
// span: an equal part of the limit, or where there are more instances than it
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

// Window counts what was sent within the last span, by whatever key. It is not
// safe for concurrent use.
type Window struct {
	span time.Duration
	sent map[string][]time.Time
}

// NewWindow returns a window in which nothing was sent.
func NewWindow(span time.Duration) Window { return Window{span: span} }

// Count returns how much was sent for the key.
func (w *Window) Count(key string, now time.Time) int {
	times := slices.DeleteFunc(w.sent[key], func(at time.Time) bool { return now.Sub(at) >= w.span })
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
	if len(w.sent) >= maxKeys {
		maps.DeleteFunc(w.sent, func(_ string, times []time.Time) bool { return now.Sub(times[len(times)-1]) >= w.span })
	}
	w.sent[key] = append(w.sent[key], now)
}

// maxKeys is the number of keys from which on those that nothing was sent for
// lately are dropped.
const maxKeys = 4096
