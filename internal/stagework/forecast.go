package stagework

import (
	"slices"
	"time"
)

// Factors of the forecast.
const (
	// firstHold is how long a result is taken to lie after its call before one
	// was seen; holdWeight is the weight of the newest.
	firstHold  = 250 * time.Millisecond
	holdWeight = 0.02
	// loadWindow is the time over which the load by jobs that can be on time is
	// measured.
	loadWindow = 2 * time.Second
	// fullLoad is the load from which on nothing is left for late jobs.
	fullLoad = 0.95
	// margin is the part by which a forecast must end before the aim for the job
	// to count as on time. A forecast rests on mean times, and what is more urgent
	// comes later: of jobs forecast to end just in time most are late. They have
	// taken the targets' time then as if they were not; one notices it by hundreds
	// of late answers in a burst.
	margin = 0.2
	// latestShare is the share of its time within which a late job must be
	// forecast to end in order to be taken: one that waits until its caller
	// goes has cost its place and helped nobody.
	latestShare = 0.5
)

// forecast is the work that lies ahead of a job at each service, in time of
// one target, and the pieces.
type forecast struct {
	now    time.Time
	margin float64
	ahead  []queueAhead // by the service's number
}

// queueAhead is what lies ahead at a service, with what is known of its targets
// at the forecast's time: it is asked for each waiting unit.
type queueAhead struct {
	service   *service // nil = not asked for yet
	work      float64  // nanoseconds; whole ones, so that what was added can be dropped again
	pieces    int
	units     int           // with results that are still needed
	alive     int           // targets that count as capacity
	firstFree time.Duration // until the first of them is free
}

func (p *Planner) newForecast(now time.Time) *forecast {
	return &forecast{now: now, margin: p.policy.margin(), ahead: make([]queueAhead, len(p.services))}
}

func (f *forecast) at(v *service) *queueAhead {
	q := &f.ahead[v.number]
	if q.service == nil {
		q.service = v
		q.alive, q.firstFree = v.outlook(f.now)
	}
	return q
}

// add counts the job's pieces that are still to be begun.
func (f *forecast) add(j *job) { f.count(j, 1) }

// drop takes the job's pieces out again.
func (f *forecast) drop(j *job) { f.count(j, -1) }

func (f *forecast) count(j *job, sign int) {
	for _, u := range j.units {
		if u.freed {
			continue
		}
		q := f.at(u.service)
		q.work += float64(sign*u.waiting) * float64(u.service.pieceTime(u.bytes))
		q.pieces += sign * u.waiting
		q.units += sign
	}
}

// pieceTime is the time of one target that a piece takes in a full call, or
// that its result takes of the target's room, whichever is more.
func (v *service) pieceTime(bytes int64) time.Duration {
	call := v.expect(v.batch())
	piece := call / time.Duration(v.batch())
	if v.limits.ResultRoom <= 0 {
		return piece
	}
	inRoom := float64(bytes) / float64(v.limits.ResultRoom) * float64(call+v.hold)
	return max(piece, time.Duration(inRoom))
}

// end forecasts the time until the engine's first event if the job follows what
// lies ahead.
func (f *forecast) end(j *job) time.Duration {
	end := time.Duration(0)
	for _, u := range j.leaves {
		end = max(end, f.unitEnd(u))
	}
	return end + j.engineTime()
}

// onTime reports whether the job's first event comes by its aim, with a margin.
// What it would have to wait weighs more while its kind has more of the service
// that it waits for than others. short may be nil.
func (f *forecast) onTime(j *job, short *service) bool {
	end := f.end(j)
	needed := end + time.Duration(f.margin*float64(end))
	if short != nil {
		waits := max(end-j.ownTime, 0)
		needed += time.Duration(short.shares.surplus(j.Route, f.now) * float64(waits))
	}
	return needed <= j.Aim.Sub(f.now)
}

// engineTime is the time from the last result to the engine's first event.
func (j *job) engineTime() time.Duration {
	missing := 0
	if j.Prompt != nil && len(j.Prompt.Parts) > 0 {
		missing = j.Prompt.Parts[len(j.Prompt.Parts)-1].Tokens
	}
	return time.Duration((float64(missing)/j.pool.rate + j.pool.first) * float64(time.Millisecond))
}

// unitEnd forecasts the time until the unit's results are there.
func (f *forecast) unitEnd(u *unit) time.Duration {
	if u.done() {
		return 0
	}
	start := time.Duration(0)
	for _, a := range u.after {
		start = max(start, f.unitEnd(a))
	}
	if u.waiting == 0 {
		return max(start, u.latestEnd().Sub(f.now))
	}
	v := u.service
	q := f.at(v)
	n := max(q.alive, 1)
	start = max(start, q.firstFree+time.Duration(q.work/float64(n)))
	return start + v.expect(min(v.batch(), len(u.pieces)+max(q.pieces, 0)/n))
}

// committed reports whether a piece of the job was begun.
func (j *job) committed() bool {
	for _, u := range j.units {
		if u.reserved || u.waiting < len(u.pieces) {
			return true
		}
	}
	return len(j.units) == 0
}

