package exchange

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// userTimeout is how long written bytes may stay unacknowledged
// (TCP_USER_TIMEOUT). A host behind a partition sends nothing, not even a reset;
// without this a write to it fails only after the kernel's retransmissions, about
// 15 min. The drawback is that a live target that reads nothing of a request's body
// for that long, while the kernels' buffers are full, is disconnected too
// (ETIMEDOUT, Sent=true).
const userTimeout = 8 * time.Second

var errHeadTooLong = errors.New("head of the answer is too long")

// conn is a connection to a target, owned by one exchange or by Pool.idle.
type conn struct {
	net.Conn
	lane     lane
	br       *bufio.Reader // reads from the conn
	headLeft int64         // bytes that may still be read of a head, -1 = not limited
	number   uint64        // counted by the pool from 1
	requests int           // number of requests sent on it
	ids      sentIDs       // of these requests
	usedHead bool          // a HEAD request was sent on it
	heard    *atomic.Int64 // Pool.heard; nil = the connection is Checked

	expires time.Time   // end of its idle time; guarded by Pool.mu
	timer   *time.Timer // closes it at expires; guarded by Pool.mu
}

// Read implements net.Conn. It returns errHeadTooLong once headLeft bytes are read.
func (c *conn) Read(p []byte) (int, error) {
	if c.headLeft < 0 {
		return c.read(p)
	}
	if c.headLeft == 0 {
		return 0, errHeadTooLong
	}
	n, err := c.read(p[:min(int64(len(p)), c.headLeft)])
	c.headLeft -= int64(n)
	return n, err
}

func (c *conn) read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && c.heard != nil {
		c.heard.Store(time.Now().UnixNano())
	}
	return n, err
}

// connect returns an idle connection that is usable or, if there is none, a new
// one.
func (p *Pool) connect(ctx context.Context, r Request) (*conn, error) {
	if ctx.Err() != nil {
		return nil, contextError(ctx)
	}
	for p.mayReuse(r) {
		c := p.take(r)
		if c == nil {
			break
		}
		if c.usable() {
			p.reused.Add(1)
			return c, nil
		}
		p.stale.Add(1)
		c.Close()
	}
	return p.dial(ctx, p.laneOf(r))
}

// dial opens a connection within DialTimeout.
func (p *Pool) dial(ctx context.Context, l lane) (*conn, error) {
	address := l.address
	dialCtx, cancel := context.WithTimeout(ctx, p.opts.DialTimeout)
	defer cancel()
	nc, err := p.opts.Dial(dialCtx, "tcp", address)
	switch {
	case err == nil:
	case ctx.Err() != nil:
		return nil, contextError(ctx)
	case dialCtx.Err() != nil || errors.Is(err, context.DeadlineExceeded):
		// Wrapping the dialer's error instead would look like the end of the
		// caller's context.
		return nil, fmt.Errorf("dial %s: no connection within %v: %w", address, p.opts.DialTimeout, os.ErrDeadlineExceeded)
	default:
		return nil, fmt.Errorf("dial %s: %w", address, err)
	}
	setUserTimeout(nc)
	c := &conn{Conn: nc, lane: l, number: p.dialed.Add(1), headLeft: -1}
	if _, checked := nc.(Checked); !checked {
		c.heard = &p.heard
	}
	c.br = bufio.NewReader(c)
	return c, nil
}

// dialer's keep-alive probes detect that an idle connection's host is unreachable, once
// userTimeout has passed: it decides, not the number of probes.
var dialer = net.Dialer{KeepAliveConfig: net.KeepAliveConfig{
	Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 3,
}}

// DialTCP opens a TCP connection with keep-alive probes.
func DialTCP(ctx context.Context, network, address string) (net.Conn, error) {
	return dialer.DialContext(ctx, network, address)
}

// Checked is a connection that is not a socket and reports its state itself.
type Checked interface {
	net.Conn
	// Usable reports whether a request may be sent: the connection is open and nothing
	// unread has arrived.
	Usable() bool
	// Unacked returns how many bytes that were written have not reached the target.
	Unacked() int
}

