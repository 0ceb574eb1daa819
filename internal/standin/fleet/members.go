package fleet

import (
	"slices"

	"lynxhill.example/lynxhill/internal/standin/targetbase"
	"lynxhill.example/lynxhill/internal/wire/platformapi"
	"lynxhill.example/lynxhill/internal/wire/targetapi"
)

// Members returns all targets.
func (d *Deployment) Members() []*Member { return slices.Clone(d.members) }

// Member returns the target with an id, nil if there is none.
func (d *Deployment) Member(id string) *Member {
	for _, member := range d.members {
		if member.Instance.ID == id {
			return member
		}
	}
	return nil
}

// Service returns the targets of a service.
func (d *Deployment) Service(name string) []*Member {
	return d.filter(func(m *Member) bool { return m.Instance.Service == name })
}

// Zone returns the targets in a zone.
func (d *Deployment) Zone(name string) []*Member {
	return d.filter(func(m *Member) bool { return m.Instance.Zone == name })
}

func (d *Deployment) filter(keep func(*Member) bool) []*Member {
	var found []*Member
	for _, member := range d.members {
		if keep(member) {
			found = append(found, member)
		}
	}
	return found
}

// Leave begins the planned stop of a target: the instance list says leaving
// (after its lag), and the target refuses new work at once.
func (d *Deployment) Leave(id string) {
	d.setState(id, platformapi.StateLeaving, (*targetbase.Target).Leave)
}

// Return ends Leave.
func (d *Deployment) Return(id string) {
	d.setState(id, platformapi.StateLive, (*targetbase.Target).Return)
}

func (d *Deployment) setState(id, state string, change func(*targetbase.Target)) {
	member := d.Member(id)
	if member == nil {
		return
	}
	instance := member.Instance
	instance.State = state
	d.Platform.SetInstance(instance)
	change(member.Target)
}

// Runs returns the records of all targets.
func (d *Deployment) Runs() []targetapi.RunRecord {
	var all []targetapi.RunRecord
	for _, member := range d.members {
		all = append(all, member.Target.Runs()...)
	}
	return all
}

// CrossedPrevious returns how many runs were given an earlier stage's output
// that belongs to another request.
func (d *Deployment) CrossedPrevious() int {
	total := 0
	for _, member := range d.members {
		total += member.Target.CrossedPrevious()
	}
	return total
}

// RunsOf returns the runs of one key of an organisation, at all targets.
func (d *Deployment) RunsOf(organisation, key string) []targetapi.RunRecord {
	return slices.DeleteFunc(d.Runs(), func(run targetapi.RunRecord) bool {
		return run.Organisation != organisation || run.Key != key
	})
}

// runName is what may run once: a stage of one request of an organisation.
type runName struct {
	organisation string
	request      string
	stage        string
}

func nameOf(run targetapi.RunRecord) runName {
	request := run.Key
	if request == "" {
		request = run.RequestID
	}
	return runName{organisation: run.Organisation, request: request, stage: run.Stage}
}

// DoubledRuns returns the runs, beyond the first, of one key of an
// organisation at one stage (without a key, of one request). The services
// are those whose calls may not be repeated.
func (d *Deployment) DoubledRuns(services ...string) []targetapi.RunRecord {
	seen := make(map[runName]bool)
	var doubled []targetapi.RunRecord
	for _, member := range d.members {
		if !slices.Contains(services, member.Instance.Service) {
			continue
		}
		for _, run := range member.Target.Runs() {
			name := nameOf(run)
			if seen[name] {
				doubled = append(doubled, run)
			}
			seen[name] = true
		}
	}
	return doubled
}
