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

// Guards against a target that states no start and whose ID looks like the name of one: what is
// known of it is dropped, or taken for that of another target.
func TestRunInView(t *testing.T) {
	v := NewView(1, []Target{{ID: "a", Started: 5}, {ID: "b"}, {ID: "host@8080"}, {ID: "c@80", Started: 7}})
	for run, want := range map[string]string{
		"a@5": "a", "a@4": "", "a": "", "b": "b", "b@5": "", "host@8080": "host@8080", "host": "", "c@80@7": "c@80", "c@80": "", "gone": "",
	} {
		if got, ok := v.Run(run); got.ID != want && ok || ok != (want != "") {
			t.Errorf("%s: %+v %v, want %q", run, got, ok, want)
		}
	}
}
