package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"lynxhill.example/lynxhill/internal/config"
	"lynxhill.example/lynxhill/internal/event"
	"lynxhill.example/lynxhill/internal/httpserver"
)

// runCmd runs an instance.
type runCmd struct {
	Config string `short:"c" required:"" placeholder:"FILE" help:"Settings in TOML."`
}

// runner is what the daemon is to this command.
type runner interface {
	// Run serves until ctx ends, then stops gracefully.
	Run(ctx context.Context) error
}

// Run implements the command.
func (c runCmd) Run() error {
	cfg, err := load(c.Config)
	if err != nil {
		return err
	}
	logger := newLogger(cfg.Log, os.Stderr)
	httpserver.BridgeLogs(logger)
	instance, err := newDaemon(cfg, logger)
	if err != nil {
		return err
	}
	// go-zero asks for its signals in a goroutine of its own, which may run
	// after the first call in main: a SIGUSR1 then writes a file.
	httpserver.DisarmGoZero()
	signals := make(chan os.Signal, 8)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	defer signal.Stop(signals)
	return runUntilSignal(instance, signals)
}

// errInterrupted ends the program at once.
type errInterrupted struct{}

func (errInterrupted) Error() string { return "interrupted twice: requests in flight were cut" }

// runUntilSignal runs the daemon until the first SIGTERM or SIGINT, which stops
// it gracefully. A supervisor that repeats SIGTERM must not cut requests in
// flight, so more of them change nothing; a person who presses Ctrl-C again
// means it, so the second SIGINT quits. SIGHUP, which would end the process by
// default when its terminal closes, changes nothing: token and certificate
// files are read again by themselves.
func runUntilSignal(instance runner, signals <-chan os.Signal) error {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	ended := make(chan error, 1)
	go func() { ended <- instance.Run(ctx) }()
	interrupts := 0
	for {
		select {
		case err := <-ended:
			return err
		case s := <-signals:
			if s == syscall.SIGHUP {
				continue
			}
			stop()
			if s == syscall.SIGINT {
				interrupts++
			}
			if interrupts == 2 {
				return errInterrupted{}
			}
		}
	}
}

// newLogger returns the logger of the settings.
func newLogger(cfg config.Log, out *os.File) *event.Logger {
	writer := log.NewSyncWriter(out)
	base := log.NewLogfmtLogger(writer)
	if cfg.Format == config.FormatJSON {
		base = log.NewJSONLogger(writer)
	}
	base = level.NewFilter(base, level.Allow(level.ParseDefault(cfg.Level, level.InfoValue())))
	return event.NewLogger(log.With(base, "ts", log.DefaultTimestampUTC))
}