// judge decides about a new job: it is on time, or another one that has not
// been begun has to be late instead, or it is late itself. Of jobs that cannot
// all be on time the one that takes most of the time of the targets that are
// short is dropped, so that the largest number are (the rule of Moore and Hodgson
// for one machine).
func (p *Planner) judge(j *job, now time.Time) {
	f := p.newForecast(now)
	waiting := make([]*job, 0, len(p.urgent.jobs)+1)
	for _, other := range p.urgent.jobs {
		switch {
		case other.late:
		case other.committed():
			f.add(other)
		default:
			waiting = append(waiting, other)
		}
	}
	at, _ := slices.BinarySearchFunc(waiting, j, before)
	waiting = slices.Insert(waiting, at, j)
	var taken []*job
	for _, next := range waiting {
		short := f.longestWait(next)
		if f.onTime(next, short) {
			f.add(next)
			taken = append(taken, next)
			continue
		}
		victim := p.victim(next, short, taken, f)
		if victim != next {
			f.drop(victim)
			f.add(next)
			taken = slices.DeleteFunc(taken, func(t *job) bool { return t == victim })
			taken = append(taken, next)
		}
		victim.late = true
		if short != nil {
			short.shares.of(victim.Route, now).late++
		}
	}
}

// before orders jobs as their pieces are.
func before(a, b *job) int {
	if a.Priority != b.Priority {
		return a.Priority - b.Priority
	}
	if c := a.Aim.Add(-a.ownTime).Compare(b.Aim.Add(-b.ownTime)); c != 0 {
		return c
	}
	return compare(a.ID, b.ID)
}

// victim is the job that is late for next to be on time: the one with the most
// work for the service that next waits for longest among those as urgent or less,
// if next is then on time; else next itself.
//
// What goes wrong where all work counts, not that of the service alone: the job
// with the most work needs other targets, so that its loss helps nobody, and next
// is late though a job of its own sort could have given way.
func (p *Planner) victim(next *job, short *service, taken []*job, f *forecast) *job {
	if short == nil {
		return next
	}
	worst, most := next, next.workAt(short)
	for _, t := range taken {
		if t.Priority < next.Priority {
			continue
		}
		if work := t.workAt(short); work > most {
			worst, most = t, work
		}
	}
	if worst == next {
		return next
	}
	f.drop(worst)
	onTime := f.onTime(next, short)
	f.add(worst)
	if !onTime {
		return next
	}
	return worst
}

// longestWait is the service for whose targets the job would wait longest; nil
// if it has nothing to wait for.
func (f *forecast) longestWait(j *job) (short *service) {
	longest := time.Duration(-1)
	for _, u := range j.units {
		if u.waiting == 0 || u.freed {
			continue
		}
		q := f.at(u.service)
		if wait := q.firstFree + time.Duration(q.work/float64(max(q.alive, 1))); wait > longest {
			short, longest = u.service, wait
		}
	}
	return short
}

// workAt is the time of the service's targets that the job still takes.
func (j *job) workAt(v *service) time.Duration {
	work := time.Duration(0)
	for _, u := range j.units {
		if u.service == v {
			work += time.Duration(u.waiting) * v.pieceTime(u.bytes)
		}
	}
	return work
}

// judgeEvery is how often a late job is judged anew.
const judgeEvery = 150 * time.Millisecond

// hopeless reports whether a late job of which nothing was begun is better
// given up now than later.
func (p *Planner) hopeless(j *job, now time.Time) bool {
	if p.policy.NoEarlyRefusal || !j.late || j.committed() {
		return false
	}
	ok := true
	if now.Sub(j.judged) >= judgeEvery {
		f := p.everything(now)
		f.drop(j)
		ok, _ = p.takeLate(j, f)
		f.add(j)
	}
	p.dueBy(j.judged.Add(judgeEvery))
	return !ok
}

// loadMeter measures the load of a service by jobs that can be on time.
type loadMeter struct {
	work float64 // seconds of one target, fading
	at   time.Time
}

// add counts work that has come.
func (m *loadMeter) add(work float64, now time.Time) {
	m.fade(now)
	m.work += work
}

func (m *loadMeter) fade(now time.Time) {
	if !m.at.IsZero() {
		left := 1 - float64(now.Sub(m.at))/float64(loadWindow)
		m.work *= max(left, 0)
	}
	m.at = now
}

// load is the share of n targets' time that the work takes.
func (m *loadMeter) load(n int, now time.Time) float64 {
	m.fade(now)
	return m.work / (loadWindow.Seconds() * float64(max(n, 1)))
}

// everything forecasts the work of all that wait for results. It is made once
// for all late jobs of a plan, until something changes.
func (p *Planner) everything(now time.Time) *forecast {
	if p.all == nil || p.all.now != now {
		p.all = p.newForecast(now)
		for _, j := range p.arrived.jobs {
			p.all.add(j)
		}
	}
	return p.all
}

// changed has what was forecast of everything forgotten.
func (p *Planner) changed() { p.all = nil }

// takeLate decides whether a late job is worth waiting: whether what the others
// leave of the targets' time is enough for it and for the late ones before it.
// f is the work of the others. The second value is how long it would take.
func (p *Planner) takeLate(j *job, f *forecast) (bool, time.Duration) {
	j.judged = f.now
	left := &forecast{now: f.now, ahead: slices.Clone(f.ahead)}
	for i := range left.ahead {
		if q := &left.ahead[i]; q.units > 0 {
			q.work /= 1 - min(q.service.load.load(q.alive, f.now), fullLoad)
		}
	}
	end := left.end(j)
	limit := j.arrived.Add(time.Duration(latestShare * float64(j.Deadline.Sub(j.arrived))))
	return end <= limit.Sub(f.now), end
}
