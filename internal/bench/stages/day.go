package stages

import (
	"math/rand/v2"
	"slices"
	"time"

	"lynxhill.example/lynxhill/internal/relay"
	"lynxhill.example/lynxhill/internal/route"
	"lynxhill.example/lynxhill/internal/stagework"
)

// Options of a day.
type Options struct {
	Seed   uint64
	Policy stagework.Policy
	Load   float64       // multiplies the callers' rate
	Length time.Duration // in which requests arrive, in virtual time
	// Instances is how many lynxhill instances there are, at least 2.
	Instances int
	// LoseDispatcherAt is when the first instance dies; 0 = never.
	LoseDispatcherAt time.Duration
}

// Defaults of a day.
const (
	DefaultLength    = 40 * time.Second
	DefaultInstances = 4
	DefaultLose      = 18 * time.Second
)

// Times of an instance, as those of stagework's dispatcher and of its owners.
const (
	wakeEvery = 20 * time.Millisecond
	freeAfter = 8 * time.Millisecond
	// silence is after how long owners of jobs hold a dispatcher for lost.
	silence = 900 * time.Millisecond
)

// day is one run.
type day struct {
	loop
	o          Options
	draw       *rand.Rand // of faults and jitter
	table      *route.Table
	revision   uint64
	servers    []*server
	serverByID map[string]*server
	engines    []*engine
	engineByID map[string]*engine
	instances  []*instance
	requests   map[string]*request
	results    map[string]*result
	handles    int
	lastUsed   map[string]time.Time // prompt parts
	out        Result
}

// instance is a lynxhill instance with its planner.
type instance struct {
	day     *day
	zone    string
	dead    bool
	steps   *stagework.Stepper
	waking  bool
	freeing map[string][]string // by address
}

// begin is the first moment of a day; any will do.
var begin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Run plays one day.
func Run(o Options) Result {
	d := newDay(o)
	for d.step() {
	}
	return d.result()
}

// newDay returns a day whose callers and faults are still to come.
func newDay(o Options) *day {
	d := &day{
		loop: loop{now: begin}, o: o, draw: rand.New(rand.NewPCG(o.Seed, 2)), table: table(),
		serverByID: make(map[string]*server), engineByID: make(map[string]*engine),
		requests: make(map[string]*request), results: make(map[string]*result), lastUsed: make(map[string]time.Time),
	}
	d.build()
	for n := range max(o.Instances, 2) {
		d.instances = append(d.instances, d.instance(n))
	}
	d.listTargets()
	d.planFaults()
	if o.LoseDispatcherAt > 0 {
		d.after(o.LoseDispatcherAt, d.loseDispatcher)
	}
	d.callers()
	return d
}

func (d *day) instance(n int) *instance {
	i := &instance{day: d, zone: zones[n%len(zones)], freeing: make(map[string][]string)}
	i.steps = stagework.NewStepper(d.o.Policy, i.release)
	return i
}

// first is the instance that ranks first among those alive.
func (d *day) first() *instance {
	at := slices.IndexFunc(d.instances, func(i *instance) bool { return !i.dead })
	return d.instances[at]
}

// scheduler is the instance whose planner takes the request's job.
func (d *day) scheduler(q *request) *instance {
	if d.o.Policy.EachByItself {
		return q.owner
	}
	return d.first()
}

// jitter is a factor of the time of a call.
func (d *day) jitter() float64 { return 0.97 + 0.09*d.draw.Float64() }

// proceed makes the calls that the planner wants made.
func (i *instance) proceed() {
	d := i.day
	for _, c := range i.steps.Calls(d.now) {
		s := d.serverByID[c.Target.ID]
		s.run(&call{StepCall: c, from: i})
	}
	if i.steps.Busy() && !i.waking {
		i.waking = true
		d.after(wakeEvery, i.wake)
	}
}

func (i *instance) wake() {
	i.waking = false
	if !i.dead {
		i.proceed()
	}
}

// release gathers results to give up, so that one message names many.
func (i *instance) release(address string, handles []string) {
	if len(i.freeing) == 0 {
		i.day.after(freeAfter+hop, i.free)
	}
	i.freeing[address] = append(i.freeing[address], handles...)
}

func (i *instance) free() {
	if i.dead {
		return
	}
	gathered := i.freeing
	i.freeing = make(map[string][]string)
	for _, handles := range gathered {
		i.day.free(handles)
		i.steps.Released(handles)
	}
	i.proceed()
}

// loseDispatcher kills the first instance: its own requests are lost, the
// others' jobs go on at the next once its silence was noticed. New jobs find
// out at once.
func (d *day) loseDispatcher() {
	lost := d.first()
	lost.dead = true
	var orphans []*request
	for _, id := range d.requestIDs() {
		q := d.requests[id]
		switch {
		case q.ended || q.arrived.IsZero():
		case q.owner == lost:
			if !q.answered {
				d.out.Left++
			}
			q.end()
		case q.at == lost && q.engine == nil:
			orphans = append(orphans, q)
		}
	}
	d.after(silence, func() {
		for _, q := range orphans {
			if !q.ended {
				q.move()
			}
		}
	})
	if !d.o.Policy.EachByItself {
		d.after(hop, d.askTargets)
	}
}

func (d *day) requestIDs() []string {
	ids := make([]string, 0, len(d.requests))
	for id := range d.requests {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// askTargets tells the new dispatcher of the targets' free room, which they
// report in whole megabytes.
func (d *day) askTargets() {
	next := d.first()
	for _, s := range d.servers {
		if !s.gone {
			free := (s.limits.ResultMemory - s.used()) / mb * mb
			next.steps.Reported(s.target.Service, s.target.ID, free, d.now)
		}
	}
	next.proceed()
}

// made notes that a piece was made.
func (d *day) made(p relay.Piece) {
	d.out.Made++
	d.requests[p.ID].pieces[[2]int{p.Stage, p.Number}] = true
}

// answer notes a first event.
func (d *day) answer(q *request) {
	took := d.now.Sub(q.arrived)
	d.out.firsts = append(d.out.firsts, took)
	if took <= q.kind.aim {
		d.out.OnTime++
	} else {
		d.out.Late++
	}
}
