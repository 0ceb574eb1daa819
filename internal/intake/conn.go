package intake

import (
	"errors"
	"math"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// phase is what a connection waits for.
type phase int

const (
	awaitsRequest phase = iota // no byte of the next request has arrived
	readsHead
	hasHead // the request is being read or handled
)

// Conn is a connection that a Limiter counts. It observes how fast its client sends and
// reads, limits the time and the size of heads, and counts their memory.
type Conn struct {
	net.Conn
	limiter *Limiter
	number  uint64       // of the Limiter's connections, in the order of their arrival
	holds   atomic.Int64 // bytes that its requests have reserved

	// Times since the Limiter began.
	graceUntil   atomic.Int64 // the client counts as being on its pace
	paceUntil    atomic.Int64 // what has arrived suffices until then
	blockedSince atomic.Int64 // begin of a write that the client has not taken yet; 0 = none
	rate         atomic.Int64 // at which the request has to arrive, bytes per second

	readSince  atomic.Bool // bytes have arrived since the answer before
	sentAhead  atomic.Bool // the request was sent before the answer to the one before
	hadRequest atomic.Bool // a whole request has arrived on it
	refused    atomic.Bool // the Limiter responds to the client and closes the connection

	mu    sync.Mutex // guards the fields below; locked before limiter.mu
	phase phase
	since time.Time // begin of the phase
	asked time.Time // read deadline that the server has set; zero = none
	head  headWatch

	headMu       sync.Mutex  // guards the fields below; locked before limiter.mu
	headReserved Reservation // for a long head
	closed       bool

	// Guarded by limiter.mu.
	serving int  // whole requests that are being served, and those that wait for memory
	evicted bool // it was closed for another connection
}

func newConn(conn net.Conn, l *Limiter) *Conn {
	c := &Conn{Conn: conn, limiter: l, since: time.Now()}
	c.headReserved = Reservation{memory: l.o.Memory, conn: c}
	c.rate.Store(minRate)
	c.grantGrace()
	return c
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	for {
		if c.refused.Load() {
			return 0, &net.OpError{Op: "read", Err: net.ErrClosed}
		}
		c.setDeadline()
		n, err := c.Conn.Read(p)
		if n > 0 {
			c.readSince.Store(true)
			c.advance(n)
			if refusal := c.received(p[:n]); refusal != nil {
				return 0, refusal
			}
			return n, err
		}
		if !isTimeout(err) || c.timedOut() {
			return n, err
		}
	}
}

// received examines bytes that have arrived. If they belong to a head that is refused, it
// responds itself and returns an error: net/http would take a head that breaks off in a line
// for a malformed one, and the caller would not retry.
func (c *Conn) received(p []byte) error {
	cost, err := c.examine(p)
	if err == nil {
		err = c.reserveHead(cost)
	}
	switch {
	case err == nil:
		return nil
	case errors.Is(err, errHeadTooLarge):
		c.refuse(limitHeadBytes, c.limiter.o.HeadResponse)
	case errors.Is(err, ErrFull):
		c.refuse(limitMemory, c.limiter.o.FullResponse)
	}
	return &net.OpError{Op: "read", Err: err}
}

// refuse responds to a request whose head met the limit, and closes the connection.
func (c *Conn) refuse(met limit, response []byte) {
	c.count(met)
	c.refused.Store(true)
	c.limiter.remove(c)
	c.limiter.linger(c.Conn, response)
}

// examine passes bytes that have arrived to the headWatch, if they belong to a head. It
// returns the memory that the head takes so far.
func (c *Conn) examine(p []byte) (cost int64, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == hasHead || c.limiter.o.Limits == nil && c.head.opaque(p) {
		return 0, nil
	}
	if c.phase == awaitsRequest {
		c.phase, c.since = readsHead, time.Now()
	}
	limit := math.MaxInt
	if c.limiter.o.Limits != nil {
		limit = c.limiter.o.Limits().MaxHeadBytes + headSlack
	}
	err = c.head.add(p, limit)
	return c.head.cost(), err
}

// reserveHead reserves memory for the head that is being read.
func (c *Conn) reserveHead(cost int64) error {
	c.headMu.Lock()
	defer c.headMu.Unlock()
	if c.closed {
		return net.ErrClosed
	}
	if c.headReserved.memory == nil || cost <= c.headReserved.bytes {
		return nil
	}
	return c.headReserved.Add(cost - c.headReserved.bytes)
}

// finishHead records that the request to which the head belongs is whole.
func (c *Conn) finishHead() {
	c.headMu.Lock()
	defer c.headMu.Unlock()
	if c.headReserved.memory != nil {
		c.headReserved.finish()
	}
}

// releaseHead releases the memory of the head, for good if the connection is being closed.
func (c *Conn) releaseHead(closing bool) {
	c.headMu.Lock()
	defer c.headMu.Unlock()
	if !c.closed && c.headReserved.memory != nil {
		c.headReserved.End()
	}
	c.closed = c.closed || closing
}

func (c *Conn) count(met limit) { c.limiter.o.Meter.count(c.limiter, met, c.RemoteAddr()) }

// headArrived records that the head of a request is complete.
func (c *Conn) headArrived() {
	c.sentAhead.Store(!c.readSince.Load())
	c.mu.Lock()
	c.phase = hasHead
	c.mu.Unlock()
}

// awaitRequest records that the answer to a request is complete and the connection waits
// for the next one.
func (c *Conn) awaitRequest() {
	c.mu.Lock()
	c.phase, c.since = awaitsRequest, time.Now()
	c.head.next()
	c.mu.Unlock()
	c.releaseHead(false)
	c.readSince.Store(false)
	c.rate.Store(minRate)
	c.grantGrace()
	c.paceUntil.Store(0)
}

// SetReadDeadline implements net.Conn.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	c.asked = t
	err := c.Conn.SetReadDeadline(c.deadline())
	c.mu.Unlock()
	return err
}

