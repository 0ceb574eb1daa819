package lease

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/coder/quartz"

	"lynxhill.example/lynxhill/internal/board"
	"lynxhill.example/lynxhill/internal/clock"
	"lynxhill.example/lynxhill/internal/store/memstore"
)

// Guards against lease traffic that uses up the platform's rate limit, so that
// claims are refused: if every instance contended for every lease, all would read
// the lease objects although only a few of them would write them.
func TestFewInstancesContend(t *testing.T) {
	const services = 10
	for _, instances := range []int{8, 100} {
		synctest.Test(t, func(t *testing.T) {
			s := memstore.New(memstore.Options{Seed: 1})
			b := board.New() // shared by all instances
			for _, id := range ids(instances) {
				b.Members.Put(id, board.Member{ID: id, State: board.MemberAlive})
			}
			names := make([]string, services)
			for i := range names {
				names[i] = fmt.Sprint("service-", i)
			}
			began := time.Now()
			ctx, stop := context.WithCancel(context.Background())
			var running sync.WaitGroup
			for i, id := range ids(instances) {
				m := NewManager(Options{
					Store: s, Board: b, Clock: quartz.NewReal(), Self: id, Rand: rand.New(rand.NewPCG(uint64(i), 1)),
					Boot:     clock.BootFunc(func() time.Duration { return time.Since(began) }),
					Services: func() []string { return names },
				})
				running.Go(func() { m.Run(ctx) })
			}
			time.Sleep(time.Minute)
			before := s.Counts()
			time.Sleep(2 * time.Minute)
			after := s.Counts()
			reads, writes := float64(after.Reads-before.Reads)/120, float64(after.Writes-before.Writes)/120
			t.Logf("%d instances, %d services: %.1f reads/s, %.1f writes/s", instances, services, reads, writes)
			if reads > services || writes > services {
				t.Errorf("%.1f reads/s and %.1f writes/s for %d services", reads, writes, services)
			}
			stop()
			running.Wait()
		})
	}
}
