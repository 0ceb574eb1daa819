package stagework

import (
	"fmt"
	"hash"
	"hash/fnv"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"lynxhill.example/lynxhill/internal/fleet"
	"lynxhill.example/lynxhill/internal/relay"
	"lynxhill.example/lynxhill/internal/route"
)

// randomRun drives a planner with a random sequence of events drawn from a
// seed.
type randomRun struct {
	*Planner
	r         *rand.Rand
	r2        *rand.Rand // for shuffles that must not influence the events
	table     *route.Table
	targets   []fleet.Target
	later     []timedEvent // by time
	refused   bool         // the latest job was refused: no plan follows
	stateless bool         // the planner's cached state is cleared before each plan
	overload  Overload
	sum       hash.Hash64 // of all decisions with their times
}

type timedEvent struct {
	at    time.Time
	run   func(now time.Time)
	ifDue bool // a plan follows only if one is due
}

// in schedules an event that is followed by a plan.
func (d *randomRun) in(wait time.Duration, what func(now time.Time)) {
	d.add(timedEvent{time.Now().Add(wait), what, false})
}

// inIfDue schedules an event that is followed by a plan only if one is due.
func (d *randomRun) inIfDue(wait time.Duration, what func(now time.Time)) {
	d.add(timedEvent{time.Now().Add(wait), what, true})
}

func (d *randomRun) add(h timedEvent) {
	at, _ := slices.BinarySearchFunc(d.later, h, func(a, b timedEvent) int {
		if a.at.After(b.at) {
			return 1
		}
		return -1
	})
	d.later = slices.Insert(d.later, at, h)
}

func (d *randomRun) write(what ...any) {
	fmt.Fprintln(d.sum, time.Now().UnixNano(), fmt.Sprint(what...))
}

// refusalFields returns the fields of a refusal that the planner sets, for the
// checksum.
func refusalFields(r *Refusal) any {
	if r == nil {
		return r
	}
	return &struct {
		Reason               string
		RetryAfter, Forecast time.Duration
		Elsewhere            string
	}{r.Reason, r.RetryAfter, r.Forecast, r.FirstRanked}
}

func (d *randomRun) oneIn(in int) bool { return d.r.IntN(in) == 0 }

// decide makes a plan and schedules the ends of its calls, some of which fail.
func (d *randomRun) decide(now time.Time) {
	if d.stateless {
		d.clearCaches()
	}
	for _, c := range d.plan(now) {
		d.write("call ", c.number, c.target.info.ID, c.nominal, c.expected)
		results := make([]relay.PieceResult, len(c.pieces))
		for i, q := range c.pieces {
			d.write(q.unit.job.ID, q.unit.stage, q.number)
			results[i].Handle = fmt.Sprint(q.unit.job.ID, "/", q.unit.stage, "/", q.number, "/", q.attempts)
			if d.oneIn(60) {
				results[i] = relay.PieceResult{Status: relay.PieceStatus(1 + d.r.IntN(4))}
			}
		}
		took := time.Duration(float64(c.nominal) * (0.8 + d.r.Float64()/2))
		switch {
		case c.target.info.ID == "cut1" || d.oneIn(30):
			took *= 3
		case d.oneIn(30):
			results, took = nil, took/4
		}
		d.in(took, func(now time.Time) { d.callFinished(c, results, d.oneIn(40), now) })
	}
}

// arrive submits a job, which may be cancelled early or rejected by its engine.
func (d *randomRun) arrive(i int, now time.Time) {
	var j *job
	in := randomJob(d.r, i)
	in.Prompt = benchPrompt(i)
	d.identify(&in, i)
	j, refusal := d.submit(in, func(p Placement, r *Refusal) {
		d.write(in.ID, " placed ", p, refusalFields(r))
		d.comesBack(i, r)
		switch {
		case r != nil:
		case d.oneIn(15):
			inputsLost, failed := d.oneIn(2), d.oneIn(2)
			d.in(firstEvent/5, func(now time.Time) { d.engineRejected(j, inputsLost, failed, now) })
		default:
			d.in(firstEvent, func(now time.Time) { d.answerStarted(j, now) })
			d.inIfDue(5*firstEvent, func(now time.Time) { d.cancel(j, now) })
		}
	}, now)
	d.write(in.ID, refusalFields(refusal))
	d.refused = refusal != nil
	d.comesBack(i, refusal)
	if j != nil {
		j.onReturn = func(made []ResultRef) { d.write(in.ID, " back ", made) }
		if d.oneIn(10) {
			d.inIfDue(time.Duration(d.r.IntN(900))*ms, func(now time.Time) { d.cancel(j, now) })
		}
	}
}

// change makes targets drain, disappear and return.
func (d *randomRun) change(time.Time) {
	listed := slices.DeleteFunc(slices.Clone(d.targets), func(fleet.Target) bool { return d.oneIn(12) })
	for i := range listed {
		listed[i].Draining = d.oneIn(12)
	}
	d.SetTargets(d.table, fleet.NewView(1, listed))
}

