package slotqueue

import (
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/coder/quartz"

	"lynxhill.example/lynxhill/internal/fleet"
	"lynxhill.example/lynxhill/internal/relay"
)

const (
	fakeService  = "plain"
	fakeTargets  = 6
	fakeSlots    = 6
	fakeWork     = 60 * time.Millisecond
	fakeOnTime   = 300 * time.Millisecond
	fakeDeadline = 1500 * time.Millisecond
)

// world is a service with its instances in the virtual time of a synctest bubble.
type world struct {
	mu        sync.Mutex // guards all fields; not held while a session is called
	rand      *rand.Rand
	servers   map[string]*fakeServer
	list      []fleet.Target
	c         *Coordinator
	instances []*fakeInstance
	delay     time.Duration // of a message, each way
	results   map[string]*tally
	nextID    uint64
}

// used returns the slots that the coordinator counts as used.
func (w *world) used() (n int) {
	for _, s := range w.c.Snapshot().Services {
		n += s.Used
	}
	return n
}

// unanswered returns the requests that have no end yet.
func (w *world) unanswered() (n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, i := range w.instances {
		n += len(i.requests)
	}
	return n
}

func (w *world) result(kind string) tally {
	w.mu.Lock()
	defer w.mu.Unlock()
	return *w.tally(kind)
}

// tally counts the requests of one kind.
type tally struct{ all, onTime, late, refused, failed int }

func (t tally) share() float64 { return float64(t.onTime) / float64(t.all) }

type fakeInstance struct {
	w        *world
	name     string
	session  Session // nil = no coordinator
	requests map[uint64]*fakeRequest
}

type fakeRequest struct {
	Request
	kind    string
	work    time.Duration
	began   time.Time
	sent    time.Time
	target  string
	started bool
}

func newWorld(seed uint64, instances int, delay time.Duration) *world {
	w := &world{rand: rand.New(rand.NewPCG(seed, 1)), servers: map[string]*fakeServer{}, delay: delay, results: map[string]*tally{}}
	for i := range fakeTargets {
		id := "t" + strconv.Itoa(i)
		w.list = append(w.list, fleet.Target{ID: id, Service: fakeService, Slots: fakeSlots})
		w.servers[id] = &fakeServer{id: id, paces: []pacePeriod{{time.Now(), 1}}}
	}
	w.c = w.newCoordinator()
	for i := range instances {
		w.instances = append(w.instances, &fakeInstance{w: w, name: "i" + strconv.Itoa(i), requests: map[uint64]*fakeRequest{}})
	}
	w.connect(w.c)
	return w
}

func (w *world) newCoordinator() *Coordinator {
	return New(Options{
		Clock: quartz.NewReal(), Rand: rand.New(rand.NewPCG(1, 2)),
		Targets: func(string) []fleet.Target { return w.list },
	})
}

// connect opens a session of each instance, which states the slots that it uses.
func (w *world) connect(c *Coordinator) {
	w.mu.Lock()
	w.c = c
	w.mu.Unlock()
	for _, i := range w.instances {
		var s Session
		s = c.Open(i.name, func(a Answer) { time.AfterFunc(w.delay, func() { i.receive(s, a) }) })
		w.mu.Lock()
		i.session = s
		var held []HeldSlot
		for id, r := range i.requests {
			if r.started {
				held = append(held, HeldSlot{ID: id, Service: fakeService, Target: r.target})
			}
		}
		w.mu.Unlock()
		time.AfterFunc(w.delay, func() { s.Adopt(held) })
	}
}

// slowPeriods makes each server slower by the factor for one period in every, at random.
func (w *world) slowPeriods(factor float64, period time.Duration, every int, until time.Duration) {
	for _, t := range w.list {
		s := w.servers[t.ID]
		at := time.Now()
		end := at.Add(until)
		s.paces = nil
		for at.Before(end) {
			pace := 1.0
			if w.rand.IntN(every) == 0 {
				pace = factor
			}
			s.paces = append(s.paces, pacePeriod{at, pace})
			if len(s.paces) == 1 { // servers change at different times
				at = at.Add(time.Duration(w.rand.Float64() * float64(period)))
			} else {
				at = at.Add(period)
			}
		}
	}
}

