package main

import (
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"lynxhill.example/lynxhill/deploy/emulator"
)

// Guards against a verdict that leaves out one of the checks: the bound on repeats, requests
// that nobody sent.
func TestJudgeAppliesAllChecks(t *testing.T) {
	f, err := readWorld("bookings")
	if err != nil {
		t.Fatal(err)
	}
	random := rand.New(rand.NewPCG(1, 1))
	f.Random, f.Repeats = random, emulator.RepeatBound{Window: time.Minute}
	w, err := emulator.NewWorld(f.Deployment)
	if err != nil {
		t.Fatal(err)
	}
	defer w.Close()
	for range 2 {
		r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+w.Servers("plain")[0].Address+"/once/x", nil)
		if err != nil {
			t.Fatal(err)
		}
		r.Header.Set("Attempt-Id", "a")
		response, err := http.DefaultClient.Do(r)
		if err != nil {
			t.Fatal(err)
		}
		_ = response.Body.Close()
	}
	o := options{dir: t.TempDir()}
	if err := os.WriteFile(filepath.Join(o.dir, "signals.txt"), nil, 0o600); err != nil {
		t.Fatal(err)
	}
	h := &hurter{
		world: w, repeats: f.Repeats, probes: newProbes(nil, random), poison: newPoison(nil, random),
		wire: emulator.NewWire(emulator.Loopback{}, random), counts: make(map[string]int),
	}
	result := judge(o, nil, w, &load{zero: time.Now()}, h, time.Time{}).String()
	for _, want := range []string{"\nbroken: repeats a: 1 arrivals at plain beyond the first", "\nbroken: unasked a"} {
		if !strings.Contains(result, want) {
			t.Errorf("no %q in\n%s", want, result)
		}
	}
}
