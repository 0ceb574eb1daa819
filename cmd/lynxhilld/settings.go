package main

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"strings"
	"time"

	"lynxhill.example/lynxhill/internal/clock"
	"lynxhill.example/lynxhill/internal/config"
	"lynxhill.example/lynxhill/internal/event"
	"lynxhill.example/lynxhill/internal/filewatch"
)

// reloader is an instance that can apply changed settings while it runs.
type reloader interface {
	// Reload applies the settings that can change at run time. It returns the keys that
	// changed and those that take effect at the next start.
	Reload(cfg config.Config) (changed, restart []string)
}

// settingsFile reloads the settings file on SIGHUP and when the file has changed.
//
// The file is checked for changes because whoever changes it may not send a signal, and
// the instance would then use an outdated budget or limit until it is restarted. The file
// is polled, since kernel notifications are not available everywhere. If the file is
// unreadable or invalid, the settings in force stay in force, since the file may have
// been read while it was being written.
type settingsFile struct {
	path     string
	every    time.Duration // polling interval
	clock    clock.Clock
	logger   *event.Logger
	instance reloader

	state   filewatch.State // of the file when content was read
	content []byte          // of the last reading
	polls   int
}

// forceReadEvery is the number of polls after which the content is read even if time and size
// are unchanged: after the clock was set back, two versions of the file may have the same
// modification time.
const forceReadEvery = 5

// run polls the file until ctx ends and reads it at each signal.
func (f *settingsFile) run(ctx context.Context, hangups <-chan os.Signal) {
	tick := f.clock.NewTicker(f.every)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			f.read(true)
		case <-tick.C:
			f.poll()
		}
	}
}

// poll reads the file if it may have changed.
func (f *settingsFile) poll() {
	f.polls++
	if f.stat() != f.state || f.polls%forceReadEvery == 0 {
		f.read(false)
	}
}

func (f *settingsFile) stat() filewatch.State { return filewatch.Files{f.path}.State() }

// read reads the file and applies its settings. Unchanged content is skipped unless
// forced is set. The state is taken first, so that a change during the reading is
// detected at the next poll.
func (f *settingsFile) read(forced bool) {
	f.state = f.stat()
	content, err := os.ReadFile(f.path)
	if err != nil {
		content = fmt.Append(nil, "unreadable: ", err)
	}
	if bytes.Equal(content, f.content) && !forced {
		return
	}
	f.content = content
	var cfg config.Config
	if err == nil {
		cfg, err = parse(content)
	}
	if err != nil {
		f.logger.Log(event.SettingsUnusable, "file", f.path, "err", err)
		return
	}
	f.apply(cfg, forced)
}

// parse parses and checks settings in the same way as load.
func parse(content []byte) (config.Config, error) {
	cfg, err := config.Parse(content)
	if err == nil {
		err = cfg.CheckFiles()
	}
	return cfg, err
}

// apply passes the settings to the instance and logs the result.
func (f *settingsFile) apply(cfg config.Config, forced bool) {
	changed, restart := f.instance.Reload(cfg)
	if len(changed) > 0 || forced {
		f.logger.Log(event.SettingsReloaded, "file", f.path, "changed", strings.Join(changed, ","))
	}
	if len(restart) > 0 {
		f.logger.Log(event.SettingsNeedRestart, "file", f.path, "keys", strings.Join(restart, ","))
	}
}
