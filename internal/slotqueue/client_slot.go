package slotqueue

import (
	"errors"
	"time"

	"lynxhill.example/lynxhill/internal/relay"
)

// ErrReleased is the error of the use of a slot that has been released because it was not
// used in time.
var ErrReleased = errors.New("slotqueue: the slot was not used in time and has been released")

// Slot is the right to send one attempt to a target.
type Slot struct {
	client      *Client
	call        *clientCall // nil = not stated to any coordinator yet
	req         Request
	target      string
	coordinator string
}

// Target returns the ID of the target that the coordinator has chosen; "" = the owner has
// to choose.
func (s *Slot) Target() string { return s.target }

// Coordinator returns the instance that granted or refused the slot; "" = none.
func (s *Slot) Coordinator() string { return s.coordinator }

// ID returns the number of the request, under which the coordinator logs it; 0 = it knows
// of none.
func (s *Slot) ID() uint64 {
	if s.call == nil {
		return 0
	}
	return s.call.req.ID
}

// Use must be called before the attempt is sent. The error is ErrReleased if the slot has
// been released, since it was not used for too long; nothing may be sent then.
func (s *Slot) Use() error {
	if s.call == nil {
		return nil
	}
	s.client.mu.Lock()
	defer s.client.mu.Unlock()
	if s.call.state != callGranted {
		return ErrReleased
	}
	s.call.state = callUsed
	return nil
}

// Chosen tells the coordinator, if there is one, the target that the owner has chosen for
// a slot that names none, and its shard.
func (s *Slot) Chosen(target string, shard int) {
	c := s.client
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.call != nil || c.closed {
		return
	}
	c.lastID++
	s.req.ID, s.req.Shard = c.lastID, shard
	s.call = &clientCall{req: s.req, state: callUsed, target: target}
	c.calls[s.req.ID] = s.call
	if cn := c.asked[s.req.key()]; cn != nil {
		c.state(s.call, cn)
	}
}

// Release ends the use of the slot. Further calls have no effect.
func (s *Slot) Release(outcome Outcome, took time.Duration, load *relay.Load) {
	c := s.client
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.call == nil || s.call.state != callGranted && s.call.state != callUsed {
		return
	}
	s.call.state = callGivenUp
	c.release(s.call, Release{ID: s.call.req.ID, Outcome: outcome, Took: took, Load: load})
}

// releaseUnused releases a slot that is not used unusedTimeout after its grant.
func (c *Client) releaseUnused(call *clientCall) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if call.state != callGranted {
		return
	}
	call.state = callGivenUp
	c.count("unused")
	c.release(call, Release{ID: call.req.ID})
}
