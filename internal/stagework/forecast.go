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
	// latestShare is the share of its time within which a late job must be
	// forecast to end in order to be taken: one that waits until its caller
	// goes has cost its place and helped nobody.
	latestShare = 0.5
)

// forecast is the work that lies ahead of a job at each service, in seconds of
// one target, and the pieces.
type forecast struct {
	now   time.Time
	ahead map[*service]*queueAhead
}

type queueAhead struct {
	work   float64
	pieces int
}

func newForecast(now time.Time) *forecast {
	return &forecast{now: now, ahead: make(map[*service]*queueAhead)}
}

func (f *forecast) at(v *service) *queueAhead {
	q := f.ahead[v]
	if q == nil {
		q = &queueAhead{}
		f.ahead[v] = q
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
		q.work += float64(sign*u.waiting) * u.service.pieceTime(u.bytes).Seconds()
		q.pieces += sign * u.waiting
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

// work is the time of targets that the job takes in all.
func (j *job) work() time.Duration {
	total := time.Duration(0)
	for _, u := range j.units {
		total += time.Duration(len(u.pieces)) * u.service.pieceTime(u.bytes)
	}
	return total
}

// end forecasts when the engine's first event comes if the job follows what
// lies ahead.
func (p *Planner) end(j *job, f *forecast) time.Time {
	end := f.now
	for _, u := range j.units {
		if len(u.followers) == 0 {
			if e := p.unitEnd(u, f); e.After(end) {
				end = e
			}
		}
	}
	return end.Add(p.engineTime(j))
}

// engineTime is the time from the last result to the engine's first event.
func (p *Planner) engineTime(j *job) time.Duration {
	o := p.pools[j.Service]
	if o == nil {
		return 0
	}
	missing := 0
	if j.Prompt != nil && len(j.Prompt.Parts) > 0 {
		missing = j.Prompt.Parts[len(j.Prompt.Parts)-1].Tokens
	}
	return time.Duration((float64(missing)/o.rate + o.first) * float64(time.Millisecond))
}

func (p *Planner) unitEnd(u *unit, f *forecast) time.Time {
	if u.done() {
		return f.now
	}
	start := f.now
	for _, a := range u.after {
		if e := p.unitEnd(a, f); e.After(start) {
			start = e
		}
	}
	if u.waiting == 0 {
		if e := u.latestEnd(); e.After(start) {
			start = e
		}
		return start
	}
	v := u.service
	q := f.at(v)
	n := max(v.alive(f.now), 1)
	if free := f.now.Add(v.firstFree(f.now) + time.Duration(q.work/float64(n)*float64(time.Second))); free.After(start) {
		start = free
	}
	return start.Add(v.expect(min(v.batch(), len(u.pieces)+max(q.pieces, 0)/n)))
}

// firstFree is the time until the first target is free.
func (v *service) firstFree(now time.Time) time.Duration {
	first := time.Duration(-1)
	for _, s := range v.servers {
		if !s.alive(now) {
			continue
		}
		if d := max(s.busyTill.Sub(now), 0); first < 0 || d < first {
			first = d
		}
	}
	return max(first, 0)
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
// all be on time the one that takes most of the targets' time is dropped, so
// that the largest number are (the rule of Moore and Hodgson for one machine).
func (p *Planner) judge(j *job, now time.Time) {
	f := newForecast(now)
	var waiting []*job
	for other := range p.jobs {
		switch {
		case other.state != jobStaging || other.late:
		case other.committed():
			f.add(other)
		default:
			waiting = append(waiting, other)
		}
	}
	waiting = append(waiting, j)
	slices.SortFunc(waiting, func(a, b *job) int { return p.before(a, b) })
	var taken []*job
	for _, next := range waiting {
		if !p.end(next, f).After(next.Aim) {
			f.add(next)
			taken = append(taken, next)
			continue
		}
		victim := p.victim(next, taken, f)
		if victim != next {
			f.drop(victim)
			f.add(next)
			taken = slices.DeleteFunc(taken, func(t *job) bool { return t == victim })
			taken = append(taken, next)
		}
		victim.late = true
	}
}

// before orders jobs as their pieces are.
func (p *Planner) before(a, b *job) int {
	if a.Priority != b.Priority {
		return a.Priority - b.Priority
	}
	if c := a.Aim.Add(-a.ownTime).Compare(b.Aim.Add(-b.ownTime)); c != 0 {
		return c
	}
	return compare(a.ID, b.ID)
}

// victim is the job that is late for next to be on time: the largest among
// those as urgent or less, if next is then on time; else next itself.
func (p *Planner) victim(next *job, taken []*job, f *forecast) *job {
	worst := next
	for _, t := range taken {
		if t.Priority >= next.Priority && t.work() > worst.work() {
			worst = t
		}
	}
	if worst == next {
		return next
	}
	f.drop(worst)
	onTime := !p.end(next, f).After(next.Aim)
	f.add(worst)
	if !onTime {
		return next
	}
	return worst
}

// judgeEvery is how often a late job is judged anew.
const judgeEvery = 150 * time.Millisecond

// hopeless reports whether a late job of which nothing was begun is better
// given up now than later.
func (p *Planner) hopeless(j *job, now time.Time) bool {
	if !j.late || j.committed() || now.Sub(j.judged) < judgeEvery {
		return false
	}
	ok, _ := p.takeLate(j, now)
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

// takeLate decides whether a late job is worth waiting: whether what the others
// leave of the targets' time is enough for it and for the late ones before it.
// The second value is how long it would take.
func (p *Planner) takeLate(j *job, now time.Time) (bool, time.Duration) {
	j.judged = now
	f := newForecast(now)
	for other := range p.jobs {
		if other.state == jobStaging && other != j {
			f.add(other)
		}
	}
	for v, q := range f.ahead {
		spare := 1 - min(v.load.load(v.alive(now), now), fullLoad)
		q.work /= spare
	}
	end := p.end(j, f)
	limit := j.arrived.Add(time.Duration(latestShare * float64(j.Deadline.Sub(j.arrived))))
	return !end.After(limit), end.Sub(now)
}
