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
	// crashCheckTimeout is the timeout of the check whether a target died.
	crashCheckTimeout = 500 * time.Millisecond
	// crashCheckWait is how long a retry waits for the result of the check. If a
	// target's process is gone, the connection is refused at once; a target that
	// does not react in time counts as unreachable, not as dead.
	crashCheckWait = 100 * time.Millisecond
	// maxPassedOver bounds how often one request rejects a placement because the
	// engine runs another suspected request.
	maxPassedOver = 8
)

// suspectCrash starts a check whether the target died while it ran the request,
// and counts the death with the crash guard. The caller does not wait for the
// result, but a retry does (awaitCrashCheck). Requests that lose the same target
// at the same time share one check.
//
// If the attempt ended without a word of the target, a connection shows nothing of use:
// the target list decides.
func (fl *flight) suspectCrash(target fleet.Target, err error) {
	if !wasSent(err) || errors.Is(err, errUnsigned) || fl.o.CrashGuard == nil {
		return
	}
	if errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded) || errors.Is(err, exchange.ErrUnacknowledged) {
		fl.awaitVerdict(target, fl.evidence())
		return
	}
	known, e := make(chan struct{}), fl.evidence()
	fl.crashChecked = known
	go func() {
		defer close(known)
		if fl.targetDied(target) {
			fl.recordCrash(e, target)
			return
		}
		fl.awaitVerdict(target, e)
	}()
}

// targetDied checks whether the target died. Concurrent calls for the same start of a
// target share one check.
func (f *Forwarder) targetDied(target fleet.Target) bool {
	died, _, _ := f.crashChecks.Do(target.Run(), func() (any, error) {
		ctx, cancel := context.WithTimeout(context.Background(), crashCheckTimeout)
		defer cancel()
		return f.o.CrashGuard.HasCrashed(ctx, stagecall.Target{ID: target.ID, Address: target.Address}), nil
	})
	return died.(bool)
}

// awaitCrashCheck waits, for at most crashCheckWait, until it is known whether the
// last target died.
//
// Without it, the request is retried before it is suspected. It is then not
// isolated from the other requests that were lost with the same target, and the
// third death of a target does not prevent its fourth attempt. The symptom is
// harmless requests that are refused together with the one that crashes targets.
func (fl *flight) awaitCrashCheck() {
	if fl.crashChecked == nil {
		return
	}
	wait := min(crashCheckWait, fl.deadline.Add(-responseMargin).Sub(fl.o.Clock.Now()))
	over := make(chan struct{})
	timer := fl.o.Clock.AfterFunc(max(wait, 0), func() { close(over) })
	defer timer.Stop()
	select {
	case <-fl.crashChecked:
	case <-over:
	case <-fl.base.Done():
	}
	fl.crashChecked = nil
}

// excludedTargets returns the ids of the targets that a suspected request has to
// avoid while there is another target, so that it stays isolated from other
// suspected requests. It returns none if the request is not suspected.
func (fl *flight) excludedTargets() []string {
	suspected := fl.suspectedAs()
	if suspected == "" {
		return nil
	}
	targets := fl.o.Targets().Ready(fl.service)
	runs := make([]string, 0, len(targets))
	for _, t := range targets {
		runs = append(runs, t.Run())
	}
	var ids []string
	for _, run := range fl.o.CrashGuard.TargetsToAvoid(suspected, runs) {
		if t, listed := fl.o.Targets().Run(run); listed {
			ids = append(ids, t.ID)
		} else if _, other := fl.o.Targets().Get(fleet.IDOfRun(run)); !other { // an earlier start says nothing about the listed one
			ids = append(ids, fleet.IDOfRun(run))
		}
	}
	return ids
}

// chooseTarget returns a plain target for the next attempt, and a function that
// reports the end of the attempt to the crash guard. A suspected request gets a
// target that runs no other suspected request, if there is one: if two requests run
// at a target that dies, one of them is harmless.
func (fl *flight) chooseTarget(choose chooser) (target fleet.Target, endSuspect func(), ok bool) {
	tried, suspected := fl.triedTargets, fl.suspectedAs()
	if suspected != "" {
		// Several requests become suspected by the same death and choose their
		// next targets at the same time.
		fl.suspectMu.Lock()
		defer fl.suspectMu.Unlock()
		tried = slices.Concat(tried, fl.excludedTargets())
	}
	target, ok = fl.chooseUnlimited(choose, tried)
	if !ok {
		return target, nil, false
	}
	return target, fl.o.CrashGuard.Begin(suspected, target.Run()), true
}

// beginAttempt reports the start of an attempt at the engine to the crash guard. ok
// is false if the request is suspected and the engine is one of excludedTargets.
// After maxPassedOver rejections the request is served by any engine.
func (ef *engineFlight) beginAttempt(engine fleet.Target) (endSuspect func(), ok bool) {
	suspected := ef.suspectedAs()
	if suspected == "" {
		return func() {}, true
	}
	ef.suspectMu.Lock()
	defer ef.suspectMu.Unlock()
	if ef.passedOver < maxPassedOver && slices.Contains(ef.excludedTargets(), engine.ID) {
		ef.passedOver++
		return nil, false
	}
	return ef.o.CrashGuard.Begin(suspected, engine.Run()), true
}
