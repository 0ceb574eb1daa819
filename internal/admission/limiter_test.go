package admission

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/coder/quartz"

	"lynxhill.example/lynxhill/internal/routing"
)

// sharedTarget is a target that serves calls in order on its slots and does not
// report its load.
type sharedTarget struct {
	slots chan struct{}
	mu    sync.Mutex // guards waits and done
	waits time.Duration
	done  int
}

func (s *sharedTarget) call(service time.Duration) time.Duration {
	began := time.Now()
	s.slots <- struct{}{}
	waited := time.Since(began)
	time.Sleep(service)
	<-s.slots
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waits += waited
	s.done++
	return time.Since(began)
}

// limiterTrial loads one target, shared by several gates, at twice its capacity.
// It returns the used fraction of the capacity and the mean wait at the target in
// service times.
func limiterTrial(t *testing.T, gates int, limits GateLimits) (used, wait float64) {
	const (
		slots   = 16
		service = 50 * time.Millisecond
		run     = 20 * time.Second
	)
	synctest.Test(t, func(t *testing.T) {
		target := &sharedTarget{slots: make(chan struct{}, slots)}
		r := newRig(1, limits)
		all := []*ServiceGate{r.gate}
		for i := 1; i < gates; i++ {
			all = append(all, NewGate(GateOptions{
				Board: r.board, Clock: quartz.NewReal(), Rand: rand.New(rand.NewPCG(uint64(i), 4)),
				Zone: "a", Region: "r", Policy: routing.PolicyTwoChoices, Limits: limits,
			}))
		}
		var group sync.WaitGroup
		began := time.Now()
		source := rand.New(rand.NewPCG(3, 3))
		each := service / (2 * slots)
		for time.Since(began) < run {
			time.Sleep(time.Duration(source.ExpFloat64() * float64(each)))
			g := all[source.IntN(gates)]
			took := time.Duration((0.5 + source.Float64()) * float64(service))
			group.Go(func() {
				s, err := g.Acquire(context.Background(), wantOf("a", time.Now().Add(time.Second)))
				if err != nil {
					return
				}
				total := target.call(took)
				s.Done(Result{OK: true, Duration: total, FirstByte: total})
			})
		}
		group.Wait()
		capacity := slots * run.Seconds() / service.Seconds()
		used = float64(target.done) / capacity
		wait = target.waits.Seconds() / float64(target.done) / service.Seconds()
	})
	return used, wait
}

// Guards against a target that queues every call at twice its capacity, so that
// all calls are late although none is refused. It comes about when nothing limits
// the calls sent to it. The limiter has to find the limit from latency, without
// losing throughput.
func TestLimiterFindsTargetCapacity(t *testing.T) {
	for _, gates := range []int{1, 4} {
		used, wait := limiterTrial(t, gates, GateLimits{})
		_, open := limiterTrial(t, gates, GateLimits{LatencyTolerance: 1e9})
		t.Logf("RESULT gates=%d: %.3f of the capacity used, wait at the target %.2f service times; %.2f without the decrease by latency", gates, used, wait, open)
		if used < 0.95 {
			t.Errorf("%d gates use %.3f of the capacity", gates, used)
		}
		if wait > 0.6*open {
			t.Errorf("%d gates: calls wait %.2f service times at the target, %.2f without a limit", gates, wait, open)
		}
	}
}
