package forwarding

import (
	"context"
	"errors"
	"slices"
	"time"

	"lynxhill.example/lynxhill/internal/exchange"
	"lynxhill.example/lynxhill/internal/fleet"
	"lynxhill.example/lynxhill/internal/stagecall"
)

const (
	// crashQuestion is how long the question takes at most whether a target died.
	crashQuestion = 500 * time.Millisecond
	// verdictWait is how long a repeat waits for the answer to it. A target whose
	// process is gone refuses at once; one that does not say is held for cut off.
	verdictWait = 100 * time.Millisecond
	// maxPassed bounds how often the dispatcher is asked for another engine since
	// the one that it named runs another suspected request.
	maxPassed = 8
)

// suspectCrash asks whether the target died of the request, and has the guard
// count that. The caller is not kept waiting for the answer, but a repeat is
// (awaitVerdict). Many requests that break off together ask once.
func (fl *flight) suspectCrash(target fleet.Target, err error) {
	if !wasSent(err) || errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded) ||
		errors.Is(err, errUnsigned) || errors.Is(err, exchange.ErrSilent) || fl.o.Crashes == nil {
		return
	}
	known, print := make(chan struct{}), fl.fingerprint()
	fl.verdict = known
	go func() {
		defer close(known)
		if fl.targetDied(target) {
			fl.o.Crashes.TargetDied(print, target.ID)
		}
	}()
}

// targetDied asks the target, or waits for the answer to somebody else's question.
func (f *Forwarder) targetDied(target fleet.Target) bool {
	died, _, _ := f.deaths.Do(target.ID, func() (any, error) {
		ctx, cancel := context.WithTimeout(context.Background(), crashQuestion)
		defer cancel()
		return f.o.Crashes.Died(ctx, stagecall.Target{ID: target.ID, Address: target.Address}), nil
	})
	return died.(bool)
}

// awaitVerdict waits until it is known whether the last target died.
//
// What goes wrong without it: the request is sent on before it is suspected, so
// that it is not kept apart from the others that broke off with it, and its
// third death does not stop its fourth attempt. One notices it by innocent
// requests that are refused with the guilty one.
func (fl *flight) awaitVerdict() {
	if fl.verdict == nil {
		return
	}
	wait := min(verdictWait, fl.until.Add(-answerMargin).Sub(fl.o.Clock.Now()))
	over := make(chan struct{})
	timer := fl.o.Clock.AfterFunc(max(wait, 0), func() { close(over) })
	defer timer.Stop()
	select {
	case <-fl.verdict:
	case <-over:
	case <-fl.base.Done():
	}
	fl.verdict = nil
}

// keptOff returns the targets that the request is to be kept off; none unless it
// is suspected.
func (fl *flight) keptOff() []string {
	if !fl.o.Crashes.Suspect(fl.fingerprint()) {
		return nil
	}
	targets := fl.o.Targets().Ready(fl.service)
	ids := make([]string, 0, len(targets))
	for _, t := range targets {
		ids = append(ids, t.ID)
	}
	return fl.o.Crashes.Apart(fl.fingerprint(), ids)
}

// choose returns a plain target for the next attempt, and what tells the guard
// of its end. A suspected request gets one that runs no other suspected request,
// if there is one: of two that met where a target died, one is innocent.
func (fl *flight) choose() (target fleet.Target, endSuspect func(), ok bool) {
	print, tried := fl.fingerprint(), fl.tried
	if fl.o.Crashes.Suspect(print) {
		// Others that are suspected choose at the same moment, after the same
		// death.
		fl.apart.Lock()
		defer fl.apart.Unlock()
		tried = slices.Concat(tried, fl.keptOff())
	}
	target, ok = fl.chooseUnspared(tried)
	if !ok {
		return target, nil, false
	}
	return target, fl.o.Crashes.Begin(print, target.ID), true
}

// beginAt tells the guard that an attempt starts at an engine. ok is false if
// the request is suspected, the engine runs another one that is, and there is an
// engine that does not. After maxPassed times it is served where it may.
func (ef *engineFlight) beginAt(engine string) (endSuspect func(), ok bool) {
	print := ef.fingerprint()
	if !ef.o.Crashes.Suspect(print) {
		return func() {}, true
	}
	ef.apart.Lock()
	defer ef.apart.Unlock()
	if ef.passed < maxPassed && slices.Contains(ef.keptOff(), engine) {
		ef.passed++
		return nil, false
	}
	return ef.o.Crashes.Begin(print, engine), true
}
