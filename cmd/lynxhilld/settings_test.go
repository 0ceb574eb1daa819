package main

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/coder/quartz"

	"lynxhill.example/lynxhill/internal/config"
)

// taking is an instance that keeps what it is given.
type taking []config.Config

func (k *taking) Reload(cfg config.Config) (changed, restart []string) {
	*k = append(*k, cfg)
	if cfg.Ingress.RetryRatio == 0.5 {
		changed = []string{"ingress.retry_ratio"}
	}
	if cfg.Log.Level == "debug" {
		restart = []string{"log.level"}
	}
	return changed, restart
}

const plain = settings + "[ingress]\nlisten = \"127.0.0.1:8000\"\nreadiness = \"127.0.0.1:8001\"\n"

// TestSettingsFileIsReadAgain. Symptom: an instance goes on with settings that no longer hold, or ends up with ones
// that nobody meant. Events: the file changes with a signal or without, keeps its time and size, is half written, goes.
// Cause: it is not read again, or what is wrong is put in force.
func TestSettingsFileIsReadAgain(t *testing.T) {
	const half, more = "retry_ratio = 0.5\n", "retry_ratio = 0.4\n"
	same, later := time.Unix(1, 0), time.Unix(2, 0)
	tests := []struct {
		name, content string // "" = the file goes
		modified      time.Time
		signal        bool
		taken         int    // how often settings are handed on, after those of the start
		line          string // the only one
	}{
		{"unchanged", plain + more, later, false, 0, ""},
		{"unchanged, told to", plain + more, later, true, 1, "settings_reloaded"},
		{"changed", plain + half, later, false, 1, "settings_reloaded"},
		{"changed, told to", plain + half, later, true, 1, "settings_reloaded"},
		{"changed, time and size the same", plain + half, same, false, 1, "settings_reloaded"},
		{"needs a restart", plain + more + "[log]\nlevel = \"debug\"\n", later, false, 1, "settings_need_restart"},
		{"wrong", plain + "retry_ratio = -1.0\n", later, false, 0, "settings_unusable"},
		{"half written", plain[:len(plain)/2], later, false, 0, "settings_unusable"},
		{"gone", "", later, false, 0, "settings_unusable"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "node.toml")
			put(t, path, plain+more, same)
			synctest.Test(t, func(t *testing.T) {
				var out bytes.Buffer
				var taken taking
				logs := openLog(config.Config{Log: config.Log{Level: "info"}}, &out)
				f := &settingsFile{path: path, every: time.Second, clock: quartz.NewReal(), logger: logs.logger, instance: &taken}
				signals := make(chan os.Signal)
				go f.run(t.Context(), signals)
				time.Sleep(time.Second + 1)
				synctest.Wait()
				began := len(taken)
				put(t, path, tt.content, tt.modified)
				if tt.signal {
					signals <- syscall.SIGHUP
				}
				time.Sleep((readEvery + 1) * time.Second)
				synctest.Wait()
				logs.close()
				lines := countEvents(t, out.String())
				if began != 1 || len(taken)-began != tt.taken || len(lines) > 1 || (tt.line != "") != (lines[tt.line] == 1) {
					t.Errorf("taken %d and %d times: %s", began, len(taken)-began, out.String())
				}
			})
		})
	}
}

// put writes the file with its time, or removes it.
func put(t *testing.T, path, content string, modified time.Time) {
	t.Helper()
	err := errors.Join(os.WriteFile(path, []byte(content), 0o600), os.Chtimes(path, modified, modified))
	if content == "" {
		err = os.Remove(path)
	}
	if err != nil {
		t.Fatal(err)
	}
}
