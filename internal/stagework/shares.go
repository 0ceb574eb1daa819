package stagework

import (
	"maps"
	"slices"
	"time"
)

// Parameters of the shares of a service's work.
const (
	// maxShareEntries bounds the organisations of a priority and the routes for
	// which a service keeps counts.
	maxShareEntries = 4096
	// shareForgetBelow is the decayed number of requests below which an entry is
	// dropped.
	shareForgetBelow = 0.01
	// levelInterval is the interval at which the max-min share is computed
	// anew. It takes some 0.1 ms with a full table.
	levelInterval = 100 * time.Millisecond
	// overuseTolerance is how far an organisation has to be above its max-min
	// share to count as above it. Without it, organisations with equal demand
	// alternate, and the jobs to become late are chosen by chance rather than by
	// their work.
	overuseTolerance = 1.1
)

// serviceShares holds the recent work of a service by priority, organisation,
// route and size class. The amounts are seconds of target time.
type serviceShares struct {
	priorities map[int]*priorityShares
	routes     map[string]*routeSizes
	short      bool          // result of service.short at shortAt
	owed       int           // the least urgent priority that got less than its floor then; -1 = none
	late       onTimeAndLate // work that was late for want of this service's targets
	shortAt    time.Time
}

// priorityShares holds the recent work of the jobs of one priority.
type priorityShares struct {
	all           onTimeAndLate
	floor         floorAllowance
	fairness      fairness // of the routes of this priority
	organisations map[string]*organisationUse
	level         float64 // result of maxMinLevel
	levelAt       time.Time
}

// organisationUse is the recent work of an organisation.
type organisationUse struct {
	onTimeAndLate
	requests onTimeAndLate // numbers of requests
}

// priority returns the record of the priority.
func (s *serviceShares) priority(n int) *priorityShares {
	if s.priorities == nil {
		s.priorities = make(map[int]*priorityShares)
	}
	k := s.priorities[n]
	if k == nil {
		k = &priorityShares{organisations: make(map[string]*organisationUse)}
		s.priorities[n] = k
	}
	return k
}

// organisation returns the record of the organisation, and creates it if
// necessary.
func (k *priorityShares) organisation(name string, now time.Time) *organisationUse {
	o := k.organisations[name]
	if o == nil {
		if len(k.organisations) >= maxShareEntries {
			k.prune(now)
		}
		o = &organisationUse{}
		k.organisations[name] = o
	}
	return o
}

// prune drops the organisations that have not been active for some time, and if
// that is not enough, those with at most the average work: the table keeps
// those that can be above their share.
func (k *priorityShares) prune(now time.Time) {
	sum := 0.0
	maps.DeleteFunc(k.organisations, func(_ string, o *organisationUse) bool {
		sum += o.at(now).all()
		return o.requests.at(now).all() < shareForgetBelow
	})
	if len(k.organisations) <= maxShareEntries/2 {
		return
	}
	average := sum / float64(len(k.organisations))
	maps.DeleteFunc(k.organisations, func(_ string, o *organisationUse) bool { return o.all() <= average })
}

// maxMinLevel is the share that each organisation may use if all that demand
// less get what they demand, and the recent on-time work is divided equally
// among the others.
func (k *priorityShares) maxMinLevel(now time.Time) float64 {
	if !k.levelAt.IsZero() && now.Sub(k.levelAt) < levelInterval {
		return k.level
	}
	k.levelAt = now
	demands := make([]float64, 0, len(k.organisations))
	left := 0.0
	for name, o := range k.organisations {
		if o.requests.at(now).all() < shareForgetBelow {
			delete(k.organisations, name)
			continue
		}
		left += o.at(now).onTime
		demands = append(demands, o.all())
	}
	slices.Sort(demands)
	k.level = 0
	for i, demand := range demands {
		k.level = left / float64(len(demands)-i)
		if demand >= k.level {
			break
		}
		left -= demand
	}
	return k.level
}

