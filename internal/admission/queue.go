package admission

import (
	"container/heap"
	"time"

	"lynxhill.example/lynxhill/internal/profile"
)

// flowKey groups waiters that differ only in priority and deadline. Flows are
// separate for each model so that a waiter for one model does not block the
// waiters of its organisation for other models.
type flowKey struct {
	organisation  string
	model         string
	version       string
	adapter       string
	hasExclusions bool // the query excludes some targets
}

func flowKeyOf(want *SlotRequest, p profile.Provider) flowKey {
	return flowKey{
		organisation:  want.Query.Organisation,
		model:         p.Model,
		version:       p.Version,
		adapter:       p.Adapter,
		hasExclusions: len(want.Query.Exclude) > 0,
	}
}

// waiter is an attempt that waits for a slot. It is guarded by the lock of its
// service; ready is closed once slot or err is set.
type waiter struct {
	want     *SlotRequest
	provider profile.Provider
	priority int
	deadline time.Time // zero: none
	ready    chan struct{}
	slot     *slot
	err      error
	resolved bool
	index    int // in the heap of its flow
	flow     *flow
}

func (w *waiter) resolve(s *slot, err error) {
	w.slot, w.err, w.resolved = s, err, true
	close(w.ready)
}

// flow holds the waiters with one key and priority, earliest deadline first.
type flow struct {
	key         flowKey
	level       int
	waiters     deadlineHeap
	skippedPass uint64 // number of the last pass that found no target for the first waiter
}

// queue holds the waiters of a service, ordered by priority, then fairly among
// organisations by virtual time, then by deadline.
type queue struct {
	levels  []level // by descending priority; few
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
	key := flowKeyOf(w.want, w.provider)
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
	q.decrement(f.key.organisation)
	if len(f.waiters) == 0 {
		q.levelOf(f.level).drop(f)
	}
}

func (q *queue) decrement(organisation string) {
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

// next returns the waiter to serve next, ignoring flows that the pass has
// skipped: the one with the highest priority, of the organisation with the
// lowest virtual time, with the earliest deadline. It scans all flows of a
// level, whose number is limited by the queue's bound; a heap would have to be
// fixed whenever an organisation is charged.
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
		if f.skippedPass == pass {
			continue
		}
		start := q.tags.start(f.key.organisation)
		if best == nil || precedes(f, start, best, bestStart) {
			best, bestStart = f, start
		}
	}
	return best
}

// precedes orders flows by start tag, then deadline, then organisation, so that
// the order does not depend on the order of the flows in memory.
func precedes(f *flow, start float64, best *flow, bestStart float64) bool {
	if start != bestStart {
		return start < bestStart
	}
	a, b := f.waiters[0].deadline, best.waiters[0].deadline
	if !a.Equal(b) {
		return deadlineBefore(a, b)
	}
	return f.key.organisation < best.key.organisation
}

// victim returns the waiter to evict from a full queue in favour of a new waiter
// of the organisation at the priority: at the lowest priority, of the
// organisation with the most waiters, the one with the latest deadline. It
// returns nil if the new waiter is to be refused instead.
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
		if deadlineBefore(worst.deadline, w.deadline) {
			worst = w
		}
	}
	return worst
}

// deadlineBefore orders deadlines. A zero deadline means none and sorts last.
func deadlineBefore(a, b time.Time) bool {
	if a.IsZero() || b.IsZero() {
		return !a.IsZero() && b.IsZero()
	}
	return a.Before(b)
}

// deadlineHeap implements heap.Interface.
type deadlineHeap []*waiter

func (h deadlineHeap) Len() int           { return len(h) }
func (h deadlineHeap) Less(i, j int) bool { return deadlineBefore(h[i].deadline, h[j].deadline) }

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
