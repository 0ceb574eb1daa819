// Package claim is the record that lets a stage that is not idempotent run at
// most once, whatever happens to the instances that handle its request.
package claim

import (
	"context"
	"encoding/json"
	"time"
)

// Key identifies what is claimed.
type Key struct {
	Organisation string
	Key          string // idempotency key
	Stage        string
}

// Request asks for a claim.
type Request struct {
	Key      Key
	BodyHash string // hash of profile name and input: the same key with another body is refused
	Ticket   string // ticket that came with the request, if any
	Deadline time.Time
}

// State is what the record says of a key.
type State int

// States.
const (
	// Granted: the claim is ours; the stage may be dispatched once.
	Granted State = iota
	// Completed: the stage has run; Result holds its output if it was small
	// enough to keep.
	Completed
	// Held: another request has claimed it and has not completed it. Holder
	// says at which instance.
	Held
)

// Answer is the answer to a Request.
type Answer struct {
	State  State
	Holder string // instance id
	Result json.RawMessage
	// HasResult is false for a completed stage whose output was too large to
	// keep.
	HasResult bool
	Claim     Claim // set for Granted
}

// Claim is a granted claim.
type Claim interface {
	// Complete records that the stage has run, with its output. It returns at
	// once; the record is written soon after. What is claimed and never
	// completed counts as may-have-run.
	Complete(output json.RawMessage)
	// Release records that the stage was certainly not dispatched or
	// certainly not run, so that a resend may run it.
	Release()
}

// Claimer grants claims.
type Claimer interface {
	// Claim returns an Answer, or an error of kind KeyReused, KeyExpired,
	// StoreUnavailable (nothing is claimed) or OutcomeUnknown.
	Claim(ctx context.Context, req Request) (Answer, error)
	// Lookup reads what is recorded without claiming. found is false only if
	// there is certainly no record.
	Lookup(ctx context.Context, key Key) (answer Answer, found bool, err error)
}
