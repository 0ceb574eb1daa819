package intake

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"time"

	"lynxhill.example/lynxhill/internal/clock"
	"lynxhill.example/lynxhill/internal/defaults"
	"lynxhill.example/lynxhill/internal/event"
)

const (
	// DefaultGrace is the default of Options.Grace.
	DefaultGrace = time.Second
	// rejectingTime is how long after a rejection a listener counts as rejecting
	// connections.
	rejectingTime = time.Second
	// scanInterval is the minimum time between two searches for a connection to close
	// after one that found none.
	scanInterval = 10 * time.Millisecond
)

// Limits are the limits of a listener on heads and times that can change while it serves.
type Limits struct {
	MaxHeadBytes  int           // of a request line with its header
	HeaderTimeout time.Duration // from the first byte of a head to its end
	IdleTimeout   time.Duration // between two requests, or before the first
}

// Options configure a Limiter.
type Options struct {
	Name string // of the listener, for logs and metrics
	// Memory is used by long heads, and by the bodies of the listener's requests.
	Memory *Memory
	// Limits returns the limits in force. If it is nil, connections may be encrypted or
	// use HTTP/2, and the server limits heads and times itself.
	Limits func() Limits
	// FullResponse is the response to a rejected connection, and HeadResponse the one to
	// a head that is too large, as bytes; nil = none.
	FullResponse, HeadResponse []byte
	// Grace is how long a connection has to wait for a request before it may be closed for
	// a new one; 0 = DefaultGrace. Without it each caller of a burst would close the
	// connection of the one before, whose request is about to arrive.
	Grace  time.Duration
	Meter  *Meter // nil = limits that clients meet are not counted
	Clock  clock.Clock
	Logger *event.Logger
}

// Limiter limits the connections of a listener.
//
// Without it, callers that connect and send little use up the file descriptors of the
// process. The symptom is failures to connect to targets, to the store and to other
// instances, which need descriptors too.
//
// At the limit, one connection is closed for each new one. First come those without a whole
// request whose client sends nothing, or less than it should: nothing of theirs has run, so
// their caller loses nothing but time. Among them, the ones that never had a whole request
// go first, then the one that is furthest behind. If there are none, the connection goes
// whose client has not taken a part of its answer for longest. Otherwise the new connection
// is rejected: all others have a request or are on their pace, and closing one of those for
// another would help nobody.
type Limiter struct {
	o     Options
	began time.Time

	mu        sync.Mutex // guards all below, and the fields of Conn that say so
	limit     int        // 0 = no limit
	conns     map[*Conn]struct{}
	listeners []net.Listener
	buffers   int           // see SetBuffers
	admitted  uint64        // number of connections so far
	lingering int           // number of closed connections that are still open
	rejected  time.Duration // time of the last rejection; 0 = never
	// Times before which no search for a connection to close is made: for any, and for one
	// that holds memory.
	nextScan, nextHolderScan time.Duration
}

// NewLimiter returns a Limiter without a limit on connections.
func NewLimiter(o Options) *Limiter {
	defaults.Positive(&o.Grace, DefaultGrace)
	l := &Limiter{o: o, began: o.Clock.Now(), conns: make(map[*Conn]struct{})}
	if o.Memory != nil {
		o.Memory.mu.Lock()
		defer o.Memory.mu.Unlock()
		o.Memory.limiters = append(o.Memory.limiters, l)
	}
	return l
}

// now returns the time since the Limiter was created, by the monotonic clock.
func (l *Limiter) now() time.Duration { return l.o.Clock.Now().Sub(l.began) }

// Name returns the name of the listener.
func (l *Limiter) Name() string { return l.o.Name }

// SetLimit changes the maximum number of connections; 0 = no limit. Connections above it
// are closed as new ones arrive.
func (l *Limiter) SetLimit(limit int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limit = limit
}

// Count returns the number of open connections.
func (l *Limiter) Count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// LimitsChanged applies changed limits to the connections that are waiting.
func (l *Limiter) LimitsChanged() {
	l.mu.Lock()
	conns := make([]*Conn, 0, len(l.conns))
	for c := range l.conns {
		conns = append(conns, c)
	}
	l.mu.Unlock()
	for _, c := range conns {
		c.setDeadline()
	}
}

// limitedListener accepts connections up to the limit.
type limitedListener struct {
	net.Listener
	limiter *Limiter
}

