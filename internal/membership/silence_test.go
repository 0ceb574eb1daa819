package membership_test

import (
	"testing"
	"time"

	"lynxhill.example/lynxhill/internal/membership"
)

// Symptom: an instance that is cut off goes on as if it were the only one.
// Events: nothing arrives from any other. Cause: it had no measure of that.
func TestSilenceGrowsOnlyWhileNobodyIsHeard(t *testing.T) {
	together(t, 4, membership.Options{}, func(f *fleet) {
		for range 50 {
			time.Sleep(100 * time.Millisecond)
			if silent := f.nodes[0].manager.Silence(); silent > 4*time.Second {
				t.Fatalf("%v of silence among four", silent)
			}
		}
		for _, other := range f.nodes[1:] {
			f.net.Block(f.nodes[0].addr, other.addr)
			f.net.Block(other.addr, f.nodes[0].addr)
		}
		time.Sleep(10 * time.Second)
		if silent := f.nodes[0].manager.Silence(); silent < 9*time.Second || silent > 11*time.Second {
			t.Errorf("%v of silence after 10 s alone", silent)
		}
		if silent := f.nodes[1].manager.Silence(); silent > 4*time.Second {
			t.Errorf("%v of silence among the three that are left", silent)
		}
	})
}
