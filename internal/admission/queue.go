package admission

import (
	"container/heap"
	"time"

	"lynxhill.example/lynxhill/internal/profile"
)

// flowKey groups waiters that are equal but for their deadlines: one that
// waits for another model must not hold up the rest of its organisation.
type flowKey struct {
	organisation string
	model        string
	version      string
	adapter      string
	repeated     bool // leaves out some targets
}

func flowOf(want *Want, p profile.Provider) flowKey {
	return flowKey{
		organisation: want.Query.Organisation,
		model:        p.Model,
		version:      p.Version,
		adapter:      p.Adapter,
		repeated:     len(want.Query.Exclude) > 0,
	}
}

// waiter is an attempt that waits for a slot. It is guarded by the lock of its
// service; ready is closed when slot or err has been set.
type waiter struct {
	want     *Want
	provider profile.Provider
	priority int
	deadline time.Time // zero: none
	ready    chan struct{}
	slot     *slot
	err      error
	settled  bool
	index    int // in the heap of its flow
	flow     *flow
}

func (w *waiter) settle(s *slot, err error) {
	w.slot, w.err, w.settled = s, err, true
	close(w.ready)
}

// flow holds the waiters of one organisation and model, earliest deadline
// first.
type flow struct {
	key     flowKey
	level   int
	waiters deadlineHeap
	skipped uint64 // number of the pass that could not place its head
}

// queue holds the waiters of a service: by priority, fair among organisations
// by virtual time, earliest deadline first inside an organisation.
type queue struct {
	levels  []level // by falling priority; few
	waiting int
	byOrg   map[string]int // waiters of each organisation
	tags    virtualTime
}

type level struct {
	priority int
	flows    []*flow
	byKey    map[flowKey]*flow
}

func newQueue() *queue {
	return &queue{byOrg: make(map[string]int), tags: newVirtualTime()}
}

func (q *queue) push(w *waiter) {
	lv := q.levelOf(w.priority)
	key := flowOf(w.want, w.provider)
	f := lv.byKey[key]
	if f == nil {
		f = &flow{key: key, level: w.priority}
		lv.byKey[key] = f
		lv.flows = append(lv.flows, f)
	}
	w.flow = f
	heap.Push(&f.waiters, w)
	q.waiting++
	q.byOrg[key.organisation]++
}

func (q *queue) levelOf(priority int) *level {
	at := 0
	for at < len(q.levels) && q.levels[at].priority > priority {
		at++
	}
	if at < len(q.levels) && q.levels[at].priority == priority {
		return &q.levels[at]
	}
	q.levels = append(q.levels, level{})
	copy(q.levels[at+1:], q.levels[at:])
	q.levels[at] = level{priority: priority, byKey: make(map[flowKey]*flow)}
	return &q.levels[at]
}

func (q *queue) remove(w *waiter) {
	f := w.flow
	heap.Remove(&f.waiters, w.index)
	q.waiting--
	q.forgetOne(f.key.organisation)
	if len(f.waiters) == 0 {
		q.levelOf(f.level).drop(f)
	}
}

func (q *queue) forgetOne(organisation string) {
	q.byOrg[organisation]--
	if q.byOrg[organisation] == 0 {
		delete(q.byOrg, organisation)
	}
}

func (lv *level) drop(f *flow) {
	delete(lv.byKey, f.key)
	last := len(lv.flows) - 1
	for i := range lv.flows {
		if lv.flows[i] == f {
			lv.flows[i] = lv.flows[last]
			lv.flows[last] = nil
			lv.flows = lv.flows[:last]
			return
		}
	}
}

// next returns the waiter whose turn it is, leaving out flows that the pass
// has skipped: of the highest priority, of the organisation with the lowest
// virtual time, with the earliest deadline. It goes through the flows of a
// level, of which the queue's bound allows few; a heap would have to be mended
// whenever an organisation is charged.
func (q *queue) next(pass uint64) *waiter {
	for i := range q.levels {
		if f := q.nextFlow(&q.levels[i], pass); f != nil {
			return f.waiters[0]
		}
	}
	return nil
}

func (q *queue) nextFlow(lv *level, pass uint64) *flow {
	var best *flow
	var bestStart float64
	for _, f := range lv.flows {
		if f.skipped == pass {
			continue
		}
		start := q.tags.start(f.key.organisation)
		if best == nil || earlier(f, start, best, bestStart) {
			best, bestStart = f, start
		}
	}
	return best
}

// earlier orders flows by start, then by deadline, then by name, so that the
// order does not hang on how the flows lie in memory.
func earlier(f *flow, start float64, best *flow, bestStart float64) bool {
	if start != bestStart {
		return start < bestStart
	}
	a, b := f.waiters[0].deadline, best.waiters[0].deadline
	if !a.Equal(b) {
		return before(a, b)
	}
	return f.key.organisation < best.key.organisation
}

// victim returns the waiter to drop so that a full queue can take one of the
// organisation at the priority: the latest of the organisation with the most
// waiters at the lowest priority. nil: the newcomer itself.
func (q *queue) victim(organisation string, priority int) *waiter {
	for i := len(q.levels) - 1; i >= 0; i-- {
		lv := &q.levels[i]
		if len(lv.flows) == 0 {
			continue
		}
		if lv.priority > priority {
			return nil
		}
		f := q.longest(lv)
		if lv.priority == priority && q.byOrg[f.key.organisation] <= q.byOrg[organisation]+1 {
			return nil
		}
		return f.latest()
	}
	return nil
}

func (q *queue) longest(lv *level) *flow {
	best := lv.flows[0]
	for _, f := range lv.flows[1:] {
		a, b := q.byOrg[f.key.organisation], q.byOrg[best.key.organisation]
		if a > b || a == b && len(f.waiters) > len(best.waiters) {
			best = f
		}
	}
	return best
}

func (f *flow) latest() *waiter {
	worst := f.waiters[0]
	for _, w := range f.waiters[1:] {
		if before(worst.deadline, w.deadline) {
			worst = w
		}
	}
	return worst
}

// before orders deadlines; none is the latest.
func before(a, b time.Time) bool {
	if a.IsZero() || b.IsZero() {
		return !a.IsZero() && b.IsZero()
	}
	return a.Before(b)
}

// deadlineHeap implements heap.Interface.
type deadlineHeap []*waiter

func (h deadlineHeap) Len() int           { return len(h) }
func (h deadlineHeap) Less(i, j int) bool { return before(h[i].deadline, h[j].deadline) }

func (h deadlineHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *deadlineHeap) Push(x any) {
	w := x.(*waiter)
	w.index = len(*h)
	*h = append(*h, w)
}

// Pop implements heap.Interface.
func (h *deadlineHeap) Pop() any {
	old := *h
	w := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return w
}
