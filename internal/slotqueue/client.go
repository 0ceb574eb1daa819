package slotqueue

import (
	"context"
	"errors"
	"sync"
	"time"

	"lynxhill.example/lynxhill/internal/clock"
	"lynxhill.example/lynxhill/internal/event"
	"lynxhill.example/lynxhill/internal/metrics"
)

const (
	// firstWordTimeout is how long a request waits for a first message about it. A target
	// runs a short request in less.
	firstWordTimeout = 80 * time.Millisecond
	// maxCoordinators is how many coordinators one request asks in turn when they are lost.
	maxCoordinators = 3
	// unusedTimeout is how long a granted slot may stay unused before it is released.
	unusedTimeout = 200 * time.Millisecond
)

// ErrUnknownCall is the error of a stream to an instance whose build does not know the
// call.
var ErrUnknownCall = errors.New("slotqueue: the instance does not know the call")

// ClientOptions configure a Client.
type ClientOptions struct {
	Self string
	// Members returns the IDs of the instances that are alive and not leaving.
	Members func() []string
	// Capacity returns an instance's CPU capacity in cores; 0 if unknown. nil = all
	// instances have the same.
	Capacity func(instance string) float64
	// Joining reports whether this instance has started so recently that it does not know
	// the other members yet. nil = it always knows them.
	Joining func() bool
	// Open opens a stream to another instance, which ends with ctx.
	Open func(ctx context.Context, instance string) (Stream, error)
	// Local opens a session with the coordinator of this instance.
	Local   func(instance string, answer func(Answer)) Session
	Clock   clock.Clock
	Logger  *event.Logger
	Metrics *metrics.Registry
}

// Client acquires slots of targets for the requests of this instance from the
// coordinators. It is safe for concurrent use.
type Client struct {
	o ClientOptions

	mu         sync.Mutex // guards all below, and the fields of the calls and connections
	lastID     uint64
	calls      map[uint64]*clientCall
	conns      map[string]*clientConn   // open ones, by coordinator
	asked      map[shardKey]*clientConn // the coordinator that was asked last
	excluded   map[string]exclusion     // by instance
	closed     bool
	ownChoices ownChoiceLines
}

// NewClient returns a client without streams.
func NewClient(o ClientOptions) *Client {
	c := &Client{
		// IDs differ from those of an earlier process with the same instance ID, whose slots
		// coordinators may still count: no instance has a thousand requests a second.
		lastID: uint64(o.Clock.Now().UnixMilli()),
		o:      o, calls: make(map[uint64]*clientCall), conns: make(map[string]*clientConn),
		asked: make(map[shardKey]*clientConn), excluded: make(map[string]exclusion),
	}
	if o.Metrics != nil {
		o.Metrics.Func(metricStreams, func() any { return c.streams() })
	}
	return c
}

// Acquire waits until the request gets a slot, is refused, or the owner has to choose the
// target by itself: then the slot names no target. The slot of a refused request only says
// who refused it. The error is that of ctx. The request's ID is set by the client.
func (c *Client) Acquire(ctx context.Context, req Request) (*Slot, *Refusal, error) {
	cause := ownNoCoordinator
	for range maxCoordinators {
		key := req.key()
		instance, ok := c.coordinatorOf(key)
		if !ok {
			break
		}
		call, slow := c.submit(instance, req)
		if slow {
			cause = ownSlow
			break
		}
		if call == nil {
			break
		}
		switch c.await(ctx, call) {
		case callGranted:
			c.count("granted")
			return &Slot{client: c, call: call, target: call.target, coordinator: instance}, nil, nil
		case callRefused:
			c.count("refused")
			return &Slot{client: c, call: call, coordinator: instance}, call.refusal, nil
		case callGivenUp:
			c.count("given_up")
			return nil, nil, ctx.Err()
		case callUnheard:
			return c.ownChoice(req, ownUnheard), nil, nil
		}
		cause = ownLost
	}
	return c.ownChoice(req, cause), nil, nil
}

// submit sends the request to the coordinator. slow reports that the coordinator has just
// let another request wait for firstWordTimeout and has sent nothing since, so that it is
// not asked. The call is nil if the client is closed.
func (c *Client) submit(instance string, req Request) (call *clientCall, slow bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	cn := c.connTo(instance)
	if cn == nil {
		return nil, false
	}
	c.moveTo(cn, req.key())
	if cn.isSlow(c.o.Clock.Now()) {
		return nil, true
	}
	c.lastID++
	req.ID = c.lastID
	call = &clientCall{req: req, conn: cn, wake: make(chan struct{}, 1)}
	c.calls[req.ID] = call
	cn.add(call)
	cn.pending.Requests = append(cn.pending.Requests, req)
	notify(cn.wake)
	return call, false
}

// Leave makes the requests that wait at the coordinator ask the next one. An instance that
// stops calls it for its own coordinator.
func (c *Client) Leave(coordinator string) {
	c.mu.Lock()
	cn := c.conns[coordinator]
	c.mu.Unlock()
	if cn != nil {
		cn.end(endElsewhere, nil)
	}
}

// Close ends all streams. Requests that wait, and later ones, choose by themselves.
func (c *Client) Close() {
	c.mu.Lock()
	c.closed = true
	var open []*clientConn
	for _, cn := range c.conns {
		open = append(open, cn)
	}
	c.mu.Unlock()
	for _, cn := range open {
		cn.end(endClosed, nil)
	}
}

// streams returns the number of open streams.
func (c *Client) streams() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.conns)
}
