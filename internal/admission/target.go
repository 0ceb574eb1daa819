package admission

import (
	"time"

	"lynxhill.example/lynxhill/internal/board"
	"lynxhill.example/lynxhill/internal/routing"
)

// quantileRefreshEvery is the number of samples after which cached quantiles are
// recomputed.
const quantileRefreshEvery = 8

// targetState holds what this instance has measured in its own calls of a target.
// It is guarded by the lock of its service.
type targetState struct {
	waitTimes
	starts   []time.Time // start times of the attempts in flight
	limiter  limiter
	ejection ejection
	duration distribution
	median   time.Duration // of duration
	pending  int           // samples since median was computed
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
	t.addWaitTimes(r, now, l)
	if !r.OK {
		return
	}
	t.duration.add(r.Duration, now, l.Window, l.MinSamples)
	t.pending++
	if t.pending >= quantileRefreshEvery || t.median == 0 {
		t.pending = 0
		t.median, _ = t.duration.quantile(0.5, quantileRefreshEvery)
	}
}

// Local implements routing.LocalView. The caller must hold the service's lock.
func (s *service) Local(id string, load board.Load, reported bool) routing.LocalState {
	t := s.targets[id]
	if t == nil {
		return routing.LocalState{Full: reported && s.reportedFull(load, 0, 0)}
	}
	local := routing.LocalState{InFlight: t.inFlight(), Median: t.median}
	if reported {
		local.SentSinceReport = t.sentSince(load.At)
	}
	local.Ejected = t.ejection.excluded(s.now, local.InFlight)
	local.Full = local.InFlight >= t.limiter.maxInFlight(load.Report.Slots, s.limits) ||
		reported && s.reportedFull(load, local.SentSinceReport, t.median)
	return local
}

// reportedFull reports whether the load report of a target says that it is full.
// In a large fleet an instance has less than one call in flight at a target on
// average, so that its own limiter says little and the report has to limit the
// calls. A report that is older than two call durations or FreshLoad is ignored:
// otherwise one report from a burst would keep a target idle until the next
// report.
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
