package forwarding

import (
	"slices"
	"time"

	"lynxhill.example/lynxhill/internal/stagework"
)

// job returns the job to submit to the dispatcher.
func (ef *engineFlight) job() stagework.Job {
	aim, deadline := ef.nextEventTimes()
	j := stagework.Job{
		ID: ef.Request.ID, Key: ef.Request.PieceKey, Route: ef.Route.Name, Priority: ef.priority(), RoutePriority: ef.Route.Priority,
		Arrived: ef.Arrived, OnTimeUntil: aim, Deadline: deadline,
		Stages: ef.Route.Stages, Pieces: ef.Request.Pieces, Service: ef.service,
		Prompt: ef.Request.Prompt, Zone: ef.o.Zone, Results: ef.earlierResults,
		ExcludedEngines: slices.Concat(ef.brokenEngines, ef.excludedTargets(), ef.pausedTargets()),
	}
	if ef.Organisation != nil {
		j.Organisation = ef.Organisation.Name
	}
	if !ef.mayHaveRun { // otherwise its caller is not told to come back
		j.CallerKey = ef.callerKey()
	}
	ef.bind(&j)
	return j
}

// bind restricts the job to engines of the software version that the stream began at.
// It also excludes all others by id, for dispatchers that do not know the restriction.
func (ef *engineFlight) bind(j *stagework.Job) {
	if ef.build == nil {
		return
	}
	j.Binding = &stagework.Binding{Build: *ef.build}
	for _, t := range ef.o.Targets().Ready(ef.service) {
		if ef.mayRunAt(t) {
			j.Binding.Zones = append(j.Binding.Zones, t.Zone)
		} else {
			j.ExcludedEngines = append(j.ExcludedEngines, t.ID)
		}
	}
}

// nextEventTimes returns the target time and the deadline of the next event to the
// caller; without an event by the deadline the caller gives up. Both are relative
// to the arrival of the request until the response has begun, and to the present
// afterwards.
func (ef *engineFlight) nextEventTimes() (aim, deadline time.Time) {
	if !ef.stream.begun() {
		return ef.Arrived.Add(ef.latencyTarget()), ef.firstResponseDeadline()
	}
	now := ef.o.Clock.Now()
	deadline = ef.deadline
	if ef.Route.AbandonAfter > 0 && now.Add(ef.Route.AbandonAfter).Before(deadline) {
		deadline = now.Add(ef.Route.AbandonAfter)
	}
	return now.Add(ef.latencyTarget()), deadline
}

// latencyTarget returns the time within which the first event is on time.
func (fl *flight) latencyTarget() time.Duration {
	if fl.Route.LatencyObjective > 0 {
		return fl.Route.LatencyObjective
	}
	return fl.timeout()
}
