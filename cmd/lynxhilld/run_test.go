package main

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"lynxhill.example/lynxhill/internal/config"
	"lynxhill.example/lynxhill/internal/event"
	"lynxhill.example/lynxhill/internal/explain"
)

func TestLogLinesGoWhereTheInstanceIsReadFrom(t *testing.T) {
	var cfg config.Config
	if logOutput(cfg) != io.Writer(os.Stderr) {
		t.Error("an instance without ingress does not log to the standard error")
	}
	cfg.Ingress.Listen = "127.0.0.1:0"
	if logOutput(cfg) != io.Writer(os.Stdout) {
		t.Error("an instance with ingress does not log to the standard output")
	}
}

func TestLogIsWrittenInItsFormatAndLevelWhenItCloses(t *testing.T) {
	tests := map[string]struct{ format, want string }{
		"logfmt": {config.FormatLogfmt, "msg=daemon_stop_cut in_flight=3"},
		"json":   {config.FormatJSON, `"in_flight":3,"level":"error","msg":"daemon_stop_cut"`},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var out bytes.Buffer
			logs := openLog(config.Config{Log: config.Log{Level: "warn", Format: tt.format}}, &out)
			logs.logger.Log(event.DaemonStarted)
			logs.logger.Log(event.DaemonStopCut, "in_flight", 3)
			logs.close()
			if got := out.String(); !strings.Contains(got, tt.want) || strings.Count(got, "\n") != 1 || !strings.Contains(got, "ts") {
				t.Fatalf("%s", got)
			}
		})
	}
}

// Guards against lines that begin with their time instead of their level, by which the
// log sink and lynxctl explain recognise them: many info lines then caused warnings to
// be dropped, and lynxctl explain could not parse any line.
func TestLinesAreKnownByTheirLevel(t *testing.T) {
	for _, format := range []string{config.FormatLogfmt, config.FormatJSON} {
		t.Run(format, func(t *testing.T) {
			var out bytes.Buffer
			cfg := config.Config{Instance: config.Instance{ID: "edge-1"}, Log: config.Log{Level: "info", Format: format}}
			logs := openLog(cfg, &out)
			info := strings.Repeat("x", 50<<10)
			for range 20 { // more than the sink accepts at once
				logs.logger.Log(event.LibraryNote, "text", info) // below the level
				logs.logger.Log(event.DaemonStarted, "text", info)
				if err := logs.sink.Flush(t.Context()); err != nil {
					t.Fatal(err)
				}
			}
			logs.logger.Log(event.DaemonStopCut, "text", info)
			logs.close()
			got := countEvents(t, out.String())
			if got["daemon_stop_cut"] != 1 || got["daemon_started"] == 20 || got["log_lines_left_out"] == 0 || got["library_note"] != 0 {
				t.Fatalf("%v", got)
			}
		})
	}
}

// countEvents parses the lines as lynxctl explain does and counts them by event.
func countEvents(t *testing.T, text string) map[string]int {
	t.Helper()
	names := make(map[string]int)
	for l := range strings.Lines(text) {
		line, err := explain.ParseLine([]byte(l))
		if err != nil || line.Level == "" {
			t.Fatalf("%v: %.200s", err, l)
		}
		names[line.Name]++
	}
	return names
}

// Guards against an instance that does not end while its log collector hangs.
func TestAStopDoesNotWaitForTheReaderOfTheLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reader, writer := io.Pipe()
		logs := openLog(config.Config{}, writer)
		logs.logger.Log(event.DaemonStopped)
		begin := time.Now()
		logs.close()
		if took := time.Since(begin); took != flushTime {
			t.Fatalf("close took %v", took)
		}
		reader.Close()
	})
}

const closedReaderEnv = "LYNXHILLD_TEST_CLOSED_READER"

// Guards against an instance that ends without a last line when its log collector
// restarts: a write to a standard output whose reader has ended kills a process that
// does not ignore SIGPIPE. The test runs in a process of its own, since this happens
// only with the standard output and the standard error.
func TestAReaderOfTheLogThatGoesDoesNotEndTheInstance(t *testing.T) {
	if path := os.Getenv(closedReaderEnv); path != "" {
		runWithClosedReader(path)
		return
	}
	reader, writer, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	reader.Close()
	defer writer.Close()
	path := write(t, strings.Replace(settings, `caller = "127.0.0.1:0"`, `caller = "192.0.2.1:1"`, 1))
	child := exec.Command(os.Args[0], "-test.run=^"+t.Name()+"$")
	child.Env = append(os.Environ(), closedReaderEnv+"="+path)
	child.Stdout = writer
	var stderr bytes.Buffer
	child.Stderr = &stderr
	if err := child.Run(); err != nil || stderr.String() != "" {
		t.Fatalf("%v; %s", err, stderr.String())
	}
}

// runWithClosedReader runs in the child process. It reports failed checks on the standard
// error.
func runWithClosedReader(path string) {
	if err := (runCmd{Config: path}).Run(); err == nil {
		os.Stderr.WriteString("the instance started although its listen address cannot be used")
	}
	if _, err := os.Stdout.WriteString("level=info\n"); !errors.Is(err, syscall.EPIPE) {
		fmt.Fprintf(os.Stderr, "a write to the closed standard output: %v", err)
	}
}
