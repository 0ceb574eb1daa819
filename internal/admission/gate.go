package admission

import (
	"context"
	"expvar"
	"math/rand/v2"
	"sync"
	"time"

	"lynxhill.example/lynxhill/internal/board"
	"lynxhill.example/lynxhill/internal/errkind"
	"lynxhill.example/lynxhill/internal/event"
	"lynxhill.example/lynxhill/internal/metrics"
	"lynxhill.example/lynxhill/internal/profile"
	"lynxhill.example/lynxhill/internal/routing"
)

var (
	metricGranted        = metrics.Define("gate_slots_granted_total", "slots", "Slots on targets given to attempts.")
	metricQueueFull      = metrics.Define("gate_queue_full_total", "attempts", "Attempts that met a full queue of their service.")
	metricUnreachable    = metrics.Define("gate_deadline_unreachable_total", "attempts", "Attempts refused early because they would not have finished in time.")
	metricBudgetRefusals = metrics.Define("gate_repeat_refusals_total", "attempts", "Retries, resumes and hedges refused because the budget for repeats was spent.")
	metricEjections      = metrics.Define("gate_ejections_total", "ejections", "Targets left out for a time because they stood out of their service.")
	metricEjectionsHeld  = metrics.Define("gate_ejections_held_total", "ejections", "Ejections not made because too much of the service was out already.")
	metricWaiting        = metrics.Define("gate_waiting", "attempts", "Attempts that wait for a slot.")
)

type gateCounts struct {
	granted, queueFull, unreachable, budgetRefusals, ejections, ejectionsHeld *expvar.Int
}

// ServiceGate implements Gate with one shard per service.
type ServiceGate struct {
	options GateOptions
	chooser *routing.Chooser
	counts  gateCounts

	mu       sync.RWMutex // guards all below
	services map[string]*service
	limits   *GateLimits
	policy   routing.Policy
}

// NewGate returns a gate that reads the board.
func NewGate(o GateOptions) *ServiceGate {
	limits := o.Limits.WithDefaults()
	if o.Policy == "" {
		o.Policy = routing.PolicyTwoChoices
	}
	g := &ServiceGate{
		options:  o,
		services: make(map[string]*service),
		limits:   &limits,
		policy:   o.Policy,
		chooser: &routing.Chooser{
			Board:  o.Board,
			Index:  routing.NewIndex(o.Board),
			Zone:   o.Zone,
			Region: o.Region,
			Tuning: routing.DefaultTuning(),
		},
	}
	g.counts = gateCounts{
		granted:        o.Metrics.Counter(metricGranted),
		queueFull:      o.Metrics.Counter(metricQueueFull),
		unreachable:    o.Metrics.Counter(metricUnreachable),
		budgetRefusals: o.Metrics.Counter(metricBudgetRefusals),
		ejections:      o.Metrics.Counter(metricEjections),
		ejectionsHeld:  o.Metrics.Counter(metricEjectionsHeld),
	}
	o.Metrics.Func(metricWaiting, func() any { return g.Waiting() })
	return g
}

// ApplyConfig replaces the limits and the policy. Calls in flight and waiters
// are kept.
func (g *ServiceGate) ApplyConfig(policy routing.Policy, limits GateLimits) error {
	limits = limits.WithDefaults()
	if err := limits.Validate(); err != nil {
		return err
	}
	policy, err := routing.ParsePolicy(string(policy))
	if err != nil {
		return err
	}
	g.mu.Lock()
	g.limits, g.policy = &limits, policy
	g.mu.Unlock()
	for _, s := range g.allServices() {
		s.lock(g.options.Clock)
		s.limits, s.policy = &limits, policy
		s.dispatchWaiting()
		s.unlock()
	}
	return nil
}

// Acquire implements Gate. It tries the providers in the organisation's order,
// and goes on to the next only if a provider has no target at all for the call:
// falling back from a provider that is only busy would defeat the operator's
// weights.
func (g *ServiceGate) Acquire(ctx context.Context, want SlotRequest) (Slot, error) {
	if err := ctx.Err(); err != nil {
		return nil, waitError(err)
	}
	query := &want.Query
	err := noTarget(query.Stage.Name)
	for _, provider := range routing.ProviderOrder(query.Stage.Providers, query.Organisation, query.Key) {
		if want.Provider != "" && provider.Name != want.Provider {
			continue
		}
		var s *slot
		s, err = g.acquire(ctx, &want, g.service(provider.Service), provider)
		if err == nil {
			return g.confirmDispatch(s)
		}
		if !errkind.Is(err, errkind.NoTarget) {
			return nil, err
		}
	}
	return nil, err
}