// setDeadline applies the limits in force to the read deadline.
func (c *Conn) setDeadline() {
	if c.limiter.o.Limits == nil {
		return
	}
	c.mu.Lock()
	_ = c.Conn.SetReadDeadline(c.deadline())
	c.mu.Unlock()
}

// deadline returns the earlier of the server's deadline and that of the phase; zero = none.
// The caller must hold c.mu.
func (c *Conn) deadline() time.Time {
	own := c.phaseDeadline()
	if own.IsZero() || !c.asked.IsZero() && c.asked.Before(own) {
		return c.asked
	}
	return own
}

// phaseDeadline returns the deadline that the limits in force set; zero = none. The caller
// must hold c.mu.
func (c *Conn) phaseDeadline() time.Time {
	if c.limiter.o.Limits == nil || c.phase == hasHead {
		return time.Time{}
	}
	limits := c.limiter.o.Limits()
	if c.phase == readsHead {
		return c.since.Add(limits.HeaderTimeout)
	}
	return c.since.Add(limits.IdleTimeout)
}

// timedOut reports whether a read that timed out has to end. It has not if the deadline was
// moved meanwhile.
func (c *Conn) timedOut() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if own := c.phaseDeadline(); !own.IsZero() && !own.After(now) {
		if c.phase == readsHead && !c.head.late { // net/http may read again
			c.head.late = true
			c.count(limitHeadTime)
		}
		return true
	}
	return c.limiter.o.Limits == nil || !c.asked.IsZero() && !c.asked.After(now)
}

// Write implements net.Conn. It writes in parts, so that a client that reads slowly can be
// told from one that does not read.
func (c *Conn) Write(p []byte) (written int, err error) {
	if c.refused.Load() {
		return 0, net.ErrClosed
	}
	defer c.blockedSince.Store(0)
	for {
		c.blockedSince.Store(max(int64(c.limiter.now()), 1))
		n, err := c.Conn.Write(p[:min(len(p), writeSize)])
		written += n
		p = p[n:]
		if err != nil || len(p) == 0 {
			return written, err
		}
	}
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.releaseHead(true)
	if c.refused.Load() {
		return nil
	}
	c.limiter.remove(c)
	return c.Conn.Close()
}

// CloseWrite closes the sending side. net/http calls it before it closes a connection whose
// response still has to reach the caller.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}
