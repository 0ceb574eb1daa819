// Command lynxbench runs lynxhill against stand-ins on loopback: a demo, load,
// and experiments with faults. It is a tool of the project and is not shipped.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"lynxhill.example/lynxhill/internal/httpserver"
)

// cli is the command line.
type cli struct {
	Demo     demoCmd     `cmd:"" help:"Run both deployments, send requests of both, check every answer. Ends by itself."`
	Run      runCmd      `cmd:"" help:"Run experiments: load, faults and policies compared. Status 1 if a promise was broken, 130 if interrupted before one was."`
	Load     loadCmd     `cmd:"" help:"Send a load to instances in this process or to running processes, check every answer. Status 1 if a promise was broken."`
	Overhead overheadCmd `cmd:"" help:"Compare direct calls of targets with calls through lynxhill."`
	Compare  compareCmd  `cmd:"" help:"Compare the JSON results of two runs."`
	Faults   faultsCmd   `cmd:"" help:"List the faults that experiments may name."`
	Standins standinsCmd `cmd:"" help:"Run a deployment's platform and targets for instances in other processes."`
	Fault    faultCmd    `cmd:"" help:"Begin a fault of running stand-ins."`
	Ready    readyCmd    `cmd:"" help:"Tell by the status whether the instances of running stand-ins take requests."`
	Capacity capacityCmd `cmd:"" help:"Measure what instances spend on control, in growing numbers, with fitted slopes."`
	Stages   stagesCmd   `cmd:"" help:"Compare the scheduling policies of stage work, each with its baseline, in virtual time."`
	Fluid    fluidCmd    `cmd:"" help:"Print what a deployment could serve on time at most, by its sheet alone."`
}

func main() {
	httpserver.DisableGoZeroSignals()
	var args cli
	parser := kong.Must(&args,
		kong.Name("lynxbench"),
		kong.Description("Runs lynxhill against stand-ins on loopback."),
		kong.UsageOnError(),
	)
	command, err := parser.Parse(os.Args[1:])
	parser.FatalIfErrorf(err)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	command.BindTo(ctx, (*context.Context)(nil))
	command.FatalIfErrorf(command.Run())
}
