package stagework

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"lynxhill.example/lynxhill/internal/relay"
)

// sessionJob returns a job without stages that has a long session part in its
// prompt.
func sessionJob(i int) Job {
	j := newJob(i, time.Second, 2*time.Second, nil)
	j.Prompt = &relay.Prompt{TokensIn: 6000, Parts: []relay.PromptPart{
		{ID: "common", Tokens: 500}, {ID: fmt.Sprint("session", i), Tokens: 5000}, {ID: fmt.Sprint("own", i), Tokens: 500},
	}}
	return j
}

// TestANewDispatcherAsksEnginesWhatTheyKeep guards against redundant processing
// of shared prompt parts after a dispatcher is replaced. Sessions may be on
// other engines than those that a new dispatcher would choose, and only the
// previous dispatcher knew which engine has their parts cached.
func TestANewDispatcherAsksEnginesWhatTheyKeep(t *testing.T) {
	withEnv(t, cuts(1), func(w *testEnv) {
		const sessions = 12
		w.fake.cachedParts = make(map[string][]relay.PromptPart)
		for i := range sessions {
			id := fmt.Sprint("lm", i%2)
			w.fake.cachedParts[id] = append(w.fake.cachedParts[id], sessionJob(i).Prompt.Parts[:2]...)
		}
		w.d.mu.Lock()
		w.d.planner(Cell{})
		w.d.mu.Unlock()
		synctest.Wait() // until the engines have answered
		for i := range sessions {
			e := w.serve(sessionJob(i))
			if want := fmt.Sprint("lm", i%2); e.engine != want {
				t.Errorf("session %d went to %q, its parts are cached by %s", i, e.engine, want)
			}
			time.Sleep(300 * ms)
		}
	})
}
