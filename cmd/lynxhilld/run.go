package main

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/coder/quartz"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"lynxhill.example/lynxhill/internal/config"
	"lynxhill.example/lynxhill/internal/event"
	"lynxhill.example/lynxhill/internal/httpserver"
	"lynxhill.example/lynxhill/internal/logsink"
)

// runCmd runs an instance.
type runCmd struct {
	Config string `short:"c" required:"" placeholder:"FILE" help:"Settings in TOML."`
}

// runner is the part of an instance that this command uses.
type runner interface {
	// Run serves until ctx ends, then stops gracefully.
	Run(ctx context.Context) error
}

// Run implements the command.
func (c runCmd) Run() error {
	// A supervisor may send SIGHUP or SIGTERM as soon as the process exists. Until a handler
	// is registered, either would end it at once.
	signals := make(chan os.Signal, 8)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	defer signal.Stop(signals)
	cfg, err := load(c.Config)
	if err != nil {
		return err
	}
	// The instance must survive the end of the process that reads its log. With the
	// default handling of SIGPIPE a write to the closed pipe would end the process: the
	// instance would disappear without a last log line whenever the log collector
	// restarts. With SIGPIPE ignored, the write fails and the lines are counted as
	// dropped.
	signal.Ignore(syscall.SIGPIPE)
	logs := openLog(cfg, logOutput(cfg))
	defer logs.close()
	httpserver.BridgeLogs(logs.logger)
	instance, err := newDaemon(cfg, logs.logger)
	if err != nil {
		return err
	}
	// go-zero registers its signal handlers in a separate goroutine, which may run after
	// the first call of DisableGoZeroSignals in main: a SIGUSR1 would then write a file.
	httpserver.DisableGoZeroSignals()
	defer c.followSettings(cfg, instance, logs.logger)()
	return runUntilSignal(instance, signals)
}

// followSettings starts to reload the settings file when it changes, if the instance
// supports this. The returned function stops it.
func (c runCmd) followSettings(cfg config.Config, instance runner, logger *event.Logger) func() {
	reloadable, ok := instance.(reloader)
	if !ok {
		return func() {}
	}
	file := &settingsFile{
		path: c.Config, every: cfg.Timings.FileCheck.Duration, clock: quartz.NewReal(),
		logger: logger.With("instance", cfg.Instance.ID), instance: reloadable,
	}
	ctx, stop := context.WithCancel(context.Background())
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	go file.run(ctx, hangups)
	return func() {
		signal.Stop(hangups)
		stop()
	}
}

// errInterrupted is the error of a second SIGINT; the program exits without waiting for
// the stop.
type errInterrupted struct{}

func (errInterrupted) Error() string { return "interrupted twice: requests in flight were cut" }

// runUntilSignal runs the daemon until the first SIGTERM or SIGINT, which stops it
// gracefully. Further SIGTERMs are ignored, since a supervisor that repeats SIGTERM must
// not cut requests in flight. A second SIGINT ends the program at once, since a user who
// presses Ctrl-C twice wants that. SIGHUP, which by default would end the process when
// its terminal closes, is ignored here: token and certificate files are polled for
// changes, and followSettings receives the signal separately.
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

// flushTime is the longest time that the end of the process waits until the last lines
// are written. A hanging reader of the log must not delay a stop.
const flushTime = 200 * time.Millisecond

// logOutput returns the writer of log lines. An instance that serves plain requests
// writes some lines for each failed request. Those are its regular output, which a
// collector reads from the standard output; the standard error then contains only the
// reason for a failed start or a crash. Other instances write few lines and use the
// standard error, where their operators read them.
func logOutput(cfg config.Config) io.Writer {
	if cfg.Ingress.Enabled() {
		return os.Stdout
	}
	return os.Stderr
}

// openedLog is a logger with the sink to which it writes.
type openedLog struct {
	logger *event.Logger
	sink   *logsink.Sink
}

// openLog returns the log that the settings describe. Logging never blocks the caller.
func openLog(cfg config.Config, out io.Writer) openedLog {
	sink := logsink.New(out, logsink.Options{DropReports: func(w io.Writer) *event.Logger {
		return newLogger(newFormat(cfg.Log, w)).With("instance", cfg.Instance.ID)
	}})
	allowed := level.Allow(level.ParseDefault(cfg.Log.Level, level.InfoValue()))
	return openedLog{logger: newLogger(level.NewFilter(newFormat(cfg.Log, sink), allowed)), sink: sink}
}

// close flushes the log with a timeout of flushTime and closes it.
func (l openedLog) close() {
	ctx, cancel := context.WithTimeout(context.Background(), flushTime)
	defer cancel()
	_ = l.sink.Flush(ctx)
	l.sink.Close()
}

// newFormat returns a logger that writes in the format of the settings.
func newFormat(cfg config.Log, out io.Writer) log.Logger {
	if cfg.Format == config.FormatJSON {
		return log.NewJSONLogger(out)
	}
	return log.NewLogfmtLogger(out)
}

// newLogger returns a logger that adds the time to each line. The time is added outside
// of the level filter, so that lines begin with the level: package logsink and lynxctl
// explain recognise lines by that.
func newLogger(base log.Logger) *event.Logger {
	return event.NewLogger(log.With(base, "ts", log.DefaultTimestampUTC))
}
