package main

import (
	"errors"
	"strings"
	"testing"

	"lynxhill.example/lynxhill/internal/client"
	"lynxhill.example/lynxhill/internal/errkind"
)

// Symptom: lynxctl does not say that a request may have run. Events: an attempt
// may have run, the last one reaches nobody. Cause: the last broken call, or the
// want of a server to ask, hid the kind that speaks for all attempts.
func TestComplaintsAboutUnknownOutcomes(t *testing.T) {
	const kind = "kind outcome_unknown, run state may_have_run"
	broken := &client.TransportError{Err: errors.New("refused")}
	for _, c := range []struct {
		err  error
		want bool
	}{
		{errkind.Wrap(broken, errkind.OutcomeUnknown, "earlier"), true},
		{errkind.Wrap(client.ErrNoServers, errkind.OutcomeUnknown, "earlier"), true},
		{broken, false}, {client.ErrNoServers, false},
	} {
		var out strings.Builder
		(&environment{stderr: &out}).complain(c.err)
		if strings.Contains(out.String(), kind) != c.want || strings.Contains(out.String(), "kind") != c.want {
			t.Errorf("%v: told %q", c.err, out.String())
		}
	}
}
