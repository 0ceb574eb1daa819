package main

import (
	"errors"

	"lynxhill.example/lynxhill/internal/config"
	"lynxhill.example/lynxhill/internal/event"
)

// newDaemon makes the instance.
func newDaemon(config.Config, *event.Logger) (runner, error) {
	return nil, errors.New("the daemon is not part of this build")
}
