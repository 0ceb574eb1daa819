package stagework

import (
	"cmp"
	"slices"
	"time"
)

// Rule says why a job is late.
type Rule int

// The rules.
const (
	// RuleNoCapacity: the targets cannot serve all jobs in time, and this one
	// takes the most of their time.
	RuleNoCapacity Rule = iota
	// RulePriority: more urgent jobs take the capacity.
	RulePriority
	// RuleOrganisation: its organisation is above its share.
	RuleOrganisation
	// RuleSize: a size class of its route has been on time too rarely.
	RuleSize
	ruleCount
)

// String returns the name of the rule in logs and metrics.
func (r Rule) String() string {
	return [...]string{"no_capacity", "priority", "organisation", "size"}[r]
}

// maxVictims is the maximum number of jobs that become late for one of an
// organisation or size class that gets too little. Large jobs may need the
// capacity of several small ones.
const maxVictims = 4

// Parameters of the penalty for jobs that use more than their share.
const (
	// overusePenalty is the factor by which the predicted wait is increased for
	// each part by which an organisation is above its share, at most
	// maxOverusePenalty. A job that has been started does not become late for
	// others, so most of those of a large organisation would keep what they have
	// if the scarce service is not that of their first stage.
	overusePenalty    = 4.0
	maxOverusePenalty = 4.0
	// floorPenalty is that for jobs while a less urgent priority gets less than
	// its floor.
	floorPenalty = 1.0
)

// sharePenalty is the factor by which the predicted wait of a job is increased
// when it is classified, because its organisation is above its share, or a less
// urgent priority below its floor. It is 0 without shares.
func (v *service) sharePenalty(j *job, now time.Time) float64 {
	s := j.shares.of(v)
	if s == nil || j.shares.promoted {
		return 0
	}
	penalty := 0.0
	if v.owesFloor(j.Priority, now) {
		penalty = floorPenalty
	}
	if use := j.standing(v, now).overuse; use > 0 {
		penalty += min(overusePenalty*(use/v.shares.priority(j.Priority).maxMinLevel(now)-1), maxOverusePenalty)
	}
	return penalty
}

// classifyShared is classify with shares. Work that is less urgent than a job
// does not count for it, even if it was started: it runs after it.
func (p *Planner) classifyShared(j *job, now time.Time) {
	p.countShares(j, now)
	f := p.newForecast(now)
	var committed, accepted []*job
	waiting := make([]*job, 0, len(p.urgencyQueue.jobs)+1)
	for _, other := range p.urgencyQueue.jobs {
		switch {
		case other.late:
		case other.committed():
			committed = append(committed, other)
		default:
			waiting = append(waiting, other)
		}
	}
	at, _ := slices.BinarySearchFunc(waiting, j, byUrgency)
	for _, next := range slices.Insert(waiting, at, j) {
		for len(committed) > 0 && committed[0].urgency <= next.urgency {
			f.add(committed[0])
			committed = committed[1:]
		}
		bottleneck := f.bottleneck(next)
		if f.onTime(next, bottleneck) {
			f.add(next)
			accepted = append(accepted, next)
			continue
		}
		victims, rule := p.victims(next, bottleneck, accepted, f)
		if victims[0] != next {
			f.add(next)
			accepted = slices.DeleteFunc(accepted, func(t *job) bool { return slices.Contains(victims, t) })
			accepted = append(accepted, next)
		}
		for _, t := range victims {
			p.becomesLate(t, rule, bottleneck, now)
			if bottleneck != nil {
				bottleneck.fairnessFor(t).stats(t.Route, now).late++
			}
		}
	}
}

// victimChoice selects the jobs that become late for another one.
type victimChoice struct {
	shareStanding // of next
	next          *job
	v             *service // the bottleneck
	now           time.Time
	work          time.Duration
	spared        bool // a job was passed over because of its size class
	urgent        bool // more urgent jobs use the bottleneck
}

// victimCandidate is an accepted job that may become late.
type victimCandidate struct {
	*job
	shareStanding
	work time.Duration
}

// victims returns the jobs that become late for next to be on time, whose work is
// dropped from the forecast; next itself if there are none. They are chosen by
// the overuse of their organisations, then by size class, then by their work at
// the bottleneck service.
func (p *Planner) victims(next *job, bottleneck *service, accepted []*job, f *forecast) ([]*job, Rule) {
	if bottleneck == nil {
		return []*job{next}, RuleNoCapacity
	}
	c := &victimChoice{next: next, v: bottleneck, now: f.now, work: next.workAt(bottleneck), shareStanding: next.standing(bottleneck, f.now)}
	byFloor, byOrganisation, bySize, byWork := c.candidates(accepted)
	for _, g := range []struct {
		rule Rule
		jobs []victimCandidate
	}{{RulePriority, byFloor}, {RuleOrganisation, byOrganisation}, {RuleSize, bySize}, {RuleNoCapacity, byWork}} {
		if dropped := f.dropUntilOnTime(next, bottleneck, g.jobs); dropped != nil {
			return dropped, g.rule
		}
	}
	return []*job{next}, c.ownRule()
}

// candidates returns the jobs that may become late for next by each rule, in the
// order in which they do.
func (c *victimChoice) candidates(accepted []*job) (byFloor, byOrganisation, bySize, byWork []victimCandidate) {
	for _, t := range accepted {
		work := t.workAt(c.v)
		if work == 0 {
			continue
		}
		if t.urgency < c.next.urgency {
			c.urgent = true
			continue
		}
		if t.shares.promoted {
			continue
		}
		x := victimCandidate{t, t.standing(c.v, c.now), work}
		switch {
		case c.next.shares.promoted && t.Priority < c.next.Priority:
			byFloor = append(byFloor, x)
		case x.overuse > c.overuse && t.Organisation != c.next.Organisation:
			byOrganisation = append(byOrganisation, x)
		case x.overuse < c.overuse:
		case x.protected:
			c.spared = c.spared || work > c.work
		case c.protected && work <= c.work:
			bySize = append(bySize, x)
		case work > c.work:
			byWork = append(byWork, x)
		}
	}
	slices.SortStableFunc(byFloor, victimCandidate.compare)
	slices.SortStableFunc(byOrganisation, victimCandidate.compare)
	slices.SortStableFunc(bySize, victimCandidate.compare)
	slices.SortStableFunc(byWork, victimCandidate.compare)
	return byFloor, byOrganisation, bySize, byWork[:min(len(byWork), 1)]
}

// compare orders candidates: overuse first, unprotected ones first, the most
// work first.
func (a victimCandidate) compare(b victimCandidate) int {
	if c := cmp.Compare(b.overuse, a.overuse); c != 0 {
		return c
	}
	if a.protected != b.protected {
		if a.protected {
			return 1
		}
		return -1
	}
	return cmp.Compare(b.work, a.work)
}

// dropUntilOnTime drops the first candidates, as few as necessary for next to be
// on time, and returns them. If they are not enough, none is dropped.
func (f *forecast) dropUntilOnTime(next *job, bottleneck *service, from []victimCandidate) (dropped []*job) {
	for _, t := range from[:min(len(from), maxVictims)] {
		f.drop(t.job)
		dropped = append(dropped, t.job)
		if f.onTime(next, bottleneck) {
			return dropped
		}
	}
	for _, t := range dropped {
		f.add(t)
	}
	return nil
}

// ownRule is the rule by which next itself is late.
func (c *victimChoice) ownRule() Rule {
	switch {
	case c.overuse > 0:
		return RuleOrganisation
	case c.spared:
		return RuleSize
	case c.urgent:
		return RulePriority
	}
	return RuleNoCapacity
}
