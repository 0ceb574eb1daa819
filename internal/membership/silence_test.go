package membership_test

import (
	"testing"
	"time"

	"lynxhill.example/lynxhill/internal/membership"
)

// Guards against an instance that is cut off and continues as if it were the only one:
// it needs a measure of how long it has received nothing from any other.
func TestSilenceGrowsOnlyWhileNobodyIsHeard(t *testing.T) {
	withFleet(t, 4, membership.Options{}, func(f *fleet) {
		for range 50 {
			time.Sleep(100 * time.Millisecond)
			if silent := f.instances[0].manager.Silence(); silent > 4*time.Second {
				t.Fatalf("%v of silence among four instances", silent)
			}
		}
		for _, other := range f.instances[1:] {
			f.net.Block(f.instances[0].addr, other.addr)
			f.net.Block(other.addr, f.instances[0].addr)
		}
		time.Sleep(10 * time.Second)
		if silent := f.instances[0].manager.Silence(); silent < 9*time.Second || silent > 11*time.Second {
			t.Errorf("%v of silence after 10 s alone", silent)
		}
		if silent := f.instances[1].manager.Silence(); silent > 4*time.Second {
			t.Errorf("%v of silence among the other three", silent)
		}
	})
}
