package intake

import (
	"io"
	"net"
	"time"
)

const (
	// maxLingering is the maximum number of closed connections that are kept open until
	// their last response is delivered, and lingerTimeout is the time limit for each.
	maxLingering  = 32
	lingerTimeout = 200 * time.Millisecond
)

// linger sends a response to a connection and closes it. Closing it with unread bytes would
// reset it, and the response could be lost, so what arrives is read and discarded for a
// short time first. That is done for at most maxLingering connections; any further one is
// closed at once, so that they can't accumulate.
func (l *Limiter) linger(conn net.Conn, response []byte) {
	if response == nil || !l.mayLinger() {
		_ = conn.Close()
		return
	}
	go func() {
		defer l.lingered()
		defer conn.Close()
		_ = conn.SetDeadline(time.Now().Add(lingerTimeout))
		_, _ = conn.Write(response)
		if half, ok := conn.(interface{ CloseWrite() error }); ok {
			_ = half.CloseWrite()
		}
		_, _ = io.CopyN(io.Discard, conn, discardLimit)
	}()
}

// mayLinger reports whether another closed connection may be kept open, and counts it.
func (l *Limiter) mayLinger() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lingering >= maxLingering {
		return false
	}
	l.lingering++
	return true
}

func (l *Limiter) lingered() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lingering--
}
