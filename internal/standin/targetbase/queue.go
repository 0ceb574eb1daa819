package targetbase

import (
	"container/heap"
	"context"
	"errors"
	"slices"
	"sync"
)

// Errors of Queue.Acquire.
var (
	// ErrQueueFull: the queue holds as many calls as it may.
	ErrQueueFull = errors.New("targetbase: queue full")
)

// Queue hands out slots: highest priority first, oldest first within one.
type Queue struct {
	slots    int
	maxQueue int
	onChange func(running, queued int) // called under mu, must not block

	mu      sync.Mutex // guards the fields below
	running int
	seq     uint64
	waiting waitHeap
}

// waiter is a call that waits for a slot.
type waiter struct {
	priority int
	seq      uint64
	granted  chan struct{} // closed when it has the slot
}

// NewQueue returns a queue. onChange may be nil.
func NewQueue(slots, maxQueue int, onChange func(running, queued int)) *Queue {
	if onChange == nil {
		onChange = func(int, int) {}
	}
	return &Queue{slots: slots, maxQueue: maxQueue, onChange: onChange}
}

// Acquire waits for a slot until ctx ends. Release gives it back.
func (q *Queue) Acquire(ctx context.Context, priority int) error {
	w, err := q.join(priority)
	if err != nil || w == nil {
		return err
	}
	select {
	case <-w.granted:
		return nil
	case <-ctx.Done():
		return q.abandon(w, ctx.Err())
	}
}

// join returns nil, nil if a slot was free.
func (q *Queue) join(priority int) (*waiter, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.running < q.slots && len(q.waiting) == 0 {
		q.running++
		q.onChange(q.running, len(q.waiting))
		return nil, nil
	}
	if len(q.waiting) >= q.maxQueue {
		return nil, ErrQueueFull
	}
	q.seq++
	w := &waiter{priority: priority, seq: q.seq, granted: make(chan struct{})}
	heap.Push(&q.waiting, w)
	q.onChange(q.running, len(q.waiting))
	return w, nil
}

// abandon leaves the queue. If the slot came at the same moment it is given
// on.
func (q *Queue) abandon(w *waiter, cause error) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	if i := slices.Index(q.waiting, w); i >= 0 {
		heap.Remove(&q.waiting, i)
		q.onChange(q.running, len(q.waiting))
		return cause
	}
	q.releaseLocked()
	return cause
}

// Release gives a slot back.
func (q *Queue) Release() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.releaseLocked()
}

func (q *Queue) releaseLocked() {
	q.running--
	if len(q.waiting) > 0 {
		w := heap.Pop(&q.waiting).(*waiter)
		q.running++
		close(w.granted)
	}
	q.onChange(q.running, len(q.waiting))
}

// Running returns how many calls hold a slot.
func (q *Queue) Running() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.running
}

// waitHeap implements heap.Interface.
type waitHeap []*waiter

func (h waitHeap) Len() int { return len(h) }

func (h waitHeap) Less(i, j int) bool {
	if h[i].priority != h[j].priority {
		return h[i].priority > h[j].priority
	}
	return h[i].seq < h[j].seq
}

func (h waitHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *waitHeap) Push(x any) { *h = append(*h, x.(*waiter)) }

func (h *waitHeap) Pop() any {
	last := (*h)[len(*h)-1]
	(*h)[len(*h)-1] = nil
	*h = (*h)[:len(*h)-1]
	return last
}
