package stagework

import (
	"context"
	"time"

	"lynxhill.example/lynxhill/internal/control/loop"
)

// Contact is whether an instance reaches anybody.
type Contact int

// Contacts of an instance.
const (
	ContactGood Contact = iota
	ContactOpen         // the others are silent, and the store was asked a moment ago
	ContactLost         // neither the others nor the store answer
)

// elsewhere is when a caller that is sent to another instance may come back.
const elsewhere = 50 * time.Millisecond

// refuseAlone refuses stage work in an instance that is cut off from the
// others: it would schedule beside their dispatcher and fill the same targets.
// One notices that by calls that find a target full and by pieces refused for
// want of room on both sides. Callers reach the other instances. Once
// membership holds the others for dead, this instance schedules by itself. While
// it is open whether it is cut off the job waits.
func (f *Finder) refuseAlone(ctx context.Context, job *Job) (*Refusal, error) {
	if f.o.Contact == nil || !job.hasPieces() {
		return nil, nil
	}
	for {
		switch f.o.Contact() {
		case ContactGood:
			return nil, nil
		case ContactLost:
			return &Refusal{Reason: ReasonAlone, RetryAfter: elsewhere}, nil
		}
		if !loop.Sleep(ctx, f.o.Clock, contactPoll) {
			return nil, ctx.Err()
		}
	}
}

// contactPoll is how often it is looked whether the store has answered.
const contactPoll = 5 * time.Millisecond
