package stagework

import (
	"context"
	"slices"
	"strings"
	"time"

	"lynxhill.example/lynxhill/internal/event"
	"lynxhill.example/lynxhill/internal/fleet"
)

const (
	// crashCheckTimeout is the timeout of the check whether a target crashed.
	crashCheckTimeout = 500 * time.Millisecond
	// crashCheckWait is how long the pieces of a broken call wait for the result
	// of the check. Without the wait, they run again before they are suspected, in
	// calls with each other. If a target's process is gone, a connection is refused
	// at once.
	crashCheckWait = 100 * time.Millisecond
	// crashListTime is how long the target list is watched for another target at
	// the address of one whose call failed. It exceeds the time until a crashed
	// target is back.
	crashListTime = 8 * time.Second
	// maxBrokenCalls bounds the calls that are watched so.
	maxBrokenCalls = 64
)

// brokenCall is a failed call of which it is not known whether its target
// crashed.
type brokenCall struct {
	call   *call
	target fleet.Target
	broke  time.Time
}

// newCrashes returns the planner's access to the crash guard. The planner calls
// its functions while the dispatcher's lock is held.
func (d *Dispatcher) newCrashes(p *Planner) crashes {
	return crashes{
		guard:   d.o.CrashGuard,
		refused: func() { d.crashCounts.Refused++ },
		accepted: func(j *job) {
			d.crashCounts.Trials++
			d.o.Logger.Log(event.StageTrialAccepted, "request", j.ID, "cell", p.cell.Name(), "key", j.suspicion.key, "owner", j.Owner)
		},
		completed: func(key string, trial bool) { go d.o.CrashGuard.RecordCompleted(key, trial) },
	}
}

// CrashCounts returns the counters of crashed stage targets.
func (d *Dispatcher) CrashCounts() CrashCounts {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.crashCounts
}

// checkCrash checks whether the target of a failed call crashed, and counts the
// crash for the requests with pieces in the call. It returns once that is known,
// or after crashCheckWait. After a timeout of the call it does not wait: a target
// that is cut off does not refuse connections, and the pieces have lost enough
// time.
func (d *Dispatcher) checkCrash(c *call, target fleet.Target, timedOut bool) {
	if d.o.CrashGuard == nil || d.ctx.Err() != nil {
		return
	}
	b := brokenCall{c, target, d.o.Clock.Now()}
	known := make(chan struct{})
	go func() {
		defer close(known)
		ctx, cancel := context.WithTimeout(d.ctx, crashCheckTimeout)
		defer cancel()
		if d.o.CrashGuard.HasCrashed(ctx, target) {
			d.recordCrash(b, "dial")
			return
		}
		d.watchBrokenCall(b)
	}()
	if timedOut {
		return
	}
	over := make(chan struct{})
	timer := d.o.Clock.AfterFunc(crashCheckWait, func() { close(over) })
	defer timer.Stop()
	select {
	case <-known:
	case <-over:
	}
}

// watchBrokenCall has the next changes of the target list decide whether the
// call's target crashed: a check by connection misses a target that crashed
// where it cannot be reached, or whose address has another target at once.
func (d *Dispatcher) watchBrokenCall(b brokenCall) {
	d.mu.Lock()
	if len(d.undecided) < maxBrokenCalls {
		d.undecided = append(d.undecided, b)
	}
	d.decideBrokenCalls()
	d.mu.Unlock()
}

// decideBrokenCalls counts the crashes that the target list shows: another target
// has the address of one whose call failed, or that one has started again. A target that announced its end has
// not crashed. The caller holds the lock.
func (d *Dispatcher) decideBrokenCalls() {
	if d.view == nil || len(d.undecided) == 0 {
		return
	}
	now := d.o.Clock.Now()
	d.undecided = slices.DeleteFunc(d.undecided, func(b brokenCall) bool {
		listed, known := d.view.Get(b.target.ID)
		if known && listed.Draining || now.Sub(b.broke) > crashListTime {
			return true
		}
		next, taken := d.view.AtAddress(b.target.Address)
		again := known && listed.Succeeds(b.target)
		if !again && (!taken || next == b.target.ID) {
			return false
		}
		go d.recordCrash(b, "list")
		return true
	})
}

// recordCrash counts the crash of the call's target for each request with pieces
// in the call.
func (d *Dispatcher) recordCrash(b brokenCall, seen string) {
	d.mu.Lock()
	var keys, requests []string
	for _, q := range b.call.pieces {
		j := q.unit.job
		j.suspicion.trial = false // it has shown that it still crashes targets
		if key := j.computeCrashKey(d.o.CrashGuard); key != "" && !slices.Contains(keys, key) {
			keys = append(keys, key)
		}
		if len(requests) < maxLoggedRequests && !slices.Contains(requests, j.ID) {
			requests = append(requests, j.ID)
		}
	}
	d.crashCounts.Targets++
	d.mu.Unlock()
	now := d.o.Clock.Now()
	d.o.Logger.Log(event.StageTargetCrashed, "target", b.target.ID, "seen", seen, "pieces", len(b.call.pieces), "keys", len(keys),
		"sent_ms_ago", now.Sub(b.call.sent).Milliseconds(), "broke_ms_ago", now.Sub(b.broke).Milliseconds(), "requests", strings.Join(requests, ","))
	for _, key := range keys {
		d.o.CrashGuard.RecordCrash(key, TargetCrash{Target: b.target.Run(), Sent: b.call.sent, Broke: b.broke})
	}
}