// overuse is the organisation's recent on-time work if it is above its max-min
// share, otherwise 0.
func (k *priorityShares) overuse(organisation string, now time.Time) float64 {
	o := k.organisations[organisation]
	if o == nil || len(k.organisations) < 2 {
		return 0
	}
	if use := o.at(now).onTime; use > overuseTolerance*k.maxMinLevel(now) {
		return use
	}
	return 0
}

// shareCapacity is the target time within the decay of the counts.
func (v *service) shareCapacity(now time.Time) float64 {
	healthy, _ := v.availability(now)
	return float64(max(healthy, 1)) * shareDecay.Seconds()
}

// jobShares is what the shares know about a job.
type jobShares struct {
	inForce  bool           // shares were in force when the job arrived
	at       []serviceShare // by service
	promoted bool           // it is within the floor of its priority
	rule     Rule           // why it is late
	hopeless bool           // result of checkLate
	// standing is the result of service.standing for standingOf at standingAt.
	standing   shareStanding
	standingOf *service
	standingAt time.Time
}

// shareStanding is how a job's organisation and size class fare at a service.
type shareStanding struct {
	overuse   float64
	protected bool // its size class keeps it from becoming late for others
}

// standing returns the job's standing at the service. It is computed once for
// each service and time, since a classification compares many pairs of jobs.
func (j *job) standing(v *service, now time.Time) shareStanding {
	s := &j.shares
	if s.standingOf != v || !s.standingAt.Equal(now) {
		s.standingOf, s.standingAt = v, now
		s.standing = shareStanding{v.shares.priority(j.Priority).overuse(j.Organisation, now), j.sizeProtected(v, now)}
	}
	return s.standing
}

// serviceShare is the work of a job at a service.
type serviceShare struct {
	service *service
	work    float64 // seconds of target time
	size    float64 // independent of measured durations, so that it can be compared over time
	class   sizeClass
}

// of returns the job's share of the service's work.
func (s *jobShares) of(v *service) *serviceShare {
	for i := range s.at {
		if s.at[i].service == v {
			return &s.at[i]
		}
	}
	return nil
}

// countShares counts a new job as on time at each service that it needs, and
// raises its urgency if it is within the floor of its priority.
func (p *Planner) countShares(j *job, now time.Time) {
	for _, u := range j.units {
		if u.waiting == 0 || u.freed {
			continue
		}
		s := j.shares.of(u.service)
		if s == nil {
			j.shares.at = append(j.shares.at, serviceShare{service: u.service})
			s = &j.shares.at[len(j.shares.at)-1]
		}
		s.work += float64(u.waiting) * u.service.pieceTime(u.resultBytes).Seconds()
		s.size += float64(len(u.pieces)) * u.service.nominalSize(u.resultBytes)
	}
	p.promote(j, now)
	for i := range j.shares.at {
		s := &j.shares.at[i]
		k := s.service.shares.priority(j.Priority)
		k.all.add(s.work, now)
		k.floor.take(s.work)
		o := k.organisation(j.Organisation, now)
		o.add(s.work, now)
		o.requests.add(1, now)
		s.class = s.service.shares.route(j.Route, now).count(s.size, now)
	}
}

// becomesLate marks a job as late for want of the bottleneck service's targets
// and records the rule by which it was chosen. bottleneck may be nil.
func (p *Planner) becomesLate(j *job, rule Rule, bottleneck *service, now time.Time) {
	j.late, j.shares.rule = true, rule
	p.sharing.Late[rule]++
	for _, s := range j.shares.at {
		k := s.service.shares.priority(j.Priority)
		k.all.becameLate(s.work, j.arrived, now)
		k.floor.giveBack(s.work)
		if s.service == bottleneck {
			bottleneck.shares.late.at(now).late += s.work
		}
		if o := k.organisations[j.Organisation]; o != nil {
			o.becameLate(s.work, j.arrived, now)
			o.requests.becameLate(1, j.arrived, now)
		}
		if r := s.service.shares.routes[j.Route]; r != nil {
			r.classes[s.class].becameLate(1, j.arrived, now)
		}
	}
	if p.onLate != nil {
		p.onLate(j, rule)
	}
}