// confirmDispatch releases the slot and refuses the attempt if MayDispatch
// forbids dispatching.
//
// Otherwise a request that was admitted before the process was paused could be
// sent under a profile that has been replaced since. MayDispatch is called after
// the wait for the slot, since the pause may have happened during the wait.
func (g *ServiceGate) confirmDispatch(s *slot) (Slot, error) {
	if g.options.MayDispatch == nil || g.options.MayDispatch() {
		return s, nil
	}
	s.Done(Result{Cancelled: true})
	return nil, errkind.New(errkind.Isolated, "after a pause this instance has not confirmed its configuration yet")
}

func (g *ServiceGate) acquire(ctx context.Context, want *SlotRequest, s *service, provider profile.Provider) (*slot, error) {
	s.lock(g.options.Clock)
	granted, w, err := s.acquireOrEnqueue(want, provider)
	s.unlock()
	if w == nil {
		return granted, err
	}
	return g.wait(ctx, s, w)
}

// wait blocks, with no lock held, until the waiter is resolved, its deadline
// passes or ctx ends.
func (g *ServiceGate) wait(ctx context.Context, s *service, w *waiter) (*slot, error) {
	var expired <-chan time.Time
	if !w.deadline.IsZero() {
		timer := g.options.Clock.NewTimer(g.options.Clock.Until(w.deadline))
		defer timer.Stop()
		expired = timer.C
	}
	select {
	case <-w.ready:
		return w.slot, w.err
	case <-expired:
		return g.abandonWait(s, w, context.DeadlineExceeded)
	case <-ctx.Done():
		return g.abandonWait(s, w, ctx.Err())
	}
}

// abandonWait removes the waiter from the queue. A slot that was granted at the
// same moment is released: otherwise it would stay in use forever.
func (g *ServiceGate) abandonWait(s *service, w *waiter, cause error) (*slot, error) {
	s.lock(g.options.Clock)
	resolved := w.resolved
	if !resolved {
		s.queue.remove(w)
		w.resolve(nil, waitError(cause))
	}
	s.unlock()
	if resolved && w.slot != nil {
		w.slot.Done(Result{Cancelled: true})
		return nil, waitError(cause)
	}
	return nil, w.err
}

func waitError(cause error) error {
	if cause == context.DeadlineExceeded {
		return errkind.New(errkind.DeadlineBeforeRun, "the deadline passed while waiting for a slot")
	}
	return errkind.Wrap(cause, errkind.Cancelled, "while waiting for a slot")
}

func (g *ServiceGate) service(name string) *service {
	g.mu.RLock()
	s := g.services[name]
	g.mu.RUnlock()
	if s != nil {
		return s
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if s = g.services[name]; s != nil {
		return s
	}
	s = &service{
		gate:    g,
		name:    name,
		limits:  g.limits,
		policy:  g.policy,
		rand:    rand.New(rand.NewPCG(g.options.Rand.Uint64(), g.options.Rand.Uint64())),
		targets: make(map[string]*targetState),
		stages:  make(map[string]*stageStats),
		queue:   newQueue(),
	}
	g.services[name] = s
	return s
}

func (g *ServiceGate) allServices() []*service {
	g.mu.RLock()
	defer g.mu.RUnlock()
	all := make([]*service, 0, len(g.services))
	for _, s := range g.services {
		all = append(all, s)
	}
	return all
}

// Waiting returns the number of attempts that wait for a slot.
func (g *ServiceGate) Waiting() int {
	n := 0
	for _, s := range g.allServices() {
		s.mu.Lock()
		n += s.queue.waiting
		s.mu.Unlock()
	}
	return n
}

// InFlight returns the number of slots that are granted and not yet released.
func (g *ServiceGate) InFlight() int {
	n := 0
	for _, s := range g.allServices() {
		s.mu.Lock()
		n += s.inFlight
		s.mu.Unlock()
	}
	return n
}

// markLeaving records on the board that a target is leaving, so that the whole
// instance stops choosing it. sent is when the call was sent that was refused as
// leaving: a call that was sent before the target was last known to be live does
// not mark it, since its refusal is outdated.
func (g *ServiceGate) markLeaving(id string, sent time.Time) {
	marked := g.options.Board.Targets.Update(id, func(old board.Target, found bool) (board.Target, bool) {
		if !found {
			return old, false
		}
		return old.MarkLeaving(sent, g.options.Clock.Now())
	})
	if marked {
		g.options.Logger.Log(event.AdmissionTargetLeaving, "target", id)
	}
}
