package sleep

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"
)

func TestForWaitsForTheWholeTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		if err := For(t.Context(), 3*time.Second); err != nil || time.Since(began) != 3*time.Second {
			t.Errorf("%v after %v", err, time.Since(began))
		}
		if err := For(t.Context(), -time.Second); err != nil || time.Since(began) != 3*time.Second {
			t.Errorf("negative duration: %v after %v", err, time.Since(began))
		}
	})
}

func TestForEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		began := time.Now()
		if err := For(ctx, time.Minute); !errors.Is(err, context.DeadlineExceeded) || time.Since(began) != time.Second {
			t.Errorf("%v after %v", err, time.Since(began))
		}
		if err := For(ctx, 0); !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("zero duration, after the end of the context: %v", err)
		}
	})
}
