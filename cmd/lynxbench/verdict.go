package main

import (
	"errors"
	"fmt"
	"strings"

	"lynxhill.example/lynxhill/internal/bench"
)

// statusInterrupted is the exit status of a shell's command that Ctrl-C ended.
const statusInterrupted = 130

// errInterrupted ends the program after an interrupted run that broke nothing:
// it proves nothing, and a script must not take it for a pass.
type errInterrupted struct{}

func (errInterrupted) Error() string {
	return "interrupted: no promise was broken until then, the rest was not run"
}

// ExitCode implements kong's ExitCoder.
func (errInterrupted) ExitCode() int { return statusInterrupted }

// verdict is what the runs of a command come to.
type verdict struct {
	broken      []string // experiments with their number of broken promises
	interrupted bool
}

func (v *verdict) add(results bench.Results) {
	if n := results.Broken(); n > 0 {
		v.broken = append(v.broken, fmt.Sprintf("%s: %d", results.Experiment.Name, n))
	}
	v.interrupted = v.interrupted || results.Interrupted
}

// err returns why the command fails, nil if it doesn't.
func (v *verdict) err() error {
	if len(v.broken) > 0 {
		text := "promises broken: " + strings.Join(v.broken, ", ")
		if v.interrupted {
			text = "interrupted, and before that " + text
		}
		return errors.New(text)
	}
	if v.interrupted {
		return errInterrupted{}
	}
	return nil
}
