package slotqueue

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/coder/quartz"
)

const (
	// heartbeatEvery is the interval of the heartbeats while requests are in flight; the
	// coordinator answers each.
	heartbeatEvery = 250 * time.Millisecond
	// silenceTimeout is how long a coordinator may send nothing while requests are in
	// flight before it counts as lost: two heartbeats.
	silenceTimeout = 500 * time.Millisecond
	// idleTimeout is how long a stream without requests in flight stays open.
	idleTimeout = 5 * time.Second
	// stallTolerance is how late a check may run. If it runs later, this instance did not
	// run for a while, and messages that arrived in that time have not been read yet.
	stallTolerance = 150 * time.Millisecond
)

// Reasons for the end of a stream.
const (
	endClosed    = "closed"
	endIdle      = "idle"
	endFailed    = "failed"
	endSilent    = "silent"
	endElsewhere = "elsewhere"
)

// errSilent is logged for a coordinator from which nothing arrives.
var errSilent = errors.New("nothing received")

// clientConn is the stream to one coordinator. Its fields are guarded by the client's mu.
type clientConn struct {
	client   *Client
	instance string
	ctx      context.Context
	cancel   context.CancelFunc
	wake     chan struct{} // there is something to send

	pending      Up
	heartbeat    bool
	calls        map[uint64]*clientCall // that the coordinator knows of
	busySince    time.Time              // when calls became non-empty, or the silence began to count anew
	idleSince    time.Time              // when calls became empty
	lastReceived time.Time
	slowSince    time.Time // when a request was not answered in time; zero = a message has arrived since
	nextCheck    time.Time
	timer        *quartz.Timer
	probing      bool // tries an instance that is excluded, which has not answered yet
	ended        bool
}

// connTo returns the stream to the coordinator and opens it if there is none; nil if the
// client is closed. The caller holds c.mu.
func (c *Client) connTo(instance string) *clientConn {
	if cn := c.conns[instance]; cn != nil || c.closed {
		return cn
	}
	now := c.o.Clock.Now()
	ctx, cancel := context.WithCancel(context.Background())
	cn := &clientConn{
		client: c, instance: instance, ctx: ctx, cancel: cancel, wake: make(chan struct{}, 1),
		pending: Up{Instance: c.o.Self}, calls: make(map[uint64]*clientCall), idleSince: now,
	}
	c.conns[instance] = cn
	cn.schedule(heartbeatEvery)
	go cn.run()
	return cn
}

// add counts a call that the coordinator gets to know. The caller holds the client's mu.
func (cn *clientConn) add(call *clientCall) {
	if cn.ended || slices.Contains(call.told, cn) {
		return
	}
	if len(cn.calls) == 0 {
		cn.busySince = cn.client.o.Clock.Now()
		cn.schedule(heartbeatEvery)
	}
	call.told = append(call.told, cn)
	cn.calls[call.req.ID] = call
}

// remove is called when a call has ended. The caller holds the client's mu.
func (cn *clientConn) remove(call *clientCall) {
	delete(cn.calls, call.req.ID)
	if len(cn.calls) == 0 {
		cn.idleSince = cn.client.o.Clock.Now()
	}
}

// isSlow reports whether a request has just waited in vain for a message and none has
// arrived since. The caller holds the client's mu.
func (cn *clientConn) isSlow(now time.Time) bool {
	return !cn.slowSince.IsZero() && now.Sub(cn.slowSince) < heartbeatEvery
}

// idle reports whether nothing is expected from the coordinator. The caller holds the
// client's mu.
func (cn *clientConn) idle() bool { return len(cn.calls) == 0 && !cn.probing }

// schedule sets the time of the next check. The caller holds the client's mu.
func (cn *clientConn) schedule(after time.Duration) {
	clock := cn.client.o.Clock
	cn.nextCheck = clock.Now().Add(after)
	if cn.timer == nil {
		cn.timer = clock.AfterFunc(after, cn.check)
		return
	}
	cn.timer.Reset(after)
}

