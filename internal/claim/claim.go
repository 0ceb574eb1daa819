// Package claim ensures that a stage that is not idempotent runs at most once
// for an idempotency key, even if the instances that handle the request fail.
//
// Before an instance dispatches such a stage, it claims the key. A claim ends
// when it is completed (the stage has run) or released (the stage did not run).
// Claims are recorded either in windows in the platform's store (see
// StoreClaimer) or, for keys minted under a ticket, in the memory of the instance
// that issued the ticket (see Tickets).
package claim

import (
	"context"
	"encoding/json"
	"time"
)

// Key identifies a claim: one stage of one request.
type Key struct {
	Organisation string
	Key          string // idempotency key
	Stage        string
}

// Request asks for a claim.
type Request struct {
	Key      Key
	BodyHash string // hash of profile name and input; the same key with another body is refused
	Ticket   string // ticket that came with the request, if any
	Deadline time.Time
}

// State is the recorded state of a key.
type State int

// Values of State.
const (
	// Granted means that the caller holds the claim and may dispatch the stage
	// once.
	Granted State = iota
	// Completed means that the stage has run. Result holds its output unless it
	// was too large to retain.
	Completed
	// Held means that another request has claimed the key and has not completed
	// it. Holder names the instance of that request.
	Held
)

// Answer is the result of a Request.
type Answer struct {
	State  State
	Holder string // instance id
	Result json.RawMessage
	// HasResult is false for a completed stage whose output was too large to
	// retain.
	HasResult bool
	Claim     Claim // set for Granted
}

// Claim is a granted claim.
type Claim interface {
	// Complete records that the stage has run, with its output. It does not
	// block; the record is written asynchronously. A stage that is claimed and
	// never completed counts as may-have-run.
	Complete(output json.RawMessage)
	// Release records that the stage was certainly not dispatched or certainly
	// did not run, so that a retry may run it.
	Release()
}

// Claimer grants claims.
type Claimer interface {
	// Claim returns an Answer, or an error of kind KeyReused, KeyExpired,
	// StoreUnavailable (nothing is claimed) or OutcomeUnknown.
	Claim(ctx context.Context, req Request) (Answer, error)
	// Lookup reads the state of a key without claiming it. found is false only
	// if there is certainly no record.
	Lookup(ctx context.Context, key Key) (answer Answer, found bool, err error)
}
