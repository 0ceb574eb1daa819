package daemon

import (
	"context"
	"testing"
	"time"

	"lynxhill.example/lynxhill/internal/client"
	"lynxhill.example/lynxhill/internal/errkind"
	"lynxhill.example/lynxhill/internal/outcome"
	"lynxhill.example/lynxhill/internal/standin/platform"
)

// Guards against callers that fail with "no answer" at their deadline: the store
// hangs, a caller's connection breaks, and the caller queries another instance for
// the outcome of its key. If the query waits for the store as long as the caller
// waits, no time is left to send the request again.
func TestOutcomeQuestionDoesNotWaitOutAnOutage(t *testing.T) {
	d := newDeployment(t)
	r := d.start(t, "a", 0, nil)
	d.declare(t, r)
	d.fleet.Platform.Outage(platform.OutageHang)
	ctx, cancel := context.WithTimeout(t.Context(), testDeadline)
	defer cancel()
	started := time.Now()
	_, err := r.Outcome(ctx, outcome.Key{Organisation: testOrganisation, Key: client.NewKey()})
	if !errkind.Is(err, errkind.StoreUnavailable) || ctx.Err() != nil {
		t.Errorf("after %s of the caller's %s: %v", time.Since(started), testDeadline, err)
	}
}
