package main

import (
	"context"
	"fmt"
	"os"
	"sort"
	"time"

	"lynxhill.example/lynxhill/internal/bench"
	"lynxhill.example/lynxhill/internal/client"
	"lynxhill.example/lynxhill/internal/config"
	"lynxhill.example/lynxhill/internal/httpserver"
)

// loadCmd sends a load and checks every answer.
type loadCmd struct {
	Attach     string `placeholder:"DIR" type:"existingdir" help:"Send to the processes that this directory of 'lynxbench standins' describes."`
	Deployment string `default:"mediaplace" enum:"mediaplace,kilimanjaro" help:"Deployment to start in this process without --attach: mediaplace or kilimanjaro."`
	Instances  int    `default:"4" help:"Instances to start in this process."`

	Rate        float64       `default:"40" help:"Requests a second, on average."`
	Duration    time.Duration `default:"10s" help:"How long requests are sent."`
	MaxRequests int           `default:"200000" help:"Refuse a load of more requests."`
	Seed        uint64        `default:"1" help:"Seed of the load and of the stand-ins."`

	Arrivals    string        `default:"poisson" enum:"poisson,bursts,daily,replay" help:"poisson, bursts, daily (one day's curve over the duration) or replay."`
	Replay      string        `placeholder:"FILE" type:"existingfile" help:"File to replay: a line a request, milliseconds since the start."`
	BurstFactor float64       `default:"3" help:"Rate in a burst, as a multiple."`
	BurstEvery  time.Duration `default:"4s" help:"From burst to burst."`
	BurstFor    time.Duration `default:"1s" help:"Length of a burst."`

	Mix          map[string]float64 `placeholder:"PROFILE=WEIGHT;..." help:"Shares of the profiles; default: the deployment's."`
	InputWords   float64            `default:"40" help:"Median length of the inputs in words; lengths are log-normal."`
	InputSigma   float64            `default:"0.7" help:"Spread of the logarithm of that length."`
	OutputTokens int                `help:"Longest generated answer in tokens; default: what the profiles say. Not with --attach."`
	Prefixes     int                `default:"24" help:"Shared prompt prefixes; a few are common."`
	PrefixWords  int                `default:"180" help:"Length of a prefix in words."`
	PoisonEvery  time.Duration      `help:"Send a request that crashes its targets this often."`
	Tickets      string             `default:"advised" enum:"advised,never,always" help:"When callers make keys under tickets: advised, never or always."`
	ChangeEvery  time.Duration      `help:"With --attach: an operator changes a profile this often."`

	MinWhole float64 `default:"0.5" help:"Share of the requests that must get a whole answer."`
	JSON     string  `placeholder:"FILE" help:"Write the results here as JSON, for 'lynxbench compare'."`
	Log      string  `placeholder:"FILE" help:"Write the logs of instances in this process here."`
}

// Bounds of a load.
const (
	maxLoadDuration = 10 * time.Minute
	maxLoadRate     = 5000
	// afterLoad is for starting, for answers that are still to come when the
	// last request is sent, and for the checks.
	afterLoad = 2 * time.Minute
)

var ticketUses = map[string]client.TicketUse{
	"advised": client.TicketsWhenAdvised, "never": client.TicketsNever, "always": client.TicketsAlways,
}

// Validate implements kong's validation.
func (c loadCmd) Validate() error {
	switch {
	case c.Rate <= 0 || c.Rate > maxLoadRate:
		return fmt.Errorf("--rate: must be above 0 and at most %d", maxLoadRate)
	case c.Duration <= 0 || c.Duration > maxLoadDuration:
		return fmt.Errorf("--duration: must be above 0 and at most %s", maxLoadDuration)
	case (c.Arrivals == bench.ArrivalsReplay) != (c.Replay != ""):
		return fmt.Errorf("--arrivals replay and --replay FILE go together")
	}
	return nil
}

// Run implements the command.
func (c loadCmd) Run(ctx context.Context) error {
	httpserver.BridgeLogs(nil)
	log, err := openLog(c.Log)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, c.Duration+afterLoad)
	defer cancel()
	run := bench.LoadRun{
		Load: c.options(), OutputTokens: c.OutputTokens, MinWhole: c.MinWhole,
		Tickets: ticketUses[c.Tickets], ChangeEvery: c.ChangeEvery, Out: os.Stdout, Log: log,
	}
	var results bench.Results
	if c.Attach != "" {
		results, err = run.Attached(ctx, c.Attach)
	} else {
		results, err = run.InProcess(ctx, c.Deployment, c.Instances)
	}
	if err != nil {
		return err
	}
	results.Print(os.Stdout)
	if err := writeJSON(c.JSON, results); err != nil {
		return err
	}
	var verdict verdict
	verdict.add(results)
	return verdict.err()
}

func (c loadCmd) options() bench.LoadOptions {
	var mix []bench.Mix
	for name, weight := range c.Mix {
		mix = append(mix, bench.Mix{Profile: name, Weight: weight})
	}
	sort.Slice(mix, func(i, j int) bool { return mix[i].Profile < mix[j].Profile })
	return bench.LoadOptions{
		Rate: c.Rate, Duration: c.Duration, MaxRequests: c.MaxRequests, Mix: mix, Seed: c.Seed,
		Run: fmt.Sprintf("load/%d", c.Seed), PoisonEvery: c.PoisonEvery,
		Arrivals: bench.Arrivals{
			Kind: c.Arrivals, File: c.Replay, BurstFactor: c.BurstFactor,
			BurstEvery: config.DurationOf(c.BurstEvery), BurstFor: config.DurationOf(c.BurstFor),
		},
		Lengths: bench.Lengths{
			InputWords: c.InputWords, InputSigma: c.InputSigma, Prefixes: c.Prefixes, PrefixWords: c.PrefixWords,
		},
	}
}
