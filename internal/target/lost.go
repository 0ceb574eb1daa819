package target

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// errConnLost is the error of the calls on a connection that does not answer
// pings.
var errConnLost = errors.New("the connection does not answer pings")

// net/http sends the pings, and their responses count as bytes read. Its own ping
// timeout is not used, because it continues to run while this process is paused:
// after a pause it would close connections whose responses have arrived but have
// not been read yet.
const (
	pingTimeoutOff = 24 * time.Hour
	// lostIntervals is the number of consecutive intervals without bytes read after
	// which a connection counts as lost.
	lostIntervals = 4
	// lostIntervalsInUse is that number while the connection has calls that may not
	// be retried. Ending such a call leaves its outcome unknown for good, and its
	// target may only have been paused.
	lostIntervalsInUse = 5 * lostIntervals
	// activeIntervals is the number of intervals between checks while bytes are
	// being read, which the pings ensure on a healthy connection.
	activeIntervals = lostIntervals / 2
)

// monitoredConn counts the bytes that are read from it, and closes itself when the
// connection is lost.
type monitoredConn struct {
	net.Conn
	transport *transport
	interval  time.Duration // unit of the time between checks

	bytesRead atomic.Int64 // bytes read
	lost      atomic.Bool

	mu     sync.Mutex // guards timer and closed
	timer  *time.Timer
	closed bool
}

// Read implements net.Conn.
func (c *monitoredConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytesRead.Add(int64(n))
	c.transport.bytesRead.Add(int64(n))
	return n, c.mapError(err)
}

// Write implements net.Conn.
func (c *monitoredConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	return n, c.mapError(err)
}

// mapError returns errConnLost in place of an error that followed from the
// connection being lost.
func (c *monitoredConn) mapError(err error) error {
	if err != nil && c.lost.Load() {
		return errConnLost
	}
	return err
}

// Close implements net.Conn.
func (c *monitoredConn) Close() error {
	c.mu.Lock()
	c.closed = true
	c.timer.Stop()
	c.mu.Unlock()
	return c.Conn.Close()
}

// scheduleCheck schedules a check of the connection after one interval, or after
// activeIntervals while bytes are being read. bytesRead is the number of bytes read
// up to now, and silent is the number of latest intervals in which none were read.
func (c *monitoredConn) scheduleCheck(bytesRead int64, silent int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	intervals := 1
	if silent == 0 {
		intervals = activeIntervals
	}
	began, wait := time.Now(), time.Duration(intervals)*c.interval
	c.timer = time.AfterFunc(wait, func() {
		late := time.Since(began) >= 2*wait
		c.check(bytesRead, silent, intervals, late)
	})
}

// check closes the connection after enough intervals without bytes read. The
// intervals of a late check do not count: this process was paused, and what has
// arrived may not have been read yet.
func (c *monitoredConn) check(bytesRead int64, silent, intervals int, late bool) {
	now := c.bytesRead.Load()
	switch {
	case now != bytesRead:
		silent = 0
	case !late:
		silent += intervals
	}
	if silent >= lostIntervals && (silent >= lostIntervalsInUse || !c.transport.abandon(errConnLost)) {
		c.lost.Store(true)
		_ = c.Close()
		return
	}
	c.scheduleCheck(now, silent)
}
