package bench

import (
	"errors"
	"testing"

	"lynxhill.example/lynxhill/internal/client"
	"lynxhill.example/lynxhill/internal/errkind"
)

// Symptom: a restart of all instances counted callers as left without an
// answer although none of their attempts had reached an instance. Such a caller
// knows that its request was not run; if a target ran it all the same, that
// knowledge was false.
func TestUnreachableIsNotLostButMustNotHaveRun(t *testing.T) {
	unsent := Record{Organisation: "a", Keys: []string{"k"}, Err: &client.TransportError{Err: errors.New("refused")}}
	var b Breaches
	b.check(&unsent, nil)
	if b.Total() != 0 {
		t.Fatalf("counted as %+v", b)
	}
	b.check(&unsent, map[runKey]bool{{"a", "k"}: true})
	if b.FalseNotRun != 1 || b.Lost != 0 {
		t.Fatalf("a run under the key is counted as %+v", b)
	}
	sent := &client.TransportError{Sent: true, Err: errors.New("reset")}
	for _, err := range []error{sent, errkind.Wrap(unsent.Err, errkind.OutcomeUnknown, "an earlier attempt may have run")} {
		b = Breaches{}
		b.check(&Record{Organisation: "a", Keys: []string{"k"}, Err: err}, map[runKey]bool{{"a", "k"}: true})
		if b.Lost != 1 || b.FalseNotRun != 0 {
			t.Fatalf("a caller that may have reached an instance is counted as %+v", b)
		}
	}
}
