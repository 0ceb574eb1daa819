package stagework

import (
	"slices"
	"time"

	"lynxhill.example/lynxhill/internal/reservation"
)

// Parameters of the forecast.
const (
	// initialRetention is the assumed time that a result is kept after its call
	// before any was measured; retentionWeight is the weight of the newest
	// measurement.
	initialRetention = 250 * time.Millisecond
	retentionWeight  = 0.02
	// loadWindow is the time over which the load by on-time jobs is measured.
	loadWindow = 2 * time.Second
	// maxLoad is the load from which on late jobs get no capacity.
	maxLoad = 0.95
	// forecastMargin is the fraction of the forecast duration that has to
	// remain until the on-time limit for a job to count as on time. A forecast
	// is based on average durations, and more urgent jobs may arrive later, so
	// most jobs that are forecast to end just in time are late, and have used
	// up capacity as if they were not. The symptom is hundreds of late answers
	// in a burst.
	forecastMargin = 0.2
	// lateJobTimeShare is the share of a late job's time until its deadline
	// within which it must be forecast to end in order to be accepted: a job
	// whose caller gives up first has used capacity in vain.
	lateJobTimeShare = 0.5
)

// forecast is the queued work ahead of a job at each service.
type forecast struct {
	now    time.Time
	margin float64
	book   *reservation.Book // reserved work that counts; nil = none
	late   bool              // for late jobs: the reserved work of callers that will be late counts too
	queues []serviceQueue    // by the service's number
	// reserved is the result of reservedFor: a forecast is not used after a change of the book.
	reserved map[reservedKey][]dueWork
}

// serviceQueue is the work queued at a service, with cached values of the
// service's targets at the forecast's time: they are needed for each waiting
// unit.
type serviceQueue struct {
	service   *service // nil = not initialised
	work      float64  // target time in nanoseconds; whole numbers, so that additions can be undone exactly
	pieces    int
	units     int           // units whose results are still needed
	healthy   int           // targets that count as capacity
	firstFree time.Duration // until the first of them is free
}

func (p *Planner) newForecast(now time.Time) *forecast {
	return &forecast{now: now, margin: p.policy.margin(), book: p.reservedWork(), queues: make([]serviceQueue, len(p.services))}
}

func (f *forecast) queue(v *service) *serviceQueue {
	q := &f.queues[v.number]
	if q.service == nil {
		q.service = v
		q.healthy, q.firstFree = v.availability(f.now)
	}
	return q
}

// add adds the job's waiting pieces.
func (f *forecast) add(j *job) { f.count(j, 1) }

// drop removes the job's waiting pieces again.
func (f *forecast) drop(j *job) { f.count(j, -1) }

func (f *forecast) count(j *job, sign int) {
	for _, u := range j.units {
		if u.freed {
			continue
		}
		q := f.queue(u.service)
		q.work += float64(sign*u.waiting) * float64(u.service.pieceTime(u.resultBytes))
		q.pieces += sign * u.waiting
		q.units += sign
	}
}

// pieceTime is the target time that a piece takes in a full call, or that its
// result takes of the target's memory, whichever is greater.
func (v *service) pieceTime(bytes int64) time.Duration {
	call := v.expectedCallTime(v.batch())
	piece := call / time.Duration(v.batch())
	if v.limits.ResultMemory <= 0 {
		return piece
	}
	memoryTime := float64(bytes) / float64(v.limits.ResultMemory) * float64(call+v.retention)
	return max(piece, time.Duration(memoryTime))
}

// end forecasts the time until the engine's first event if the job runs after
// the queued work.
func (f *forecast) end(j *job) time.Duration {
	end := time.Duration(0)
	for _, u := range j.finalUnits {
		end = max(end, f.unitEnd(u))
	}
	return end + j.engineTime()
}

// onTime reports whether the job's first event is forecast to be on time, with
// a margin. The predicted wait is increased for routes that get a larger
// on-time share of the bottleneck service than others. bottleneck may be nil.
func (f *forecast) onTime(j *job, bottleneck *service) bool {
	end := f.end(j)
	needed := end + time.Duration(f.margin*float64(end))
	if bottleneck != nil {
		waits := max(end-j.minTime, 0)
		penalty := bottleneck.fairnessFor(j).waitPenalty(j.Route, f.now) + bottleneck.sharePenalty(j, f.now)
		needed += time.Duration(penalty * float64(waits))
	}
	return needed <= j.OnTimeUntil.Sub(f.now)
}

