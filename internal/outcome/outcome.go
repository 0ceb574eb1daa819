// Package outcome deduplicates the requests of one instance by idempotency key.
// It holds, in bounded memory, the requests in flight and the outcomes of
// recently finished ones, so that requests with the same key share one
// execution and get the same response.
package outcome

import (
	"context"
	"encoding/json"

	"lynxhill.example/lynxhill/internal/errkind"
)

// Key identifies a request by its organisation and idempotency key.
type Key struct {
	Organisation string
	Key          string
}

// Record is the outcome of a finished request.
type Record struct {
	RequestID string          `json:"request_id"`
	BodyHash  string          `json:"body_hash"`
	Output    json.RawMessage `json:"output,omitempty"`
	Err       *errkind.Body   `json:"error,omitempty"`
}

// Remote queries other instances; internal/peer implements it.
type Remote interface {
	// Outcome queries an instance for the outcome of a key. If the request is
	// in flight there, it waits for the request until ctx ends. found is false
	// if the instance has no record of the key.
	Outcome(ctx context.Context, instance string, key Key) (record Record, found bool, err error)
}