// setUserTimeout sets userTimeout on a TCP connection. Failures are ignored, since
// the connection works without it.
func setUserTimeout(nc net.Conn) {
	tcp, ok := nc.(*net.TCPConn)
	if !ok {
		return
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
}

// usable reports whether the target has neither closed the idle connection nor
// sent a byte on it. A request on a closed one would fail with Sent=true, and an
// unexpected byte would be read as the start of its response. A connection that is
// not a socket, such as a pipe in memory, is assumed to be usable.
func (c *conn) usable() bool {
	if checked, ok := c.Conn.(Checked); ok {
		return checked.Usable()
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	usable := false
	err = raw.Read(func(fd uintptr) bool {
		usable = nothingToRead(int(fd))
		return true // don't wait for the socket to become readable
	})
	return err == nil && usable
}

func nothingToRead(fd int) bool {
	var b [1]byte
	for {
		_, _, err := unix.Recvfrom(fd, b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		if err != unix.EINTR {
			return err == unix.EAGAIN // nil: a byte, or the end of the stream
		}
	}
}

// take removes and returns the most recently used idle connection that has not carried
// the ID of the request, nil if there is none. The others reach their idle timeout, so
// that only as many connections stay open as are needed.
func (p *Pool) take(r Request) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	list := p.idle[p.laneOf(r)]
	for n := len(list) - 1; n >= 0; n-- {
		c := list[n]
		if p.identifies && c.ids.contains(r.ID) {
			p.passedOver.Add(1)
			continue
		}
		p.remove(c)
		if now.Before(c.expires) {
			return c
		}
		c.Close() // expired; its timer has not run yet
	}
	return nil
}

// put adds c to the idle connections for at most d.
func (p *Pool) put(c *conn, d time.Duration) {
	if d <= 0 || p.opts.MaxIdle < 0 {
		c.Close()
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if list := p.idle[c.lane]; len(list) >= p.opts.MaxIdle {
		list[0].Close()
		p.remove(list[0])
	}
	c.expires = time.Now().Add(d)
	c.timer = time.AfterFunc(d, func() { p.evict(c) })
	p.idle[c.lane] = append(p.idle[c.lane], c)
}

// remove removes c from the idle connections. The caller must hold p.mu.
func (p *Pool) remove(c *conn) {
	c.timer.Stop()
	list := p.idle[c.lane]
	i := slices.Index(list, c)
	list = slices.Delete(list, i, i+1)
	if len(list) == 0 {
		delete(p.idle, c.lane) // addresses change over time; don't keep entries of old ones
		return
	}
	p.idle[c.lane] = list
}

// evict closes c if it is idle and its idle time is over. Neither is certain: the
// timer may fire just as c is taken, and c may have been put back since.
func (p *Pool) evict(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !slices.Contains(p.idle[c.lane], c) || time.Now().Before(c.expires) {
		return
	}
	p.remove(c)
	c.Close()
}

// CloseIdle closes the idle connections to address, e.g. when the target is gone.
// Connections in use aren't affected and may become idle after their response.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range []lane{{address, false}, {address, true}} {
		for _, c := range p.idle[l] {
			c.timer.Stop()
			c.Close()
		}
		delete(p.idle, l)
	}
}

// CloseIdleWhere closes the idle connections for which match returns true. match must not
// use the pool.
func (p *Pool) CloseIdleWhere(match func(address string, c net.Conn) bool) {
	p.mu.Lock()
	var matching []*conn
	for l, list := range p.idle {
		for _, c := range list {
			if match(l.address, c.Conn) {
				matching = append(matching, c)
			}
		}
	}
	for _, c := range matching {
		p.remove(c)
	}
	p.mu.Unlock()
	for _, c := range matching {
		c.Close()
	}
}

// idleTime returns how long a connection may stay idle after a response with
// header h: limit, or less if the target closes it sooner (Options.IdleTimeout).
func idleTime(h http.Header, limit time.Duration) time.Duration {
	for _, field := range strings.Split(strings.Join(h.Values("Keep-Alive"), ","), ",") {
		name, value, _ := strings.Cut(field, "=")
		if !strings.EqualFold(strings.TrimSpace(name), "timeout") {
			continue
		}
		n, err := strconv.ParseUint(strings.Trim(value, " \t\""), 10, 31)
		if err != nil {
			continue
		}
		d := time.Duration(n) * time.Second
		if n <= 2 {
			limit = min(limit, d/2)
		} else {
			limit = min(limit, d-time.Second)
		}
	}
	return limit
}
