package slotqueue

import (
	"errors"
	"slices"

	"lynxhill.example/lynxhill/internal/event"
)

// end ends the stream. Requests that wait at the coordinator ask another one, which gets to
// know of the slots that are held.
func (cn *clientConn) end(reason string, err error) {
	c := cn.client
	c.mu.Lock()
	if cn.ended {
		c.mu.Unlock()
		return
	}
	cn.ended = true
	cn.timer.Stop()
	cn.cancel()
	delete(c.conns, cn.instance)
	lost := (reason == endFailed || reason == endSilent) && (!cn.idle() || errors.Is(err, ErrUnknownCall))
	if lost || reason == endElsewhere {
		c.exclude(cn.instance, errors.Is(err, ErrUnknownCall))
	}
	waiting, held := cn.dropCalls()
	c.mu.Unlock()
	c.countEnd(reason)
	if reason == endElsewhere || lost {
		c.o.Logger.Log(event.SlotsCoordinatorLost, "coordinator", cn.instance, "reason", reason, "err", err, "waiting", waiting, "held", len(held))
	}
	if reason != endClosed {
		c.stateElsewhere(held)
	}
}

// dropCalls makes the waiting calls ask another coordinator and returns how many they are,
// and the shards of which slots are held. The caller holds the client's mu.
func (cn *clientConn) dropCalls() (waiting int, held map[shardKey]bool) {
	held = make(map[shardKey]bool)
	for id, call := range cn.calls {
		call.told = slices.DeleteFunc(call.told, func(t *clientConn) bool { return t == cn })
		if call.state != callWaiting {
			held[call.req.key()] = true
			continue
		}
		waiting++
		call.state = callLost
		delete(cn.client.calls, id)
		notify(call.wake)
	}
	clear(cn.calls)
	for key, asked := range cn.client.asked {
		if asked == cn {
			delete(cn.client.asked, key)
		}
	}
	return waiting, held
}

// stateElsewhere states the held slots of the shards to the coordinators that rank next.
func (c *Client) stateElsewhere(shards map[shardKey]bool) {
	for key := range shards {
		instance, ok := c.coordinatorOf(key)
		if !ok {
			continue
		}
		c.mu.Lock()
		if cn := c.connTo(instance); cn != nil {
			c.moveTo(cn, key)
		}
		c.mu.Unlock()
	}
}