// run submits 400 jobs and returns the checksum of all decisions. An event that
// needs a plan only if one is due is followed by one if due returns true.
func (d *randomRun) run(pause time.Duration, due func(now time.Time) bool) string {
	d.Planner = NewPlanner(func(address string, handles []string) {
		d.write(address, handles)
		d.inIfDue(releaseDelay, func(time.Time) { d.released(handles) })
	})
	d.Planner.overload = d.overload
	for n := range 400 {
		d.in(time.Duration(n)*pause+time.Duration(d.r.ExpFloat64()*float64(pause)), func(now time.Time) { d.arrive(n, now) })
	}
	for n := range 10 {
		d.in(time.Duration(n)*pause*40, d.change)
	}
	d.in(300*pause, func(time.Time) { d.startReturn(false) })
	waking := false
	for len(d.later) > 0 {
		next := d.later[0]
		d.later = d.later[1:]
		time.Sleep(time.Until(next.at))
		d.refused = false
		next.run(time.Now())
		if !d.refused && (!next.ifDue || due(time.Now())) {
			d.decide(time.Now())
		}
		if len(d.jobs) > 0 && !waking {
			waking = true
			d.inIfDue(planInterval, func(time.Time) { waking = false })
		}
	}
	d.write(d.counts)
	return fmt.Sprintf("%016x", d.sum.Sum64())
}

// clearCaches clears or rebuilds the state that the planner maintains between
// plans.
func (d *randomRun) clearCaches() {
	d.invalidateForecast()
	for _, l := range []*jobQueue{&d.arrivalQueue, &d.urgencyQueue} {
		d.r2.Shuffle(len(l.jobs), func(i, k int) { l.jobs[i], l.jobs[k] = l.jobs[k], l.jobs[i] })
		slices.SortFunc(l.jobs, l.order)
	}
	for _, v := range d.byName {
		d.r2.Shuffle(len(v.pendingUnits), func(i, k int) { v.pendingUnits[i], v.pendingUnits[k] = v.pendingUnits[k], v.pendingUnits[i] })
		v.candidatesBuf, v.readyBuf, v.restBuf, v.upcomingBuf = nil, nil, nil, nil
	}
}

// randomRuns is the number of seeds.
const randomRuns = 20

// TestDecisionsDoNotDependOnCachedState guards against stale cached state in
// the planner, which keeps its queues sorted, computes values once per plan and
// skips plans that are not due. Each seed is run with a planner whose cached
// state is cleared before each plan, with one that plans after every event, and
// with one that plans only when due; their calls and placements have to be the
// same.
func TestDecisionsDoNotDependOnCachedState(t *testing.T) {
	for seed := range randomRuns {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			var want string
			synctest.Test(t, func(t *testing.T) { want = runSeed(t, seed, Overload{}, true, true) })
			synctest.Test(t, func(t *testing.T) {
				if sum := runSeed(t, seed, Overload{}, true, false); sum != want {
					t.Errorf("plans after every event: checksum %s instead of %s", sum, want)
				}
			})
			synctest.Test(t, func(t *testing.T) {
				if sum := runSeed(t, seed, Overload{}, false, false); sum != want {
					t.Errorf("plans when due: checksum %s instead of %s", sum, want)
				}
			})
		})
	}
}

// runSeed runs the events of a seed, with plans after all events or only when
// due, and returns the checksum of the decisions.
func runSeed(t *testing.T, seed int, overload Overload, always, forgets bool) string {
	return runSeeded(t, seededRun(seed, overload, forgets), seed, always)
}

func seededRun(seed int, overload Overload, forgets bool) *randomRun {
	return &randomRun{
		r: rand.New(rand.NewPCG(uint64(seed), 3)), r2: rand.New(rand.NewPCG(uint64(seed), 4)),
		sum: fnv.New64a(), stateless: forgets, overload: overload,
	}
}

func runSeeded(t *testing.T, d *randomRun, seed int, always bool) string {
	d.table, d.targets = engines(4)
	services := randomDayServices()
	for _, name := range slices.Sorted(maps.Keys(services)) {
		g := services[name]
		if seed%2 == 1 {
			g.limits.ResultLifetime = 600 * ms // some results expire
		}
		d.table.Services[name] = &route.Service{Name: name, Pieces: &g.limits}
		for n := range g.targets {
			id := fmt.Sprint(name, n)
			d.targets = append(d.targets, fleet.Target{ID: id, Service: name, Address: "at " + id, Zone: fmt.Sprint("p", n%2)})
		}
	}
	all, made := 0, 0
	sum := d.run(time.Duration(15+5*(seed%10))*ms, func(now time.Time) bool {
		all++
		due := always || d.due(now)
		if due {
			made++
		}
		return due
	})
	if !always && made > all*9/10 {
		t.Errorf("seed %d: %d of %d plans made: too few were skipped for the test to be meaningful", seed, made, all)
	}
	return sum
}
