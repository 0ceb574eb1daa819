package emulator

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
)

// Guards against streams of two software versions that the checker does not see: a
// client's connection breaks after two events, and it takes the stream up at a server of
// the same version, and of another one.
func TestStreamsOfTwoVersionsAreFound(t *testing.T) {
	for _, c := range []struct {
		versions []string
		mixed    bool
	}{{[]string{"v1", "v1"}, false}, {[]string{"v1", "v1.1"}, true}} {
		synctest.Test(t, func(t *testing.T) {
			network := &Memory{}
			plan := smallDeployment(network)
			plan.Pools[0].Versions, plan.Pools[0].Places = c.versions, []Place{{"z", 2}}
			w, err := NewWorld(plan)
			if err != nil {
				t.Fatal(err)
			}
			defer w.Close()
			var addresses []string
			for _, s := range w.Servers("talk") {
				addresses = append(addresses, s.Address)
			}
			client := NewClient(ClientOptions{Addresses: addresses, Retries: 1, Random: rand.New(rand.NewPCG(1, 1)), Dial: network.Dial})
			ask := talk()
			ask.Resume, ask.BreakAfter = true, 2
			for range 20 { // until both servers were asked
				client.Do(t.Context(), ask)
			}
			client.Close()
			synctest.Wait()
			mixed := 0
			for _, v := range check(w, client) {
				if v.Name != NameVersion {
					t.Errorf("%v", v)
				}
				mixed++
			}
			if (mixed > 0) != c.mixed {
				t.Errorf("versions %v: %d streams of two versions found", c.versions, mixed)
			}
		})
	}
}