// check sends a heartbeat while calls are in flight, and ends the stream if it is silent
// or idle.
func (cn *clientConn) check() {
	if reason := cn.checkLocked(); reason != "" {
		cn.end(reason, errSilent)
	}
}

func (cn *clientConn) checkLocked() (end string) {
	c := cn.client
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.o.Clock.Now()
	switch {
	case cn.ended:
		return ""
	case cn.idle() && now.Sub(cn.idleSince) >= idleTimeout:
		return endIdle
	case cn.idle():
		cn.schedule(idleTimeout - now.Sub(cn.idleSince))
		return ""
	case now.Sub(cn.nextCheck) > stallTolerance:
		cn.busySince = now
	}
	heard := cn.busySince
	if cn.lastReceived.After(heard) {
		heard = cn.lastReceived
	}
	left := silenceTimeout - now.Sub(heard)
	if left <= 0 {
		return endSilent
	}
	cn.heartbeat = true
	notify(cn.wake)
	cn.schedule(min(heartbeatEvery, left))
	return ""
}

// run opens the stream and sends what is pending until the stream ends.
func (cn *clientConn) run() {
	stream, err := cn.open()
	if err != nil {
		cn.end(endFailed, err)
		return
	}
	defer stream.Close()
	go cn.receive(stream)
	for {
		select {
		case <-cn.ctx.Done():
			return
		case <-cn.wake:
		}
		up, any := cn.take()
		if !any {
			continue
		}
		if err := stream.Send(up); err != nil {
			// Receive returns the reason.
			<-cn.ctx.Done()
			return
		}
	}
}

func (cn *clientConn) open() (Stream, error) {
	o := &cn.client.o
	if cn.instance == o.Self {
		return openLocal(o.Local, o.Self), nil
	}
	return o.Open(cn.ctx, cn.instance)
}

// take returns the next message; any is false if there is nothing to send.
func (cn *clientConn) take() (up Up, any bool) {
	cn.client.mu.Lock()
	defer cn.client.mu.Unlock()
	up, any = cn.pending, cn.heartbeat || cn.pending.Instance != "" || !cn.pending.Empty()
	cn.pending, cn.heartbeat = Up{}, false
	return up, any
}

// receive handles what the coordinator sends until the stream ends.
func (cn *clientConn) receive(stream Stream) {
	for {
		down, err := stream.Receive()
		if err != nil {
			cn.end(endFailed, err)
			return
		}
		cn.handle(down)
		if down.Elsewhere != "" {
			cn.end(endElsewhere, nil)
			return
		}
	}
}

func (cn *clientConn) handle(down Down) {
	c := cn.client
	c.mu.Lock()
	defer c.mu.Unlock()
	if cn.ended {
		return
	}
	cn.lastReceived, cn.slowSince = c.o.Clock.Now(), time.Time{}
	if cn.probing && down.Elsewhere == "" {
		cn.probing = false
		delete(c.excluded, cn.instance)
	}
	for _, a := range down.Answers {
		cn.answer(a)
	}
}

// answer applies the answer to its call. The caller holds the client's mu.
func (cn *clientConn) answer(a Answer) {
	call := cn.calls[a.ID]
	switch {
	case call == nil || call.state != callWaiting:
		if a.Target != "" && (call == nil || call.target != a.Target) {
			// The request was cancelled in the meantime.
			cn.pending.Releases = append(cn.pending.Releases, Release{ID: a.ID})
			cn.client.count("unused")
			notify(cn.wake)
		}
		return
	case a.Refusal != nil:
		call.state, call.refusal = callRefused, a.Refusal
		cn.client.forget(call)
	case a.Target != "":
		call.state, call.target = callGranted, a.Target
		cn.client.o.Clock.AfterFunc(unusedTimeout, func() { cn.client.releaseUnused(call) })
	default:
		call.heard = true
	}
	notify(call.wake)
}
