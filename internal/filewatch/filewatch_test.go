package filewatch

import (
	"errors"
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a replaced file that is not loaded, and against an invalid file that is
// reported at every poll, because a poll compares with the wrong state. A removed file
// is not reloaded.
func TestRunReloadsWhatWasReplaced(t *testing.T) {
	path := filepath.Join(t.TempDir(), "file")
	steps := []struct {
		text             string // "" removes the file
		reloads, refused int    // up to here
	}{{"first", 0, 0}, {"bad", 1, 1}, {"good one", 2, 1}, {"", 2, 1}}
	synctest.Test(t, func(t *testing.T) {
		var used State
		reloads, refused := 0, 0
		w := Watch{Files: Files{1: path}, LoadedState: func() State { return used }}
		w.Reload = func() error {
			state := w.Files.State()
			if text, err := os.ReadFile(path); err != nil || string(text) == "bad" {
				return errors.New("unusable")
			}
			used = state
			return nil
		}
		w.OnReload = func(err error) {
			reloads++
			if err != nil {
				refused++
			}
		}
		for i, step := range steps {
			if step.text == "" {
				_ = os.Remove(path)
			} else if err := os.WriteFile(path, []byte(step.text), 0o600); err != nil {
				t.Fatal(err)
			}
			if i == 0 {
				used = w.Files.State()
				go w.Run(t.Context())
			}
			time.Sleep(5*DefaultInterval + DefaultInterval/2)
			synctest.Wait()
			if reloads != step.reloads || refused != step.refused {
				t.Errorf("after %q: %d reloads, %d refused, want %+v", step.text, reloads, refused, step)
			}
		}
	})
}
