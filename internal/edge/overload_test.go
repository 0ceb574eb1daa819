package edge

import (
	"testing"

	"lynxhill.example/lynxhill/internal/config"
)

// TestWhenReservationsAreInForce guards against deployments that get reservations without
// asking for them, and against those that asked and do not.
func TestWhenReservationsAreInForce(t *testing.T) {
	for _, c := range []struct {
		mode                    config.Mode
		scarce, paced, reserves bool
	}{
		{config.Auto, false, false, false}, {config.Auto, true, false, true}, {config.Auto, false, true, true},
		{config.On, false, false, true}, {config.Off, true, true, false}, {"", true, false, true}, {"", false, false, false},
	} {
		cfg := settings()
		cfg.Overload.Reservations = c.mode
		runInstance(t, cfg, func(w *testInstance) {
			w.adapter.ScarceCapacity = c.scarce
			w.updateOverload()
			if c.paced {
				w.targetStatedPace()
			}
			if got := w.overload.reservations.Load(); got != c.reserves {
				t.Errorf("%+v: in force %v", c, got)
			}
		})
	}
}
