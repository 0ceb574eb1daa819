// Package outcome keeps, in bounded memory, the requests in flight at this
// instance and the recent outcomes by idempotency key, so that requests with
// the same key share one run and get the same answer.
package outcome

import (
	"context"
	"encoding/json"

	"lynxhill.example/lynxhill/internal/errkind"
)

// Key identifies a request of a caller.
type Key struct {
	Organisation string
	Key          string
}

// Record is a finished request.
type Record struct {
	RequestID string          `json:"request_id"`
	BodyHash  string          `json:"body_hash"`
	Output    json.RawMessage `json:"output,omitempty"`
	Err       *errkind.Body   `json:"error,omitempty"`
}

// Remote asks other instances; internal/peer implements it.
type Remote interface {
	// Outcome asks an instance for the outcome of a key and waits for one in
	// flight until ctx ends. found is false if it has no record.
	Outcome(ctx context.Context, instance string, key Key) (record Record, found bool, err error)
}
