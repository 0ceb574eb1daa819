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

// settingsRecorder is an instance that records the settings that it is given.
type settingsRecorder []config.Config

func (k *settingsRecorder) Reload(cfg config.Config) (changed, restart []string) {
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

// TestSettingsFileIsReadAgain guards against an instance that continues with outdated
// settings because a changed file is not read again, and against invalid settings that
// are applied. The file changes with or without a signal, keeps its time and size, is
// half written, or is removed.
func TestSettingsFileIsReadAgain(t *testing.T) {
	const half, more = "retry_ratio = 0.5\n", "retry_ratio = 0.4\n"
	same, later := time.Unix(1, 0), time.Unix(2, 0)
	tests := []struct {
		name, content string // "" = the file is removed
		modified      time.Time
		signal        bool
		taken         int    // number of reloads after the first one
		line          string // the only event that is logged; "" = none
	}{
		{"unchanged", plain + more, later, false, 0, ""},
		{"unchanged, with a signal", plain + more, later, true, 1, "settings_reloaded"},
		{"changed", plain + half, later, false, 1, "settings_reloaded"},
		{"changed, with a signal", plain + half, later, true, 1, "settings_reloaded"},
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
				var taken settingsRecorder
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
				time.Sleep((forceReadEvery + 1) * time.Second)
				synctest.Wait()
				logs.close()
				lines := countEvents(t, out.String())
				if began != 1 || len(taken)-began != tt.taken || len(lines) > 1 || (tt.line != "") != (lines[tt.line] == 1) {
					t.Errorf("applied %d and %d times: %s", began, len(taken)-began, out.String())
				}
			})
		})
	}
}

// put writes the file with the given modification time, or removes it if content is "".
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
