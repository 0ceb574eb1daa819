package bench

import (
	"bytes"
	"cmp"
	"fmt"
	"maps"
	"os"
	"slices"
	"time"

	"github.com/pelletier/go-toml/v2"

	"lynxhill.example/lynxhill/internal/client"
	"lynxhill.example/lynxhill/internal/config"
	"lynxhill.example/lynxhill/internal/routing"
	"lynxhill.example/lynxhill/internal/standin/fleet"
)

// Experiment is a load with faults, run once for each variant.
type Experiment struct {
	Name        string   `toml:"name" json:"name"`
	About       string   `toml:"about" json:"about"`
	Seed        uint64   `toml:"seed" json:"seed"`
	Repetitions int      `toml:"repetitions" json:"repetitions"`
	Deployments []string `toml:"deployments" json:"deployments"` // default both, side by side
	Instances   int      `toml:"instances" json:"instances"`
	Scale       float64  `toml:"scale" json:"scale"`           // of the counts of targets
	TimeScale   float64  `toml:"time_scale" json:"time_scale"` // of the service times
	LoadLag     Duration `toml:"load_lag" json:"load_lag"`
	IgnoreFence bool     `toml:"ignore_fence" json:"ignore_fence"`
	Rate        float64  `toml:"rate" json:"rate"` // requests a second and deployment
	Duration    Duration `toml:"duration" json:"duration"`
	Settle      Duration `toml:"settle" json:"settle"` // wait after the load, for faults that end late
	PoisonEvery Duration `toml:"poison_every" json:"poison_every"`
	// MinWhole is the share of requests that must get their whole answer for
	// the run to mean anything; without it a fleet that refuses everything
	// would break no promise.
	MinWhole float64   `toml:"min_whole" json:"min_whole"`
	Arrivals Arrivals  `toml:"arrivals" json:"arrivals"`
	Mix      []Mix     `toml:"mix" json:"mix,omitempty"`
	Faults   []Fault   `toml:"faults" json:"faults"`
	Variants []Variant `toml:"variants" json:"variants"`
}

// Variant is what is compared: our policies, or a baseline.
type Variant struct {
	Name        string         `toml:"name" json:"name"`
	Policy      routing.Policy `toml:"policy" json:"policy,omitempty"`
	Tickets     string         `toml:"tickets" json:"tickets,omitempty"` // advised (default), never or always
	MaxAttempts int            `toml:"max_attempts" json:"max_attempts,omitempty"`
	RetryBudget float64        `toml:"retry_budget" json:"retry_budget,omitempty"`
	MaxEjected  float64        `toml:"max_ejected" json:"max_ejected,omitempty"`
	// Baseline variants may break promises about time, never about answers.
	Baseline bool `toml:"baseline" json:"baseline,omitempty"`
}

// ticketUses are the values of Variant.Tickets.
var ticketUses = map[string]client.TicketUse{
	"": client.TicketsWhenAdvised, "advised": client.TicketsWhenAdvised,
	"never": client.TicketsNever, "always": client.TicketsAlways,
}

// Duration is written with its unit.
type Duration = config.Duration

// Defaults and bounds of an experiment.
const (
	defaultInstances = 8
	defaultRate      = 40.0
	defaultMinWhole  = 0.5
	defaultDuration  = 10 * time.Second
	maxInstances     = 64
	maxDuration      = 10 * time.Minute
	maxRate          = 5000.0
	prepareTimeout   = 60 * time.Second
	// spread separates the seeds of repetitions.
	spread = 7919
)

// LoadExperiment reads an experiment from a TOML file.
func LoadExperiment(name string) (Experiment, error) {
	text, err := os.ReadFile(name)
	if err != nil {
		return Experiment{}, err
	}
	var e Experiment
	decoder := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields()
	if err := decoder.Decode(&e); err != nil {
		return Experiment{}, fmt.Errorf("%s: %w", name, err)
	}
	if err := e.checkTimes(); err != nil {
		return Experiment{}, fmt.Errorf("%s: %w", name, err)
	}
	e.setDefaults()
	if err := e.validate(); err != nil {
		return Experiment{}, fmt.Errorf("%s: %w", name, err)
	}
	return e, nil
}