// Listener wraps a listener, so that its connections are limited.
func (l *Limiter) Listener(listener net.Listener) net.Listener {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.listeners = append(l.listeners, listener)
	setBuffers(listener, l.buffers)
	return limitedListener{listener, l}
}

// SetBuffers changes the size, in bytes, of the kernel's buffer for each direction of the
// connections that are accepted from now on; 0 = the system's default.
func (l *Limiter) SetBuffers(bytes int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.buffers = bytes
	for _, listener := range l.listeners {
		setBuffers(listener, bytes)
	}
}

// Accept implements net.Listener.
func (l limitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.limiter.admit(conn); c != nil {
			return c, nil
		}
		l.limiter.linger(conn, l.limiter.o.FullResponse)
	}
}

// admit counts a new connection and closes another one for it if necessary. It returns nil
// if the connection has to be rejected.
func (l *Limiter) admit(conn net.Conn) *Conn {
	c := newConn(conn, l)
	l.mu.Lock()
	var victim *Conn
	ok := l.limit == 0 || len(l.conns) < l.limit
	if !ok {
		victim = l.takeVictim(&l.nextScan, anyConn)
		ok = victim != nil
	}
	if !ok {
		l.rejected = max(l.now(), 1)
	}
	if ok {
		l.admitted++
		c.number = l.admitted
		l.conns[c] = struct{}{}
	}
	l.mu.Unlock()
	if victim != nil {
		victim.closeEvicted()
	}
	if !ok {
		l.o.Meter.count(l, limitConnections, conn.RemoteAddr())
		return nil
	}
	return c
}

// rejects reports whether connections were rejected a short time ago.
func (l *Limiter) rejects() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rejected != 0 && l.now()-l.rejected < rejectingTime
}

// evictHolder closes the connection of a client that has fallen behind and holds memory. It
// reports whether there was one.
func (l *Limiter) evictHolder() bool {
	l.mu.Lock()
	victim := l.takeVictim(&l.nextHolderScan, holdsMemory)
	l.mu.Unlock()
	if victim == nil {
		return false
	}
	victim.closeEvicted()
	return true
}

func anyConn(*Conn) bool { return true }

func holdsMemory(c *Conn) bool { return c.holds.Load() > 0 }

// takeVictim removes and returns the connection that has to go first among the eligible
// ones, nil if none has to. nextScan is the time before which it is not called again after it
// found none. The caller must hold l.mu and call closeEvicted.
func (l *Limiter) takeVictim(nextScan *time.Duration, eligible func(*Conn) bool) *Conn {
	now := l.now()
	if now < *nextScan {
		return nil
	}
	var behind, unread *Conn
	for c := range l.conns {
		switch {
		case !eligible(c):
		case c.behindAt(now):
			if behind == nil || c.goesBefore(behind) {
				behind = c
			}
		case c.unreadAt(now):
			if unread == nil || c.blockedSince.Load() < unread.blockedSince.Load() {
				unread = c
			}
		}
	}
	victim, limit := behind, limitBehind
	if victim == nil {
		victim, limit = unread, limitUnread
	}
	if victim == nil {
		*nextScan = now + scanInterval
		return nil
	}
	victim.evicted = true
	delete(l.conns, victim)
	l.o.Meter.count(l, limit, victim.RemoteAddr())
	return victim
}

// remove stops counting the connection.
func (l *Limiter) remove(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

// ConnState is the http.Server.ConnState hook.
func (l *Limiter) ConnState(conn net.Conn, state http.ConnState) {
	c := limitedConnOf(conn)
	if c == nil {
		return
	}
	switch state {
	case http.StateActive:
		c.headArrived()
	case http.StateIdle:
		c.awaitRequest()
	}
}

// limitedConnOf returns the Conn that a server's connection is or wraps, nil if there is
// none.
func limitedConnOf(conn net.Conn) *Conn {
	if encrypted, ok := conn.(*tls.Conn); ok {
		conn = encrypted.NetConn()
	}
	c, _ := conn.(*Conn)
	return c
}

type connKey struct{}

// ConnContext is the http.Server.ConnContext hook.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// NetConnOf returns the network connection of a request, nil if it is not known.
func NetConnOf(ctx context.Context) net.Conn {
	conn, _ := ctx.Value(connKey{}).(net.Conn)
	if c := limitedConnOf(conn); c != nil {
		return c.Conn
	}
	return conn
}

func connOf(ctx context.Context) *Conn {
	conn, _ := ctx.Value(connKey{}).(net.Conn)
	return limitedConnOf(conn)
}
