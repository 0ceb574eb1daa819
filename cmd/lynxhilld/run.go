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
	// A reader of the log that goes away must not take the instance along: a
	// write to it would end the process by SIGPIPE, which shows as an instance
	// that is gone without a last line whenever the collector restarts. Ignored,
	// the write fails and the lines are counted as left out.
	signal.Ignore(syscall.SIGPIPE)
	logs := openLog(cfg, logOutput(cfg))
	defer logs.close()
	httpserver.BridgeLogs(logs.logger)
	instance, err := newDaemon(cfg, logs.logger)
	if err != nil {
		return err
	}
	// go-zero asks for its signals in a goroutine of its own, which may run
	// after the first call in main: a SIGUSR1 then writes a file.
	httpserver.DisarmGoZero()
	signals := make(chan os.Signal, 8)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	defer signal.Stop(signals)
	defer c.followSettings(cfg, instance, logs.logger)()
	return runUntilSignal(instance, signals)
}

// followSettings has the settings file read again while the instance runs, if
// that takes changed settings. The returned function ends it.
func (c runCmd) followSettings(cfg config.Config, instance runner, logger *event.Logger) func() {
	taking, ok := instance.(reloader)
	if !ok {
		return func() {}
	}
	file := &settingsFile{
		path: c.Config, every: cfg.Timings.FileCheck.Duration, clock: quartz.NewReal(),
		logger: logger.With("instance", cfg.Instance.ID), instance: taking,
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

// errInterrupted ends the program at once.
type errInterrupted struct{}

func (errInterrupted) Error() string { return "interrupted twice: requests in flight were cut" }

// runUntilSignal runs the daemon until the first SIGTERM or SIGINT, which stops
// it gracefully. A supervisor that repeats SIGTERM must not cut requests in
// flight, so more of them change nothing; a person who presses Ctrl-C again
// means it, so the second SIGINT quits. SIGHUP, which would end the process by
// default when its terminal closes, changes nothing here: token and certificate
// files are read again by themselves, and followSettings hears the signal too.
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

// flushTime bounds how long the end of the process waits for the output to
// take the last lines. A reader of the log that hangs must not hold up a stop.
const flushTime = 200 * time.Millisecond

// logOutput returns where log lines go. An instance that serves plain requests
// writes some lines for each request that fails; they are what it has to say,
// and a collector reads them from the standard output, so that the standard
// error holds only why it could not start or crashed. Other instances write
// few lines, and keep to the standard error, where their operators read them.
func logOutput(cfg config.Config) io.Writer {
	if cfg.Ingress.Enabled() {
		return os.Stdout
	}
	return os.Stderr
}

// openedLog is the logger with what its lines pass through.
type openedLog struct {
	logger *event.Logger
	sink   *logsink.Sink
}

// openLog returns the log of the settings, which never holds up its callers.
func openLog(cfg config.Config, out io.Writer) openedLog {
	sink := logsink.New(out, logsink.Options{Notes: func(w io.Writer) *event.Logger {
		return newLogger(newFormat(cfg.Log, w)).With("instance", cfg.Instance.ID)
	}})
	allowed := level.Allow(level.ParseDefault(cfg.Log.Level, level.InfoValue()))
	return openedLog{logger: newLogger(level.NewFilter(newFormat(cfg.Log, sink), allowed)), sink: sink}
}

// close gives the output a while to take the last lines.
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

// newLogger returns a logger whose lines hold their time. It is added outside
// of a filter of levels, so that lines begin with the level: package logsink
// and lynxctl explain know them by that.
func newLogger(base log.Logger) *event.Logger {
	return event.NewLogger(log.With(base, "ts", log.DefaultTimestampUTC))
}