// checkTimes refuses texts that are no durations. It comes before the defaults,
// since such a value reads as 0: a fault "for = 5" would last until the end.
func (e *Experiment) checkTimes() error {
	times := map[string]Duration{
		"load_lag": e.LoadLag, "duration": e.Duration, "settle": e.Settle, "poison_every": e.PoisonEvery,
		"arrivals.burst_every": e.Arrivals.BurstEvery, "arrivals.burst_for": e.Arrivals.BurstFor,
	}
	for i, f := range e.Faults {
		times[fmt.Sprintf("faults[%d].at", i)] = f.At
		times[fmt.Sprintf("faults[%d].for", i)] = f.For
	}
	for _, key := range slices.Sorted(maps.Keys(times)) {
		if err := times[key].Err(); err != nil {
			return fmt.Errorf("%s: %w", key, err)
		}
	}
	return nil
}

func (e *Experiment) setDefaults() {
	if e.Seed == 0 {
		e.Seed = 1
	}
	if e.Repetitions == 0 {
		e.Repetitions = 1
	}
	if len(e.Deployments) == 0 {
		e.Deployments = fleet.Names()
	}
	if e.Instances == 0 {
		e.Instances = defaultInstances
	}
	if e.Rate == 0 {
		e.Rate = defaultRate
	}
	if e.Duration.Duration == 0 {
		e.Duration = config.DurationOf(defaultDuration)
	}
	if e.MinWhole == 0 {
		e.MinWhole = defaultMinWhole
	}
	if len(e.Variants) == 0 {
		e.Variants = []Variant{{Name: "lynxhill"}}
	}
}

func (e *Experiment) validate() error {
	switch {
	case e.Instances < 1 || e.Instances > maxInstances:
		return fmt.Errorf("instances: must be 1 to %d", maxInstances)
	case e.Duration.Duration <= 0 || e.Duration.Duration > maxDuration:
		return fmt.Errorf("duration: must be above 0 and at most %s", maxDuration)
	case e.Settle.Duration < 0 || e.Settle.Duration > maxDuration:
		return fmt.Errorf("settle: must be 0 to %s", maxDuration)
	case e.Rate <= 0 || e.Rate > maxRate:
		return fmt.Errorf("rate: must be above 0 and at most %g", maxRate)
	case e.MinWhole < 0 || e.MinWhole > 1:
		return fmt.Errorf("min_whole: must be 0 to 1")
	}
	for _, name := range e.Deployments {
		if !slices.Contains(fleet.Names(), name) {
			return fmt.Errorf("deployments: there is no deployment %q", name)
		}
	}
	return cmp.Or(e.Arrivals.validate(), e.validateFaults(), e.validateVariants())
}

func (e *Experiment) validateFaults() error {
	for i, f := range e.Faults {
		if _, ok := faultKinds[f.Kind]; !ok {
			return fmt.Errorf("faults[%d].kind: there is no fault %q", i, f.Kind)
		}
		if f.At.Duration < 0 || f.At.Duration >= e.Duration.Duration || f.For.Duration < 0 {
			return fmt.Errorf("faults[%d]: must begin within the duration and not last less than nothing", i)
		}
	}
	return nil
}

func (e *Experiment) validateVariants() error {
	seen := make(map[string]bool)
	for i, v := range e.Variants {
		if seen[v.Name] {
			return fmt.Errorf("variants[%d].name: there are two variants %q", i, v.Name)
		}
		seen[v.Name] = true
		if _, ok := ticketUses[v.Tickets]; !ok {
			return fmt.Errorf("variants[%d].tickets: %q is none of advised, never, always", i, v.Tickets)
		}
		if _, err := routing.ParsePolicy(string(v.Policy)); v.Policy != "" && err != nil {
			return fmt.Errorf("variants[%d].policy: %w", i, err)
		}
	}
	return nil
}

// Results are those of a whole experiment.
type Results struct {
	Experiment Experiment `json:"experiment"`
	Started    time.Time  `json:"started"`
	Summaries  []Summary  `json:"summaries"`
	// Interrupted: the run was ended before its time, and nothing is counted
	// that ended after that. It proves nothing about the whole run.
	Interrupted bool `json:"interrupted,omitempty"`
}

// Broken is the number of broken promises over all runs.
func (r Results) Broken() int {
	n := 0
	for _, s := range r.Summaries {
		n += s.Breaches.Total()
	}
	return n
}
