package forwarding

import (
	"time"

	"lynxhill.example/lynxhill/internal/fleet"
)

const (
	// verdictTime is how long the target list is watched for the end of a target whose
	// attempt ended without a response. It exceeds the time until a crashed target is
	// back, or another one has its address.
	verdictTime     = 8 * time.Second
	verdictInterval = 250 * time.Millisecond
	// maxUndecided bounds the requests that wait for the verdict on one target.
	maxUndecided = 64
)

// undecided are the requests whose attempts at a target ended without a response, while
// it is not known whether the target crashed.
type undecided struct {
	target   fleet.Target
	left     bool // its start was seen to drain
	until    time.Time
	requests []evidence
}

// awaitVerdict counts a crash for the request if within verdictTime the target is listed
// with a later start, or another one has its address: the start that the request was sent
// to has ended. A target that announced its end has not crashed.
//
// A check by connection misses such crashes: the target crashed where it could not be
// reached, or was back at once.
func (f *Forwarder) awaitVerdict(target fleet.Target, e evidence) {
	f.verdictMu.Lock()
	defer f.verdictMu.Unlock()
	u, waits := f.undecided[target.Run()]
	if !waits {
		if f.undecided == nil {
			f.undecided = make(map[string]*undecided)
		}
		u = &undecided{target: target, left: f.drains(target)}
		f.undecided[target.Run()] = u
		f.o.Clock.AfterFunc(verdictInterval, func() { f.checkVerdict(u) })
	}
	u.until = f.o.Clock.Now().Add(verdictTime)
	if len(u.requests) < maxUndecided {
		u.requests = append(u.requests, e)
	}
}

// checkVerdict looks the target up in the target list, and does so again until it is
// decided whether it has crashed, or the time is over.
func (f *Forwarder) checkVerdict(u *undecided) {
	listed, _ := f.o.Targets().Get(u.target.ID)
	next, taken := f.o.Targets().AtAddress(u.target.Address)
	crashed := taken && next != u.target.ID || listed.Succeeds(u.target)
	drains := f.drains(u.target)
	f.verdictMu.Lock()
	u.left = u.left || drains
	left := u.left
	if !crashed && !left && f.o.Clock.Now().Before(u.until) {
		f.verdictMu.Unlock()
		f.o.Clock.AfterFunc(verdictInterval, func() { f.checkVerdict(u) })
		return
	}
	delete(f.undecided, u.target.Run())
	f.verdictMu.Unlock()
	if !crashed || left {
		return
	}
	for _, e := range u.requests {
		f.recordCrash(e, u.target)
	}
}

// drains reports whether the start of the target is listed as draining.
func (f *Forwarder) drains(target fleet.Target) bool {
	listed, known := f.o.Targets().Get(target.ID)
	return known && listed.Draining && !listed.Succeeds(target)
}
