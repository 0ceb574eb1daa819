package allowance

import (
	"maps"
	"slices"
	"time"

	"lynxhill.example/lynxhill/internal/control/rendezvous"
)

// maxCachedSenders bounds the targets whose senders are cached; the cache is
// cleared when it is full.
const maxCachedSenders = 4096

// Shares computes how many requests each instance may send to each target under
// one limit. It is not safe for concurrent use.
type Shares struct {
	instances []string            // all that were ever known, sorted
	senders   map[string][]string // by target: instances that may send, if not all may
	limit     int
}

// Set sets the sorted ids of the instances, alive or not, and the limit of a
// target in requests per span. Instances considered dead are included, since
// they may be alive on the other side of a network partition.
func (s *Shares) Set(instances []string, limit int) {
	if limit == s.limit && slices.Equal(instances, s.instances) && len(s.senders) < maxCachedSenders {
		return
	}
	s.instances, s.limit, s.senders = slices.Clone(instances), limit, make(map[string][]string)
}

// Share returns how many requests the instance may send to the target per
// span: an equal part of the limit, rounded down. If there are more instances
// than the limit allows requests, it is 1 for as many instances as the limit
// allows, chosen by rendezvous hashing, and 0 for the others.
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

// Window counts the requests sent within the last span, by key. It is not safe
// for concurrent use.
type Window struct {
	span time.Duration
	sent map[string][]time.Time
}

// NewWindow returns an empty window of the given length.
func NewWindow(span time.Duration) Window { return Window{span: span} }

// Count returns how many requests were sent for the key within the span before
// now.
func (w *Window) Count(key string, now time.Time) int {
	times := slices.DeleteFunc(w.sent[key], func(at time.Time) bool { return now.Sub(at) >= w.span })
	if len(times) == 0 {
		delete(w.sent, key)
		return 0
	}
	w.sent[key] = times
	return len(times)
}

// Add counts one request for the key at the time now.
func (w *Window) Add(key string, now time.Time) {
	if w.sent == nil {
		w.sent = make(map[string][]time.Time)
	}
	if len(w.sent) >= maxKeys {
		maps.DeleteFunc(w.sent, func(_ string, times []time.Time) bool { return now.Sub(times[len(times)-1]) >= w.span })
	}
	w.sent[key] = append(w.sent[key], now)
}

// maxKeys is the number of keys at which Add first removes the keys without a
// request in the last span.
const maxKeys = 4096
