package pipeline

import (
	"context"
	"errors"
	"fmt"
	"time"

	"lynxhill.example/lynxhill/internal/admission"
	"lynxhill.example/lynxhill/internal/routing"
	"lynxhill.example/lynxhill/internal/stagecall"
	"lynxhill.example/lynxhill/internal/wire/targetapi"
)

// aliveTimeout bounds the question whether a target died. A dead process
// refuses at once; only a dead machine takes the whole time.
const aliveTimeout = 250 * time.Millisecond

// errLeft ends an attempt whose stage no longer listens.
var errLeft = errors.New("the stage has ended")

// errOutrun ends an attempt because another one began first.
var errOutrun = errors.New("another attempt began first")

// attempt is one call of a target for a stage. Its goroutine only sends
// signals; all decisions are the stage's.
type attempt struct {
	s      *stageRun
	id     string
	want   admission.Want
	resume string // the part of the answer that came before this attempt
	offset int    // where in the answer the next frame must begin
	ctx    context.Context
	cancel context.CancelCauseFunc

	// Written by the stage.
	choice    routing.Choice
	slot      admission.Slot
	usual     admission.Usual
	pace      pace
	begun     time.Time // when it was dispatched
	ended     time.Time
	hedge     bool
	move      bool // takes over from the owner with its first frame
	started   bool // the target is chosen
	open      bool // not yet ended
	delivered bool // a frame of it was taken
	lost      bool // another attempt won; whatever it still reports is ignored
	// connectionFailed: it ended by a fault that may be the connection's.
	connectionFailed bool
	notRun           bool    // proven
	cost             float64 // as the target said, 0 if it did not

	// Written by the attempt's goroutine.
	firstByte time.Duration
	lastFrame time.Time
	gap       time.Duration // longest wait between two frames
	waited    time.Duration // for frames after the first
	written   int           // tokens of those frames
}

// signalKind says what an attempt reports.
type signalKind int

const (
	signalStarted signalKind = iota
	signalFrame
	signalEnded
)

// signal is what an attempt tells its stage.
type signal struct {
	kind     signalKind
	attempt  *attempt
	choice   routing.Choice
	timeouts admission.Timeouts
	slot     admission.Slot
	frame    targetapi.Frame
	waited   time.Duration // for frames after the first, this one included
	result   stagecall.Result
	err      error
}

// acquireError says that no slot was had.
type acquireError struct{ err error }

func (e *acquireError) Error() string { return e.err.Error() }
func (e *acquireError) Unwrap() error { return e.err }

// send reports to the stage; false if it no longer listens.
func (a *attempt) send(sig signal) bool {
	sig.attempt = a
	select {
	case a.s.signals <- sig:
		return true
	case <-a.s.left:
		return false
	}
}

// run is the attempt's goroutine.
func (a *attempt) run() {
	result, err := a.perform()
	a.send(signal{kind: signalEnded, result: result, err: err})
}

func (a *attempt) perform() (stagecall.Result, error) {
	opts := &a.s.x.r.opts
	slot, err := opts.Gate.Acquire(a.ctx, a.want)
	if err != nil {
		return stagecall.Result{}, &acquireError{err}
	}
	choice := slot.Choice()
	timeouts := a.timeouts(choice)
	if !a.send(signal{kind: signalStarted, choice: choice, timeouts: timeouts, slot: slot}) || !a.s.beginDispatch() {
		slot.Done(admission.Result{Cancelled: true})
		return stagecall.Result{}, &acquireError{errLeft}
	}
	return a.call(slot, choice, timeouts)
}

// timeouts returns the gate's, or none for a stage that is not idempotent: it
// could not be repeated anyway, so cutting a slow call short would only turn a
// late answer into an unknown one. Pings still find a dead connection, and the
// deadline ends the rest.
func (a *attempt) timeouts(choice routing.Choice) admission.Timeouts {
	if !a.s.stage.Idempotent {
		return admission.Timeouts{}
	}
	return a.s.x.r.opts.Gate.Timeouts(choice, a.want.Query)
}

// newConnection: a kept connection may have gone silent unnoticed. A repeat must
// not meet the same silence, and a call that cannot be repeated must not meet
// any: it would end as "may have run" though the target never heard of it. One
// round trip more is the price.
func (a *attempt) newConnection() bool {
	return a.want.Repeat || !a.s.stage.Idempotent
}

