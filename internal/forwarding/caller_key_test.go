package forwarding

import (
	"testing"
	"testing/synctest"

	"lynxhill.example/lynxhill/internal/relay"
	"lynxhill.example/lynxhill/internal/route"
)

// TestCallerKey guards against a caller that is not recognised when it comes back with a new
// request ID, and against callers that claim the reservations of others.
func TestCallerKey(t *testing.T) {
	key := func(change func(r *relay.Request, o *route.Organisation)) string {
		r := &relay.Request{ID: "first", Host: "h", URI: "/p?q=1", Body: []byte("body"), Prompt: &relay.Prompt{Parts: []relay.PromptPart{{ID: "a"}, {ID: "b"}}}}
		o := &route.Organisation{Name: "o"}
		change(r, o)
		fl := &flight{Forwarder: &Forwarder{}, Inbound: Inbound{Request: r, Organisation: o}}
		return fl.callerKey()
	}
	same := key(func(*relay.Request, *route.Organisation) {})
	for name, c := range map[string]struct {
		change func(r *relay.Request, o *route.Organisation)
		same   bool
	}{
		"another attempt":      {func(r *relay.Request, _ *route.Organisation) { r.ID = "second" }, true},
		"another organisation": {func(_ *relay.Request, o *route.Organisation) { o.Name = "other" }, false},
		"another host":         {func(r *relay.Request, _ *route.Organisation) { r.Host = "other" }, false},
		"another query":        {func(r *relay.Request, _ *route.Organisation) { r.URI = "/p?q=2" }, false},
		"another body":         {func(r *relay.Request, _ *route.Organisation) { r.Body = []byte("other") }, false},
		"another part":         {func(r *relay.Request, _ *route.Organisation) { r.Prompt.Parts[1].ID = "c" }, false},
		"fewer parts":          {func(r *relay.Request, _ *route.Organisation) { r.Prompt.Parts = r.Prompt.Parts[:1] }, false},
		"no prompt":            {func(r *relay.Request, _ *route.Organisation) { r.Prompt = nil }, false},
	} {
		if got := key(c.change) == same; got != c.same {
			t.Errorf("%s: same key %v", name, got)
		}
	}
}

// TestNoReservationForARequestThatMayHaveRun guards against capacity that is reserved for a
// caller that is not told to come back, since its request may have run.
func TestNoReservationForARequestThatMayHaveRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 0, nil)
		for _, mayHaveRun := range []bool{false, true} {
			fl := &flight{Forwarder: r.Forwarder, service: "s", mayHaveRun: mayHaveRun, Inbound: inbound(route.Streaming, true, true)}
			ef := &engineFlight{flight: fl, stream: stream{fl: fl}}
			if key := ef.job().CallerKey; (key == "") != mayHaveRun {
				t.Errorf("may have run %v: key %q", mayHaveRun, key)
			}
		}
	})
}

// TestOnPace guards against an overload control that stays off although targets state their
// pace, or turns on for targets that state none.
func TestOnPace(t *testing.T) {
	r, told := newLoads(t), 0
	r.OnPace(func() { told++ })
	r.endFirst(Answered, nil)
	r.endFirst(Answered, &relay.Load{Running: 1, Slots: 4})
	if told != 0 {
		t.Errorf("told %d times of targets that state no pace", told)
	}
	r.endFirst(Answered, &relay.Load{Running: 1, Slots: 4, Pace: 1})
	if told == 0 {
		t.Error("not told of a stated pace")
	}
}
