package main

import (
	"bytes"
	"context"
	"errors"
	"strings"
	"testing"

	"lynxhill.example/lynxhill/internal/bench/stages"
)

func TestStagesArguments(t *testing.T) {
	good := stagesCmd{Seed: 1, Seeds: 1, Load: 0.1, Policy: []string{"any-place"}, Compare: true}
	for _, c := range []struct {
		change func(*stagesCmd)
		want   error
	}{
		{func(*stagesCmd) {}, nil},
		{func(c *stagesCmd) { c.Seeds = 0 }, errSeeds},
		{func(c *stagesCmd) { c.Seeds = maxSeeds + 1 }, errSeeds},
		{func(c *stagesCmd) { c.Load = 0 }, errLoad},
		{func(c *stagesCmd) { c.Load = maxLoad + 1 }, errLoad},
		{func(c *stagesCmd) { c.LoseDispatcherAt = -1 }, errLose},
		{func(c *stagesCmd) { c.LoseDispatcherAt = stages.DefaultLength.Seconds() }, errLose},
		{func(c *stagesCmd) { c.Policy = []string{"best"} }, stages.UnknownPolicyError{Name: "best"}},
	} {
		args := good
		c.change(&args)
		var out bytes.Buffer
		if err := args.print(context.Background(), &out); !errors.Is(err, c.want) {
			t.Errorf("%+v: %v, want %v", args, err, c.want)
		}
		if lines := strings.Count(out.String(), "any-place"); c.want == nil && lines != 2 || c.want != nil && out.Len() > 0 {
			t.Errorf("%+v printed\n%s", args, out.String())
		}
	}
}
