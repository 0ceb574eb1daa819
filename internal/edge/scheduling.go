package edge

import (
	"slices"

	"lynxhill.example/lynxhill/internal/stagework"
)

// takeWork takes a job of another instance.
func (i *Instance) takeWork(job stagework.Job) (stagework.Assignment, *stagework.Refusal) {
	if i.ingress.Stopping() {
		return nil, nil
	}
	return i.finder.Take(job)
}

// targetsChanged tells the dispatcher of new routes or targets.
func (i *Instance) targetsChanged() {
	table, view := i.routes.Table(), i.routes.Targets()
	i.dispatcher.SetTargets(table, view)
	cells := i.dispatcher.Cells()
	i.cells.Store(&cells)
}

// currentCells returns the parts into which the stage targets are divided. It
// does not wait for the dispatcher, which may be making a plan.
func (i *Instance) currentCells() []stagework.Cell {
	if cells := i.cells.Load(); cells != nil {
		return *cells
	}
	return []stagework.Cell{{Weight: 1}}
}

// dispatchers returns the instances that may schedule: all that are alive, this
// one unless it is stopping.
func (i *Instance) dispatchers() []string {
	live := i.board.LiveMembers(i.id())
	if i.ingress.Stopping() {
		live = slices.DeleteFunc(live, func(id string) bool { return id == i.id() })
	}
	return live
}

// capacity is the processor time of an instance.
func (i *Instance) capacity(instance string) float64 {
	if instance == i.id() {
		return i.cfg.Ingress.ProcessorShare * max(i.cfg.Ingress.ProcessorCores, 1)
	}
	m, _ := i.board.Members.Get(instance)
	return m.Capacity
}
