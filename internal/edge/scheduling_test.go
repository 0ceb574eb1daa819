package edge

import (
	"slices"
	"testing"

	"lynxhill.example/lynxhill/internal/board"
)

// Guards against requests that get the results of other requests' stages while a fleet is
// upgraded: an instance whose build may mix them up schedules for one whose build does not.
func TestInstancesOfOlderBuildsDoNotScheduleForNewerOnes(t *testing.T) {
	runInstance(t, settings(), func(w *testInstance) {
		put := func(id string, incarnation uint64, f board.Features) {
			w.board.Members.Put(id, board.Member{ID: id, Incarnation: incarnation, State: board.MemberAlive, Features: f})
		}
		put("older", 1, 0)
		if got := w.schedulers(); !slices.Equal(got, []string{"i"}) {
			t.Errorf("beside an older build: %v", got)
		}
		put("listed", 0, 0) // not met yet
		put("newer", 1, board.OwnFeatures)
		if got := w.schedulers(); !slices.Equal(got, []string{"i", "listed", "newer"}) {
			t.Errorf("beside all builds: %v", got)
		}
		if got := w.dispatcherCandidates(); !slices.Equal(got, []string{"i", "listed", "newer", "older"}) {
			t.Errorf("candidates for other duties: %v", got)
		}
	})
}
