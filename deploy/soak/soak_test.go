package main

import (
	"encoding/json"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"lynxhill.example/lynxhill/deploy/emulator"
	"lynxhill.example/lynxhill/internal/config"
)

// TestSettings: instances take the settings.
func TestSettings(t *testing.T) {
	o := options{dir: t.TempDir(), world: "bookings"}
	instances := chooseInstances(3, 2)
	instances[0].Store, instances[1].Store, instances[2].Store = "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"
	text, err := json.Marshal(instances)
	if err != nil {
		t.Fatal(err)
	}
	if err := writeWhole(o.dir, "plan.json", text); err != nil {
		t.Fatal(err)
	}
	if err := writeSettings(o); err != nil {
		t.Fatal(err)
	}
	c, err := config.Load(filepath.Join(o.dir, "n2.toml"))
	if err != nil {
		t.Fatal(err)
	}
	if c.Instance.ID != "n2" || c.Ingress.Listen != instances[1].Listen || c.Platform.Endpoints[0] != "http://127.0.0.1:2" || c.Ingress.OutOfTouchAfter.Duration != touchTime || c.Ingress.RetryExtra != 56 || c.Ingress.RetryWindow.Duration != 10*time.Second {
		t.Errorf("%+v", c)
	}
}

// TestWorldFiles: in each world, each service has a pool in all zones, and each route that the load asks for is there.
func TestWorldFiles(t *testing.T) {
	for _, name := range []string{"mixed", "reviews", "bookings", "archive"} {
		f, err := readWorld(name)
		if err != nil {
			t.Fatal(err)
		}
		if f.Zones < 2 || f.Clump < 1 || f.Mix == "" || f.Repeats.Window == 0 {
			t.Errorf("%s: %d zones, clumps of %d, mix %q", name, f.Zones, f.Clump, f.Mix)
		}
		for _, s := range f.Config.Services {
			if !slices.ContainsFunc(f.Pools, func(p emulator.Pool) bool { return p.Service == s.Name && len(p.Places) == f.Zones }) {
				t.Errorf("%s: %s has no servers", name, s.Name)
			}
		}
		for _, prefix := range append(strings.Fields(f.Mix), "/idem/", "/slow/") {
			if f.Config.Route(host, prefix) == nil {
				t.Errorf("%s: no route %s", name, prefix)
			}
		}
	}
}

// TestWeigh: only what a killed instance had in flight is excused as lost, and only that; after an interrupt nothing counts.
func TestWeigh(t *testing.T) {
	began := time.Unix(1000, 0)
	a := emulator.Attempt{ID: "a", Ask: emulator.Ask{Path: "/once/x?n=1"}, Sent: began, Ended: began.Add(time.Second)}
	instances := []instanceSpec{{ID: "n1", Listen: "n1:1"}, {ID: "n2", Listen: "n2:1"}}
	l := &load{contacts: map[string][]contact{a.Ask.Path: {{"n1:1", began}, {"n2:1", began.Add(-time.Second)}}}} // n2 had an earlier attempt
	for _, c := range []struct {
		what, name, signals string
		cut                 time.Duration
		unknown             bool
		broken              int
	}{
		{"lost with n1", emulator.NameLost, "1000.500000 n1 KILL\n", 0, false, 0},
		{"another died", emulator.NameLost, "1000.500000 n2 KILL\n", 0, false, 1},
		{"killed before", emulator.NameLost, "999.500000 n1 KILL\n", 0, false, 1},
		{"killed afterwards", emulator.NameLost, "1001.000001 n1 KILL\n", 0, false, 1},
		{"stopped or frozen", emulator.NameLost, "1000.500000 n1 TERM\n1000.500000 n1 STOP\n", 0, false, 1},
		{"twice", emulator.NameTwice, "1000.500000 n1 KILL\n", 0, false, 1},
		{"ended before the interrupt", emulator.NameLost, "", 1001 * time.Millisecond, false, 1},
		{"ended after the interrupt", emulator.NameLost, "", 999 * time.Millisecond, false, 0},
		{"nobody sent it", emulator.NameUnasked, "", 999 * time.Millisecond, true, 1},
	} {
		dir, r, attempt := t.TempDir(), result{uncounted: make(map[string]int)}, a
		if err := os.WriteFile(filepath.Join(dir, "signals.txt"), []byte(c.signals), 0o600); err != nil {
			t.Fatal(err)
		}
		kills, err := readSignals(dir, "KILL")
		if err != nil {
			t.Fatal(err)
		}
		if c.cut > 0 {
			r.cut = began.Add(c.cut)
		}
		if c.unknown {
			attempt = emulator.Attempt{}
		}
		r.weigh(emulator.Violation{Name: c.name, Attempt: a.ID}, attempt, l.instancesOf(attempt, instances), kills, "")
		if len(r.broken) != c.broken || len(r.broken)+len(r.uncounted) != 1 {
			t.Errorf("%s: broken %q, not counted %v", c.what, r.broken, r.uncounted)
		}
		if c.broken > 0 && !strings.Contains(r.String(), "\nbroken: "+c.name+" a ") {
			t.Errorf("%s isn't in the report: %s", c.what, r)
		}
	}
}

// Guards against probes answered by an outdated configuration that are not reported,
// and against probes that are excluded or reported without cause.
func TestProbesReportOutdatedRoutes(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	for _, c := range []struct {
		name    string
		sent    float64
		status  int
		signal  float64 // 0 = none
		fault   *storeFault
		broken  int
		counted int
	}{
		{"served", 5, 200, 0, nil, 0, 1},
		{"added, not found", 5, 404, 0, nil, 1, 1},
		{"added just now", 1, 404, 0, nil, 0, 1},
		{"refused", 5, 503, 0, nil, 0, 1},
		{"signal before the probe", 5, 404, 4, nil, 0, 0},
		{"signal long before the probe", 5, 404, 2, nil, 1, 1},
		{"store fault", 5, 404, 0, &storeFault{from: at(4), to: at(4.5)}, 0, 0},
		{"store fault for another instance", 5, 404, 0, &storeFault{instance: "n2", from: at(4), to: at(4.5)}, 1, 1},
		{"removed, not found", 14, 404, 0, nil, 0, 1},
		{"removed, served", 14, 200, 0, nil, 1, 1},
		{"removed just now", 11, 200, 0, nil, 0, 1},
	} {
		p := &probes{
			routes:   []addedRoute{{"/new1/", start, at(10)}},
			finished: []probe{{"n1", "/new1/", at(c.sent), at(c.sent + 0.1), c.status}},
		}
		if c.fault != nil {
			p.storeFaults = []storeFault{*c.fault}
		}
		signals := map[string][]time.Time{}
		if c.signal > 0 {
			signals["n1"] = []time.Time{at(c.signal)}
		}
		if broken, counted := p.judge(signals); len(broken) != c.broken || counted != c.counted {
			t.Errorf("%s: reported %v, counted %d; want %d reported, %d counted", c.name, broken, counted, c.broken, c.counted)
		}
	}
}
