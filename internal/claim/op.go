package claim

import (
	"encoding/json"
	"sync/atomic"
	"time"

	"lynxhill.example/lynxhill/internal/errkind"
)

// opResult is the outcome of an op.
type opResult struct {
	answer Answer
	found  bool
	err    error
}

// op is a claim, a completion, a release or a lookup that is processed by its
// shard's flush loop.
type op struct {
	entry    entry
	lifetime keyLifetime
	// supersedes is the token of an earlier attempt of the same request, which
	// this instance forwarded to an owner and abandoned. A claim with that token
	// may be replaced.
	supersedes string
	unhashed   unhashed
	lazy       bool // may be delayed to share a write with other ops
	// replicated says that another instance has a copy of the op, or that this op
	// is such a copy. Only the flush loop uses it once the op is queued.
	replicated bool
	due        time.Time
	done       chan struct{} // closed when result is set
	// onWrite is the result if the write of the last plan succeeds. Only the
	// flush loop uses it.
	onWrite opResult

	// Guarded by the shard's mu.
	result    opResult
	finished  bool
	abandoned bool // the caller no longer waits; the stage will not be dispatched
	inDoubt   bool // part of a write whose outcome is unknown so far
}

// unhashed holds the values that an entry stores only as hashes. Another
// instance needs them to create the same entry.
type unhashed struct {
	key      Key
	bodyHash string
}

// message returns the op in the form in which it is sent to another instance.
func (o *op) message(kind string) Message {
	return Message{
		Op: kind, Key: o.unhashed.key, Body: o.unhashed.bodyHash,
		Token: o.entry.Token, Holder: o.entry.Holder, Result: o.entry.Result,
	}
}

func newOp(life keyLifetime, e entry) *op {
	return &op{entry: e, lifetime: life, done: make(chan struct{})}
}

// finish sets the result if it is not set yet. The caller holds the shard's mu.
func (o *op) finish(r opResult) {
	if o.finished {
		return
	}
	o.finished = true
	o.result = r
	close(o.done)
}

// abandon ends the wait for an op after the caller's deadline or cancellation.
//
// If a write that contains the op is in progress or its reply was lost, the
// claim may be in the store. The stage was not dispatched for it and will not
// be, but only this instance knows that. Therefore the op stays with the flush
// loop, which resolves the write and then records a release. Until the release
// is written, a retry finds the key held, so the caller gets OutcomeUnknown
// instead of StoreUnavailable, which means that nothing is claimed.
func (s *shard) abandon(o *op) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o.finished {
		return
	}
	o.abandoned = true
	if o.inDoubt && o.entry.Op == opClaim {
		o.finish(opResult{err: errkind.New(errkind.OutcomeUnknown, "the store did not confirm the claim; the stage was not started")})
		return
	}
	o.finish(opResult{err: errkind.New(errkind.StoreUnavailable, "the store did not answer within the deadline")})
}

func (s *shard) resultOf(o *op) opResult {
	s.mu.Lock()
	defer s.mu.Unlock()
	return o.result
}

// grantedClaim is a claim, recorded in the store, that this instance holds.
type grantedClaim struct {
	claimer  *StoreClaimer
	shard    *shard
	entry    entry
	lifetime keyLifetime
	req      Request
	owner    string // instance that wrote the claim; "" for this instance
	ended    atomic.Bool
}

// end records a completion or release of the claim, at the instance that wrote
// the claim.
func (c *grantedClaim) end(o *op) {
	if c.owner == "" {
		c.shard.record(o)
		return
	}
	c.claimer.forwardedEnds.Add(1)
	go c.forwardEnd(o)
}

// Complete implements Claim.
func (c *grantedClaim) Complete(output json.RawMessage) {
	if c.ended.Swap(true) {
		return
	}
	e := c.entry
	e.Op = opComplete
	e.At = millis(c.claimer.opts.Clock.Now())
	if len(output) <= c.claimer.opts.MaxResult && json.Valid(output) {
		e.Result = output
	}
	o := newOp(c.lifetime, e)
	o.lazy = true
	o.unhashed = c.unhashed()
	c.end(o)
}

// Release implements Claim.
func (c *grantedClaim) Release() {
	if c.ended.Swap(true) {
		return
	}
	o := releaseOf(c.entry, c.lifetime, c.claimer.opts.Clock.Now())
	o.unhashed = c.unhashed()
	c.end(o)
}

func (c *grantedClaim) unhashed() unhashed { return unhashed{key: c.req.Key, bodyHash: c.req.BodyHash} }

func releaseOf(e entry, life keyLifetime, now time.Time) *op {
	e.Op = opRelease
	e.At = millis(now)
	return newOp(life, e)
}