// call makes the call, settles what it proves, and gives the slot back.
func (a *attempt) call(slot admission.Slot, choice routing.Choice, timeouts admission.Timeouts) (stagecall.Result, error) {
	x := a.s.x
	target := stagecall.Target{ID: choice.Target.ID, Address: choice.Target.Address}
	endSuspect := x.r.opts.Crash.Begin(x.fingerprint, target.ID)
	begun := x.now()
	result, err := x.r.opts.Caller.Run(a.ctx, target, a.request(choice), stagecall.Options{
		FirstByte:     timeouts.FirstByte,
		Progress:      timeouts.Progress,
		NewConnection: a.newConnection(),
	}, func(frame targetapi.Frame) error { return a.onFrame(begun, frame) })
	died := err != nil && a.targetDied(target, err)
	endSuspect()
	if err != nil && stagecall.FailureOf(err).NotRun {
		a.s.endNotRun()
	}
	done := a.slotResult(x.now().Sub(begun), err, died)
	if err == nil && a.resume == "" {
		done.Tokens = result.Tokens
	}
	slot.Done(done)
	return result, err
}

// onFrame passes a frame on after checking that it is this attempt's own and
// the next one. The caller interface promises both; a mistake below it must
// not reach a caller as another request's text.
func (a *attempt) onFrame(begun time.Time, frame targetapi.Frame) error {
	if frame.RequestID != a.s.x.req.ID || frame.AttemptID != a.id {
		return protocolError("frame of attempt %q", frame.AttemptID)
	}
	if frame.Offset != a.offset {
		return protocolError("frame at %d, expected %d", frame.Offset, a.offset)
	}
	a.noteArrival(begun, frame.Tokens)
	a.offset += len(frame.Text)
	if !a.send(signal{kind: signalFrame, frame: frame, waited: a.waited}) {
		return cancelledError(errLeft)
	}
	if err := a.ctx.Err(); err != nil {
		return cancelledError(err)
	}
	a.lastFrame = a.s.x.now()
	return nil
}

// noteArrival measures the target, without the time that the caller takes.
func (a *attempt) noteArrival(begun time.Time, tokens int) {
	now := a.s.x.now()
	if a.firstByte == 0 {
		a.firstByte = now.Sub(begun)
		return
	}
	gap := now.Sub(a.lastFrame)
	a.gap = max(a.gap, gap)
	a.waited += gap
	a.written += tokens
}

func cancelledError(err error) error {
	return &stagecall.Failure{Class: stagecall.ClassCancelled, Err: err}
}

func protocolError(format string, args ...any) error {
	return &stagecall.Failure{Class: stagecall.ClassProtocol, Err: fmt.Errorf(format, args...)}
}

// targetDied asks whether the target died under the request. It asks before
// the next attempt, so that a request that crashes targets is known as such
// before it reaches a further one.
func (a *attempt) targetDied(target stagecall.Target, err error) bool {
	if stagecall.FailureOf(err).Class != stagecall.ClassBroken {
		return false
	}
	ctx := newDeadlineContext(context.WithoutCancel(a.ctx), a.s.x.r.opts.Clock, a.s.x.now().Add(aliveTimeout))
	defer ctx.stop()
	return a.s.x.r.opts.Crash.Broke(ctx, a.s.x.fingerprint, target)
}

func (a *attempt) slotResult(duration time.Duration, err error, died bool) admission.Result {
	result := admission.Result{Duration: duration, FirstByte: a.firstByte, Gap: a.gap, OK: err == nil}
	if a.written > 0 {
		result.PerToken = a.waited / time.Duration(a.written)
	}
	if err == nil {
		if !a.s.streams {
			result.FirstByte = duration // a whole reply comes at once
		}
		return result
	}
	f := stagecall.FailureOf(err)
	result.Connection = f.Connection
	switch f.Class {
	case stagecall.ClassRefused:
		result.Refused = true
		result.Leaving = f.Code == targetapi.CodeLeaving
	case stagecall.ClassSilent:
		result.Overload = !f.Connection
	case stagecall.ClassCancelled, stagecall.ClassBadInput:
		result.Cancelled = true
	}
	if died || a.ctx.Err() != nil {
		result.Cancelled = true
		result.Outrun = errors.Is(context.Cause(a.ctx), errOutrun)
	}
	return result
}

// request builds the call's message.
func (a *attempt) request(choice routing.Choice) targetapi.RunRequest {
	s, x := a.s, a.s.x
	return targetapi.RunRequest{
		RequestID:    x.req.ID,
		AttemptID:    a.id,
		Organisation: x.req.Organisation,
		Stage:        s.stage.Name,
		Kind:         string(s.stage.Kind),
		Model:        choice.Provider.Model,
		Version:      choice.Provider.Version,
		Adapter:      choice.Provider.Adapter,
		Key:          x.req.Key,
		Input:        x.req.Input,
		Previous:     s.previous,
		Prefix:       x.req.Prefix,
		MaxTokens:    s.stage.MaxTokens,
		Priority:     x.prof.Profile.Priority,
		RemainingMS:  max(1, x.remaining().Milliseconds()),
		ResumeOffset: a.offset,
		Resume:       a.resume,
		Stream:       s.streams,
	}
}
