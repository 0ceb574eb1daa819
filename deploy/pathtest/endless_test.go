package pathtest

import (
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"lynxhill.example/lynxhill/deploy/emulator"
)

// maxEndlessHeap is the most memory of three instances and the stand-ins together, in bytes: the smallest instance of the
// users has 136 MiB.
const maxEndlessHeap = 3 * 136 << 20

// Guards against instances that run out of memory, requests without a final answer and servers that stay unused, while all
// servers of every kind send bytes without end, in heads and bodies.
func TestAllServersSendBytesWithoutEnd(t *testing.T) {
	wire := emulator.NewWire(emulator.Loopback{}, rand.New(rand.NewPCG(3, 37)))
	r := startDeployment(t, 3, nil, emulator.Deployment{Pools: pools(), Network: wire})
	setAll := func(f emulator.WireFaults) {
		for _, service := range []string{"talk", "cut", "plain"} {
			for _, s := range r.world.Servers(service) {
				wire.SetFaults(s.Address, f)
			}
		}
	}
	setAll(emulator.WireFaults{Endless: 1})
	stop := r.load(24, emulator.ClientOptions{}, mixed()...)
	most := uint64(0)
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		most = max(most, m.HeapInuse)
	}
	setAll(emulator.WireFaults{})
	all := stop()
	answered := 0
	for _, a := range all {
		if a.Status != 0 {
			answered++
		}
	}
	t.Logf("%d attempts, %d with an answer, heap of %d MiB, %+v", len(all), answered, most>>20, wire.Counts())
	if most > maxEndlessHeap {
		t.Errorf("the heap took %d MiB", most>>20)
	}
	if wire.Counts().Endless < 100 || answered < len(all)*9/10 {
		t.Errorf("%d of %d attempts got an answer, %+v", answered, len(all), wire.Counts())
	}
	r.check()
	stop = r.load(6, emulator.ClientOptions{}, mixed()...)
	time.Sleep(3 * time.Second)
	if share := shareServed(stop()); share < 0.9 {
		t.Errorf("%.3f of the requests are served afterwards", share)
	}
}
