package main

import (
	"bytes"
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

const earlySignalEnv = "LYNXHILLD_TEST_EARLY_SIGNAL"

// Guards against an instance that a SIGHUP ends while it still reads its settings. The
// settings are a named pipe, so that the process is held at that point; it runs in a
// process of its own, since the signal would end the test.
func TestSIGHUPDuringStartDoesNotEndTheInstance(t *testing.T) {
	if path := os.Getenv(earlySignalEnv); path != "" {
		os.Exit(realMain([]string{"run", "--config", path}, os.Stdout, os.Stderr))
	}
	path := filepath.Join(t.TempDir(), "settings.toml")
	if err := syscall.Mkfifo(path, 0o600); err != nil {
		t.Fatal(err)
	}
	child := exec.Command(os.Args[0], "-test.run=^"+t.Name()+"$")
	child.Env = append(os.Environ(), earlySignalEnv+"="+path)
	var stderr bytes.Buffer
	child.Stderr = &stderr
	if err := child.Start(); err != nil {
		t.Fatal(err)
	}
	pipe, err := os.OpenFile(path, os.O_WRONLY, 0) // returns once the child reads its settings
	if err != nil {
		t.Fatal(err)
	}
	if err := child.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	time.Sleep(50 * time.Millisecond) // the signal is delivered before the settings are
	if _, err := pipe.WriteString("unusable"); err != nil {
		t.Fatal(err)
	}
	pipe.Close()
	var ended *exec.ExitError
	if err := child.Wait(); !errors.As(err, &ended) || ended.ExitCode() != exitSettings {
		t.Fatalf("%v; %s", err, stderr.String())
	}
}
