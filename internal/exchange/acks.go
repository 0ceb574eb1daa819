package exchange

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// ErrUnacknowledged is the reason of an exchange that failed because the target's
// host acknowledged nothing for Request.AckTimeout.
var ErrUnacknowledged = errors.New("the target's machine acknowledges nothing")

// ackMonitor monitors whether the host of a target acknowledges a request.
//
// Without it, a pooled connection looks idle although the remote end is
// partitioned or a middlebox has dropped its state. A request on it waits until
// its deadline, since the kernel retransmits for longer (userTimeout). The symptom
// is requests that time out at targets that answer others. A limit on the time to
// the response would not do instead: it would cut off targets that are merely slow,
// whose kernel acknowledges at once.
type ackMonitor struct {
	x *exchange

	mu         sync.Mutex // guards all below
	timer      *time.Timer
	unacked    int  // number of unacknowledged bytes at the last check
	closedConn bool // the connection was closed for lack of acknowledgements
	stopped    bool
}

// ackChecks is the number of checks within Request.AckTimeout.
const ackChecks = 2

// monitorAcks starts an ackMonitor; it returns nil if the request has no
// AckTimeout.
func (x *exchange) monitorAcks() *ackMonitor {
	if x.request.AckTimeout <= 0 {
		return nil
	}
	s := &ackMonitor{x: x}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.timer = time.AfterFunc(x.request.AckTimeout/ackChecks, s.check)
	return s
}

// check closes the connection if nothing was acknowledged since the last check.
// While the request is still being written, the number of unacknowledged bytes does
// not show that.
func (s *ackMonitor) check() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return
	}
	before := s.unacked
	s.unacked = 0
	select {
	case <-s.x.written:
		s.unacked = s.x.pool.opts.Unacked(s.x.conn.Conn)
	default:
	}
	if s.unacked > 0 && s.unacked == before {
		s.closedConn = true
		s.x.conn.Close()
		return
	}
	s.timer.Reset(s.x.request.AckTimeout / ackChecks)
}

// suspectAfter is how long a request may stay unacknowledged until Options.OnUnacked is
// called: a few round trips and one retransmission.
const suspectAfter = 300 * time.Millisecond

// monitorSilence calls Options.OnUnacked if the request is not acknowledged in time. The
// returned function ends that.
func (x *exchange) monitorSilence() (stop func()) {
	if x.pool.opts.OnUnacked == nil || x.conn.heard == nil {
		return func() {}
	}
	timer := time.AfterFunc(suspectAfter, func() {
		if x.pool.opts.Unacked(x.conn.Conn) > 0 {
			x.pool.opts.OnUnacked(x.conn.lane.address)
		}
	})
	return func() { timer.Stop() }
}

func (s *ackMonitor) stop() {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	s.timer.Stop()
}

// expired reports whether the connection was closed for lack of acknowledgements.
func (s *ackMonitor) expired() bool {
	if s == nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closedConn
}

// unacked asks the kernel for the number of bytes that were sent and not
// acknowledged. Bytes that the kernel holds back because the target reads slowly
// don't count: its host has acknowledged those before. The result is 0 if the
// connection is not a socket.
func unacked(nc net.Conn) (bytes int) {
	if checked, ok := nc.(Checked); ok {
		return checked.Unacked()
	}
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0
	}
	_ = raw.Control(func(fd uintptr) {
		queued, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
		unsent, err2 := unix.IoctlGetInt(int(fd), unix.SIOCOUTQNSD)
		if err == nil && err2 == nil {
			bytes = queued - unsent
		}
	})
	return bytes
}
