// Command lynxhilld is the lynxhill daemon: one instance of the serving
// system. docs/operators/settings.md describes its settings.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kong"

	"lynxhill.example/lynxhill/internal/auth"
	"lynxhill.example/lynxhill/internal/config"
	"lynxhill.example/lynxhill/internal/httpserver"
)

// Exit statuses.
const (
	exitOK       = 0
	exitFailed   = 1 // the daemon failed
	exitSettings = 2 // settings or arguments cannot be used
)

// cli is the command line.
type cli struct {
	Run     runCmd     `cmd:"" default:"withargs" help:"Run an instance (the default)."`
	Check   checkCmd   `cmd:"" help:"Check a settings file and the files that it names, then exit."`
	Token   tokenCmd   `cmd:"" help:"Print a new random token and the hash that the settings hold."`
	Version versionCmd `cmd:"" help:"Print the version."`
}

// settingsError marks an error that ends the program with exitSettings.
type settingsError struct{ error }

func main() {
	httpserver.DisableGoZeroSignals()
	os.Exit(realMain(os.Args[1:], os.Stdout, os.Stderr))
}

// output is the writer to which commands print.
type output struct{ io.Writer }

func realMain(args []string, stdout, stderr io.Writer) int {
	exited := -1
	parser, err := kong.New(&cli{},
		kong.Name("lynxhilld"),
		kong.Description("lynxhill: a serving system for pipelines of models with several stages.\n\nExample: lynxhilld --config lynxhill.toml"),
		kong.Writers(stdout, stderr),
		kong.Exit(func(status int) { exited = status }),
		kong.Bind(output{stdout}),
	)
	if err != nil {
		fmt.Fprintln(stderr, "lynxhilld:", err)
		return exitFailed
	}
	ctx, err := parser.Parse(args)
	if exited >= 0 { // help was printed
		return exited
	}
	if err != nil {
		fmt.Fprintln(stderr, "lynxhilld:", err)
		return exitSettings
	}
	if err := ctx.Run(); err != nil {
		fmt.Fprintln(stderr, "lynxhilld:", err)
		return statusOf(err)
	}
	return exitOK
}

func statusOf(err error) int {
	var settings settingsError
	if errors.As(err, &settings) {
		return exitSettings
	}
	return exitFailed
}

// checkCmd checks settings.
type checkCmd struct {
	Config string `short:"c" required:"" placeholder:"FILE" help:"Settings in TOML."`
}

// Run implements the command.
func (c checkCmd) Run(out output) error {
	cfg, err := load(c.Config)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(out, "%s: usable; instance %s in zone %s, region %s\n", c.Config, cfg.Instance.ID, cfg.Instance.Zone, cfg.Instance.Region)
	return err
}

// load reads the settings and checks the files that they name, so that an invalid file is
// reported before the daemon serves with it.
func load(path string) (config.Config, error) {
	cfg, err := config.Load(path)
	if err == nil {
		err = cfg.CheckFiles()
	}
	if err != nil {
		return config.Config{}, settingsError{err}
	}
	return cfg, nil
}

// tokenCmd prints a new token and its hash.
type tokenCmd struct{}

// Run implements the command.
func (tokenCmd) Run(out output) error {
	token, hash := auth.NewToken()
	_, err := fmt.Fprintf(out, "token = %q  # give this to its holder; it is not stored\nhash = %q   # put this into the settings\n", token, hash)
	return err
}

// versionCmd prints the version.
type versionCmd struct{}

// Run implements the command.
func (versionCmd) Run(out output) error {
	_, err := fmt.Fprintln(out, version())
	return err
}
