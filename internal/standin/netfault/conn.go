package netfault

import (
	"errors"
	"net"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// lostHold is how long the TCP connection under a closed one is kept at most,
// to send what a cut holds or because its owner is frozen.
const lostHold = time.Minute

// conn is one end of a connection under the rules of the network.
type conn struct {
	net.Conn
	network  *Network
	owner    string
	dialled  bool
	peerName atomic.Pointer[string] // nil until known
	silent   atomic.Bool
	readBy   *deadline
	writeBy  *deadline
	out      *outQueue

	readMu     sync.Mutex // guards the fields below; held while a Read waits
	pending    []byte     // arrived while reads were held back
	pendingErr error

	closeOnce sync.Once
	closed    chan struct{}
	tcpOnce   sync.Once
}

func (n *Network) wrap(raw net.Conn, owner, peer string, dialled bool) *conn {
	c := &conn{
		Conn:    raw,
		network: n,
		owner:   owner,
		dialled: dialled,
		readBy:  newDeadline(),
		writeBy: newDeadline(),
		closed:  make(chan struct{}),
	}
	if peer != "" {
		c.peerName.Store(&peer)
	}
	c.out = newOutQueue(c)
	n.add(c, dialled)
	return c
}

// peer returns the owner of the other end, "" if it isn't known. An accepted
// connection may be used before its dialler has been noted, so the answer is
// only kept once there is one.
func (c *conn) peer() string {
	if name := c.peerName.Load(); name != nil {
		return *name
	}
	if c.dialled {
		return ""
	}
	name := c.network.ownerOfEnd(c.RemoteAddr().String())
	if name != "" {
		c.peerName.Store(&name)
	}
	return name
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	c.readMu.Lock()
	defer c.readMu.Unlock()
	for {
		if len(c.pending) > 0 || c.pendingErr != nil {
			return c.readPending(b)
		}
		n, err := c.Conn.Read(b)
		switch {
		case err != nil && c.isClosed():
			return 0, net.ErrClosed
		case errors.Is(err, os.ErrDeadlineExceeded):
			return n, err
		case c.silent.Load():
			if err != nil {
				return 0, c.waitForever()
			}
		case c.held(c.network.rules.Load()):
			c.pending, c.pendingErr = slices.Clone(b[:n]), err
		default:
			return n, err
		}
	}
}

func (c *conn) isClosed() bool {
	select {
	case <-c.closed:
		return true
	default:
		return false
	}
}

// held tells whether the owner can't see now what has arrived.
func (c *conn) held(now *rules) bool {
	return now.frozen[c.owner] || now.cutOff(c.peer(), c.owner)
}

func (c *conn) readPending(b []byte) (int, error) {
	if err := c.waitWhile(c.held, c.readBy); err != nil {
		return 0, err
	}
	if c.silent.Load() {
		return 0, c.waitForever()
	}
	if len(c.pending) > 0 {
		n := copy(b, c.pending)
		c.pending = c.pending[n:]
		return n, nil
	}
	return 0, c.pendingErr
}

// waitWhile blocks while a rule holds, until the deadline or Close.
func (c *conn) waitWhile(holds func(*rules) bool, by *deadline) error {
	for {
		now := c.network.rules.Load()
		if !holds(now) {
			return nil
		}
		select {
		case <-now.changed:
		case <-by.expired():
			return os.ErrDeadlineExceeded
		case <-c.closed:
			return net.ErrClosed
		}
	}
}

// waitForever is the read of a silent connection whose peer has gone: it
// isn't told so.
func (c *conn) waitForever() error {
	select {
	case <-c.readBy.expired():
		return os.ErrDeadlineExceeded
	case <-c.closed:
		return net.ErrClosed
	}
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	frozen := func(now *rules) bool { return now.frozen[c.owner] }
	if err := c.waitWhile(frozen, c.writeBy); err != nil {
		return 0, err
	}
	if c.silent.Load() {
		return len(b), nil
	}
	return c.out.write(b)
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.readBy.set(t)
	return c.Conn.SetReadDeadline(t)
}

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.writeBy.set(t)
	return c.Conn.SetWriteDeadline(t)
}

func (c *conn) silence() {
	c.silent.Store(true)
	c.out.discard()
}

// Close implements net.Conn. What was written before is still sent.
func (c *conn) Close() error {
	c.closeOnce.Do(func() {
		close(c.closed)
		c.out.closeWhenSent()
		c.wakeReader()
	})
	return nil
}

// reset closes at once with a TCP reset, as for a dead process.
func (c *conn) reset() {
	c.closeOnce.Do(func() { close(c.closed) })
	_ = c.SetLinger(0)
	c.closeTCP()
}

// wakeReader ends a Read that waits in the kernel for a connection whose TCP
// part is kept for a while.
func (c *conn) wakeReader() { _ = c.Conn.SetReadDeadline(time.Unix(1, 0)) }

func (c *conn) closeTCP() {
	c.tcpOnce.Do(func() {
		c.network.remove(c, c.dialled)
		_ = c.Conn.Close()
	})
}

// SetLinger lets a server reset its connections.
func (c *conn) SetLinger(seconds int) error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.SetLinger(seconds)
	}
	return nil
}
