package stagework

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"lynxhill.example/lynxhill/internal/fleet"
	"lynxhill.example/lynxhill/internal/relay"
)

// paceLoad is a load of engines that share their hosts: each is slowPace times
// slower for slowTime at a time, a slowShare of its time in all.
type paceLoad struct {
	engines   int
	rate      float64 // jobs per second
	slowShare float64
	slowTime  time.Duration
	slowPace  float64
	onTime    time.Duration // from the placement to the first event
	length    time.Duration
	stating   float64 // share of the engines that state their pace
}

// unevenEngines is the load of the engines of the uneven deployment.
var unevenEngines = paceLoad{
	engines: 60, rate: 335, slowShare: 1.0 / 7, slowTime: 600 * ms, slowPace: 2.5,
	onTime: 120 * ms, length: 60 * time.Second, stating: 1,
}

// paceEvent is something that happens at a time; events are ordered by time.
type paceEvent struct {
	at time.Time
	n  int // order of events at one time
	do func()
}

type paceEvents []paceEvent

func (q paceEvents) Len() int { return len(q) }
func (q paceEvents) Less(a, b int) bool {
	return q[a].at.Before(q[b].at) || q[a].at.Equal(q[b].at) && q[a].n < q[b].n
}
func (q paceEvents) Swap(a, b int) { q[a], q[b] = q[b], q[a] }
func (q *paceEvents) Push(x any)   { *q = append(*q, x.(paceEvent)) }
func (q *paceEvents) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// paceRun is a run of a paceLoad in virtual time.
type paceRun struct {
	load    paceLoad
	p       *Planner
	r       *rand.Rand
	now     time.Time
	events  paceEvents
	count   int
	pace    map[string]float64 // by engine, at present
	placed  map[string]int
	onTime  int
	started int
}

func (l paceLoad) run(seed uint64) *paceRun {
	table, targets := engines(l.engines)
	table.Services["lm"].Engine.MemoryTokens = 581_116
	s := &paceRun{
		load: l, p: NewPlanner(func(string, []string) {}), r: rand.New(rand.NewPCG(seed, 1)),
		now: time.Unix(1e9, 0), pace: make(map[string]float64), placed: make(map[string]int),
	}
	for i := range targets {
		targets[i].Zone = fmt.Sprint("p", i%3)
		s.setPace(targets[i].ID, false)
	}
	s.p.SetTargets(table, fleet.NewView(1, targets))
	s.arrive(0)
	for end := s.now.Add(l.length); len(s.events) > 0 && s.events[0].at.Before(end); {
		e := heap.Pop(&s.events).(paceEvent)
		s.now = e.at
		e.do()
	}
	return s
}

func (s *paceRun) after(d time.Duration, do func()) {
	s.count++
	heap.Push(&s.events, paceEvent{s.now.Add(d), s.count, do})
}

// setPace starts a fast or a slow period of the engine, and schedules the next.
func (s *paceRun) setPace(id string, slow bool) {
	s.pace[id] = 1
	length := time.Duration(s.r.ExpFloat64() * float64(s.load.slowTime) * (1 - s.load.slowShare) / s.load.slowShare)
	if slow {
		s.pace[id], length = s.load.slowPace, s.load.slowTime
	}
	s.after(length, func() { s.setPace(id, !slow) })
}

// arrive submits a job of one of 600 sessions and schedules the next arrival.
func (s *paceRun) arrive(n int) {
	s.after(time.Duration(s.r.ExpFloat64()/s.load.rate*float64(time.Second)), func() { s.arrive(n + 1) })
	session, own := fmt.Sprint("s", s.r.IntN(600)), 400+s.r.IntN(1200)
	j := Job{
		ID: fmt.Sprint("j", n), OnTimeUntil: s.now.Add(s.load.onTime), Deadline: s.now.Add(6 * time.Second), Service: "lm", Zone: "p0",
		Prompt: &relay.Prompt{
			TokensIn: 1000 + own, TokensOut: 100,
			Parts: []relay.PromptPart{{ID: "all", Tokens: 200}, {ID: session, Tokens: 800}, {ID: fmt.Sprint("own", n), Tokens: own}},
		},
	}
	var placed Placement
	in, refusal := s.p.submit(j, func(p Placement, _ *Refusal) { placed = p }, s.now)
	if refusal != nil {
		return
	}
	s.p.plan(s.now)
	if placed.Target != "" {
		s.answer(in, placed.Target)
	}
}

// answer has the engine answer: its first event takes a fixed time and 0.025 ms
// for each token that is not in its cache, and as much longer as it is slow. 100
// further events follow.
func (s *paceRun) answer(j *job, id string) {
	s.placed[id]++
	s.started++
	nominal := 30*ms + time.Duration(j.uncachedTokens)*ms/40
	due := s.now.Add(s.load.onTime)
	s.after(time.Duration(float64(nominal)*s.pace[id]), func() {
		if !s.now.After(due) {
			s.onTime++
		}
		var load *relay.Load
		if s.states(id) {
			load = &relay.Load{Slots: 64, Pace: s.pace[id]}
		}
		s.p.statePace(j, load, s.now)
		s.p.answerStarted(j, s.now)
		s.after(2*time.Second, func() { s.p.cancel(j, s.now) })
	})
}

