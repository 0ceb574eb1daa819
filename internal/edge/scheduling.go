package edge

import (
	"slices"

	"lynxhill.example/lynxhill/internal/board"
	"lynxhill.example/lynxhill/internal/stagework"
)

// acceptJob accepts a job from another instance unless this one is stopping.
func (i *Instance) acceptJob(job stagework.Job) (stagework.Assignment, *stagework.Refusal) {
	if i.ingress.Stopping() {
		return nil, nil
	}
	return i.finder.Accept(job)
}

// updateDispatcher passes the current routes and targets to the dispatcher, and to the
// origins of streams.
func (i *Instance) updateDispatcher() {
	table, view := i.routes.Table(), i.routes.Targets()
	i.dispatcher.SetTargets(table, view)
	i.origins.Observe(view, table)
	cells := i.dispatcher.Cells()
	i.cells.Store(&cells)
}

// currentCells returns the cells into which the stage targets are partitioned. It does
// not wait for the dispatcher, which may be computing a plan.
func (i *Instance) currentCells() []stagework.Cell {
	if cells := i.cells.Load(); cells != nil {
		return *cells
	}
	return []stagework.Cell{{Weight: 1}}
}

// dispatcherCandidates returns the instances that may schedule: all that are alive, but
// not this one if it is stopping.
func (i *Instance) dispatcherCandidates() []string {
	live := i.board.LiveMembers(i.id())
	if i.ingress.Stopping() {
		live = slices.DeleteFunc(slices.Clone(live), func(id string) bool { return id == i.id() })
	}
	return live
}

// schedulers returns the dispatcherCandidates that may schedule stage work for this
// instance.
func (i *Instance) schedulers() []string { return i.withoutOlderBuilds(i.dispatcherCandidates()) }

// withoutOlderBuilds leaves out the instances whose build may mix up the results of stages,
// unless there is no other. They serve beside this one while builds of before and after a
// change do.
func (i *Instance) withoutOlderBuilds(candidates []string) []string {
	if !slices.ContainsFunc(candidates, i.mayMixUpResults) {
		return candidates
	}
	safe := slices.DeleteFunc(slices.Clone(candidates), i.mayMixUpResults)
	if len(safe) == 0 {
		return candidates
	}
	return safe
}

// mayMixUpResults reports whether the instance is known to lack board.StageCallsApart.
func (i *Instance) mayMixUpResults(instance string) bool {
	m, known := i.board.Members.Get(instance)
	met := known && m.Incarnation > 0 // otherwise it is only on the platform's list
	return instance != i.id() && met && !m.Features.Has(board.StageCallsApart)
}

// capacity returns the processor capacity of an instance, its share of a core times its
// number of cores.
func (i *Instance) capacity(instance string) float64 {
	if instance == i.id() {
		return i.cfg.Ingress.ProcessorShare * max(i.cfg.Ingress.ProcessorCores, 1)
	}
	m, _ := i.board.Members.Get(instance)
	return m.Capacity
}
