package stagework

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"lynxhill.example/lynxhill/internal/fleet"
	"lynxhill.example/lynxhill/internal/relay"
	"lynxhill.example/lynxhill/internal/route"
)

// benchStages is a stage with results of a megabyte, of which a second stage
// makes one result. benchJob has three pieces of the first.
var benchStages = []route.Stage{{Service: "enc", ResultBytes: 1e6}, {Service: "enc", ResultBytes: 1e5, After: []int{0}}}

func benchPrompt(n int) *relay.Prompt {
	parts := []relay.PromptPart{{ID: "common", Tokens: 800}, {ID: fmt.Sprint("session", n%300), Tokens: 1200}, {ID: fmt.Sprint("own", n), Tokens: 200}}
	return &relay.Prompt{Parts: parts, TokensIn: 2200, TokensOut: 300}
}

func benchJob(n int, now time.Time) Job {
	return Job{
		ID: fmt.Sprintf("job %04d", n), OnTimeUntil: now.Add(20 * time.Second), Deadline: now.Add(time.Minute), Stages: benchStages,
		Pieces: []int{3, 1}, Service: "lm", Zone: "p0", Prompt: benchPrompt(n), Priority: n % 3,
	}
}

// benchPlanner returns a planner with stage targets, engines and waiting jobs.
func benchPlanner(b *testing.B, jobs, targets, enginesN int, now time.Time) *Planner {
	table, list := engines(enginesN)
	enc := limits(8, 20*time.Millisecond, 5*time.Millisecond, 8e9)
	table.Services["enc"] = &route.Service{Name: "enc", Pieces: &enc}
	for n := range targets {
		id := fmt.Sprintf("enc%02d", n)
		list = append(list, fleet.Target{ID: id, Service: "enc", Address: id, Zone: fmt.Sprint("p", n%2)})
	}
	p := NewPlanner(func(string, []string) {})
	p.SetTargets(table, fleet.NewView(1, list))
	for n := range jobs {
		if _, refusal := p.submit(benchJob(n, now), func(Placement, *Refusal) {}, now); refusal != nil {
			b.Fatalf("job %d: %+v", n, refusal)
		}
	}
	return p
}

// undo reverts the calls of a plan.
func undo(calls []*call) {
	for _, c := range calls {
		c.target.calls, c.target.busyUntil = 0, time.Time{}
		for _, q := range c.pieces {
			q.state, q.target, q.attempts = pieceWaiting, nil, 0
			q.unit.waiting++
			c.target.usedBytes -= q.unit.resultBytes
		}
	}
}

// BenchmarkPlan makes a plan while all targets are busy, as at most wakeups,
// and while all are free. The names give the numbers of jobs and targets.
func BenchmarkPlan(b *testing.B) {
	now := time.Now()
	for _, size := range [][2]int{{50, 5}, {50, 40}, {200, 5}, {200, 40}} {
		for _, busy := range []bool{true, false} {
			b.Run(fmt.Sprintf("%d_%d/busy=%t", size[0], size[1], busy), func(b *testing.B) {
				p := benchPlanner(b, size[0], size[1], 12, now)
				if busy {
					p.plan(now)
				}
				b.ReportAllocs()
				for b.Loop() {
					undo(p.plan(now))
				}
			})
		}
	}
}

// BenchmarkJudge submits one more job and cancels it. With overload, all jobs
// have 300 ms to be on time, which is too little for most.
func BenchmarkJudge(b *testing.B) {
	now := time.Now()
	for _, jobs := range []int{50, 200} {
		for _, overload := range []bool{false, true} {
			b.Run(fmt.Sprintf("%d/overload=%t", jobs, overload), func(b *testing.B) {
				p := benchPlanner(b, jobs, 5, 12, now)
				b.ReportAllocs()
				for b.Loop() {
					for j := range p.jobs {
						j.late = false
						if overload {
							j.OnTimeUntil = now.Add(300 * time.Millisecond)
						}
					}
					if j, _ := p.submit(benchJob(jobs, now), func(Placement, *Refusal) {}, now); j != nil {
						p.cancel(j, now)
					}
				}
			})
		}
	}
}

// BenchmarkLate makes a plan while all targets are busy and all waiting jobs
// are late and are checked again, as they are every 150 ms.
func BenchmarkLate(b *testing.B) {
	now := time.Now()
	for _, jobs := range []int{50, 200} {
		for _, shares := range []bool{false, true} {
			b.Run(fmt.Sprintf("%d/shares=%t", jobs, shares), func(b *testing.B) {
				p := benchPlanner(b, jobs, 5, 12, now)
				p.overload.Shares = shares
				for _, s := range p.services["enc"].targets {
					s.calls = 1
				}
				for b.Loop() {
					for j := range p.jobs {
						j.late, j.lateCheckedAt = true, time.Time{}
					}
					p.lateCheckedAt = time.Time{}
					p.plan(now)
				}
			})
		}
	}
}

