package edge

import (
	"fmt"
	"testing"
	"time"
)

// maxDepartureDelay is the time after the store has taken the departure of a target
// from which on instances in touch send it no new work.
const maxDepartureDelay = 3 * time.Second

// Guards against instances that use a removed target for as long as it runs, because
// another instance listed the store just after the removal and has no tombstone to pass on.
func TestRemovalBesideAStartIsHeardByAll(t *testing.T) {
	const rounds = 6
	runFleetWithBounds(t, 78, false, boundsAt(78), func(f *testFleet) {
		for n := range rounds {
			f.put(fmt.Sprintf("targets/leaves%d", n), fmt.Sprintf("10.0.0.%d:1", 10+n))
		}
		time.Sleep(14 * time.Second)
		for n := range rounds {
			restarted := n % 3 // a seed, which lists the store at once
			lost := f.all[restarted]
			lost.socket.losePower()
			f.dead = append(f.dead, lost)
			time.Sleep(time.Second)
			f.all[restarted] = f.start(restarted)
			time.Sleep(time.Duration(n/3) * 5 * time.Millisecond)
			id := fmt.Sprintf("leaves%d", n)
			f.remove("targets/" + id)
			f.put(fmt.Sprintf("targets/joins%d", n), fmt.Sprintf("10.0.1.%d:1", n))
			time.Sleep(maxDepartureDelay)
			using := 0
			for _, m := range f.all {
				if m.routes.Targets().Usable(id) {
					using++
				}
			}
			if using > 0 {
				t.Errorf("round %d: %d instances use the target %v after its removal", n, using, maxDepartureDelay)
			}
			time.Sleep(2 * time.Second)
		}
	})
}
