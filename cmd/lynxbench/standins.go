package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"lynxhill.example/lynxhill/internal/bench"
	"lynxhill.example/lynxhill/internal/client"
	"lynxhill.example/lynxhill/internal/config"
	"lynxhill.example/lynxhill/internal/httpserver"
)

// standinsCmd runs a deployment's platform and targets for instances in other
// processes.
type standinsCmd struct {
	Dir          string        `arg:"" type:"existingdir" help:"Directory for addresses, tokens and settings of the instances."`
	Deployment   string        `default:"mediaplace" enum:"mediaplace,kilimanjaro" help:"mediaplace or kilimanjaro."`
	Instances    int           `default:"4" help:"Instances to prepare settings and ports for."`
	StandinsAddr string        `default:"127.0.0.1:0" help:"Address of the control endpoint."`
	Seed         uint64        `default:"1" help:"Seed of the stand-ins."`
	TimeScale    float64       `default:"1" help:"Multiplies the service times."`
	Relays       bool          `help:"Put relays around each instance, so that the fault instance_cut works."`
	Limit        time.Duration `default:"10m" help:"End after this long at the latest."`
}

// Run implements the command.
func (c standinsCmd) Run(ctx context.Context) error {
	httpserver.BridgeLogs(nil)
	ctx, cancel := context.WithTimeout(ctx, c.Limit)
	defer cancel()
	standins, err := bench.StartStandins(bench.StandinsOptions{
		Deployment: c.Deployment, Instances: c.Instances, Dir: c.Dir, Control: c.StandinsAddr,
		Seed: c.Seed, TimeScale: c.TimeScale, Relays: c.Relays,
	})
	if err != nil {
		return err
	}
	fmt.Fprintf(os.Stdout, "%s: %d targets, platform at %s, control at %s\n",
		c.Deployment, len(standins.Layout.Targets), standins.Layout.Platform, standins.Layout.Control)
	return standins.Run(ctx)
}

// faultCmd begins a fault of running stand-ins.
type faultCmd struct {
	Dir     string        `arg:"" type:"existingdir" help:"Directory of 'lynxbench standins'."`
	Kind    string        `arg:"" help:"See 'lynxbench faults', store_*, target_*, lost_reply and poison; or instance_cut."`
	For     time.Duration `default:"5s" help:"Length of the fault."`
	Subject string        `help:"Id of a target or instance, or a service; default: drawn by the seed."`
	Count   int           `help:"Targets of the service."`
	Value   float64       `help:"Factor, share or seconds, by kind."`
}

// Run implements the command.
func (c faultCmd) Run(ctx context.Context) error {
	httpserver.BridgeLogs(nil)
	attached, err := bench.Attach(c.Dir, client.TicketsNever)
	if err != nil {
		return err
	}
	return attached.Fault(ctx, bench.Fault{
		Kind: c.Kind, For: config.DurationOf(c.For), Subject: c.Subject, Count: c.Count, Value: c.Value,
	})
}

// readyCmd tells whether the instances of running stand-ins take requests.
type readyCmd struct {
	Dir string `arg:"" type:"existingdir" help:"Directory of 'lynxbench standins'."`
}

// Run implements the command.
func (c readyCmd) Run(ctx context.Context) error {
	httpserver.BridgeLogs(nil)
	attached, err := bench.Attach(c.Dir, client.TicketsNever)
	if err != nil {
		return err
	}
	return attached.Ready(ctx)
}
