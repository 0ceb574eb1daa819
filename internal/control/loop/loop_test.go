package loop

import (
	"context"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/coder/quartz"

	"lynxhill.example/lynxhill/internal/board"
	"lynxhill.example/lynxhill/internal/clock"
)

func TestStepRunsAtChangesAndPeriods(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var signal board.Signal
		var at []time.Duration
		began := time.Now()
		ctx, cancel := context.WithCancel(t.Context())
		go Run(ctx, Options{
			Clock: quartz.NewReal(), Rand: NewRand(rand.New(rand.NewPCG(1, 1))), Period: time.Minute,
			Changed: signal.Wait, MinInterval: time.Second,
		}, func(context.Context) { at = append(at, time.Since(began)) })
		time.Sleep(10 * time.Second)
		signal.Notify()
		signal.Notify()
		time.Sleep(70 * time.Second)
		cancel()
		synctest.Wait()
		want := []time.Duration{0, 10 * time.Second, 71 * time.Second}
		if len(at) != len(want) {
			t.Fatalf("steps at %v, want %v", at, want)
		}
		for i := range want {
			if at[i] != want[i] {
				t.Fatalf("steps at %v, want %v", at, want)
			}
		}
	})
}

// Guards against an order that reaches an engine minutes after the sender's lease
// has expired: the host is suspended between the check of the lease and the sending
// of the order, and the call's timer does not run during the suspension.
func TestBootDeadlineEndsAfterSuspension(t *testing.T) {
	var now time.Duration
	boot := clock.BootFunc(func() time.Duration { return now })
	ctx := WithBootDeadline(t.Context(), boot, 5*time.Second)
	if ctx.Err() != nil {
		t.Fatal("context done before its deadline")
	}
	now = time.Minute
	derived, cancel := context.WithCancel(ctx) // as an HTTP client does
	defer cancel()
	if ctx.Err() == nil || derived.Err() == nil {
		t.Fatal("context not done after the suspension")
	}
}

func TestTimeoutEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := WithTimeout(t.Context(), quartz.NewReal(), time.Second)
		defer cancel()
		time.Sleep(999 * time.Millisecond)
		if ctx.Err() != nil {
			t.Fatal("ended early")
		}
		time.Sleep(time.Millisecond)
		synctest.Wait()
		if ctx.Err() == nil || context.Cause(ctx) != context.DeadlineExceeded {
			t.Fatalf("after the timeout: %v, cause %v", ctx.Err(), context.Cause(ctx))
		}
	})
}
