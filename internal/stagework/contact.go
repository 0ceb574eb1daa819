package stagework

import (
	"context"
	"time"

	"lynxhill.example/lynxhill/internal/control/loop"
)

// Connectivity is whether an instance can reach the others or the store.
type Connectivity int

// Values of Connectivity.
const (
	ConnectivityOK      Connectivity = iota
	ConnectivityUnknown              // the others do not respond, and the reply of the store is pending
	ConnectivityLost                 // neither the others nor the store respond
)

// isolatedRetryAfter is the retry delay given to callers that an isolated
// instance refuses; their retry goes to another instance.
const isolatedRetryAfter = 50 * time.Millisecond

// refuseIfIsolated refuses stage work if this instance is cut off from the
// others. It would otherwise schedule concurrently with their dispatcher for
// the same targets; the symptom is calls that find a target busy and pieces
// rejected for lack of result memory, on both sides. Callers can reach the
// other instances. Once membership declares the others dead, this instance
// schedules by itself. As long as it is unknown whether this instance is cut
// off, the job waits.
func (f *Finder) refuseIfIsolated(ctx context.Context, job *Job) (*Refusal, error) {
	if f.o.Connectivity == nil || !job.hasPieces() {
		return nil, nil
	}
	for {
		switch f.o.Connectivity() {
		case ConnectivityOK:
			return nil, nil
		case ConnectivityLost:
			return &Refusal{Reason: ReasonIsolated, RetryAfter: isolatedRetryAfter}, nil
		}
		if !loop.Sleep(ctx, f.o.Clock, contactPollInterval) {
			return nil, ctx.Err()
		}
	}
}

// contactPollInterval is the interval at which a waiting job checks whether the
// store has replied.
const contactPollInterval = 5 * time.Millisecond