// states reports whether the engine states its pace.
func (s *paceRun) states(id string) bool {
	number := 0
	_, _ = fmt.Sscanf(id, "lm%d", &number)
	return float64(number) < s.load.stating*float64(s.load.engines)
}

// shareOnTime is the share of first events that were on time.
func (s *paceRun) shareOnTime() float64 { return float64(s.onTime) / float64(max(s.started, 1)) }

// busiest is the number of jobs of the engine with most of them, relative to
// the mean.
func (s *paceRun) busiest() float64 {
	most := 0
	for _, n := range s.placed {
		most = max(most, n)
	}
	return float64(most) * float64(s.load.engines) / float64(max(s.started, 1))
}

// TestEnginePaceUnderUnevenEngines guards against late first events on engines
// that are slow for a moment, while others are not, and against most jobs going
// to the engines that are known to be fast. The load: 60 engines of 64 slots,
// 335 jobs/s, one engine in seven 2.5 times slower, for 0.6 s at a time.
func TestEnginePaceUnderUnevenEngines(t *testing.T) {
	for seed := range uint64(3) {
		without := unevenEngines
		without.stating = 0
		a, b := unevenEngines.run(seed), without.run(seed)
		t.Logf("seed %d: on time %.4f with pace, %.4f without; busiest engine over mean %.2f and %.2f; %d jobs",
			seed, a.shareOnTime(), b.shareOnTime(), a.busiest(), b.busiest(), a.started)
		if a.shareOnTime() <= b.shareOnTime() || a.busiest() > b.busiest() {
			t.Errorf("seed %d: on time %.4f with pace, %.4f without; busiest engine %.2f and %.2f times the mean",
				seed, a.shareOnTime(), b.shareOnTime(), a.busiest(), b.busiest())
		}
	}
}

// TestEnginePaceStatedByHalfOfTheEngines guards against engines that state a
// pace being preferred to, or avoided for, those that state none, as while
// engines or owners of two versions are in use. The load is that of
// TestEnginePaceUnderUnevenEngines. The engines that state it get 0.60 of the
// jobs, since those of them that are slow or not are known.
func TestEnginePaceStatedByHalfOfTheEngines(t *testing.T) {
	half, none := unevenEngines, unevenEngines
	half.stating, none.stating = 0.5, 0
	for seed := range uint64(3) {
		a, b := half.run(seed), none.run(seed)
		stating := 0
		for id, n := range a.placed {
			if a.states(id) {
				stating += n
			}
		}
		share := float64(stating) / float64(a.started)
		t.Logf("seed %d: on time %.4f, %.4f without pace; %.3f of the jobs at engines that state it; busiest %.2f", seed, a.shareOnTime(), b.shareOnTime(), share, a.busiest())
		if a.shareOnTime() < b.shareOnTime() || share < 0.35 || share > 0.65 {
			t.Errorf("seed %d: on time %.4f, %.4f without pace; %.3f of the jobs at engines that state it", seed, a.shareOnTime(), b.shareOnTime(), share)
		}
	}
}

// TestSlownessOfAnEngine covers the weight of a stated pace; engines that state
// none are judged by their past times alone.
func TestSlownessOfAnEngine(t *testing.T) {
	now := time.Unix(1e9, 0)
	for _, c := range []struct {
		name       string
		pace, mean float64
		age        time.Duration
		want       float64
	}{
		{"none stated", 0, 0, 0, 1.2},
		{"none stated, others state", 0, 2, 0, 1.2},
		{"just stated", 3, 2, 0, 1.5},
		{"a half-life ago", 3, 2, paceHalfLife, 1.35},
		{"long ago", 3, 2, time.Hour, 1.2},
		{"stated in the future of a clock that was set back", 3, 2, -time.Hour, 1.5},
	} {
		p := &pool{meanPace: c.mean}
		e := &engine{latencyRatio: 1.2, pace: enginePace{c.pace, now.Add(-c.age)}}
		if got := p.slowness(e, now); math.Abs(got-c.want) > 1e-9 {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

// TestStatedPaceIsBounded guards against one absurd pace that makes all other
// engines look fast, and against a pace for an engine that the job has left.
func TestStatedPaceIsBounded(t *testing.T) {
	c := newChooser(t, 3, 0)
	j, id := c.place("s", 1, 2000)
	e := c.pools["lm"].engines[id]
	for _, load := range []*relay.Load{nil, {Slots: 64}, {Slots: 64, Pace: 1e9}} {
		c.statePace(j, load, c.now)
	}
	if e.pace.value != maxPace || c.pools["lm"].meanPace != maxPace {
		t.Errorf("pace %v, mean %v", e.pace.value, c.pools["lm"].meanPace)
	}
	c.cancel(j, c.now)
	c.statePace(j, &relay.Load{Pace: 1}, c.now)
	if e.pace.value != maxPace {
		t.Errorf("pace %v after the end of the job", e.pace.value)
	}
	d := &Dispatcher{planners: map[string]*Planner{"": c.Planner}}
	if got := d.EnginePaces(); got != (EnginePaces{Stating: 1, Mean: maxPace, Slowest: maxPace}) {
		t.Errorf("summary %+v", got)
	}
}
