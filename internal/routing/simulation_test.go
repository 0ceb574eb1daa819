package routing

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"lynxhill.example/lynxhill/internal/board"
	"lynxhill.example/lynxhill/internal/profile"
	"lynxhill.example/lynxhill/internal/wire/targetapi"
)

// simulation is a small queueing model in virtual time. Instances choose targets;
// targets have slots and a FIFO queue; all instances see reports of the same age.
type simulation struct {
	policy    Policy
	targets   int
	instances int
	slots     int
	service   time.Duration // mean; lognormal with a coefficient of variation of 1
	load      float64       // offered load as a fraction of the capacity
	age       time.Duration // interval of the reports, hence their greatest age
	piggyback bool          // responses carry reports too
	slow      int           // targets that take three times as long
	decay     float64       // Tuning.ReportDecay; 0 means the default
	requests  int
}

type simTarget struct {
	running int
	queue   []simCall
	slow    float64
}

type simCall struct {
	sent     time.Duration
	instance int
	target   int
}

type simInstance struct {
	chooser *Chooser
	pick    ChooseParams
	starts  [][]time.Duration // by target, of calls in flight
	seen    []time.Duration   // time of the target's latest report
	total   int               // calls in flight
	index   map[string]int
}

// Local implements LocalView.
func (in *simInstance) Local(id string, _ board.Load, _ bool) LocalState {
	i := in.index[id]
	l := LocalState{InFlight: len(in.starts[i])}
	for _, at := range in.starts[i] {
		if at > in.seen[i] {
			l.SentSinceReport++
		}
	}
	return l
}

type simEvent struct {
	at   time.Duration
	kind int // 0 arrival, 1 end of a call, 2 report of a target
	call simCall
}

type eventHeap []simEvent

