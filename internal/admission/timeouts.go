package admission

import (
	"time"

	"lynxhill.example/lynxhill/internal/routing"
)

const (
	timeoutQuantile = 0.99
	timeoutFactor   = 3 // times the quantile: rarer than one call in hundreds
)

// Timeouts implements Gate: from the target's own distribution, from its
// service's while the target has too few samples, else the ceilings.
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
	first, firstKnown := firstOf(l, timeoutQuantile, &t.firstByte, &st.firstByte)
	gap, gapKnown := firstOf(l, timeoutQuantile, &t.gap, &st.gap)
	out := Timeouts{
		FirstByte: clamp(timeoutFactor*first, firstKnown, l.FirstByteFloor, l.FirstByteCeil),
		Progress:  clamp(timeoutFactor*gap, gapKnown, l.ProgressFloor, l.ProgressCeil),
	}
	if query.Stage.Idempotent {
		out.HedgeAt = s.hedgeAt(st)
	}
	out.Usual = s.usual(st)
	return out
}

// usual is the stage's, or the whole service's while too little of the stage is
// measured: a token takes much the same time in each. It returns nothing until
// pace and first byte are both measured.
func (s *service) usual(st *stageStats) Usual {
	if st.pace == 0 || st.first == 0 {
		st = &s.all
	}
	if st.pace == 0 || st.first == 0 {
		return Usual{}
	}
	return Usual{FirstByte: st.first, PerToken: st.pace, Tokens: int(st.tokens)}
}

// hedgeAt comes from the stage over all targets: a straggler's own
// distribution would call its slowness usual. With a quarter of the targets
// slow, the 95% quantile is theirs; the median is not, so a multiple of it
// bounds the wait.
func (s *service) hedgeAt(st *stageStats) time.Duration {
	wait, known := st.firstByte.quantile(s.limits.HedgeQuantile, s.limits.MinSamples)
	bound := time.Duration(s.limits.EjectSlowness * float64(st.first))
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

func firstOf(l *GateLimits, q float64, from ...*distribution) (time.Duration, bool) {
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
