package pathtest

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"lynxhill.example/lynxhill/deploy/emulator"
)

var (
	wireSeed  = flag.Uint64("wire-seed", 1, "first seed of TestLateAndForeignAnswersInSeries")
	wireSeeds = flag.Int("wire-seeds", 2, "number of seeds of TestLateAndForeignAnswersInSeries")
)

// wireSoakTime is how long one seed plays.
const wireSoakTime = 10 * time.Second

// Guards against requests that run twice, run although they were refused, or get answers or inputs of others: while
// servers refuse a part of them, late and foreign answers, with and without ids, and resets come on kept connections.
func TestLateAndForeignAnswersInSeries(t *testing.T) {
	for n := range *wireSeeds {
		seed := *wireSeed + uint64(n)
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { soakWire(t, seed) })
	}
}

func soakWire(t *testing.T, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 29))
	wire := emulator.NewWire(emulator.Loopback{}, rand.New(rand.NewPCG(seed, 31)))
	r := startDeployment(t, 3, nil, emulator.Deployment{Pools: pools(), Network: wire})
	stop := r.load(24, emulator.ClientOptions{}, append(mixed(), ask(emulator.NonIdempotent, "/once/again"))...)
	for end := time.Now().Add(wireSoakTime); time.Now().Before(end); time.Sleep(time.Duration(200+random.IntN(800)) * time.Millisecond) {
		service := []string{"talk", "cut", "plain"}[random.IntN(3)]
		f := emulator.WireFaults{
			Repeat: random.Float64(), Foreign: 0.3 * random.Float64(), Strip: random.IntN(3) == 0, Reset: 0.05 * random.Float64(),
		}
		shed := 0.6 * random.Float64()
		for _, s := range r.world.Servers(service) {
			wire.SetFaults(s.Address, f)
			s.SetFaults(emulator.Faults{Shed: shed})
		}
	}
	all := stop()
	counts := wire.Counts()
	t.Logf("%d attempts, %+v", len(all), counts)
	if counts.Repeated < 50 || counts.Foreign < 10 {
		t.Errorf("too few faults: %+v", counts)
	}
	r.check()
}
