package stages

import (
	"container/heap"
	"time"
)

// loop runs events in the order of their times, those of one time in the order
// in which they were added.
type loop struct {
	now   time.Time
	queue eventQueue
	added int
}

type event struct {
	at     time.Time
	number int
	do     func()
}

// after has do called when d has passed.
func (l *loop) after(d time.Duration, do func()) {
	l.added++
	heap.Push(&l.queue, event{l.now.Add(max(d, 0)), l.added, do})
}

// step runs the next event and reports whether there was one.
func (l *loop) step() bool {
	if len(l.queue) == 0 {
		return false
	}
	next := heap.Pop(&l.queue).(event)
	l.now = next.at
	next.do()
	return true
}

// eventQueue implements heap.Interface.
type eventQueue []event

func (q eventQueue) Len() int      { return len(q) }
func (q eventQueue) Swap(i, k int) { q[i], q[k] = q[k], q[i] }
func (q eventQueue) Less(i, k int) bool {
	if c := q[i].at.Compare(q[k].at); c != 0 {
		return c < 0
	}
	return q[i].number < q[k].number
}

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	next := (*q)[last]
	*q = (*q)[:last]
	return next
}
