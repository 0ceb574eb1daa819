// Package stagecall is the narrow interface through which the pipeline calls
// targets. Package internal/target implements it over HTTP; stagecall/memtarget
// implements it in memory for tests.
package stagecall

import (
	"context"
	"errors"
	"time"

	"lynxhill.example/lynxhill/internal/wire/targetapi"
)

// Target identifies the target of a call.
type Target struct {
	ID      string
	Address string // IP:port
}

// Options configure one call.
type Options struct {
	// FirstByte is the timeout for the first frame or reply; Progress is the
	// timeout between two frames. With 0, only the context's deadline applies.
	FirstByte time.Duration
	Progress  time.Duration
	// NewConnection forbids the use of an idle connection from the pool. It is
	// set for a retry after a call on a pooled connection got no response,
	// which would otherwise hit the same dead connection.
	NewConnection bool
}

// Result is the outcome of a successful attempt.
type Result struct {
	Output  []byte // complete response of a stage that does not stream
	Length  int    // bytes of the complete response of a stage that streams
	Tokens  int
	Cost    float64
	Service time.Duration // as reported by the target
	Load    *targetapi.LoadReport
}

// Caller calls targets.
type Caller interface {
	// Run makes one attempt. For a request with Stream set, onFrame receives
	// each frame in order, on the calling goroutine; an error from onFrame ends
	// the attempt and is returned. Run returns a *Failure for any fault of the
	// call itself. It never retries. Frames and replies whose IDs differ from
	// req's never reach onFrame or Result. When ctx ends, Run asks the target
	// to cancel the attempt.
	Run(ctx context.Context, target Target, req targetapi.RunRequest, opts Options, onFrame func(targetapi.Frame) error) (Result, error)
	// Load fetches the target's load report.
	Load(ctx context.Context, target Target) (targetapi.LoadReport, error)
	// Order sends an order to an engine. A rejection because of an outdated
	// fencing number is a *Failure with CodeOldFence.
	Order(ctx context.Context, target Target, order targetapi.Order) error
	// State reads the engine's current models and role.
	State(ctx context.Context, target Target) (targetapi.LoadReport, error)
	// CacheEvents returns the cache events after a sequence number.
	CacheEvents(ctx context.Context, target Target, after uint64) ([]targetapi.CacheEvent, error)
}

// FailureClass classifies the fault that ended an attempt.
type FailureClass int

// Failure classes.
const (
	// ClassConnect: no connection could be established; no byte was sent.
	ClassConnect FailureClass = iota
	// ClassRefused: the target replied that it ran nothing.
	ClassRefused
	// ClassSilent: the connection or the target stopped responding.
	ClassSilent
	// ClassBroken: the connection broke after the request was sent.
	ClassBroken
	// ClassFailed: the target replied that the execution failed.
	ClassFailed
	// ClassBadInput: the target rejected the input as invalid.
	ClassBadInput
	// ClassProtocol: the reply or a frame belonged to another attempt, had a
	// gap, or was malformed. The connection was closed.
	ClassProtocol
	// ClassCancelled: the context ended.
	ClassCancelled
)

// String returns the name of the class in logs and metrics.
func (c FailureClass) String() string {
	names := [...]string{"connect", "refused", "silent", "broken", "failed", "bad_input", "protocol", "cancelled"}
	if int(c) < len(names) {
		return names[c]
	}
	return "unknown"
}

// Failure is the error of a failed attempt.
type Failure struct {
	Class  FailureClass
	Code   string // refusal code sent by the target, if any
	NotRun bool   // true only if the target cannot have run any part of the request
	// ConnectionLost reports that the connection was lost or did not respond, which
	// says nothing about the state of the target.
	ConnectionLost bool
	Err            error
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

// FailureOf returns the Failure in err's chain. An error without one is
// classified as ClassBroken and possibly run, which is the conservative
// assumption.
func FailureOf(err error) *Failure {
	var f *Failure
	if errors.As(err, &f) {
		return f
	}
	return &Failure{Class: ClassBroken, Err: err}
}

// CodeTooLarge is the Code of a ClassFailed failure whose reply exceeded the
// caller's size limit. A target never sends it.
const CodeTooLarge = "answer_too_large"
