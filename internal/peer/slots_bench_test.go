package peer

import (
	"context"
	"sync/atomic"
	"testing"

	"github.com/coder/quartz"

	"lynxhill.example/lynxhill/internal/slotqueue"
)

// grantingSession grants a target to every request at once.
type grantingSession struct{ answer func(slotqueue.Answer) }

func (s grantingSession) Submit(r slotqueue.Request) {
	s.answer(slotqueue.Answer{ID: r.ID, Target: "target-1"})
}
func (grantingSession) Release(slotqueue.Release)  {}
func (grantingSession) Cancel(uint64)              {}
func (grantingSession) Adopt([]slotqueue.HeldSlot) {}
func (grantingSession) Close()                     {}

// BenchmarkSlot measures what a slot costs over loopback, the owner's and the coordinator's
// side together: one request at a time, so that nothing is batched, and many.
func BenchmarkSlot(b *testing.B) {
	run := func(b *testing.B, parallel bool) {
		var own atomic.Int64
		client, _ := startServer(b, ServerOptions{Slots: func(_ string, answer func(slotqueue.Answer)) (slotqueue.Session, string) {
			return grantingSession{answer}, ""
		}})
		queue := slotqueue.NewClient(slotqueue.ClientOptions{
			Self: "a", Members: func() []string { return []string{"b"} }, Open: client.OpenSlots, Clock: quartz.NewReal(),
		})
		defer queue.Close()
		one := func() {
			slot, _, err := queue.Acquire(context.Background(), slotqueue.Request{Service: "service", Organisation: "organisation", Route: "route", CallerKey: "0123456789abcdef0123456789abcdef"})
			if err != nil {
				b.Error(err)
			}
			if slot.Target() == "" || slot.Use() != nil {
				own.Add(1) // the machine stalled for 80 ms
			}
			slot.Release(slotqueue.Answered, 0, nil)
		}
		b.ReportAllocs()
		defer func() { b.ReportMetric(float64(own.Load())/float64(b.N), "own/op") }()
		if parallel {
			b.SetParallelism(20)
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					one()
				}
			})
			return
		}
		for b.Loop() {
			one()
		}
	}
	b.Run("one", func(b *testing.B) { run(b, false) })
	b.Run("many", func(b *testing.B) { run(b, true) })
}
