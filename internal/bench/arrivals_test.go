package bench

import (
	"math"
	"math/rand/v2"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"testing"
	"time"

	"lynxhill.example/lynxhill/internal/config"
)

const (
	testRate     = 100.0
	testDuration = 100 * time.Second
)

func drawn(t *testing.T, a Arrivals, seed uint64) []time.Duration {
	t.Helper()
	offsets, err := a.offsets(testRate, testDuration, rand.New(rand.NewPCG(seed, 7)))
	if err != nil {
		t.Fatal(err)
	}
	if !slices.IsSorted(offsets) || len(offsets) == 0 || offsets[len(offsets)-1] >= testDuration {
		t.Fatalf("%s: out of order or past the end", a.Kind)
	}
	return offsets
}

// The symptom would be a comparison of two loads that are not the same. The
// numbers must fit the rates within five standard deviations.
func TestArrivalsHaveTheirRateAndFollowTheSeed(t *testing.T) {
	kinds := map[string]float64{ // mean rate as a multiple of the given one
		ArrivalsPoisson: 1,
		ArrivalsBursts:  0.75 + 0.25*defaultBurstFactor,
		ArrivalsDaily:   (1 + nightShare) / 2,
	}
	for kind, factor := range kinds {
		offsets := drawn(t, Arrivals{Kind: kind}, 1)
		want := testRate * factor * testDuration.Seconds()
		if off := math.Abs(float64(len(offsets)) - want); off > 5*math.Sqrt(want) {
			t.Errorf("%s: %d requests, want about %.0f", kind, len(offsets), want)
		}
		if !reflect.DeepEqual(offsets, drawn(t, Arrivals{Kind: kind}, 1)) {
			t.Errorf("%s: the same seed gave other arrivals", kind)
		}
		if reflect.DeepEqual(offsets, drawn(t, Arrivals{Kind: kind}, 2)) {
			t.Errorf("%s: another seed gave the same arrivals", kind)
		}
	}
}

func TestBurstsComeWhenTheyShould(t *testing.T) {
	a := Arrivals{Kind: ArrivalsBursts, BurstFactor: 4, BurstEvery: config.DurationOf(10 * time.Second), BurstFor: config.DurationOf(2 * time.Second)}
	inBurst, outside := 0, 0
	for _, at := range drawn(t, a, 1) {
		if at%(10*time.Second) >= 8*time.Second {
			inBurst++
		} else {
			outside++
		}
	}
	// A fifth of the time at four times the rate: as many in as out.
	if ratio := float64(inBurst) / float64(outside); ratio < 0.9 || ratio > 1.1 {
		t.Errorf("%d in bursts, %d outside", inBurst, outside)
	}
}

func TestReplayReadsItsFile(t *testing.T) {
	name := filepath.Join(t.TempDir(), "arrivals")
	write := func(text string) {
		if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	a := Arrivals{Kind: ArrivalsReplay, File: name}
	write("# milliseconds\n\n0\n12.5\n99000\n200000\n-1\n")
	offsets, err := a.offsets(testRate, testDuration, nil)
	want := []time.Duration{0, 12500 * time.Microsecond, 99 * time.Second}
	if err != nil || !slices.Equal(offsets, want) {
		t.Errorf("offsets %v, %v, want %v", offsets, err, want)
	}
	write("7 apples\n")
	if _, err := a.offsets(testRate, testDuration, nil); err == nil {
		t.Error("a line that is no number is taken")
	}
	if _, err := (Arrivals{Kind: "tidal"}).offsets(testRate, testDuration, nil); err == nil {
		t.Error("an unknown kind is taken")
	}
}
