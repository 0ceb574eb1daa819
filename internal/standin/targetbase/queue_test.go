package targetbase

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

func TestQueueServesByPriorityThenAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := NewQueue(1, 4, nil)
		_ = q.Acquire(t.Context(), 0)
		var order []string
		for _, call := range []struct {
			name     string
			priority int
		}{{"low", 1}, {"high", 5}, {"low2", 1}} {
			go func() {
				_ = q.Acquire(t.Context(), call.priority)
				order = append(order, call.name)
				q.Release()
			}()
			synctest.Wait()
		}
		q.Release()
		synctest.Wait()
		if fmt.Sprint(order) != "[high low low2]" || q.Running() != 0 {
			t.Fatalf("order %v, running %d", order, q.Running())
		}
	})
}

func TestQueueIsBoundedAndLetsGo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := NewQueue(1, 1, nil)
		_ = q.Acquire(t.Context(), 0)
		ctx, cancel := context.WithCancel(t.Context())
		gone := make(chan error)
		go func() { gone <- q.Acquire(ctx, 0) }()
		synctest.Wait()
		if err := q.Acquire(t.Context(), 9); !errors.Is(err, ErrQueueFull) {
			t.Fatalf("over the bound: %v", err)
		}
		cancel()
		if err := <-gone; !errors.Is(err, context.Canceled) {
			t.Fatalf("cancelled: %v", err)
		}
		q.Release()
		if err := q.Acquire(t.Context(), 0); err != nil {
			t.Fatalf("slot lost: %v", err)
		}
	})
}

// Reports show the load as it was a lag ago, which is what makes a target
// look free after a burst was sent to it.
func TestLoadReportLags(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newLoadHistory(time.Second)
		h.counts(3, 1)
		if sample, _, _ := h.report(); sample.running != 0 {
			t.Fatalf("at once: %+v", sample)
		}
		time.Sleep(time.Second)
		h.counts(0, 0)
		sample, seq, _ := h.report()
		if sample.running != 3 || sample.queued != 1 || seq != 2 || time.Since(sample.at) != time.Second {
			t.Fatalf("after the lag: %+v, seq %d", sample, seq)
		}
	})
}
