package main

import (
	"lynxhill.example/lynxhill/internal/config"
	"lynxhill.example/lynxhill/internal/daemon"
	"lynxhill.example/lynxhill/internal/event"
)

// newDaemon makes the instance.
func newDaemon(cfg config.Config, logger *event.Logger) (runner, error) {
	return daemon.New(cfg, daemon.Options{Logger: logger})
}
