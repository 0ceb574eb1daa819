package main

import (
	"context"
	"os"
	"runtime/pprof"
	"time"

	"lynxhill.example/lynxhill/internal/bench"
	"lynxhill.example/lynxhill/internal/httpserver"
)

// overheadCmd compares direct calls with calls through lynxhill.
type overheadCmd struct {
	Attach      string        `placeholder:"DIR" type:"existingdir" help:"Use the processes that this directory of 'lynxbench standins' describes (kilimanjaro); default: all in this process."`
	Instances   int           `default:"3" help:"Instances to start in this process."`
	TimeScale   float64       `default:"1" help:"Multiplies the targets' service times, in this process."`
	Rounds      int           `default:"5" help:"Rounds, each of all kinds of calls and loads."`
	Calls       int           `default:"300" help:"Pairs of calls of each kind and load in a round."`
	Concurrency int           `default:"8" help:"Callers at once in the concurrent load."`
	Pause       time.Duration `default:"30ms" help:"Pause of each of them between two pairs."`
	Seed        uint64        `default:"1" help:"Seed of the stand-ins."`
	JSON        string        `placeholder:"FILE" help:"Write the figures here as JSON."`
	Log         string        `placeholder:"FILE" help:"Write the logs of instances in this process here."`
	CPUProfile  string        `name:"cpu-profile" placeholder:"FILE" help:"Write a CPU profile of this process here, for 'go tool pprof'."`
	Limit       time.Duration `default:"5m" help:"End after this long at the latest."`
}

// Run implements the command.
func (c overheadCmd) Run(ctx context.Context) error {
	httpserver.BridgeLogs(nil)
	log, err := openLog(c.Log)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, c.Limit)
	defer cancel()
	stop, err := startProfile(c.CPUProfile)
	if err != nil {
		return err
	}
	defer stop()
	rows, err := bench.Overhead(ctx, bench.OverheadOptions{
		Attach: c.Attach, Instances: c.Instances, TimeScale: c.TimeScale, Rounds: c.Rounds, Calls: c.Calls,
		Concurrency: c.Concurrency, Pause: c.Pause, Seed: c.Seed, Out: os.Stdout, Log: log,
	})
	if err != nil {
		return err
	}
	bench.PrintOverhead(os.Stdout, rows)
	return writeJSON(c.JSON, rows)
}

// startProfile begins a CPU profile; without a name it does nothing.
func startProfile(name string) (stop func(), err error) {
	if name == "" {
		return func() {}, nil
	}
	file, err := os.Create(name)
	if err != nil {
		return nil, err
	}
	if err := pprof.StartCPUProfile(file); err != nil {
		_ = file.Close()
		return nil, err
	}
	return func() {
		pprof.StopCPUProfile()
		_ = file.Close()
	}, nil
}
