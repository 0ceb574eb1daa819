package forwarding

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"lynxhill.example/lynxhill/internal/errkind"
	"lynxhill.example/lynxhill/internal/relay"
)

// fail writes the error response for a request that no target answered.
func (fl *flight) fail(ctx context.Context, cause error) {
	now := fl.o.Clock.Now()
	switch {
	case ctx.Err() != nil && now.Before(fl.deadline.Add(-2*responseMargin)):
		fl.outcome = "caller left"
		panic(http.ErrAbortHandler)
	case ctx.Err() != nil && fl.mayHaveRun:
		fl.refuse(errkind.New(errkind.DeadlineAfterRun, "no answer in time"), -1)
	case ctx.Err() != nil:
		fl.refuse(errkind.New(errkind.DeadlineUnreachable, "no target in time"), defaultRetryAfter)
	case fl.mayHaveRun:
		fl.refuse(errkind.Wrap(cause, errkind.TargetFailed, "the target failed"), -1)
	default:
		fl.refuse(errkind.Wrap(cause, errkind.TargetRefused, "no target took the request"), defaultRetryAfter)
	}
}

// defaultRetryAfter is the retry delay given to callers if no better one is
// known.
const defaultRetryAfter = 150 * time.Millisecond

// refuse writes an error response of this instance. The caller must pass a kind
// whose status implies that the request was not run only if that is so.
func (fl *flight) refuse(err error, retryAfter time.Duration) {
	fl.status = WriteError(fl.w, fl.o.Codec, fl.Request, err, retryAfter)
	if fl.outcome == "" {
		fl.outcome = err.Error()
	}
}

// WriteError writes an error response of this instance and returns its status.
func WriteError(w http.ResponseWriter, codec relay.Codec, req *relay.Request, err error, retryAfter time.Duration) int {
	body := errkind.BodyOf(err, "")
	if req != nil {
		body = errkind.BodyOf(err, req.ID)
	}
	status := errkind.Of(err).Answer().Status
	codec.SetOwnHeader(w.Header(), req, retryAfter)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	text, err := json.Marshal(body)
	if err == nil {
		_, _ = w.Write(text)
	}
	return status
}
