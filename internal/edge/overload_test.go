package edge

import (
	"testing"

	"lynxhill.example/lynxhill/internal/config"
	"lynxhill.example/lynxhill/internal/stagework"
)

// Guards against deployments that get reservations or shares without asking for them, and
// against those that asked and do not, also when the settings change while they run.
func TestWhenOverloadControlIsInForce(t *testing.T) {
	for _, c := range []struct {
		mode                    config.Mode
		scarce, paced, reserves bool
	}{
		{config.Auto, false, false, false}, {config.Auto, true, false, true}, {config.Auto, false, true, true},
		{config.On, false, false, true}, {config.Off, true, true, false}, {"", true, false, true}, {"", false, false, false},
	} {
		cfg := settings()
		cfg.Overload.Reservations, cfg.Overload.Shares = c.mode, c.mode
		runInstance(t, cfg, func(w *testInstance) {
			w.adapter.ScarceCapacity = c.scarce
			w.updateOverload()
			if c.paced {
				w.targetStatedPace()
			}
			want := stagework.Overload{Reservations: c.reserves, Shares: c.reserves}
			if got := w.overload.inForce(); got != want || w.overload.reservations() != c.reserves {
				t.Errorf("%+v: in force %+v", c, got)
			}
			next := cfg
			next.Overload.Shares = config.Off
			w.Reload(next)
			if got := w.overload.inForce(); got.Shares || got.Reservations != c.reserves {
				t.Errorf("%+v, shares off: in force %+v", c, got)
			}
		})
	}
}
