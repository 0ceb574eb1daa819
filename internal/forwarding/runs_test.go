package forwarding

import (
	"slices"
	"testing"
	"testing/synctest"

	"lynxhill.example/lynxhill/internal/crashguard"
	"lynxhill.example/lynxhill/internal/fleet"
	"lynxhill.example/lynxhill/internal/relay"
)

// Guards against a suspected request that is sent to a target that runs another one, because the target's ID looks like the
// name of a start although it states none.
func TestIDThatLooksLikeAStartIsAvoided(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 0, nil)
		r.view.Store(fleet.NewView(1, []fleet.Target{{ID: "host@8080", Service: "s", Address: "m0"}, {ID: "other", Service: "s", Address: "m1"}}))
		fl := &flight{Forwarder: r.Forwarder, service: "s", Inbound: Inbound{Request: &relay.Request{Host: "h", URI: "/"}}}
		for _, key := range []string{fl.identity().exact, "second"} {
			r.guard.RecordCrash(key, crashguard.Crash{Target: "gone"})
		}
		r.guard.Begin("second", "host@8080")
		if got := fl.excludedTargets(); !slices.Contains(got, "host@8080") {
			t.Errorf("avoided are %q", got)
		}
	})
}
