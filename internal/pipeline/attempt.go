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

// aliveTimeout is the time limit of the check whether a target has crashed. The
// host of a crashed process refuses connections at once; only a host that is down
// uses the whole time.
const aliveTimeout = 250 * time.Millisecond

// errStageEnded is the cause that cancels attempts when their stage has ended.
var errStageEnded = errors.New("the stage has ended")

// errSuperseded is the cause that cancels an attempt because another one has
// become the primary attempt.
var errSuperseded = errors.New("another attempt began first")

// attempt is one call of a target for a stage. Its goroutine only sends signals;
// the stage makes all decisions.
type attempt struct {
	s      *stageRun
	id     string
	want   admission.SlotRequest
	resume string // part of the answer that was received before this attempt
	offset int    // expected offset of the next frame in the answer
	ctx    context.Context
	cancel context.CancelCauseFunc

	// Written by the stage.
	choice     routing.Choice
	slot       admission.Slot
	usual      admission.Typical
	pace       pace
	begun      time.Time // time of the dispatch
	ended      time.Time
	hedge      bool
	replaces   bool // replaces the primary attempt with its first frame
	started    bool // the target is chosen
	open       bool // not yet ended
	delivered  bool // at least one of its frames was accepted
	superseded bool // another attempt won; whatever it still reports is ignored
	// connectionFailed is set if the attempt failed in a way that may be the
	// fault of the connection and not of the target.
	connectionFailed bool
	notRun           bool    // proven not to have run
	cost             float64 // as reported by the target, 0 if not reported

	// Written by the attempt's goroutine.
	firstByte time.Duration
	lastFrame time.Time
	gap       time.Duration // longest wait between two frames
	waited    time.Duration // total wait for the frames after the first
	written   int           // number of tokens in those frames
}

// signalKind is the type of event that a signal reports.
type signalKind int

const (
	signalStarted signalKind = iota
	signalFrame
	signalEnded
)

// signal is an event that an attempt reports to its stage.
type signal struct {
	kind     signalKind
	attempt  *attempt
	choice   routing.Choice
	timeouts admission.Timeouts
	slot     admission.Slot
	frame    targetapi.Frame
	waited   time.Duration // total wait for the frames after the first, including this one
	result   stagecall.Result
	err      error
}

// acquireError is the error of an attempt that did not get a slot.
type acquireError struct{ err error }

func (e *acquireError) Error() string { return e.err.Error() }
func (e *acquireError) Unwrap() error { return e.err }

// send sends a signal to the stage. It returns false if the stage no longer reads
// signals.
func (a *attempt) send(sig signal) bool {
	sig.attempt = a
	select {
	case a.s.signals <- sig:
		return true
	case <-a.s.closed:
		return false
	}
}

// run performs the attempt and reports its end. It is the body of the attempt's
// goroutine.
func (a *attempt) run() {
	result, err := a.perform()
	a.send(signal{kind: signalEnded, result: result, err: err})
}

// perform acquires a slot and makes the call.
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
		return stagecall.Result{}, &acquireError{errStageEnded}
	}
	return a.call(slot, choice, timeouts)
}

// timeouts returns the gate's timeouts, or none for a stage that is not
// idempotent. Such a stage cannot be retried, so a timeout would only turn a late
// answer into an unknown outcome. Pings still detect a dead connection, and the
// deadline bounds all other calls.
func (a *attempt) timeouts(choice routing.Choice) admission.Timeouts {
	if !a.s.stage.Idempotent {
		return admission.Timeouts{}
	}
	return a.s.x.r.opts.Gate.Timeouts(choice, a.want.Query)
}

// newConnection reports whether the call must use a new connection. A pooled
// connection may have gone silent without notice. A retry must not use the same
// silent connection, and a call that cannot be retried must not use any: it would
// end as "may have run" although the target never received it. The cost is one
// more round trip.
func (a *attempt) newConnection() bool {
	return a.want.Retry || !a.s.stage.Idempotent
}

// call makes the call, records whether it is proven not to have run, and releases
// the slot.
func (a *attempt) call(slot admission.Slot, choice routing.Choice, timeouts admission.Timeouts) (stagecall.Result, error) {
	x := a.s.x
	target := stagecall.Target{ID: choice.Target.ID, Address: choice.Target.Address}
	endSuspect := x.r.opts.CrashGuard.Begin(x.fingerprint, target.ID)
	begun := x.now()
	result, err := x.r.opts.Caller.Run(a.ctx, target, a.request(choice), stagecall.Options{
		FirstByte:     timeouts.FirstByte,
		Progress:      timeouts.Progress,
		NewConnection: a.newConnection(),
	}, func(frame targetapi.Frame) error { return a.onFrame(begun, frame) })
	crashed := err != nil && a.targetCrashed(target, err)
	endSuspect()
	if err != nil && stagecall.FailureOf(err).NotRun {
		a.s.endNotRun()
	}
	done := a.slotResult(x.now().Sub(begun), err, crashed)
	if err == nil && a.resume == "" {
		done.Tokens = result.Tokens
	}
	slot.Done(done)
	return result, err
}

// onFrame sends a frame to the stage after checking that it belongs to this
// attempt and has the expected offset. stagecall.Caller guarantees both; the check
// ensures that a defect in an implementation cannot deliver the text of another
// request to a caller.
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
		return cancelledError(errStageEnded)
	}
	if err := a.ctx.Err(); err != nil {
		return cancelledError(err)
	}
	a.lastFrame = a.s.x.now()
	return nil
}

// noteArrival updates the measurements of the target. They exclude the time that
// the receiver takes for a frame.
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

// targetCrashed checks whether the target crashed while it ran the request. The check
// is made before the next attempt, so that a request that crashes targets is
// identified before it reaches another one.
func (a *attempt) targetCrashed(target stagecall.Target, err error) bool {
	if stagecall.FailureOf(err).Class != stagecall.ClassBroken {
		return false
	}
	ctx := newDeadlineContext(context.WithoutCancel(a.ctx), a.s.x.r.opts.Clock, a.s.x.now().Add(aliveTimeout))
	defer ctx.release()
	return a.s.x.r.opts.CrashGuard.AttemptBroke(ctx, a.s.x.fingerprint, target)
}

// slotResult returns what the gate is told about the target when the slot is
// released.
func (a *attempt) slotResult(duration time.Duration, err error, crashed bool) admission.Result {
	result := admission.Result{Duration: duration, FirstByte: a.firstByte, Gap: a.gap, OK: err == nil}
	if a.written > 0 {
		result.PerToken = a.waited / time.Duration(a.written)
	}
	if err == nil {
		if !a.s.streams {
			result.FirstByte = duration // a reply that is not a stream arrives at once
		}
		return result
	}
	f := stagecall.FailureOf(err)
	result.Connection = f.ConnectionLost
	switch f.Class {
	case stagecall.ClassRefused:
		result.Refused = true
		result.Leaving = f.Code == targetapi.CodeLeaving
	case stagecall.ClassSilent:
		result.Overload = !f.ConnectionLost
	case stagecall.ClassCancelled, stagecall.ClassBadInput:
		result.Cancelled = true
	}
	if crashed || a.ctx.Err() != nil {
		result.Cancelled = true
		result.LostRace = errors.Is(context.Cause(a.ctx), errSuperseded)
	}
	return result
}

// request returns the message of the call.
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
