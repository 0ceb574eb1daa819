package admission

import (
	"time"

	"lynxhill.example/lynxhill/internal/routing"
)

const (
	timeoutQuantile = 0.99
	timeoutFactor   = 3 // times the quantile, so that fewer than one normal call in hundreds times out
)

// Timeouts implements Gate. It uses the distribution of the target, that of the
// stage over all targets while the target has too few samples, or else the
// ceilings.
func (g *ServiceGate) Timeouts(choice routing.Choice, query routing.Query) Timeouts {
	s := g.service(choice.Provider.Service)
	s.lock(g.options.Clock)
	defer s.unlock()
	l := s.limits
	t := s.targets[choice.Target.ID]
	if t == nil {
		t = &targetState{}
	}
	st := s.stage(query.Stage.Name)
	first, firstKnown := firstQuantile(l, timeoutQuantile, &t.firstByte, &st.firstByte)
	gap, gapKnown := firstQuantile(l, timeoutQuantile, &t.gap, &st.gap)
	out := Timeouts{
		FirstByte: clamp(timeoutFactor*first, firstKnown, l.FirstByteFloor, l.FirstByteCeil),
		Progress:  clamp(timeoutFactor*gap, gapKnown, l.ProgressFloor, l.ProgressCeil),
	}
	if query.Stage.Idempotent {
		out.HedgeDelay = s.hedgeDelay(st)
	}
	out.Typical = s.typical(st)
	return out
}

// typical returns the typical values of the stage, or of the whole service while
// the stage has too few samples: the time per token is similar in all stages. It
// returns zero until the time per token and the time to the first byte are both
// measured.
func (s *service) typical(st *stageStats) Typical {
	if st.medianPerToken == 0 || st.medianFirstByte == 0 {
		st = &s.all
	}
	if st.medianPerToken == 0 || st.medianFirstByte == 0 {
		return Typical{}
	}
	return Typical{FirstByte: st.medianFirstByte, PerToken: st.medianPerToken, Tokens: int(st.tokens)}
}

// hedgeDelay derives the delay from the stage over all targets: by a straggler's
// own distribution, its slowness would be normal. With a quarter of the targets
// slow, the 95% quantile is theirs; the median is not, so a multiple of the
// median bounds the delay.
func (s *service) hedgeDelay(st *stageStats) time.Duration {
	wait, known := st.firstByte.quantile(s.limits.HedgeQuantile, s.limits.MinSamples)
	bound := time.Duration(s.limits.EjectSlowness * float64(st.medianFirstByte))
	switch {
	case !known && bound == 0:
		return 0
	case !known:
		wait = bound
	case bound > 0:
		wait = min(wait, bound)
	}
	return max(wait, s.limits.HedgeFloor)
}

func firstQuantile(l *GateLimits, q float64, from ...*distribution) (time.Duration, bool) {
	for _, d := range from {
		if v, ok := d.quantile(q, l.MinSamples); ok {
			return v, true
		}
	}
	return 0, false
}

func clamp(v time.Duration, known bool, floor, ceil time.Duration) time.Duration {
	if !known {
		return ceil
	}
	return min(max(v, floor), ceil)
}

// Quantile implements Gate.
func (g *ServiceGate) Quantile(service, stage string, q float64) (time.Duration, bool) {
	g.mu.RLock()
	s := g.services[service]
	g.mu.RUnlock()
	if s == nil {
		return 0, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stages[stage]
	if st == nil {
		return 0, false
	}
	return st.total.quantile(q, s.limits.MinSamples)
}
