package target

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// errConnLost ends the calls of a connection that does not answer its pings.
var errConnLost = errors.New("the connection does not answer pings")

// net/http sends the pings; their answers count as heard. Its own time limit is
// not used: it runs on while this process does not, so that after a pause it ends
// connections whose answers have arrived and are not read yet.
const (
	pingTimeoutOff = 24 * time.Hour
	// lostLooks is the number of intervals in a row in which nothing was heard before
	// a connection counts as lost.
	lostLooks = 4
	// heldLooks is that number while the connection has calls that may not be
	// repeated. Ending one leaves its outcome unknown for good, and its target may
	// only have been paused.
	heldLooks = 5 * lostLooks
	// calmLooks is the number of intervals between looks while the connection is
	// heard, which the pings bring about.
	calmLooks = lostLooks / 2
)

// hearingConn counts what is read from it, and closes when it is lost.
type hearingConn struct {
	net.Conn
	line  *line
	every time.Duration // interval of the looks

	heard atomic.Int64 // bytes read
	lost  atomic.Bool

	mu     sync.Mutex // guards timer and closed
	timer  *time.Timer
	closed bool
}

// Read implements net.Conn.
func (c *hearingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.heard.Add(int64(n))
	c.line.heard.Add(int64(n))
	return n, c.reason(err)
}

// Write implements net.Conn.
func (c *hearingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	return n, c.reason(err)
}

// reason returns why the connection failed.
func (c *hearingConn) reason(err error) error {
	if err != nil && c.lost.Load() {
		return errConnLost
	}
	return err
}

// Close implements net.Conn.
func (c *hearingConn) Close() error {
	c.mu.Lock()
	c.closed = true
	c.timer.Stop()
	c.mu.Unlock()
	return c.Conn.Close()
}

// lookLater looks at the connection after the interval, or several while it was
// heard. heard is what had been read and silent the intervals without any up to now.
func (c *hearingConn) lookLater(heard int64, silent int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	intervals := 1
	if silent == 0 {
		intervals = calmLooks
	}
	began, wait := time.Now(), time.Duration(intervals)*c.every
	c.timer = time.AfterFunc(wait, func() {
		late := time.Since(began) >= 2*wait
		c.look(heard, silent, intervals, late)
	})
}

// look closes the connection once enough intervals passed without anything heard.
// Those of a late look do not count: the process was paused, and what has arrived is
// not read yet.
func (c *hearingConn) look(heard int64, silent, intervals int, late bool) {
	now := c.heard.Load()
	switch {
	case now != heard:
		silent = 0
	case !late:
		silent += intervals
	}
	if silent >= lostLooks && (silent >= heldLooks || !c.line.giveUp(errConnLost)) {
		c.lost.Store(true)
		_ = c.Close()
		return
	}
	c.lookLater(now, silent)
}
