package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"

	"lynxhill.example/lynxhill/internal/client"
	"lynxhill.example/lynxhill/internal/report"
	"lynxhill.example/lynxhill/internal/wire/lynxapi"
)

type reportCommands struct {
	Burn burnCommand `cmd:"" help:"Attainment, error budget, burn, its causes, and cost by stage."`
}

// Formats of a report.
const (
	formatText = "text"
	formatHTML = "html"
	formatJSON = "json"
)

type burnCommand struct {
	Format string        `enum:"text,html,json," default:"" help:"text, html or json; default: as --output."`
	Window time.Duration `placeholder:"TIME" help:"Time that the report covers, such as 10m; default: the longest that is kept."`
	File   string        `name:"out" short:"o" placeholder:"FILE" help:"Write to FILE instead of the standard output."`
}

// Help implements kong.HelpProvider.
func (*burnCommand) Help() string {
	return `The HTML page holds its plots and needs no other file. Examples:

  lynxctl report burn
  lynxctl report burn --window 10m
  lynxctl report burn --format html -o burn.html`
}

// Run fetches and writes the report.
func (c *burnCommand) Run(env *environment) error {
	if c.Window < 0 {
		return usagef("--window must not be negative")
	}
	return env.withAdmin(func(ctx context.Context, admin *client.Admin) error {
		burn, err := reading(admin.BurnOver(ctx, c.Window))
		if err != nil {
			return err
		}
		return c.deliver(env, burn)
	})
}

// deliver writes the report to the file, or to the standard output.
func (c *burnCommand) deliver(env *environment, burn lynxapi.BurnReport) error {
	if c.File == "" {
		return c.write(env, env.stdout, burn)
	}
	file, err := os.Create(c.File)
	if err != nil {
		return &usageError{err}
	}
	if err := c.write(env, file, burn); err != nil {
		file.Close()
		return fmt.Errorf("write %s: %w", c.File, err)
	}
	return file.Close()
}

func (c *burnCommand) write(env *environment, w io.Writer, burn lynxapi.BurnReport) error {
	format := c.Format
	if format == "" {
		format = env.Output
	}
	switch format {
	case formatHTML:
		return report.HTML(w, burn)
	case formatJSON:
		encoder := json.NewEncoder(w)
		encoder.SetIndent("", "  ")
		return encoder.Encode(burn)
	}
	return report.Text(w, burn)
}
