package fleet

import "testing"

// Guards against starts that are taken for one another, or told apart where one of them is not stated.
func TestStartsOfTargets(t *testing.T) {
	for _, c := range []struct {
		earlier, later     int64
		succeeds, precedes bool
	}{{0, 0, false, false}, {0, 5, false, false}, {5, 0, false, false}, {5, 5, false, false}, {5, 6, true, false}, {6, 5, false, true}} {
		known, next := Target{ID: "a", Started: c.earlier}, Target{ID: "a", Started: c.later}
		if next.Succeeds(known) != c.succeeds || next.Precedes(known) != c.precedes {
			t.Errorf("%+v: succeeds %v, precedes %v", c, next.Succeeds(known), next.Precedes(known))
		}
		if other := (Target{ID: "b", Started: c.later}); other.Succeeds(known) || other.Precedes(known) {
			t.Errorf("%+v: another target is a start of this one", c)
		}
	}
}

func TestRunOf(t *testing.T) {
	for run, want := range map[string]Target{
		"a": {ID: "a"}, "a@5": {ID: "a", Started: 5}, "a@b": {ID: "a@b"}, "a@b@5": {ID: "a@b", Started: 5},
	} {
		if want.Run() != run || IDOfRun(run) != want.ID {
			t.Errorf("%+v: %q, id %q", want, want.Run(), IDOfRun(run))
		}
	}
}