// load sends requests at random times with the given mean rate for a time.
func (w *world) load(rate float64, length time.Duration, kind func(r *fakeRequest)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for at := 0.0; at < length.Seconds(); at += w.rand.ExpFloat64() / rate {
		r := &fakeRequest{
			Request: Request{Service: fakeService, Route: "d", Organisation: "org" + strconv.Itoa(w.rand.IntN(16))},
			work:    time.Duration(float64(fakeWork) * (0.5 + 0.5*w.rand.ExpFloat64())),
		}
		if kind != nil {
			kind(r)
		}
		w.nextID++
		r.ID = w.nextID
		i := w.instances[w.rand.IntN(len(w.instances))]
		time.AfterFunc(seconds(at), func() { i.begin(r) })
	}
}

func (i *fakeInstance) begin(r *fakeRequest) {
	r.began = time.Now()
	r.OnTimeUntil, r.Deadline = r.began.Add(fakeOnTime), r.began.Add(fakeDeadline)
	i.w.mu.Lock()
	i.requests[r.ID] = r
	s := i.session
	i.w.mu.Unlock()
	if s == nil {
		time.AfterFunc(noWord, func() { i.chooseItself(r) })
		return
	}
	time.AfterFunc(i.w.delay, func() { s.Submit(r.Request) })
}

// Times of a client: without word on a request it chooses a target itself, and after
// silence it takes the coordinator for lost.
const (
	noWord  = 80 * time.Millisecond
	silence = 500 * time.Millisecond
)

// loseCoordinator ends the coordinator. The instances notice it by its silence, choose
// targets for the requests that wait, and ask the next coordinator.
func (w *world) loseCoordinator() {
	w.mu.Lock()
	for _, i := range w.instances {
		i.session = nil
		for _, r := range i.requests {
			if !r.started {
				time.AfterFunc(silence, func() { i.chooseItself(r) })
			}
		}
	}
	w.mu.Unlock()
	time.Sleep(silence)
	w.connect(w.newCoordinator())
}

// chooseItself takes one of two random targets, as an owner without a coordinator does.
func (i *fakeInstance) chooseItself(r *fakeRequest) {
	i.w.mu.Lock()
	defer i.w.mu.Unlock()
	if r.started {
		return
	}
	a, b := i.w.list[i.w.rand.IntN(fakeTargets)].ID, i.w.list[i.w.rand.IntN(fakeTargets)].ID
	if i.held(b) < i.held(a) {
		a = b
	}
	i.send(r, a)
}

func (i *fakeInstance) held(target string) (n int) {
	for _, r := range i.requests {
		if r.started && r.target == target {
			n++
		}
	}
	return n
}

func (i *fakeInstance) receive(s Session, a Answer) {
	i.w.mu.Lock()
	defer i.w.mu.Unlock()
	r := i.requests[a.ID]
	if r == nil || r.started || i.session != s {
		return
	}
	if a.Refusal != nil {
		delete(i.requests, a.ID)
		i.w.tally(r.kind).all++
		i.w.tally(r.kind).refused++
	} else if a.Target != "" {
		i.send(r, a.Target)
	}
}

// send sends the request to the target. The caller holds the lock.
func (i *fakeInstance) send(r *fakeRequest, target string) {
	r.started, r.target, r.sent = true, target, time.Now()
	s := i.w.servers[target]
	time.AfterFunc(i.w.delay, func() {
		i.w.mu.Lock()
		defer i.w.mu.Unlock()
		s.accept(i.w, r.work, func(l *relay.Load) { time.AfterFunc(i.w.delay, func() { i.answered(r, l) }) })
	})
}

func (i *fakeInstance) answered(r *fakeRequest, l *relay.Load) {
	i.w.mu.Lock()
	delete(i.requests, r.ID)
	t := i.w.tally(r.kind)
	t.all++
	took := time.Since(r.began)
	outcome := Answered
	switch {
	case l == nil:
		t.failed++
		outcome = NoResponse
	case took <= fakeOnTime:
		t.onTime++
	default:
		t.late++
	}
	s := i.session
	i.w.mu.Unlock()
	if s != nil {
		attempt := time.Since(r.sent)
		time.AfterFunc(i.w.delay, func() { s.Release(Release{ID: r.ID, Outcome: outcome, Took: attempt, Load: l}) })
	}
}

func (w *world) tally(kind string) *tally {
	t := w.results[kind]
	if t == nil {
		t = &tally{}
		w.results[kind] = t
	}
	return t
}
