package emulator

import (
	"net"
	"sync"
)

// tracked is a listener that knows its connections and resets those beyond a
// limit (0: none).
type tracked struct {
	net.Listener
	limit int

	mu   sync.Mutex
	open map[net.Conn]bool
}

// Accept implements net.Listener.
func (t *tracked) Accept() (net.Conn, error) {
	for {
		conn, err := t.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := t.add(conn); c != nil {
			return c, nil
		}
		reset(conn)
	}
}

func (t *tracked) add(conn net.Conn) net.Conn {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.limit > 0 && len(t.open) >= t.limit {
		return nil
	}
	c := &trackedConn{conn, t}
	t.open[c] = true
	return c
}

func (t *tracked) closeAll() {
	t.mu.Lock()
	var conns []net.Conn
	for c := range t.open {
		conns = append(conns, c)
	}
	t.mu.Unlock()
	for _, c := range conns {
		reset(c)
	}
}

type trackedConn struct {
	net.Conn
	t *tracked
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	c.t.mu.Lock()
	delete(c.t.open, c)
	c.t.mu.Unlock()
	return c.Conn.Close()
}

// SetLinger hands on to a TCP connection.
func (c *trackedConn) SetLinger(seconds int) error {
	if conn, ok := c.Conn.(interface{ SetLinger(int) error }); ok {
		return conn.SetLinger(seconds)
	}
	return nil
}
