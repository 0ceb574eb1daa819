package slotqueue

import (
	"context"
	"slices"

	"lynxhill.example/lynxhill/internal/event"
)

// callState is how far a request is.
type callState int

const (
	callWaiting callState = iota // no decision yet
	callGranted                  // has a slot that is not used yet
	callUsed                     // its slot is in use
	callRefused
	callLost // the coordinator was lost before it decided
	callUnheard
	callGivenUp
)

// clientCall is a request from its submission to the release of its slot.
type clientCall struct {
	req     Request
	state   callState
	heard   bool        // the coordinator has sent a message about it
	conn    *clientConn // the coordinator that was asked; nil = none
	target  string
	refusal *Refusal
	told    []*clientConn // the coordinators that know of it
	wake    chan struct{}
}

// await waits for the decision on the call.
func (c *Client) await(ctx context.Context, call *clientCall) callState {
	late := make(chan struct{}, 1)
	timer := c.o.Clock.AfterFunc(firstWordTimeout, func() { notify(late) })
	defer timer.Stop()
	for {
		select {
		case <-call.wake:
			if state := c.stateOf(call); state != callWaiting {
				return state
			}
		case <-late:
			if c.dropUnheard(call) {
				return callUnheard
			}
		case <-ctx.Done():
			c.drop(call)
			return callGivenUp
		}
	}
}

func (c *Client) stateOf(call *clientCall) callState {
	c.mu.Lock()
	defer c.mu.Unlock()
	return call.state
}

// dropUnheard cancels the request if no message about it has arrived.
func (c *Client) dropUnheard(call *clientCall) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if call.state != callWaiting || call.heard {
		return false
	}
	call.conn.slowSince = c.o.Clock.Now()
	c.cancel(call)
	return true
}

// drop gives the request up: it cancels it, or releases the slot that it has just got.
func (c *Client) drop(call *clientCall) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch call.state {
	case callWaiting:
		c.cancel(call)
	case callGranted:
		c.release(call, Release{ID: call.req.ID})
	}
}

// cancel ends a waiting call. The caller holds c.mu.
func (c *Client) cancel(call *clientCall) {
	call.state = callGivenUp
	for _, cn := range call.told {
		unsent := len(cn.pending.Requests)
		cn.pending.Requests = slices.DeleteFunc(cn.pending.Requests, func(r Request) bool { return r.ID == call.req.ID })
		if len(cn.pending.Requests) < unsent {
			continue // it has not been sent yet
		}
		cn.pending.Cancelled = append(cn.pending.Cancelled, call.req.ID)
		notify(cn.wake)
	}
	c.forget(call)
}

// release ends a call that has a slot. The caller holds c.mu.
func (c *Client) release(call *clientCall, r Release) {
	for _, cn := range call.told {
		cn.pending.Releases = append(cn.pending.Releases, r)
		notify(cn.wake)
	}
	c.forget(call)
}

// forget removes a call that has ended. The caller holds c.mu.
func (c *Client) forget(call *clientCall) {
	delete(c.calls, call.req.ID)
	for _, cn := range call.told {
		cn.remove(call)
	}
	call.told = nil
}

// moveTo makes the coordinator the one of the shard and states to it the slots of the shard
// that are held and that it does not know of. The caller holds c.mu.
func (c *Client) moveTo(cn *clientConn, key shardKey) {
	if c.asked[key] == cn {
		return
	}
	c.asked[key] = cn
	held := 0
	for _, call := range c.calls {
		if call.req.key() == key && (call.state == callUsed || call.state == callGranted) {
			c.state(call, cn)
			held++
		}
	}
	if held > 0 {
		c.o.Logger.Log(event.SlotsStated, "coordinator", cn.instance, "service", key.service, "shard", key.shard, "held", held)
	}
}

// state tells the coordinator of a slot that is held. The caller holds c.mu.
func (c *Client) state(call *clientCall, cn *clientConn) {
	cn.add(call)
	cn.pending.Held = append(cn.pending.Held, HeldSlot{ID: call.req.ID, Service: call.req.Service, Target: call.target})
	notify(cn.wake)
}
