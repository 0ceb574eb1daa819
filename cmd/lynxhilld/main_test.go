package main

import (
	"bytes"
	"context"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"

	"lynxhill.example/lynxhill/internal/auth"
)

const settings = `
[instance]
id = "i1"
place = "lac-a"
region = "tunis"
[listen]
caller = "127.0.0.1:0"
admin = "127.0.0.1:0"
peer = "127.0.0.1:0"
[platform]
endpoints = ["http://127.0.0.1:9000"]
`

func runMain(args ...string) (status int, stdout, stderr string) {
	var out, faults bytes.Buffer
	status = realMain(args, &out, &faults)
	return status, out.String(), faults.String()
}

func write(t *testing.T, content string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "lynxhill.toml")
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestCheck(t *testing.T) {
	tests := []struct {
		name, content, want string
		status              int
	}{
		{"usable", settings, "usable; instance i1", exitOK},
		{"unknown key", settings + "colour = 1\n", "unknown key platform.colour", exitSettings},
		{"missing place", strings.Replace(settings, `place = "lac-a"`, "", 1), "instance.place: is missing", exitSettings},
		{"missing file", settings + "[tokens]\nfile = \"/nonexistent\"\n", "tokens.file: open /nonexistent", exitSettings},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			status, stdout, stderr := runMain("check", "--config", write(t, tt.content))
			if status != tt.status || !strings.Contains(stdout+stderr, tt.want) || strings.Count(stdout+stderr, "\n") != 1 {
				t.Fatalf("status %d: %s%s", status, stdout, stderr)
			}
		})
	}
}

// Guards against an instance that runs with invalid settings because run reads them in
// another way than check.
func TestRunRefusesUnusableSettings(t *testing.T) {
	noAddress := strings.Replace(settings, `caller = "127.0.0.1:0"`, `caller = "192.0.2.1:1"`, 1)
	for _, content := range []string{settings + "colour = 1\n", noAddress} {
		for _, args := range [][]string{{"--config"}, {"run", "--config"}} {
			status, _, stderr := runMain(append(args, write(t, content))...)
			if status != exitSettings || strings.Count(stderr, "\n") != 1 {
				t.Fatalf("%v: status %d: %s", args, status, stderr)
			}
		}
	}
}

func TestArguments(t *testing.T) {
	for _, args := range [][]string{{}, {"--colour"}, {"check"}, {"dance"}} {
		if status, _, stderr := runMain(args...); status != exitSettings || !strings.HasPrefix(stderr, "lynxhilld: ") {
			t.Errorf("%v: status %d: %s", args, status, stderr)
		}
	}
	if status, stdout, _ := runMain("--help"); status != exitOK || !strings.Contains(stdout, "--config") {
		t.Errorf("--help: status %d: %s", status, stdout)
	}
	if status, stdout, _ := runMain("version"); status != exitOK || !strings.HasPrefix(stdout, "lynxhilld ") {
		t.Errorf("version: status %d: %s", status, stdout)
	}
}

func TestTokenPrintsATokenWithItsHash(t *testing.T) {
	_, stdout, _ := runMain("token")
	quoted := strings.Split(stdout, `"`)
	if len(quoted) != 5 || auth.Hash(quoted[1]) != quoted[3] {
		t.Fatalf("%s", stdout)
	}
}

// instance is a daemon whose Run ends when release receives its result.
type instance struct {
	stopping chan struct{}
	release  chan error
}

func (i instance) Run(ctx context.Context) error {
	<-ctx.Done()
	close(i.stopping)
	return <-i.release
}

func TestSIGHUPChangesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i := instance{stopping: make(chan struct{}), release: make(chan error, 1)}
		signals := make(chan os.Signal)
		go func() { _ = runUntilSignal(i, signals) }()
		signals <- syscall.SIGHUP
		synctest.Wait()
		select {
		case <-i.stopping:
			t.Fatal("SIGHUP stopped the instance")
		default:
		}
		i.release <- nil
		signals <- syscall.SIGTERM
		<-i.stopping
	})
}

// Guards against a planned stop that cuts requests in flight: a supervisor may send
// SIGTERM more than once while the instance finishes its requests, and the second
// SIGTERM must not end the process.
func TestOnlyASecondInterruptQuits(t *testing.T) {
	tests := []struct {
		name    string
		signals []os.Signal
		quits   bool
	}{
		{"one SIGTERM", []os.Signal{syscall.SIGTERM}, false},
		{"many SIGTERM", []os.Signal{syscall.SIGTERM, syscall.SIGTERM, syscall.SIGTERM}, false},
		{"one SIGINT", []os.Signal{syscall.SIGINT}, false},
		{"SIGTERM and SIGINT", []os.Signal{syscall.SIGTERM, syscall.SIGINT}, false},
		{"two SIGINT", []os.Signal{syscall.SIGINT, syscall.SIGINT}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				i := instance{stopping: make(chan struct{}), release: make(chan error)}
				signals := make(chan os.Signal)
				ended := make(chan error, 1)
				go func() { ended <- runUntilSignal(i, signals) }()
				for _, s := range tt.signals {
					signals <- s
				}
				<-i.stopping
				synctest.Wait()
				if quit := len(ended) == 1; quit != tt.quits {
					t.Fatalf("quit: %t", quit)
				}
				failure := errors.New("failure")
				i.release <- failure
				synctest.Wait()
				if err := <-ended; (err == failure) == tt.quits {
					t.Fatalf("ended with %v", err)
				}
			})
		})
	}
}
