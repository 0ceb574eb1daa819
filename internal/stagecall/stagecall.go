// Package stagecall is the narrow interface through which the pipeline calls
// targets. internal/target implements it over HTTP; stagecall/memtarget
// implements it in memory for tests.
package stagecall

import (
	"context"
	"errors"
	"time"

	"lynxhill.example/lynxhill/internal/wire/targetapi"
)

// Target is where a call goes.
type Target struct {
	ID      string
	Address string // IP:port
}

// Options govern one call.
type Options struct {
	// FirstByte is the longest wait for the first frame or reply, Progress
	// the longest wait between frames. 0 leaves only the context's deadline.
	FirstByte time.Duration
	Progress  time.Duration
	// NewConnection forbids the use of a kept connection: a retry after a
	// silent connection would otherwise meet the same silence.
	NewConnection bool
}

// Result closes an attempt.
type Result struct {
	Output  []byte // whole answer of a stage that does not stream
	Length  int    // bytes of the whole answer of one that streams
	Tokens  int
	Cost    float64
	Service time.Duration // as reported by the target
	Load    *targetapi.LoadReport
}

// Caller calls targets.
type Caller interface {
	// Run makes one attempt. onFrame gets each frame in order, from the
	// calling goroutine, for a request with Stream set; an error from it ends
	// the attempt and is returned. Run returns a *Failure for anything that
	// went wrong with the call itself. It never repeats a call by itself.
	// Frames and replies with other ids than req's never reach onFrame or
	// Result. When ctx ends, the target is told to cancel the attempt.
	Run(ctx context.Context, target Target, req targetapi.RunRequest, opts Options, onFrame func(targetapi.Frame) error) (Result, error)
	// Load asks for the target's load report.
	Load(ctx context.Context, target Target) (targetapi.LoadReport, error)
	// Order gives an engine an order. A refusal for an old fencing number is
	// a *Failure with CodeOldFence.
	Order(ctx context.Context, target Target, order targetapi.Order) error
	// State reads back the engine's models and role.
	State(ctx context.Context, target Target) (targetapi.LoadReport, error)
	// CacheEvents returns the events after a sequence number.
	CacheEvents(ctx context.Context, target Target, after uint64) ([]targetapi.CacheEvent, error)
}

// FailureClass says what went wrong with an attempt.
type FailureClass int

// Failure classes.
const (
	// ClassConnect: no connection could be made; no byte was sent.
	ClassConnect FailureClass = iota
	// ClassRefused: the target answered that it ran nothing.
	ClassRefused
	// ClassSilent: the connection or the target went silent.
	ClassSilent
	// ClassBroken: the connection broke after the request was sent.
	ClassBroken
	// ClassFailed: the target answered that it failed.
	ClassFailed
	// ClassBadInput: the target finds the input unacceptable.
	ClassBadInput
	// ClassProtocol: the reply or a frame was for another attempt, had a gap,
	// or was malformed. The connection was closed.
	ClassProtocol
	// ClassCancelled: the context ended.
	ClassCancelled
)

// String returns the class's name in logs and metrics.
func (c FailureClass) String() string {
	names := [...]string{"connect", "refused", "silent", "broken", "failed", "bad_input", "protocol", "cancelled"}
	if int(c) < len(names) {
		return names[c]
	}
	return "unknown"
}

// Failure is the error of an attempt.
type Failure struct {
	Class  FailureClass
	Code   string // the target's refusal code, if it gave one
	NotRun bool   // true only if the target cannot have run any of it
	// Connection says that the connection was lost or silent, which says
	// nothing of the target.
	Connection bool
	Err        error
}

// Error implements error.
func (f *Failure) Error() string {
	text := f.Class.String()
	if f.Code != "" {
		text += " (" + f.Code + ")"
	}
	if f.Err != nil {
		text += ": " + f.Err.Error()
	}
	return text
}

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Err }

// FailureOf returns the Failure in err's chain. An error without one counts
// as broken and possibly run: the cautious reading.
func FailureOf(err error) *Failure {
	var f *Failure
	if errors.As(err, &f) {
		return f
	}
	return &Failure{Class: ClassBroken, Err: err}
}

// CodeTooLarge is the code of a ClassFailed whose reply exceeded the limit of
// the caller; a target never sends it.
const CodeTooLarge = "answer_too_large"
