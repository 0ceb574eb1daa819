package main

import (
	"io"
	"os"

	"lynxhill.example/lynxhill/internal/bench/fluid"
)

// fluidCmd prints what a deployment could serve on time at most, by its sheet.
type fluidCmd struct {
	Sheet string `arg:"" help:"TOML file with services, kinds of requests and the spans of a day, such as experiments/sheets/three-stages.toml."`
}

// Run implements the command.
func (c fluidCmd) Run() error { return c.print(os.Stdout) }

func (c fluidCmd) print(w io.Writer) error {
	sheet, err := fluid.Read(c.Sheet)
	if err != nil {
		return err
	}
	bounds, err := fluid.Bounds(sheet)
	if err != nil {
		return err
	}
	return fluid.Table(w, sheet, bounds)
}
