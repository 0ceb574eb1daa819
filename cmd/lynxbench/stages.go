package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"lynxhill.example/lynxhill/internal/bench/stages"
)

// stagesCmd compares the scheduling policies of stage work in virtual time.
type stagesCmd struct {
	Seed             uint64   `default:"1" help:"First seed of callers and faults."`
	Seeds            int      `default:"1" help:"Days to play, each with the next seed; the table has their means. 1 to 50."`
	Policy           []string `placeholder:"NAME" help:"Only these baselines beside the kept policy: no-forecast, no-room, any-place, least-loaded, no-takeover, each-by-itself, no-early-refusal, no-margin, mixed-calls, no-room-wait, no-lookahead, no-gathering; joined by + to leave out several at once. Default: all, one by one."`
	Compare          bool     `help:"Print the differences to the kept policy too, lowest and highest over the seeds."`
	Load             float64  `default:"1" help:"Multiplies the callers' rate; more than 0, at most 4."`
	LoseDispatcherAt float64  `default:"18" placeholder:"S" help:"The first instance dies after this many seconds of the 40 of a day (default 18); 0 = never."`
}

// Bounds of the arguments, which bound the time of a run.
const (
	maxSeeds = 50
	maxLoad  = 4
)

// Errors of wrong arguments.
var (
	errSeeds = fmt.Errorf("--seeds has to be 1 to %d", maxSeeds)
	errLoad  = fmt.Errorf("--load has to be more than 0 and at most %d", maxLoad)
	errLose  = errors.New("--lose-dispatcher-at has to be 0 or more, and before the end of the day")
)

// Run implements the command.
func (c stagesCmd) Run(ctx context.Context) error { return c.print(ctx, os.Stdout) }

func (c stagesCmd) print(ctx context.Context, w io.Writer) error {
	variants, err := stages.Choose(c.Policy)
	if err != nil {
		return err
	}
	o, err := c.options()
	if err != nil {
		return err
	}
	all, err := stages.RunAll(ctx, o, c.Seeds, variants)
	if err != nil {
		return err
	}
	if err := stages.Table(w, all); err != nil || !c.Compare {
		return err
	}
	fmt.Fprintln(w, "\ndifferences to the kept policy")
	return stages.Compare(w, all)
}

// options checks the arguments.
func (c stagesCmd) options() (stages.Options, error) {
	lose := time.Duration(c.LoseDispatcherAt * float64(time.Second))
	switch {
	case c.Seeds < 1 || c.Seeds > maxSeeds:
		return stages.Options{}, errSeeds
	case !(c.Load > 0 && c.Load <= maxLoad):
		return stages.Options{}, errLoad
	case !(c.LoseDispatcherAt >= 0) || lose >= stages.DefaultLength:
		return stages.Options{}, errLose
	}
	return stages.Options{
		Seed: c.Seed, Load: c.Load, Length: stages.DefaultLength,
		Instances: stages.DefaultInstances, LoseDispatcherAt: lose,
	}, nil
}