func (h eventHeap) Len() int           { return len(h) }
func (h eventHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h eventHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)        { *h = append(*h, x.(simEvent)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

type simRun struct {
	simulation
	rand      *rand.Rand
	events    eventHeap
	targets   []simTarget
	instances []*simInstance
	latencies []float64
	reported  []int // calls at each target by its last report
	sum       int   // of reported
}

// run returns the quantiles 0.5, 0.95 and 0.99 of the latency in milliseconds.
func (tr simulation) run(seed uint64) []float64 {
	r := &simRun{simulation: tr, rand: rand.New(rand.NewPCG(seed, 3)), targets: make([]simTarget, tr.targets), reported: make([]int, tr.targets)}
	for i := range r.targets {
		r.targets[i].slow = 1
		if i < tr.slow {
			r.targets[i].slow = 3
		}
		first := time.Duration(r.rand.Float64() * float64(tr.age))
		heap.Push(&r.events, simEvent{at: first, kind: 2, call: simCall{target: i}})
	}
	shared := tr.newBoard()
	for i := range tr.instances {
		b := shared
		if tr.piggyback {
			b = tr.newBoard()
		}
		r.instances = append(r.instances, newTrialInstance(tr, b, uint64(i)+seed))
	}
	heap.Push(&r.events, simEvent{})
	arrived := 0
	for len(r.latencies) < tr.requests {
		e := heap.Pop(&r.events).(simEvent)
		switch e.kind {
		case 0:
			arrived++
			r.arrive(e.at)
		case 1:
			r.end(e.at, e.call)
		default:
			r.report(e.at, e.call.target)
		}
	}
	measured := r.latencies[len(r.latencies)/5:] // without the warm-up
	slices.Sort(measured)
	var out []float64
	for _, q := range []float64{0.5, 0.95, 0.99} {
		out = append(out, measured[int(q*float64(len(measured)))])
	}
	return out
}

func (tr simulation) newBoard() *board.Board {
	b := board.New()
	for i := range tr.targets {
		id := trialID(i)
		b.Targets.Put(id, board.Target{ID: id, Service: "pool", Kind: profile.KindGenerate, Zone: "a1", Region: "ra"})
	}
	return b
}

func trialID(i int) string { return fmt.Sprintf("t%03d", i) }

func newTrialInstance(tr simulation, b *board.Board, seed uint64) *simInstance {
	in := &simInstance{
		chooser: newChooser(b),
		starts:  make([][]time.Duration, tr.targets),
		seen:    make([]time.Duration, tr.targets),
		index:   make(map[string]int),
	}
	for i := range tr.targets {
		in.index[trialID(i)] = i
	}
	if tr.decay > 0 {
		in.chooser.Tuning.ReportDecay = tr.decay
	}
	in.pick = newPick(in)
	in.pick.Policy = tr.policy
	in.pick.Rand = rand.New(rand.NewPCG(seed, 5))
	in.pick.Turn = in.pick.Rand.(*rand.Rand).Uint64N(uint64(tr.targets))
	return in
}

func (r *simRun) arrive(now time.Duration) {
	capacity := float64(r.simulation.targets-r.slow) + float64(r.slow)/3
	rate := r.load * capacity * float64(r.slots) / r.service.Seconds()
	next := time.Duration(r.rand.ExpFloat64() / rate * float64(time.Second))
	heap.Push(&r.events, simEvent{at: now + next})
	n := r.rand.IntN(len(r.instances))
	in := r.instances[n]
	in.pick.Now = start.Add(now)
	in.pick.Turn++
	in.pick.Mean = ServiceMean{PerSlot: float64(r.sum) / float64(r.slots*r.simulation.targets), OwnPerTarget: float64(in.total) / float64(r.simulation.targets), Service: r.service}
	choice, _ := in.chooser.Choose(in.pick)
	t := in.index[choice.Target.ID]
	in.total++
	in.starts[t] = append(in.starts[t], now)
	r.take(now, simCall{sent: now, instance: n, target: t})
}

func (r *simRun) take(now time.Duration, c simCall) {
	t := &r.targets[c.target]
	if t.running >= r.slots {
		t.queue = append(t.queue, c)
		return
	}
	t.running++
	sigma := math.Sqrt(math.Ln2) // coefficient of variation 1
	took := math.Exp(sigma*r.rand.NormFloat64()-sigma*sigma/2) * r.service.Seconds() * t.slow
	heap.Push(&r.events, simEvent{at: now + time.Duration(took*float64(time.Second)), kind: 1, call: c})
}

func (r *simRun) end(now time.Duration, c simCall) {
	t := &r.targets[c.target]
	t.running--
	if len(t.queue) > 0 {
		next := t.queue[0]
		t.queue = t.queue[1:]
		r.take(now, next)
	}
	r.latencies = append(r.latencies, float64(now-c.sent)/float64(time.Millisecond))
	in := r.instances[c.instance]
	i := slices.Index(in.starts[c.target], c.sent)
	in.starts[c.target] = slices.Delete(in.starts[c.target], i, i+1)
	in.total--
	if r.piggyback {
		in.seen[c.target] = now
		r.put(now, in.chooser.Board, c.target)
	}
}

// report delivers a target's report to all instances at once and schedules the
// next one.
func (r *simRun) report(now time.Duration, target int) {
	for i, in := range r.instances {
		in.seen[target] = now
		if r.piggyback || i == 0 {
			r.put(now, in.chooser.Board, target)
		}
	}
	heap.Push(&r.events, simEvent{at: now + r.age, kind: 2, call: simCall{target: target}})
}

func (r *simRun) put(now time.Duration, b *board.Board, target int) {
	t := &r.targets[target]
	outstanding := t.running + len(t.queue)
	r.sum += outstanding - r.reported[target]
	r.reported[target] = outstanding
	id := trialID(target)
	report := targetapi.LoadReport{
		Target: id, Running: t.running, Queued: len(t.queue), Slots: r.slots,
		MeanMS: float64(r.service.Milliseconds()) * t.slow,
	}
	b.Loads.Put(id, board.Load{Report: report, At: start.Add(now)})
}

func baseTrial(policy Policy, targets int, age time.Duration) simulation {
	return simulation{
		policy: policy, targets: targets, instances: 8, slots: 8, service: 200 * time.Millisecond,
		load: 0.85, age: age, piggyback: true, requests: 20000,
	}
}

// TestTwoChoicesBeatsBaselines shows why two choices is the default policy.
func TestTwoChoicesBeatsBaselines(t *testing.T) {
	for _, age := range []time.Duration{100 * time.Millisecond, time.Second} {
		p99 := make(map[Policy]float64)
		for _, policy := range Policies() {
			tr := baseTrial(policy, 12, age)
			p99[policy] = tr.run(1)[2]
		}
		for _, baseline := range []Policy{PolicyRandom, PolicyRoundRobin} {
			if p99[PolicyTwoChoices] >= p99[baseline] {
				t.Errorf("age %s: p99 %.0f ms by two choices, %.0f ms by %s", age, p99[PolicyTwoChoices], p99[baseline], baseline)
			}
		}
	}
}

// Guards against herd behaviour with reports that are seconds old: a report shows
// free capacity, all instances prefer the target until its next report shows it
// full, and then all avoid it, so that some targets have long queues while others
// are idle, worse than with random choice. The cause is that all instances rank
// two old reports the same way, however little they still tell.
func TestAgedReportsDrawNoHerd(t *testing.T) {
	p95 := make(map[Policy]float64)
	for _, policy := range []Policy{PolicyTwoChoices, PolicyRandom} {
		tr := baseTrial(policy, 150, 2*time.Second)
		tr.instances, tr.piggyback, tr.requests = 90, false, 60000
		p95[policy] = tr.run(1)[1]
	}
	if p95[PolicyTwoChoices] > p95[PolicyRandom] {
		t.Errorf("p95 %.0f ms by two choices, %.0f ms by random", p95[PolicyTwoChoices], p95[PolicyRandom])
	}
}

// TestPolicyTable prints the table of docs/design/routing.md. It takes about a
// minute, so that it runs only when LYNXHILL_TRIALS is set.
func TestPolicyTable(t *testing.T) {
	if os.Getenv("LYNXHILL_TRIALS") == "" {
		t.Skip("set LYNXHILL_TRIALS=1 to print the table")
	}
	ages := []time.Duration{100 * time.Millisecond, 500 * time.Millisecond, time.Second, 2 * time.Second, 5 * time.Second}
	for i, age := range ages {
		for _, policy := range Policies() {
			if i > 0 && policy != PolicyTwoChoices {
				continue // the baselines read no reports
			}
			today := baseTrial(policy, 12, age)
			today.requests = 60000
			straggler := today
			straggler.slow = 1
			size := baseTrial(policy, 600, age)
			size.instances, size.piggyback, size.requests = 370, false, 400000
			for _, tr := range []simulation{today, straggler, size} {
				t.Run(fmt.Sprintf("targets=%d/slow=%d/age=%s/%s", tr.targets, tr.slow, age, policy), func(t *testing.T) {
					t.Parallel()
					q := tr.run(1)
					t.Logf("RESULT targets=%d slow=%d age=%s %s: p50 %.0f p95 %.0f p99 %.0f ms", tr.targets, tr.slow, age, policy, q[0], q[1], q[2])
				})
			}
		}
	}
}

// TestReportMemoryTable prints latencies for several values of
// Tuning.ReportDecay.
func TestReportMemoryTable(t *testing.T) {
	if os.Getenv("LYNXHILL_TRIALS") == "" {
		t.Skip("set LYNXHILL_TRIALS=1 to print the table")
	}
	for _, memory := range []float64{0.1, 0.25, 0.5, 1, 1000} {
		for _, age := range []time.Duration{100 * time.Millisecond, 500 * time.Millisecond, 2 * time.Second} {
			today := baseTrial(PolicyTwoChoices, 12, age)
			size := baseTrial(PolicyTwoChoices, 300, age)
			size.instances, size.piggyback, size.requests = 185, false, 100000
			for _, tr := range []simulation{today, size} {
				tr.decay = memory
				t.Run(fmt.Sprintf("targets=%d/age=%s/memory=%g", tr.targets, age, memory), func(t *testing.T) {
					t.Parallel()
					q := tr.run(1)
					t.Logf("RESULT targets=%d memory=%g age=%s: p50 %.0f p95 %.0f p99 %.0f ms", tr.targets, memory, age, q[0], q[1], q[2])
				})
			}
		}
	}
}
