package streamorigin

import (
	"testing"
	"time"

	"lynxhill.example/lynxhill/internal/fleet"
	"lynxhill.example/lynxhill/internal/route"
)

// Guards against a stream that goes on at another software version, because the only target of its service started again under
// its id with that version.
func TestTargetThatStartsAgainWithAnotherBuild(t *testing.T) {
	table := (&route.Table{Routes: []route.Route{{Name: "r", Services: []route.WeightedService{{Name: "s", Weight: 1}}}}}).Build()
	h, now := NewHistory(), time.Unix(1000, 0)
	h.Observe(fleet.NewView(1, []fleet.Target{{ID: "a", Service: "s", Build: "v1", Started: 100}}), table, now)
	now = now.Add(time.Minute)
	if !h.Observe(fleet.NewView(2, []fleet.Target{{ID: "a", Service: "s", Build: "v2", Started: 200}}), table, now) {
		t.Error("the new build is not seen as a change")
	}
	if o, ok := h.Only("r", 10*time.Second, now.Add(time.Second)); ok {
		t.Errorf("streams of the last 10 s are said to have begun at %+v", o)
	}
	h.Observe(fleet.NewView(3, []fleet.Target{{ID: "a", Service: "s", Build: "v2", Started: 300}}), table, now.Add(20*time.Second))
	if o, ok := h.Only("r", 10*time.Second, now.Add(20*time.Second)); !ok || o.Build != "v2" {
		t.Errorf("after a start with the same build: %+v, %v", o, ok)
	}
}