// engineTime is the time from the last result to the engine's first event.
func (j *job) engineTime() time.Duration {
	uncachedTokens := 0
	if j.Prompt != nil && len(j.Prompt.Parts) > 0 {
		uncachedTokens = j.Prompt.Parts[len(j.Prompt.Parts)-1].Tokens
	}
	return time.Duration((float64(uncachedTokens)/j.pool.prefillRate + j.pool.firstEventBase) * float64(time.Millisecond))
}

// unitEnd forecasts the time until the unit's results are available.
func (f *forecast) unitEnd(u *workUnit) time.Duration {
	if u.done() {
		return 0
	}
	start := time.Duration(0)
	for _, a := range u.inputs {
		start = max(start, f.unitEnd(a))
	}
	if u.waiting == 0 {
		return max(start, u.latestEnd().Sub(f.now))
	}
	v := u.service
	q := f.queue(v)
	n := max(q.healthy, 1)
	start = max(start, f.wait(q, u.job.Priority))
	return start + v.expectedCallTime(min(v.batch(), len(u.pieces)+max(q.pieces, 0)/n))
}

// committed reports whether any piece of the job was started or memory is
// reserved for it, or whether its caller claimed a reservation. A job without units counts
// as committed.
func (j *job) committed() bool {
	if j.claimed {
		return true
	}
	for _, u := range j.units {
		if u.reserved || u.waiting < len(u.pieces) {
			return true
		}
	}
	return len(j.units) == 0
}

// classify decides about a new job: it is on time, another job that has not
// been started becomes late instead, or it is late itself. If not all jobs can
// be on time, the one that takes the most time of the scarce targets is
// dropped, which maximises the number of on-time jobs (the Moore-Hodgson rule
// for a single machine).
func (p *Planner) classify(j *job, now time.Time) {
	if p.overload.Shares {
		p.classifyShared(j, now)
		return
	}
	f := p.newForecast(now)
	waiting := make([]*job, 0, len(p.urgencyQueue.jobs)+1)
	for _, other := range p.urgencyQueue.jobs {
		switch {
		case other.late:
		case other.committed():
			f.add(other)
		default:
			waiting = append(waiting, other)
		}
	}
	at, _ := slices.BinarySearchFunc(waiting, j, byUrgency)
	waiting = slices.Insert(waiting, at, j)
	var accepted []*job
	for _, next := range waiting {
		bottleneck := f.bottleneck(next)
		if f.onTime(next, bottleneck) {
			f.add(next)
			accepted = append(accepted, next)
			continue
		}
		victim := p.victim(next, bottleneck, accepted, f)
		if victim != next {
			f.drop(victim)
			f.add(next)
			accepted = slices.DeleteFunc(accepted, func(t *job) bool { return t == victim })
			accepted = append(accepted, next)
		}
		victim.late = true
		if bottleneck != nil {
			bottleneck.fairness.stats(victim.Route, now).late++
		}
	}
}

// byUrgency orders jobs in the same way as their units are ranked.
func byUrgency(a, b *job) int {
	if a.urgency != b.urgency {
		return a.urgency - b.urgency
	}
	if c := a.OnTimeUntil.Add(-a.minTime).Compare(b.OnTimeUntil.Add(-b.minTime)); c != 0 {
		return c
	}
	return compare(a.ID, b.ID)
}

// victim returns the job that becomes late for next to be on time: the one with
// the most work for next's bottleneck service among the jobs of the same or
// lower urgency, if next is on time without it; otherwise next itself.
//
// Only the work for the bottleneck service counts. If all work counted, the job
// with the most work might use other targets, so that dropping it would help no
// one, and next would be late although a similar job could have been dropped.
func (p *Planner) victim(next *job, bottleneck *service, accepted []*job, f *forecast) *job {
	if bottleneck == nil {
		return next
	}
	worst, most := next, next.workAt(bottleneck)
	for _, t := range accepted {
		if t.Priority < next.Priority {
			continue
		}
		if work := t.workAt(bottleneck); work > most {
			worst, most = t, work
		}
	}
	if worst == next {
		return next
	}
	f.drop(worst)
	onTime := f.onTime(next, bottleneck)
	f.add(worst)
	if !onTime {
		return next
	}
	return worst
}

