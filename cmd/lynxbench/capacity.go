package main

import (
	"context"
	"os"
	"time"

	"lynxhill.example/lynxhill/internal/bench"
	"lynxhill.example/lynxhill/internal/config"
	"lynxhill.example/lynxhill/internal/httpserver"
)

// capacityLimit bounds the whole run.
const capacityLimit = 6 * time.Minute

// capacityCmd measures what instances spend on control.
type capacityCmd struct {
	Instances     []int         `default:"4,8,16,32,64" help:"Numbers of instances before today's targets."`
	Many          []int         `default:"8,16,32,64" help:"Numbers of instances before 602 targets."`
	Scales        []float64     `default:"0.5,2" help:"Numbers of targets as multiples of today's 43, before 16 instances."`
	Window        time.Duration `default:"4s" help:"How long is measured at each size."`
	Settle        time.Duration `default:"4s" help:"How long after the start the measurement begins."`
	SettleEach    time.Duration `default:"350ms" help:"How much later for each instance."`
	Rate          float64       `default:"1" help:"Requests a second and instance."`
	Seed          uint64        `default:"1" help:"Seed of the stand-ins and instances."`
	PeerHeartbeat time.Duration `help:"Another value of timings.peer_heartbeat than the default."`
	FenceAfter    time.Duration `help:"Another value of timings.fence_after than the default."`
	JSON          string        `placeholder:"FILE" help:"Write the results here as JSON."`
	Profile       string        `placeholder:"FILE" help:"Write a processor profile of the last size with 602 targets here."`
	Log           string        `placeholder:"FILE" help:"Write the instances' logs here."`
}

// Run implements the command.
func (c capacityCmd) Run(ctx context.Context) error {
	httpserver.BridgeLogs(nil)
	log, err := openLog(c.Log)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, capacityLimit)
	defer cancel()
	results, err := bench.Capacity(ctx, bench.CapacityOptions{
		Instances: c.Instances, Many: c.Many, Scales: c.Scales, Window: c.Window, Settle: c.Settle, SettleEach: c.SettleEach,
		Rate: c.Rate, Seed: c.Seed, Adjust: c.adjust, Profile: c.Profile, Out: os.Stdout, Log: log,
	})
	if err != nil {
		return err
	}
	results.Print(os.Stdout)
	return writeJSON(c.JSON, results)
}

func (c capacityCmd) adjust(cfg *config.Config) {
	if c.PeerHeartbeat > 0 {
		cfg.Timings.PeerHeartbeat = config.DurationOf(c.PeerHeartbeat)
	}
	if c.FenceAfter > 0 {
		cfg.Timings.FenceAfter = config.DurationOf(c.FenceAfter)
	}
}
