package crashguard

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a request that crashes three more targets for each minute in which its
// caller repeats it: its refusal expires while it still comes.
func TestRefusalOutlastsRepeats(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := New(Options{Limit: 3, TTL: time.Minute})
		crashed := 0
		for began := time.Now(); time.Since(began) < 24*time.Hour; time.Sleep(time.Second) {
			if g.Refused("fp") {
				continue
			}
			crashed++
			g.RecordCrash("fp", fmt.Sprint("t", crashed))
		}
		if crashed > 6 {
			t.Errorf("%d targets crashed within a day, want 6 at most", crashed)
		}
	})
}
