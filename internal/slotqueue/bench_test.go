package slotqueue

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"lynxhill.example/lynxhill/internal/fleet"
	"lynxhill.example/lynxhill/internal/relay"
)

// BenchmarkRequest measures the processor time of a request, its grant and its release
// with the given number of requests that wait, in a shard with 36 and with 192 slots.
func BenchmarkRequest(b *testing.B) {
	for _, targets := range []int{6, 32} {
		for _, waiting := range []int{0, 100} {
			b.Run(fmt.Sprintf("targets=%d/waiting=%d", targets, waiting), func(b *testing.B) {
				now := time.Unix(0, 0)
				q := newQueue(fakeService, 0, Bounds{}, rand.New(rand.NewPCG(1, 2)), newCounters(nil))
				var list []fleet.Target
				for i := range targets {
					list = append(list, fleet.Target{ID: fmt.Sprint("t", i), Slots: fakeSlots})
				}
				q.setTargets(list, now)
				var running []uint64
				next := uint64(0)
				submit := func() {
					next++
					q.submit(owner{"a", 1}, Request{ID: next, Organisation: fmt.Sprint(next % 16), OnTimeUntil: now.Add(time.Second), Deadline: now.Add(5 * time.Second)}, now)
					for _, d := range q.take() {
						if d.answer.Target != "" {
							running = append(running, d.answer.ID)
						}
					}
				}
				for range targets*fakeSlots + waiting {
					submit()
				}
				b.ResetTimer()
				for n := range b.N {
					now = now.Add(time.Millisecond / 2)
					load := &relay.Load{Running: fakeSlots, Slots: fakeSlots, Pace: 1 + float64(n%7/6)}
					q.release("a", Release{ID: running[0], Outcome: Answered, Took: fakeWork, Load: load}, now)
					running = running[1:]
					for _, d := range q.take() {
						running = append(running, d.answer.ID)
					}
					submit()
				}
			})
		}
	}
}
