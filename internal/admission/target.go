package admission

import (
	"time"

	"lynxhill.example/lynxhill/internal/board"
	"lynxhill.example/lynxhill/internal/routing"
)

// medianEvery is after how many samples a cached quantile is computed anew.
const medianEvery = 8

// targetState is what this instance knows of a target from its own calls. It
// is guarded by the lock of its service.
type targetState struct {
	silences
	starts   []time.Time // of the attempts in flight
	limiter  limiter
	ejection ejection
	duration distribution
	median   time.Duration
	pending  int // samples since median was computed
}

func (t *targetState) inFlight() int { return len(t.starts) }

func (t *targetState) sentSince(at time.Time) int {
	n := 0
	for _, start := range t.starts {
		if start.After(at) {
			n++
		}
	}
	return n
}

func (t *targetState) begin(now time.Time) { t.starts = append(t.starts, now) }

func (t *targetState) end(began time.Time) {
	last := len(t.starts) - 1
	for i, start := range t.starts {
		if start.Equal(began) {
			t.starts[i] = t.starts[last]
			t.starts = t.starts[:last]
			return
		}
	}
}

func (t *targetState) measure(r Result, now time.Time, l *GateLimits) {
	t.addSilences(r, now, l)
	if !r.OK {
		return
	}
	t.duration.add(r.Duration, now, l.Window, l.MinSamples)
	t.pending++
	if t.pending >= medianEvery || t.median == 0 {
		t.pending = 0
		t.median, _ = t.duration.quantile(0.5, medianEvery)
	}
}

// Local implements routing.LocalView. The service's lock is held.
func (s *service) Local(id string, load board.Load, reported bool) routing.Local {
	t := s.targets[id]
	if t == nil {
		return routing.Local{Full: reported && s.reportedFull(load, 0, 0)}
	}
	local := routing.Local{InFlight: t.inFlight(), Median: t.median}
	if reported {
		local.SentSince = t.sentSince(load.At)
	}
	local.Ejected = t.ejection.out(s.now, local.InFlight)
	local.Full = local.InFlight >= t.limiter.room(load.Report.Slots, s.limits) ||
		reported && s.reportedFull(load, local.SentSince, t.median)
	return local
}

// reportedFull reports whether a target says itself that it is full. At size
// an instance has fewer calls at a target than one, so that its own limit says
// little and the report has to hold back. A report older than two calls, or
// FreshLoad, says nothing of now: otherwise one report from a burst would keep
// a target idle until the next.
func (s *service) reportedFull(load board.Load, sentSince int, median time.Duration) bool {
	r := load.Report
	if r.Slots <= 0 {
		return false
	}
	if median == 0 {
		median = time.Duration(r.MeanMS * float64(time.Millisecond))
	}
	fresh := s.limits.FreshLoad
	if median > 0 {
		fresh = min(fresh, 2*median)
	}
	if s.now.Sub(load.At) > fresh {
		return false
	}
	return float64(r.Running+r.Queued+sentSince) >= float64(r.Slots)*s.limits.Overcommit
}