// BenchmarkChoose chooses an engine among those that have cached prompts of 300
// sessions.
func BenchmarkChoose(b *testing.B) {
	now := time.Now()
	for _, n := range []int{12, 112} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			o := benchPlanner(b, 0, 1, n, now).pools["lm"]
			for k := range 10 * n {
				o.engines[fmt.Sprint("lm", k%n)].cacheParts(benchPrompt(k), 1e6)
				o.recordUse(benchPrompt(k), now)
			}
			in := benchJob(7, now)
			j := &job{Job: in, session: in.session()}
			b.ReportAllocs()
			for b.Loop() {
				o.choose(j, now)
			}
		})
	}
}

// busyCell is a cell in virtual time whose calls take their nominal time.
type busyCell struct {
	*Planner
	now           time.Time
	later         []timedEvent // by time
	plans, waited int          // waited is the sum of the numbers of waiting jobs over all plans
}

func (c *busyCell) in(wait time.Duration, ifDue bool, what func(now time.Time)) {
	h := timedEvent{c.now.Add(wait), what, ifDue}
	at, _ := slices.BinarySearchFunc(c.later, h, func(a, b timedEvent) int { return a.at.Compare(b.at) })
	c.later = slices.Insert(c.later, at, h)
}

// arrive submits a job whose engine starts to answer after 50 ms and ends after
// a second.
func (c *busyCell) arrive(n int, now time.Time) {
	var j *job
	j, _ = c.submit(benchJob(n, now), func(p Placement, r *Refusal) {
		c.in(50*time.Millisecond, false, func(now time.Time) { c.answerStarted(j, now) })
		c.in(time.Second, true, func(now time.Time) { c.cancel(j, now) })
	}, now)
}

// arrivals schedules the arrival of one job after the other, the first ones at
// once.
func (c *busyCell) arrivals(n, atOnce int) {
	wait := time.Second / 540
	if n < atOnce {
		wait = 0
	}
	c.in(wait, false, func(now time.Time) {
		c.arrive(n, now)
		c.arrivals(n+1, atOnce)
	})
}

func (c *busyCell) wakes() { c.in(planInterval, true, func(time.Time) { c.wakes() }) }

// run advances the time to the end.
func (c *busyCell) run(end time.Time) {
	for c.later[0].at.Before(end) {
		h := c.later[0]
		c.later = c.later[1:]
		c.now = h.at
		h.run(c.now)
		if h.ifDue && !c.due(c.now) {
			continue
		}
		c.plans++
		c.waited += c.counts.Jobs - c.counts.Placed - c.counts.Refused
		for _, k := range c.plan(c.now) {
			c.in(k.nominal, false, func(now time.Time) { c.callFinished(k, answered(k, len(k.pieces)), false, now) })
		}
	}
}

// BenchmarkCell submits 540 jobs per second to a cell for four seconds of
// virtual time and reports the CPU time per second. The names give the number
// of stage targets, of which 17 are 97% and 18 are 92% utilised, and the number
// of jobs that arrive at once at the start.
func BenchmarkCell(b *testing.B) {
	for _, size := range [][2]int{{40, 0}, {18, 0}, {17, 50}, {17, 200}} {
		b.Run(fmt.Sprintf("%d_%d", size[0], size[1]), func(b *testing.B) {
			for b.Loop() {
				c := &busyCell{now: time.Unix(1e9, 0)}
				c.Planner = benchPlanner(b, 0, size[0], 43, c.now)
				c.release = func(_ string, handles []string) {
					c.in(releaseDelay, true, func(time.Time) { c.released(handles) })
				}
				end := c.now.Add(4 * time.Second)
				c.arrivals(0, size[1])
				c.wakes()
				c.run(end)
				b.ReportMetric(float64(c.waited)/float64(c.plans), "waiting")
				b.ReportMetric(float64(c.plans)/4, "plans/s")
				b.ReportMetric(float64(c.counts.Calls)/4, "calls/s")
			}
			b.ReportMetric(b.Elapsed().Seconds()*1000/4/float64(b.N), "ms/s")
		})
	}
}

// BenchmarkUse measures the recording of a placement's prompt while 50,000
// parts were used recently, as after all engines of a cell have reported their
// caches.
func BenchmarkUse(b *testing.B) {
	now := time.Now()
	o := benchPlanner(b, 0, 1, 27, now).pools["lm"]
	for k := range 50_000 {
		o.recordUse(&relay.Prompt{Parts: []relay.PromptPart{{ID: fmt.Sprint("kept", k), Tokens: 100}}}, now)
	}
	b.ReportAllocs()
	for b.Loop() {
		o.recordUse(benchPrompt(1), now)
	}
}
