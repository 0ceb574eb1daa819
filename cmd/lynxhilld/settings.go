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

// reloader is an instance that takes changed settings while it runs.
type reloader interface {
	// Reload puts in force what can change, and returns the keys that did and
	// those that take effect at the next start.
	Reload(cfg config.Config) (changed, restart []string)
}

// settingsFile reads the settings file again when it is told to, and when the
// file has changed.
//
// What goes wrong without the second: whoever changes the file may send no
// signal, and the instance goes on with a budget or a bound that no longer
// holds until it is restarted. The kernel's notices of changes do not exist
// everywhere, so the file is looked at. A file that cannot be read or is wrong
// leaves the settings in force, since half-written ones are met that way.
type settingsFile struct {
	path     string
	every    time.Duration // between two looks
	clock    clock.Clock
	logger   *event.Logger
	instance reloader

	state   filewatch.State // of content
	content []byte          // as last read
	looks   int
}

// readEvery is after how many looks the content is read although time and size
// are the same: a clock that was set back may give two contents one time.
const readEvery = 5

// run looks at the file until ctx ends.
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
			f.look()
		}
	}
}

// look reads the file if it may have changed.
func (f *settingsFile) look() {
	f.looks++
	if f.stat() != f.state || f.looks%readEvery == 0 {
		f.read(false)
	}
}

func (f *settingsFile) stat() filewatch.State { return filewatch.Files{f.path}.State() }

// read reads the file and puts its settings in force. One that says what it
// said before is not looked into, unless asked is set. The state is taken first:
// a change during the reading is met at the next look.
func (f *settingsFile) read(asked bool) {
	f.state = f.stat()
	content, err := os.ReadFile(f.path)
	if err != nil {
		content = fmt.Append(nil, "unreadable: ", err)
	}
	if bytes.Equal(content, f.content) && !asked {
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
	f.apply(cfg, asked)
}

// parse reads settings as the start does.
func parse(content []byte) (config.Config, error) {
	cfg, err := config.Parse(content)
	if err == nil {
		err = cfg.CheckFiles()
	}
	return cfg, err
}

// apply hands the settings to the instance and says what became of them.
func (f *settingsFile) apply(cfg config.Config, asked bool) {
	changed, restart := f.instance.Reload(cfg)
	if len(changed) > 0 || asked {
		f.logger.Log(event.SettingsReloaded, "file", f.path, "changed", strings.Join(changed, ","))
	}
	if len(restart) > 0 {
		f.logger.Log(event.SettingsNeedRestart, "file", f.path, "keys", strings.Join(restart, ","))
	}
}
