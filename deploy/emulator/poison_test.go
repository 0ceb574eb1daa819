package emulator

import (
	"testing"
	"testing/synctest"
	"time"
)

// A request of the path, and one whose prompt has the part in a place other than the
// last, crash the server, which is back after a while under another id.
func TestPoisonCrashesServers(t *testing.T) {
	for _, c := range []struct {
		name, path, prompt string
		poison             Poison
		cause              string
	}{
		{"path", "/talk/x?y=1", "aa:1,bb:1", Poison{PathPrefix: "/talk/x"}, "/talk/x"},
		{"first part", "/talk/x", "aa:1,bb:1", Poison{Parts: []string{"aa"}}, "aa"},
		{"last part", "/talk/x", "aa:1,bb:1", Poison{Parts: []string{"bb"}}, ""},
		{"another path", "/talk/y", "aa:1,bb:1", Poison{PathPrefix: "/talk/x"}, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w, client := newWorld(t, &Memory{}, "talk")
				defer w.Close()
				defer client.Close()
				c.poison.BackAfter = time.Second
				w.SetPoison(c.poison)
				a := client.Do(t.Context(), askFor(Streaming, c.path, "Token-Counts", "2,4", "Prompt-Prefix", c.prompt))
				want := 1
				if c.cause != "" {
					want = 0
				}
				if crashes := len(w.Crashes()[c.cause]); a.Complete != (want == 1) || crashes != 1-want || len(w.Servers("talk")) != want {
					t.Errorf("complete %v, %d crashes, %d servers, %v", a.Complete, crashes, len(w.Servers("talk")), a.Err)
				}
				time.Sleep(2 * time.Second)
				if n := len(w.Servers("talk")); n != 1 {
					t.Errorf("%d servers after a while", n)
				}
			})
		})
	}
}

// The bound counts what reached servers after the crashes and the time out of touch.
func TestCheckCrashes(t *testing.T) {
	began := time.Now()
	at := func(seconds ...float64) (times []time.Time) {
		for _, s := range seconds {
			times = append(times, began.Add(time.Duration(s*float64(time.Second))))
		}
		return times
	}
	for _, c := range []struct {
		name              string
		crashes, arrivals []time.Time
		broken            bool
	}{
		{"few crashes", at(0, 1), at(9, 9, 9, 9), false},
		{"three more", at(0, 1, 2), at(3, 3, 3, 3, 5, 6, 7), false},
		{"four more", at(0, 1, 2), at(5, 6, 7, 8), true},
	} {
		var arrivals []arrival
		for _, t := range c.arrivals {
			arrivals = append(arrivals, arrival{attempt: "a", at: t})
		}
		if v, broken := (CrashBound{2 * time.Second, 3, 3}).check("/x", c.crashes, arrivals); broken != c.broken {
			t.Errorf("%s: %v", c.name, v)
		}
	}
}
