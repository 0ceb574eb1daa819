package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"

	"lynxhill.example/lynxhill/internal/bench"
	"lynxhill.example/lynxhill/internal/httpserver"
)

// runCmd runs experiments.
type runCmd struct {
	Files       []string `arg:"" name:"experiment" help:"TOML files, see experiments/." type:"existingfile"`
	JSON        string   `placeholder:"FILE" help:"Write the results here as JSON (one experiment)."`
	Repetitions int      `help:"Overrides the file's repetitions."`
	Variant     []string `help:"Run only these variants."`
	Log         string   `placeholder:"FILE" help:"Write the instances' logs here."`
}

// Run implements the command.
func (c runCmd) Run(ctx context.Context) error {
	httpserver.BridgeLogs(nil)
	var verdict verdict
	for _, file := range c.Files {
		results, err := c.one(ctx, file)
		if err != nil {
			return err
		}
		verdict.add(results)
		if results.Interrupted {
			break
		}
	}
	return verdict.err()
}

func (c runCmd) one(ctx context.Context, file string) (bench.Results, error) {
	experiment, err := bench.LoadExperiment(file)
	if err != nil {
		return bench.Results{}, err
	}
	if c.Repetitions > 0 {
		experiment.Repetitions = c.Repetitions
	}
	experiment.Variants = c.chosen(experiment.Variants)
	log, err := openLog(c.Log)
	if err != nil {
		return bench.Results{}, err
	}
	results, err := experiment.Run(ctx, os.Stdout, log)
	if err != nil {
		return results, err
	}
	results.Print(os.Stdout)
	return results, writeJSON(c.JSON, results)
}

func (c runCmd) chosen(variants []bench.Variant) []bench.Variant {
	if len(c.Variant) == 0 {
		return variants
	}
	var chosen []bench.Variant
	for _, v := range variants {
		for _, name := range c.Variant {
			if v.Name == name {
				chosen = append(chosen, v)
			}
		}
	}
	return chosen
}

func writeJSON(name string, results any) error {
	if name == "" {
		return nil
	}
	text, err := json.MarshalIndent(results, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(name, append(text, '\n'), 0o644)
}

// compareCmd compares two results.
type compareCmd struct {
	First  string `arg:"" type:"existingfile" help:"JSON of the first run."`
	Second string `arg:"" type:"existingfile" help:"JSON of the second run."`
}

// Run implements the command.
func (c compareCmd) Run() error {
	first, err := bench.ReadResults(c.First)
	if err != nil {
		return err
	}
	second, err := bench.ReadResults(c.Second)
	if err != nil {
		return err
	}
	bench.Compare(os.Stdout, first, second)
	return nil
}

// faultsCmd lists the faults.
type faultsCmd struct{}

// Run implements the command.
func (faultsCmd) Run() error {
	for _, line := range bench.FaultKinds() {
		fmt.Println(line)
	}
	return nil
}
