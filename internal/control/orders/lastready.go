package orders

import (
	"lynxhill.example/lynxhill/internal/invariant"
	"lynxhill.example/lynxhill/internal/wire/targetapi"
)

// lastReady checks the invariant that this instance's own orders never remove the
// last ready engine of a model version in force. It compares the reported states
// before and after the orders; an engine that died or was restarted is not a
// violation.
type lastReady struct {
	ready    map[ModelVersion][]string // engines that were ready, for each version in force
	unloaded map[string]ModelVersion   // engines that an unload was sent to since, with its version
}

// snapshot records the ready engines before orders are sent.
func (l *lastReady) snapshot(f PlanInput) {
	l.ready = make(map[ModelVersion][]string)
	l.unloaded = make(map[string]ModelVersion)
	for _, w := range f.Wants {
		for _, e := range f.Engines {
			if e.readyOn(w.ModelVersion) {
				l.ready[w.ModelVersion] = append(l.ready[w.ModelVersion], e.ID)
			}
		}
	}
}

func (s *service) recordUnload(step Step) {
	if step.Order.Kind == targetapi.OrderUnload && s.guard.unloaded != nil {
		s.guard.unloaded[step.Engine] = ModelVersion{Model: step.Order.Model, Version: step.Order.Version}
	}
}

// checkLastReady checks the invariant against the states read after the orders.
func (c *Controller) checkLastReady(s *service, engines []Engine) {
	for v, before := range s.guard.ready {
		if countReady(engines, v) > 0 {
			continue
		}
		ours := 0
		for _, id := range before {
			if s.guard.unloaded[id] == v {
				ours++
			}
		}
		c.opts.Checker.Check(ours < len(before), invariant.LastReadyKept,
			"%s %s of %s was unloaded from all of %v", v.Model, v.Version, s.name, before)
	}
}
