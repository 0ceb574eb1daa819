package main

import (
	"context"
	"io"
	"os"
	"time"

	"lynxhill.example/lynxhill/internal/bench"
	"lynxhill.example/lynxhill/internal/httpserver"
)

// demoLimit bounds the demo when it isn't kept running.
const demoLimit = 30 * time.Second

// demoCmd runs the demo.
type demoCmd struct {
	Keep      bool   `help:"Leave everything running for lynxctl until Ctrl-C."`
	Instances int    `default:"3" help:"Instances of each deployment."`
	Requests  int    `default:"25" help:"Requests of each kind that are sent at once."`
	Seed      uint64 `default:"1" help:"Seed of the stand-ins."`
	Log       string `placeholder:"FILE" help:"Write the instances' logs here."`
}

// Run implements the command.
func (c demoCmd) Run(ctx context.Context) error {
	httpserver.BridgeLogs(nil)
	log, err := openLog(c.Log)
	if err != nil {
		return err
	}
	if !c.Keep {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, demoLimit)
		defer cancel()
	}
	return bench.Demo(ctx, bench.DemoOptions{
		Out: os.Stdout, Log: log, Instances: c.Instances, Requests: c.Requests, Keep: c.Keep, Seed: c.Seed,
	})
}

// openLog opens the file for logs; without a name they are discarded.
func openLog(name string) (io.Writer, error) {
	if name == "" {
		return nil, nil
	}
	return os.OpenFile(name, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o644)
}
