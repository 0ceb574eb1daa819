package slotqueue

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/coder/quartz"

	"lynxhill.example/lynxhill/internal/clock"
	"lynxhill.example/lynxhill/internal/event"
	"lynxhill.example/lynxhill/internal/fleet"
	"lynxhill.example/lynxhill/internal/metrics"
)

// Options configure a Coordinator. Clock, Rand and Targets are required.
type Options struct {
	Clock   clock.Clock
	Logger  *event.Logger
	Metrics *metrics.Registry
	// Rand seeds one source for each shard. It must not be used elsewhere.
	Rand *rand.Rand
	// Targets returns the targets of a service. Draining ones may be in the list.
	Targets func(service string) []fleet.Target
	Bounds  Bounds
}

// Bounds limit what targets get from all instances together.
type Bounds struct {
	// TargetBodyBytes bounds the bodies of the requests that a target has; 0 = unbounded.
	TargetBodyBytes int64
	// ColdRate returns the requests per second that a cold target of the service may get;
	// 0 = not limited. nil = none is limited.
	ColdRate func(service string) float64
	// TargetRate returns the requests per second that the target accepts, if it has stated
	// so. nil = none has.
	TargetRate func(target string) (float64, bool)
}

// Coordinator decides about the slots of the services for which instances ask it. It is
// safe for concurrent use.
type Coordinator struct {
	o     Options
	count counters
	log   refusalLines

	mu       sync.Mutex // guards the fields below and o.Rand; not held while a shard's is taken
	shards   map[shardKey]*shard
	counts   map[string]int // shards of each service, as last listed
	sessions map[uint64]*session
	opened   uint64
}

type shardKey struct {
	service string
	shard   int
}

// shard is a queue with its lock and its timer.
type shard struct {
	c *Coordinator

	mu    sync.Mutex // guards the fields below
	q     *queue
	timer *quartz.Timer // nil = nothing to wait for
	due   time.Time     // of the timer
}

// New returns a coordinator without sessions.
func New(o Options) *Coordinator {
	return &Coordinator{
		o: o, count: newCounters(o.Metrics), log: refusalLines{logger: o.Logger},
		shards: make(map[shardKey]*shard), counts: make(map[string]int), sessions: make(map[uint64]*session),
	}
}

// Open begins a session of an instance. answer is called for each decision, in the order
// in which they are taken, by one goroutine at a time and without a lock held. It may be
// called by another session's call and must not block.
func (c *Coordinator) Open(instance string, answer func(Answer)) Session {
	c.mu.Lock()
	c.opened++
	s := &session{c: c, owner: owner{instance, c.opened}, answer: answer, requests: make(map[uint64]*shard)}
	c.sessions[c.opened] = s
	c.count.sessions.Set(int64(len(c.sessions)))
	c.mu.Unlock()
	c.o.Logger.Log(event.SlotSessionOpened, "instance", instance)
	return s
}

// TargetsChanged reads the targets of all services again.
func (c *Coordinator) TargetsChanged() {
	c.mu.Lock()
	all := make(map[shardKey]*shard, len(c.shards))
	for key, sh := range c.shards {
		all[key] = sh
	}
	c.mu.Unlock()
	lists := make(map[string][][]fleet.Target)
	for key, sh := range all {
		shards, read := lists[key.service]
		if !read {
			shards = Shards(c.o.Targets(key.service))
			lists[key.service] = shards
			c.mu.Lock()
			c.counts[key.service] = len(shards)
			c.mu.Unlock()
		}
		var list []fleet.Target
		if key.shard < len(shards) {
			list = shards[key.shard]
		}
		sh.do(func(q *queue, now time.Time) { q.setTargets(list, now) })
	}
}

// shard returns a shard of the service, nil if the service has no target. The number may
// come from an instance that has another list of targets.
func (c *Coordinator) shard(service string, number int) *shard {
	c.mu.Lock()
	count := c.counts[service]
	sh := c.shards[shardKey{service, wrap(number, count)}]
	c.mu.Unlock()
	if sh != nil {
		return sh
	}
	shards := Shards(c.o.Targets(service))
	if len(shards) == 0 {
		return nil
	}
	number = wrap(number, len(shards))
	key := shardKey{service, number}
	c.mu.Lock()
	c.counts[service] = len(shards)
	sh = c.shards[key]
	if sh == nil {
		source := rand.New(rand.NewPCG(c.o.Rand.Uint64(), c.o.Rand.Uint64()))
		sh = &shard{c: c, q: newQueue(service, number, c.o.Bounds, source, c.count)}
		c.shards[key] = sh
	}
	c.mu.Unlock()
	sh.do(func(q *queue, now time.Time) { q.setTargets(shards[number], now) })
	return sh
}

func wrap(number, count int) int { return max(number, 0) % max(count, 1) }

// do changes the queue and delivers what it decides.
func (sh *shard) do(change func(q *queue, now time.Time)) {
	sh.mu.Lock()
	now := sh.c.o.Clock.Now()
	change(sh.q, now)
	sh.schedule(now)
	decisions := sh.q.take()
	touched := sh.c.enqueue(decisions)
	service, number := sh.q.service, sh.q.shard
	sh.mu.Unlock()
	sh.c.logDecisions(decisions, service, number, now)
	for _, s := range touched {
		s.deliver()
	}
}

// schedule sets the timer if the queue has something to wait for. The caller holds the
// shard's lock.
func (sh *shard) schedule(now time.Time) {
	d := sh.q.interval()
	due := now.Add(d)
	switch {
	case d == 0 || sh.timer != nil && !due.Before(sh.due):
		return
	case sh.timer == nil:
		sh.timer = sh.c.o.Clock.AfterFunc(d, sh.tick, "slotqueue")
	default:
		sh.timer.Reset(d, "slotqueue")
	}
	sh.due = due
}

func (sh *shard) tick() {
	var expired int
	sh.do(func(q *queue, now time.Time) {
		if now.Before(sh.due) { // it had fired already when it was set again
			return
		}
		sh.timer = nil
		expired = q.tick(now)
	})
	if expired > 0 {
		sh.c.count.expired.Add(int64(expired))
		sh.c.o.Logger.Log(event.SlotsExpired, "service", sh.q.service, "shard", sh.q.shard, "slots", expired)
	}
}

// enqueue appends decisions to the outboxes of their sessions and returns those. The
// caller holds the lock of the shard that took them, so that they stay in order.
func (c *Coordinator) enqueue(decisions []decision) (touched []*session) {
	for _, d := range decisions {
		c.mu.Lock()
		s := c.sessions[d.owner.session]
		c.mu.Unlock()
		if s == nil {
			continue
		}
		s.push(d.answer)
		if !slices.Contains(touched, s) {
			touched = append(touched, s)
		}
	}
	return touched
}

// Snapshot returns the state of the coordinator for operators.
func (c *Coordinator) Snapshot() Snapshot {
	var s Snapshot
	c.mu.Lock()
	var all []*shard
	for _, sh := range c.shards {
		all = append(all, sh)
	}
	for _, one := range c.sessions {
		s.Sessions = append(s.Sessions, one.owner.instance)
	}
	c.mu.Unlock()
	slices.Sort(s.Sessions)
	for _, sh := range all {
		sh.mu.Lock()
		s.Services = append(s.Services, sh.q.snapshot(c.o.Clock.Now()))
		sh.mu.Unlock()
	}
	slices.SortFunc(s.Services, func(a, b ServiceSnapshot) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Shard, b.Shard))
	})
	return s
}
