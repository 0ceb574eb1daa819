// Package routing chooses targets: pure functions over facts of the board.
package routing

import (
	"time"

	"lynxhill.example/lynxhill/internal/board"
	"lynxhill.example/lynxhill/internal/profile"
)

// Query says what a stage needs of a target.
type Query struct {
	Stage        profile.Stage
	Organisation string
	Key          string // request key: makes the choice of provider sticky where the organisation is unknown
	Prefix       string // prompt prefix for affinity; "" for none
	Place        string // of this instance
	Region       string
	Exclude      []string // targets already tried by this request
	Deadline     time.Time
}

// Choice is a target with the provider whose model it answers with.
type Choice struct {
	Target   board.Target
	Provider profile.Provider
	Estimate time.Duration // estimated time to completion
}