// bottleneck returns the service for whose targets the job would wait longest;
// nil if it waits for none.
func (f *forecast) bottleneck(j *job) (bottleneck *service) {
	longest := time.Duration(-1)
	for _, u := range j.units {
		if u.waiting == 0 || u.freed {
			continue
		}
		q := f.queue(u.service)
		if wait := f.wait(q, j.Priority); wait > longest {
			bottleneck, longest = u.service, wait
		}
	}
	return bottleneck
}

// workAt is the time of the service's targets that the job still needs.
func (j *job) workAt(v *service) time.Duration {
	work := time.Duration(0)
	for _, u := range j.units {
		if u.service == v {
			work += time.Duration(u.waiting) * v.pieceTime(u.resultBytes)
		}
	}
	return work
}

// lateCheckInterval is the interval at which a late job is checked again.
const lateCheckInterval = 150 * time.Millisecond

// hopeless reports whether a late job that has not been started should be
// refused now rather than later.
func (p *Planner) hopeless(j *job, now time.Time) bool {
	if p.policy.NoEarlyRefusal {
		return false
	}
	if p.overload.Shares {
		return p.hopelessShared(j, now)
	}
	if !j.late || j.committed() {
		return false
	}
	ok := true
	if now.Sub(j.lateCheckedAt) >= lateCheckInterval {
		f := p.totalForecast(now)
		f.drop(j)
		ok, _ = p.acceptLate(j, f)
		f.add(j)
	}
	p.dueBy(j.lateCheckedAt.Add(lateCheckInterval))
	return !ok
}

// loadMeter measures the load of a service by on-time jobs.
type loadMeter struct {
	work float64 // seconds of target time, decaying
	at   time.Time
}

// add adds work that arrived.
func (m *loadMeter) add(work float64, now time.Time) {
	m.decay(now)
	m.work += work
}

func (m *loadMeter) decay(now time.Time) {
	if !m.at.IsZero() {
		left := 1 - float64(now.Sub(m.at))/float64(loadWindow)
		m.work *= max(left, 0)
	}
	m.at = now
}

// load is the share of n targets' time that the work takes.
func (m *loadMeter) load(n int, now time.Time) float64 {
	m.decay(now)
	return m.work / (loadWindow.Seconds() * float64(max(n, 1)))
}

// totalForecast returns the forecast of all jobs that wait for results. It is
// computed once for all late jobs of a plan and cached until a change
// invalidates it.
func (p *Planner) totalForecast(now time.Time) *forecast {
	if p.cachedTotal == nil || p.cachedTotal.now != now {
		p.cachedTotal = p.newForecast(now)
		for _, j := range p.arrivalQueue.jobs {
			p.cachedTotal.add(j)
		}
	}
	return p.cachedTotal
}

// invalidateForecast drops the cached result of totalForecast.
func (p *Planner) invalidateForecast() { p.cachedTotal, p.cachedOnTime = nil, nil }

// acceptLate decides whether a late job should wait: whether the capacity that
// on-time jobs leave is enough for it and for the work ahead of it. f is the
// forecast of the other jobs. The second result is the predicted time to the
// first event.
func (p *Planner) acceptLate(j *job, f *forecast) (bool, time.Duration) {
	j.lateCheckedAt = f.now
	if p.overload.Shares {
		return p.acceptLateShared(j, f.now)
	}
	left := &forecast{now: f.now, book: f.book, late: true, queues: slices.Clone(f.queues)}
	for i := range left.queues {
		if q := &left.queues[i]; q.units > 0 {
			q.work /= 1 - min(q.service.load.load(q.healthy, f.now), maxLoad)
		}
	}
	end := left.end(j)
	limit := j.arrived.Add(time.Duration(lateJobTimeShare * float64(j.Deadline.Sub(j.arrived))))
	return end <= limit.Sub(f.now), end
}
