package loopback

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// silentHold bounds how long a silenced connection whose client has hung up
// occupies its goroutine. A real host would not learn of the hang-up at all.
const silentHold = 30 * time.Second

// listenerSet accepts connections into a connSet.
type listenerSet struct {
	net.Listener
	conns *connSet
}

// Accept implements net.Listener.
func (l *listenerSet) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.conns.add(raw); c != nil {
			return c, nil
		}
		_ = raw.Close()
	}
}

// connSet holds the open connections of one run.
type connSet struct {
	limit int

	mu     sync.Mutex // guards the fields below
	open   map[*conn]struct{}
	closed bool
}

func newConnSet(limit int) *connSet {
	return &connSet{limit: limit, open: make(map[*conn]struct{})}
}

// add returns nil when the set is full or closed.
func (s *connSet) add(raw net.Conn) *conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || len(s.open) >= s.limit {
		return nil
	}
	c := &conn{Conn: raw, set: s, done: make(chan struct{})}
	s.open[c] = struct{}{}
	return c
}

func (s *connSet) remove(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, c)
}

func (s *connSet) list() []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]*conn, 0, len(s.open))
	for c := range s.open {
		all = append(all, c)
	}
	return all
}

func (s *connSet) silence() {
	for _, c := range s.list() {
		c.silent.Store(true)
	}
}

func (s *connSet) reset() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	for _, c := range s.list() {
		Reset(c.Conn)
		_ = c.Close()
	}
}

// Reset closes a connection with a TCP reset, as the kernel of a dead process
// would for data that it can't deliver.
func Reset(c net.Conn) {
	if l, ok := c.(interface{ SetLinger(int) error }); ok {
		_ = l.SetLinger(0)
	}
	_ = c.Close()
}

// conn is a connection that can go silent: what arrives is thrown away, what
// is written vanishes, and neither end is told.
type conn struct {
	net.Conn
	set    *connSet
	silent atomic.Bool
	once   sync.Once
	done   chan struct{}
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if !c.silent.Load() {
			return n, err
		}
		if err != nil {
			return 0, c.holdError(err)
		}
	}
}

// holdError keeps the end of a silenced connection from the server, so that
// it goes on with its work as it would behind a middlebox that forgot the
// connection. A passed deadline is the server's own doing and is told.
func (c *conn) holdError(err error) error {
	if ne, ok := err.(net.Error); ok && ne.Timeout() {
		return err
	}
	timer := time.NewTimer(silentHold)
	defer timer.Stop()
	select {
	case <-c.done:
	case <-timer.C:
	}
	return err
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	if c.silent.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	var err error
	c.once.Do(func() {
		close(c.done)
		c.set.remove(c)
		err = c.Conn.Close()
	})
	return err
}

// SetLinger lets Reset reach the TCP connection.
func (c *conn) SetLinger(seconds int) error {
	if l, ok := c.Conn.(interface{ SetLinger(int) error }); ok {
		return l.SetLinger(seconds)
	}
	return nil
}
