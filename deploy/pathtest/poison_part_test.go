package pathtest

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"lynxhill.example/lynxhill/deploy/emulator"
)

// badPart crashes each server that begins to write an answer on it.
const badPart = "bad0"

// withPart returns requests of the path that have a part in their prompts; no two are
// alike. first puts it before the part that all requests of the route share.
func withPart(path string, first bool, from, count int) (asks []emulator.Ask) {
	for n := from; n < from+count; n++ {
		parts := []string{"aa:20", badPart + ":10", fmt.Sprintf("e%d:10", n)}
		if first {
			parts[0], parts[1] = parts[1], parts[0]
		}
		ask := talk(fmt.Sprint(path, n), "Prompt-Prefix", strings.Join(parts, ","))
		ask.Body = fmt.Append(nil, "bad ", n)
		asks = append(asks, ask)
	}
	return asks
}

// sessions are sound requests of the path: they share the first part, and some of them a
// session's.
func sessions(path string, count int) (asks []emulator.Ask) {
	for n := range count {
		ask := talk(fmt.Sprint(path, "s", n), "Prompt-Prefix", fmt.Sprintf("aa:20,c%d:10,d%d:10", n%6, n))
		ask.Body = fmt.Append(nil, "sound ", n)
		asks = append(asks, ask)
	}
	return asks
}

// Guards against a part of prompts that crashes server after server, though no two
// requests with it are alike, and against sound requests of the same caller and the same
// first part that are no longer served.
func TestCrashingPartIsKeptFromServers(t *testing.T) {
	for _, c := range []struct {
		name, path      string
		first           bool
		killedInstances int
	}{
		{"in the middle", "/talk/", false, 0},
		{"at the beginning", "/talk/", true, 0},
		{"resumable", "/resume/", false, 0},
		{"instances killed", "/talk/", false, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := startWith(t, 4, nil, manyEngines())
			r.world.SetPoison(emulator.Poison{Parts: []string{badPart}, BackAfter: 1500 * time.Millisecond})
			stopSound := r.load(10, emulator.ClientOptions{}, sessions(c.path, 60)...)
			time.Sleep(time.Second)
			stopBad := r.slowLoad(3, emulator.ClientOptions{}, withPart(c.path, c.first, 0, 1000)...)
			for n := range c.killedInstances {
				time.Sleep(time.Second)
				r.instances[n].kill()
				r.addAs(n + 1)
			}
			began := time.Now()
			time.Sleep(8 * time.Second)
			stopBad()
			all := stopSound()
			r.checkCrashes()
			if share := shareServed(within(all, began.Add(2*touchTime), began.Add(8*time.Second))); share < 0.9 {
				t.Errorf("%.3f of the sound requests were served from %v on", share, 2*touchTime)
			}
			t.Logf("%d servers ended", r.crashCount(badPart))
		})
	}
}

// Guards against a part that is refused although it crashes nothing: a third of the
// servers crash at once, and then more of them, while requests wait there.
func TestNoPartIsRefusedForCrashesOfOtherCauses(t *testing.T) {
	r := startWith(t, 4, nil, manyEngines())
	stop := r.load(12, emulator.ClientOptions{}, sessions("/talk/", 60)...)
	time.Sleep(time.Second)
	for range 4 {
		for _, s := range r.world.Servers("talk")[:3] {
			r.world.Crash(s.ID)
			if _, err := r.world.Add("talk", s.Zone, ""); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(700 * time.Millisecond)
	}
	stop()
	settled := r.load(12, emulator.ClientOptions{}, sessions("/talk/", 60)...)
	time.Sleep(2 * time.Second)
	if all := settled(); shareServed(all) < 0.97 {
		t.Errorf("%.3f of %d sound requests were served after the crashes", shareServed(all), len(all))
	}
	r.check()
}
