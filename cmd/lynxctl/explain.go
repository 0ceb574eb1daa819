package main

import (
	"errors"
	"io"
	"os"
	"time"

	"lynxhill.example/lynxhill/internal/errkind"
	"lynxhill.example/lynxhill/internal/explain"
)

type explainCommand struct {
	ID     string        `arg:"" name:"id" help:"Id of the request: the field request of log lines."`
	Files  []string      `arg:"" optional:"" name:"file" help:"Logs of any number of instances, logfmt or JSON; none or - for the standard input."`
	Around time.Duration `default:"5s" placeholder:"TIME" help:"How long before a line of the request others may explain it."`
}

// Help implements kong.HelpProvider.
func (*explainCommand) Help() string {
	return `Reads to the end of the logs, however long that takes, and asks no instance. Text before a line, such as a collector's time and name, is skipped. Examples:

  lynxctl explain 74e6a968217c07cb edge-*.log
  journalctl -u lynxhilld -o cat | lynxctl explain 74e6a968217c07cb --around 2s`
}

// Run shows the timeline of a request.
func (c *explainCommand) Run(env *environment) error {
	if c.Around < 0 {
		return usagef("--around must not be negative")
	}
	sources, remove, err := c.sources(env)
	defer remove()
	if err != nil {
		return &usageError{err}
	}
	timeline, err := explain.ReadTimeline(c.ID, c.Around, sources)
	if errors.Is(err, explain.ErrUnknown) {
		return &readError{errkind.New(errkind.NotFound, "no line in these logs has the request %q; %d lines that hold it could not be read", c.ID, timeline.Unreadable)}
	}
	if err != nil {
		return &usageError{err}
	}
	return c.show(env, timeline)
}

func (c *explainCommand) show(env *environment, timeline explain.Timeline) error {
	var err error
	if shown := env.show(timeline, func() { err = timeline.WriteText(env.stdout) }); shown != nil {
		return shown
	}
	return err
}

// sources returns the logs as files that can be read twice, and what removes
// the copies that this took.
func (c *explainCommand) sources(env *environment) ([]explain.Source, func(), error) {
	files := c.Files
	if len(files) == 0 {
		files = []string{"-"}
	}
	var copies []string
	remove := func() {
		for _, path := range copies {
			_ = os.Remove(path)
		}
	}
	var sources []explain.Source
	for _, name := range files {
		path, copied, err := readableTwice(env, name)
		if copied {
			copies = append(copies, path)
		}
		if err != nil {
			return nil, remove, err
		}
		sources = append(sources, explain.Source{Name: name, Open: func() (io.ReadCloser, error) { return os.Open(path) }})
	}
	return sources, remove, nil
}

// readableTwice returns the file itself, or a copy of what can be read once
// only: the standard input, or a pipe that the shell passed as a file.
func readableTwice(env *environment, name string) (path string, copied bool, err error) {
	if name == "-" {
		return copyOf(env.stdin)
	}
	info, err := os.Stat(name)
	if err != nil || info.Mode().IsRegular() {
		return name, false, err
	}
	in, err := os.Open(name)
	if err != nil {
		return "", false, err
	}
	defer in.Close()
	return copyOf(in)
}

// copyOf writes a temporary file. It exists where copied is true, also with an
// error.
func copyOf(in io.Reader) (path string, copied bool, err error) {
	file, err := os.CreateTemp("", "lynxctl-explain-*")
	if err != nil {
		return "", false, err
	}
	_, err = io.Copy(file, in)
	return file.Name(), true, errors.Join(err, file.Close())
}
