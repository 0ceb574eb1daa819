package targetbase

import (
	"context"
	"errors"
	"net/http"
	"time"

	"lynxhill.example/lynxhill/internal/standin/loopback"
	"lynxhill.example/lynxhill/internal/wire/targetapi"
)

func (t *Target) handleRun(w http.ResponseWriter, r *http.Request) {
	req := new(targetapi.RunRequest)
	if err := DecodeBody(w, r, req); err != nil || req.AttemptID == "" {
		WriteRefusal(w, targetapi.CodeBadInput, "no usable run request")
		return
	}
	if refusal := t.check(req); refusal != nil {
		refuseRun(w, req, *refusal)
		return
	}
	ctx, cancel := context.WithCancelCause(t.runContext(r))
	defer cancel(nil)
	if !t.track(req.AttemptID, func() { cancel(errCancelled) }) {
		// The other call under this id may be running, so "not run" would be
		// false of the attempt.
		refuseRun(w, req, targetapi.Refusal{Code: targetapi.CodeBadInput, Message: "attempt id in use", Ran: true})
		return
	}
	defer t.untrack(req.AttemptID)
	if err := t.wait(ctx, r, req); err != nil {
		refuseRun(w, req, refusalOfWait(err))
		return
	}
	defer t.queue.Release()
	t.serve(ctx, w, req)
}

func (t *Target) check(req *targetapi.RunRequest) *targetapi.Refusal {
	if code, ok := t.faults.accepts(); !ok {
		return &targetapi.Refusal{Code: code, Message: "takes no new work"}
	}
	return t.runner.Check(req)
}

// runContext is the context of the run. A detached run only ends with the
// target, or when it is cancelled.
func (t *Target) runContext(r *http.Request) context.Context {
	if t.runner.Detached() {
		return loopback.LifeContext(r.Context())
	}
	return r.Context()
}

// wait queues for a slot. A queued call is given up when its caller goes away
// or its time runs out, whoever runs it.
func (t *Target) wait(ctx context.Context, r *http.Request, req *targetapi.RunRequest) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stop := context.AfterFunc(r.Context(), func() { cancel(r.Context().Err()) })
	defer stop()
	if req.RemainingMS > 0 {
		var done context.CancelFunc
		ctx, done = context.WithTimeout(ctx, time.Duration(req.RemainingMS)*time.Millisecond)
		defer done()
	}
	return t.queue.Acquire(ctx, req.Priority)
}

func refusalOfWait(err error) targetapi.Refusal {
	switch {
	case errors.Is(err, ErrQueueFull):
		return targetapi.Refusal{Code: targetapi.CodeBusy, Message: "queue full"}
	case errors.Is(err, context.DeadlineExceeded):
		return targetapi.Refusal{Code: targetapi.CodeBusy, Message: "no slot in the remaining time"}
	default:
		return targetapi.Refusal{Code: targetapi.CodeFailed, Message: "cancelled while queued"}
	}
}

func refuseRun(w http.ResponseWriter, req *targetapi.RunRequest, refusal targetapi.Refusal) {
	refusal.RequestID, refusal.AttemptID = req.RequestID, req.AttemptID
	writeRefusal(w, refusal)
}

func (t *Target) serve(ctx context.Context, w http.ResponseWriter, req *targetapi.RunRequest) {
	call := &Call{
		Ctx:    ctx,
		Req:    req,
		Plan:   t.faults.plan(req),
		Began:  time.Now(),
		target: t,
		w:      w,
		record: t.ledger.begin(req),
	}
	if Crossed(req) {
		t.ledger.noteCrossed()
	}
	if call.Plan.Crash {
		t.crashUnder(ctx)
	}
	t.runner.Serve(call)
}

// crashUnder crashes the target from inside a run and doesn't return.
func (t *Target) crashUnder(ctx context.Context) {
	delay := t.faults.restartDelay()
	go func() {
		t.Crash()
		time.AfterFunc(delay, func() { _ = t.Restart() })
	}()
	<-ctx.Done()
	panic(http.ErrAbortHandler)
}
