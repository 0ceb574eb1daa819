package exchange

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// ErrSilent is the reason of an exchange that failed since the target's machine
// acknowledged nothing for Request.SilentAfter.
var ErrSilent = errors.New("the target's machine acknowledges nothing")

// silence watches whether the machine of a target acknowledges a request.
//
// What goes wrong without it: a kept connection whose other end is cut off, or
// was forgotten by what lies between, looks idle; a request on it waits for its
// whole time, since the kernel tries for longer (userTimeout). One notices it by
// requests that end at their time limit at targets that answer others. A bound
// on the time to the answer would cut off targets that are only slow; the kernel
// of a slow one acknowledges at once.
type silence struct {
	x *exchange

	mu      sync.Mutex // guards all below
	timer   *time.Timer
	unacked int // at the last look
	silent  bool
	stopped bool
}

// looks is how often the connection is looked at within SilentAfter.
const looks = 2

// watchSilence begins to watch; nil if the request has no bound.
func (x *exchange) watchSilence() *silence {
	if x.request.SilentAfter <= 0 {
		return nil
	}
	s := &silence{x: x}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.timer = time.AfterFunc(x.request.SilentAfter/looks, s.look)
	return s
}

// look closes the connection if nothing was acknowledged since the last look.
// While the request is being written that can't be told from the amount.
func (s *silence) look() {
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
		s.silent = true
		s.x.conn.Close()
		return
	}
	s.timer.Reset(s.x.request.SilentAfter / looks)
}

func (s *silence) stop() {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	s.timer.Stop()
}

// met reports whether the machine was silent.
func (s *silence) met() bool {
	if s == nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.silent
}

// unacked asks the kernel for the bytes on their way. Those that wait for a
// target which reads slowly don't count: its machine has acknowledged the others.
// Of what is no socket nothing is known.
func unacked(nc net.Conn) (bytes int) {
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
