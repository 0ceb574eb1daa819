package pathtest

import (
	"context"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// cutKind says what a cut does to the connections of an instance to the servers.
type cutKind int

const (
	noCut        cutKind = iota
	cutHang              // open connections and new ones hang
	cutReset             // open connections are reset, new ones hang
	cutRefuse            // open connections live on, new ones are refused
	cutResetOnly         // open connections are reset, new ones refused
)

// cut is a cut of the way from an instance to the servers, or to the store and the other
// instances.
type cut struct {
	only string // the address to which the way is cut; "" = to all

	mu    sync.Mutex
	kind  cutKind
	ended chan struct{} // closed when the cut ends
	conns map[*cutConn]bool
}

// set begins a cut, or ends it.
func (c *cut) set(kind cutKind) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended != nil {
		close(c.ended)
		c.ended = nil
	}
	c.kind = kind
	if kind == noCut {
		return
	}
	c.ended = make(chan struct{})
	for conn := range c.conns {
		if c.only != "" && c.only != conn.address {
			continue
		}
		switch kind {
		case cutHang:
			conn.hanging.Store(true)
		case cutReset, cutResetOnly:
			_ = conn.tcp.SetLinger(0)
			_ = conn.tcp.Close()
		}
	}
}

// hinder does to a new connection what the cut does.
func (c *cut) hinder(ctx context.Context, address string) error {
	c.mu.Lock()
	kind, ended, other := c.kind, c.ended, c.only != "" && c.only != address
	c.mu.Unlock()
	if kind == noCut || other {
		return nil
	}
	if kind == cutRefuse || kind == cutResetOnly {
		return &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(time.Second):
		return os.ErrDeadlineExceeded
	case <-ended: // the packet is sent again within a second
		return nil
	}
}

// track makes a connection one that a cut affects.
func (c *cut) track(address string, conn *net.TCPConn) net.Conn {
	tracked := &cutConn{Conn: conn, tcp: conn, address: address, cut: c, closed: make(chan struct{})}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conns[tracked] = true
	return tracked
}

// cutConn is a connection to a server. While it hangs, what is written is lost and
// nothing arrives any more. It embeds no *net.TCPConn, whose writes of several buffers
// would go past Write.
type cutConn struct {
	net.Conn
	tcp     *net.TCPConn
	address string
	cut     *cut
	hanging atomic.Bool
	lost    atomic.Int64 // bytes
	once    sync.Once
	closed  chan struct{}
}

func (c *cutConn) Read(p []byte) (int, error) {
	n, err := c.tcp.Read(p)
	if c.hanging.Load() {
		<-c.closed
		return 0, net.ErrClosed
	}
	return n, err
}

func (c *cutConn) Write(p []byte) (int, error) {
	if c.hanging.Load() {
		c.lost.Add(int64(len(p)))
		return len(p), nil
	}
	return c.tcp.Write(p)
}

func (c *cutConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	c.cut.mu.Lock()
	delete(c.cut.conns, c)
	c.cut.mu.Unlock()
	if c.hanging.Load() {
		_ = c.tcp.SetLinger(0) // nothing of it reaches the server, which notices all the same here
	}
	return c.tcp.Close()
}

// SyscallConn implements syscall.Conn.
func (c *cutConn) SyscallConn() (syscall.RawConn, error) { return c.tcp.SyscallConn() }

// unacked is what an instance asks of the kernel about its connections to servers.
func unacked(conn net.Conn) int {
	c, ok := conn.(*cutConn)
	if !ok {
		return 0
	}
	bytes := int(c.lost.Load())
	raw, err := c.SyscallConn()
	if err != nil {
		return bytes
	}
	_ = raw.Control(func(fd uintptr) {
		queued, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
		unsent, err2 := unix.IoctlGetInt(int(fd), unix.SIOCOUTQNSD)
		if err == nil && err2 == nil {
			bytes += queued - unsent
		}
	})
	return bytes
}
