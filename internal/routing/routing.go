// Package routing selects the target for a call. It computes its choice from
// the tables of the board and does no I/O.
package routing

import (
	"time"

	"lynxhill.example/lynxhill/internal/board"
	"lynxhill.example/lynxhill/internal/profile"
)

// Query is what a stage requires of a target.
type Query struct {
	Stage        profile.Stage
	Organisation string
	Key          string   // request key: makes the choice of provider sticky where the organisation is unknown
	Prefix       string   // prompt prefix for affinity; "" for none
	Zone         string   // availability zone of this instance
	Region       string   // region of this instance
	Exclude      []string // IDs of targets that this request must not use
	Deadline     time.Time
}

// Choice is the selected target together with the provider that it serves.
type Choice struct {
	Target   board.Target
	Provider profile.Provider
	Estimate time.Duration // estimated time to completion
}
