package slotqueue

import (
	"time"

	"lynxhill.example/lynxhill/internal/fleet"
	"lynxhill.example/lynxhill/internal/relay"
)

const (
	// A target that does not respond gets no request for firstBackoff; the time doubles
	// with each further failure up to maxBackoff. After it, one request at a time is tried.
	firstBackoff = 100 * time.Millisecond
	maxBackoff   = 5 * time.Second
	// refusedBackoff is that of a target that refused a request that had a slot: others
	// use it, or it pauses its senders.
	refusedBackoff    = 50 * time.Millisecond
	maxRefusedBackoff = time.Second
	// errorsInSequence is the number of server errors in sequence from which on a target
	// counts as failing: one that fails at once would otherwise always have free slots. It
	// doesn't if another one fails too, since then it may be the requests that cause it.
	errorsInSequence = 3
	maxErrorBackoff  = time.Second
	// foreignWindow is the time over which the least foreign load counts: grants and
	// releases on their way between instances look like foreign load for a moment.
	foreignWindow = 100 * time.Millisecond
	// foreignForget is the age at which a foreign load counts no longer.
	foreignForget = 500 * time.Millisecond
	// unstatedPaceWeight is the weight of the newest response in the pace of a target that
	// states none.
	unstatedPaceWeight = 0.2
)

// target is what a queue knows of one target.
type target struct {
	fleet.Target
	listed bool
	slots  int // as last stated or listed
	used   int // slots of requests that this queue knows
	bytes  int64
	pace   paceHist

	failures int // in sequence
	errors   int // server errors in sequence
	until    time.Time
	probing  bool // the backoff is over, no response yet
	tokens   rateBucket

	foreign foreignLoad
}

// foreignLoad is the least load beyond this queue's requests in the last two windows.
type foreignLoad struct {
	began         time.Time
	current, last int
	stated        time.Time
}

func (f *foreignLoad) add(n int, now time.Time) {
	if now.Sub(f.began) >= foreignWindow {
		f.last = f.current
		if now.Sub(f.stated) > foreignForget {
			f.last = n
		}
		f.began, f.current = now, n
	}
	f.current, f.stated = min(f.current, n), now
}

func (f *foreignLoad) slots(now time.Time) int {
	if f.stated.IsZero() || now.Sub(f.stated) > foreignForget {
		return 0
	}
	return min(f.current, f.last)
}

// state notes the load that the target stated with a response, while the request that it
// responded to still counts as used.
func (t *target) state(l *relay.Load, now time.Time) {
	if l == nil {
		return
	}
	if l.Slots > 0 {
		t.slots = l.Slots
	}
	t.foreign.add(max(l.Running+l.Waiting-t.used, 0), now)
}

// free returns the number of free slots for new requests.
func (t *target) free(now time.Time) int {
	if !t.usable(now) {
		return 0
	}
	if t.probing {
		return max(1-t.used, 0)
	}
	return max(t.slots-t.used-t.foreign.slots(now), 0)
}

// usable reports whether the target may get requests at all.
func (t *target) usable(now time.Time) bool {
	return t.listed && !t.Draining && t.slots > 0 && !now.Before(t.until)
}

// fits reports whether the body keeps within the bound of what the target holds.
func (t *target) fits(body, bound int64) bool { return bound <= 0 || t.bytes+body <= bound }

// ended notes how a request ended and returns the backoff that begins with it, 0 = none.
// alone says that no other target has failed its latest request.
func (t *target) ended(o Outcome, alone bool, now time.Time) time.Duration {
	switch o {
	case Answered:
		t.failures, t.errors, t.probing = 0, 0, false
		return 0
	case ServerError:
		t.errors++
		t.probing = false
		if t.errors < errorsInSequence || !alone {
			return 0
		}
		return t.backOff(firstBackoff, maxErrorBackoff, now)
	case NoResponse:
		return t.backOff(firstBackoff, maxBackoff, now)
	case Refused:
		return t.backOff(refusedBackoff, maxRefusedBackoff, now)
	default:
		return 0
	}
}

func (t *target) backOff(first, longest time.Duration, now time.Time) time.Duration {
	if now.Before(t.until) {
		return 0 // requests that were sent before the backoff began are one failure
	}
	d := longest
	if t.failures < 16 {
		d = min(first<<t.failures, longest)
	}
	t.failures++
	t.until, t.probing = now.Add(d), true
	return d
}

// rateBucket bounds the requests of a target that accepts so many per second.
type rateBucket struct {
	at time.Time // earliest time of the next request
}

func (b *rateBucket) allows(now time.Time) bool { return !now.Before(b.at) }

func (b *rateBucket) take(rate float64, now time.Time) {
	next := b.at
	if next.Before(now) {
		next = now
	}
	b.at = next.Add(seconds(1 / rate))
}

// String returns the outcome's name in log lines.
func (o Outcome) String() string {
	switch o {
	case Answered:
		return "answered"
	case ServerError:
		return "server error"
	case NoResponse:
		return "no response"
	case Refused:
		return "refused"
	default:
		return "unknown"
	}
}
