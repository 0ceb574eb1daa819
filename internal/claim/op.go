package claim

import (
	"encoding/json"
	"sync/atomic"
	"time"

	"lynxhill.example/lynxhill/internal/errkind"
)

// opResult is what an op comes to.
type opResult struct {
	answer Answer
	found  bool
	err    error
}

// op is a claim, a completion, a release or a lookup on its way through its
// shard's flush loop.
type op struct {
	entry entry
	life  keyLife
	// supersedes is the token of an attempt of the same request that this
	// instance handed to an owner and gave up; its claim may be replaced.
	supersedes string
	source     source
	lazy       bool // may wait for another write to ride on
	// copied says that another instance has a copy, or is one. Used by the flush
	// loop alone once the op is queued.
	copied bool
	due    time.Time
	done   chan struct{} // closed when result is set
	// onWrite is the result if the write of the last plan succeeds; used by the
	// flush loop alone.
	onWrite opResult

	// Guarded by the shard's mu.
	result    opResult
	finished  bool
	abandoned bool // the caller has gone; nobody will dispatch
	inDoubt   bool // part of a write whose outcome is not known yet
}

// source is what an entry holds only as hashes. It lets another instance make
// the same entry.
type source struct {
	key      Key
	bodyHash string
}

// message is the op as it is sent to another instance.
func (o *op) message(kind string) Message {
	return Message{
		Op: kind, Key: o.source.key, Body: o.source.bodyHash,
		Token: o.entry.Token, Holder: o.entry.Holder, Result: o.entry.Result,
	}
}

func newOp(life keyLife, e entry) *op {
	return &op{entry: e, life: life, done: make(chan struct{})}
}

// finish sets the result. The shard's mu is held.
func (o *op) finish(r opResult) {
	if o.finished {
		return
	}
	o.finished = true
	o.result = r
	close(o.done)
}

// abandon gives up an op whose caller's time is over.
//
// If a write that holds it is under way or its reply was lost, the claim may
// stand in the store. Nothing was dispatched for it and nothing will be, but
// only this instance knows that: the op stays with the flush loop, which
// settles the write and then records a release. Until that is written, a
// resend finds the key held; so the caller is told outcome_unknown, not that
// nothing was claimed.
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

// granted is a claim that this instance holds.
type granted struct {
	pages *Pages
	shard *shard
	entry entry
	life  keyLife
	req   Request
	owner string // instance that wrote the claim; "" for this one
	ended atomic.Bool
}

// end records that the claim has ended.
func (c *granted) end(o *op) {
	if c.owner == "" {
		c.shard.record(o)
		return
	}
	c.pages.ending.Add(1)
	go c.forwardEnd(o)
}

// Complete implements Claim.
func (c *granted) Complete(output json.RawMessage) {
	if c.ended.Swap(true) {
		return
	}
	e := c.entry
	e.Op = opComplete
	e.At = millis(c.pages.opts.Clock.Now())
	if len(output) <= c.pages.opts.MaxResult && json.Valid(output) {
		e.Result = output
	}
	o := newOp(c.life, e)
	o.lazy = true
	o.source = c.source()
	c.end(o)
}

// Release implements Claim.
func (c *granted) Release() {
	if c.ended.Swap(true) {
		return
	}
	o := releaseOf(c.entry, c.life, c.pages.opts.Clock.Now())
	o.source = c.source()
	c.end(o)
}

func (c *granted) source() source { return source{key: c.req.Key, bodyHash: c.req.BodyHash} }

func releaseOf(e entry, life keyLife, now time.Time) *op {
	e.Op = opRelease
	e.At = millis(now)
	return newOp(life, e)
}
