package main

import (
	"lynxhill.example/lynxhill/internal/config"
	"lynxhill.example/lynxhill/internal/daemon"
	"lynxhill.example/lynxhill/internal/event"
)

// newDaemon makes the instance. It opens the listeners, so that an address of
// the settings that can't be listened on shows here.
func newDaemon(cfg config.Config, logger *event.Logger) (runner, error) {
	instance, err := daemon.New(cfg, daemon.Options{Logger: logger})
	if err != nil {
		return nil, settingsError{err}
	}
	return instance, nil
}
