package netfault

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// Latency, cuts and freezes that come and go in any order must not lose,
// repeat or reorder a byte: TCP doesn't, and a fault layer that did would show
// as crossed or cut answers of lynxhill.
func TestFaultsThatPassKeepEveryByteInOrder(t *testing.T) {
	const lines = 400
	for seed := range uint64(4) {
		rng := rand.New(rand.NewPCG(seed, 0))
		n := network(t)
		n.SetZone("a", "x")
		n.SetZone("b", "y")
		l := dial(t, n, "a", echo(t, n, "b"))
		wrote := make(chan error)
		go func() {
			for i := range lines {
				if _, err := fmt.Fprintf(l, "line %d\n", i); err != nil {
					wrote <- err
					return
				}
			}
			wrote <- nil
		}()
		go func() {
			for range 100 {
				disturb(n, rng)
				time.Sleep(100 * time.Microsecond)
			}
			n.HealAll()
			n.Thaw("a")
			n.Thaw("b")
		}()
		for i := range lines {
			l.want(t, fmt.Sprint("line ", i))
		}
		if err := <-wrote; err != nil {
			t.Fatal(err)
		}
	}
}

func disturb(n *Network, rng *rand.Rand) {
	owner := []string{"a", "b"}[rng.IntN(2)]
	switch rng.IntN(6) {
	case 0:
		n.SetLatencyBetween(time.Duration(rng.IntN(500)) * time.Microsecond)
	case 1:
		n.Cut(Partition{A: []string{owner}, B: []string{"a", "b"}, OneWay: rng.IntN(2) == 0})
	case 2:
		n.Freeze(owner)
	case 3:
		n.Thaw(owner)
	default:
		n.HealAll()
	}
}
