// Package pipeline runs one request through the stages of its profile: it
// splits the deadline, claims stages that are not idempotent, calls targets,
// repeats, hedges and resumes attempts, and delivers one whole answer.
package pipeline

import (
	"encoding/json"
	"time"

	"lynxhill.example/lynxhill/internal/profile"
)

// Request is a caller's request after the caller API has checked it.
type Request struct {
	ID           string // made by the instance that received it
	Organisation string
	Profile      string
	Key          string // idempotency key; never empty, the caller API makes one if the caller gave none
	KeyGiven     bool   // the caller gave Key, so it may come again
	Ticket       string // ticket of the address answer, if the caller sent it
	Input        json.RawMessage
	Prefix       string // shared prompt prefix, if the caller names one
	Deadline     time.Time
	Received     time.Time
}

// Sink receives an answer as it is made. All calls come from one goroutine.
type Sink interface {
	// Frame delivers the next piece of the answer of the last stage. Offsets
	// are contiguous and start at 0. An error means that the caller is gone.
	Frame(offset int, text string) error
	// StageDone reports that a stage has ended.
	StageDone(report StageReport)
}

// StageReport says how a stage went; for cost by stage and service levels.
type StageReport struct {
	Stage    string
	Kind     profile.Kind
	Provider string
	Service  string
	Target   string
	Attempts int
	Hedges   int
	Resumes  int
	Cost     float64 // of all attempts, in the targets' units
	Wasted   float64 // part of Cost that went into attempts that did not deliver
	Tokens   int
	Duration time.Duration
	Err      error
}

// Outcome is the end of a request that was answered whole.
type Outcome struct {
	RequestID  string
	Version    uint64          // version of the profile it was run under
	Output     json.RawMessage // output of the last stage; for a streamed answer the JSON string of its text
	Streamed   bool            // the answer went through Sink.Frame
	Length     int             // bytes streamed
	Tokens     int
	FirstToken time.Duration // from Received to the first frame
	Total      time.Duration
	Stages     []StageReport
	// Repeated says that the answer is the recorded one of an earlier request
	// with the same key.
	Repeated bool
}
