package bench

import (
	"bufio"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"time"

	"lynxhill.example/lynxhill/internal/config"
	"lynxhill.example/lynxhill/internal/defaults"
)

// Kinds of arrivals.
const (
	ArrivalsPoisson = "poisson"
	ArrivalsBursts  = "bursts" // Poisson, with times of a multiple of the rate
	ArrivalsDaily   = "daily"  // one day's curve over the duration
	ArrivalsReplay  = "replay" // offsets from a file
)

// Arrivals describe when requests are sent. Their times are fixed before the
// load begins and do not depend on answers: a slow system faces the same load.
type Arrivals struct {
	Kind        string   `toml:"kind" json:"kind"`
	BurstFactor float64  `toml:"burst_factor" json:"burst_factor,omitempty"`
	BurstEvery  Duration `toml:"burst_every" json:"burst_every,omitempty"`
	BurstFor    Duration `toml:"burst_for" json:"burst_for,omitempty"`
	File        string   `toml:"file" json:"file,omitempty"` // a line a request: milliseconds since the start
}

// Defaults of Arrivals.
const (
	defaultBurstFactor = 3.0
	defaultBurstEvery  = 4 * time.Second
	defaultBurstFor    = time.Second
	// nightShare is the rate at the quietest hour as a share of the busiest.
	nightShare = 0.25
	// maxReplay bounds the requests of a replayed file.
	maxReplay = 1_000_000
)

func (a Arrivals) withDefaults() Arrivals {
	defaults.Set(&a.Kind, ArrivalsPoisson)
	defaults.Positive(&a.BurstFactor, defaultBurstFactor)
	if a.BurstEvery.Duration <= 0 {
		a.BurstEvery = config.DurationOf(defaultBurstEvery)
	}
	if a.BurstFor.Duration <= 0 {
		a.BurstFor = config.DurationOf(defaultBurstFor)
	}
	return a
}

func (a Arrivals) validate() error {
	switch a.withDefaults().Kind {
	case ArrivalsReplay, ArrivalsPoisson, ArrivalsBursts, ArrivalsDaily:
		return nil
	default:
		return fmt.Errorf("arrivals.kind: %q is none of poisson, bursts, daily, replay", a.Kind)
	}
}

// offsets returns the moments of all requests since the start, in order.
func (a Arrivals) offsets(rate float64, duration time.Duration, rng *rand.Rand) ([]time.Duration, error) {
	if err := a.validate(); err != nil {
		return nil, err
	}
	a = a.withDefaults()
	if a.Kind == ArrivalsReplay {
		return readOffsets(a.File, duration)
	}
	return a.thinned(rate, duration, rng), nil
}

// thinned draws a Poisson process at the highest rate and keeps each arrival
// with the share that the rate at its moment has of it.
func (a Arrivals) thinned(rate float64, duration time.Duration, rng *rand.Rand) []time.Duration {
	peak := rate * a.peak()
	var offsets []time.Duration
	at := 0.0
	for {
		at += rng.ExpFloat64() / peak
		offset := time.Duration(at * float64(time.Second))
		if offset >= duration {
			return offsets
		}
		if rng.Float64() < a.factor(offset, duration)/a.peak() {
			offsets = append(offsets, offset)
		}
	}
}

func (a Arrivals) peak() float64 {
	if a.Kind == ArrivalsBursts {
		return a.BurstFactor
	}
	return 1
}

// factor is the rate at a moment as a multiple of the given rate.
func (a Arrivals) factor(at, duration time.Duration) float64 {
	switch a.Kind {
	case ArrivalsBursts:
		if at%a.BurstEvery.Duration >= a.BurstEvery.Duration-a.BurstFor.Duration {
			return a.BurstFactor
		}
		return 1
	case ArrivalsDaily:
		day := 2 * math.Pi * float64(at) / float64(duration)
		return nightShare + (1-nightShare)*(1-math.Cos(day))/2
	default:
		return 1
	}
}

func readOffsets(name string, duration time.Duration) ([]time.Duration, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	var offsets []time.Duration
	lines := bufio.NewScanner(file)
	for lines.Scan() && len(offsets) < maxReplay {
		text := strings.TrimSpace(lines.Text())
		if text == "" || strings.HasPrefix(text, "#") {
			continue
		}
		ms, err := strconv.ParseFloat(text, 64)
		if err != nil {
			return nil, fmt.Errorf("%s: %q is no number of milliseconds", name, text)
		}
		if offset := time.Duration(ms * float64(time.Millisecond)); offset >= 0 && offset < duration {
			offsets = append(offsets, offset)
		}
	}
	return offsets, lines.Err()
}
