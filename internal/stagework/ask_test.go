package stagework

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"lynxhill.example/lynxhill/internal/relay"
)

// sessionJob is a job without stages whose session part is long.
func sessionJob(i int) Job {
	j := newJob(i, time.Second, 2*time.Second, nil)
	j.Prompt = &relay.Prompt{TokensIn: 6000, Parts: []relay.PromptPart{
		{ID: "common", Tokens: 500}, {ID: fmt.Sprint("session", i), Tokens: 5000}, {ID: fmt.Sprint("own", i), Tokens: 500},
	}}
	return j
}

// Symptom: after each restart of a dispatcher thousands of tokens of shared
// prompt parts are read again, though engines keep them.
// Events: sessions were at engines other than where a new dispatcher expects
// them; the dispatcher is replaced; the sessions go on.
// Cause: which engine keeps what was known to the one that is gone only.
func TestANewDispatcherAsksEnginesWhatTheyKeep(t *testing.T) {
	inWorld(t, cuts(1), func(w *world) {
		const sessions = 12
		w.farm.kept = make(map[string][]relay.PromptPart)
		for i := range sessions {
			id := fmt.Sprint("lm", i%2)
			w.farm.kept[id] = append(w.farm.kept[id], sessionJob(i).Prompt.Parts[:2]...)
		}
		w.d.mu.Lock()
		w.d.planner(Cell{})
		w.d.mu.Unlock()
		synctest.Wait() // the answers are in
		for i := range sessions {
			e := w.serve(sessionJob(i))
			if want := fmt.Sprint("lm", i%2); e.engine != want {
				t.Errorf("session %d went to %q, its parts are kept by %s", i, e.engine, want)
			}
			time.Sleep(300 * ms)
		}
	})
}
