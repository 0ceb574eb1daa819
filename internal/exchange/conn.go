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
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// userTimeout is how long written bytes may stay unacknowledged. A machine
// behind a partition answers nothing, not even a reset; without this a write
// to it fails only after the kernel's retries, about 15 min. It has a price: a
// living target that takes none of a request's body for that long, while the
// kernels' buffers are full, is cut off too (ETIMEDOUT, Sent=true).
const userTimeout = 8 * time.Second

var errHeadTooLong = errors.New("head of the answer is too long")

// conn is a connection to a target, owned by one exchange or by Pool.idle.
type conn struct {
	net.Conn
	address  string
	br       *bufio.Reader // reads from the conn
	headLeft int64         // bytes that may still be read, -1 = any number
	usedHead bool          // a HEAD request was sent on it

	expires time.Time   // Pool.mu: end of its idle time
	timer   *time.Timer // Pool.mu: closes it at expires
}

// Read keeps within headLeft.
func (c *conn) Read(p []byte) (int, error) {
	if c.headLeft < 0 {
		return c.Conn.Read(p)
	}
	if c.headLeft == 0 {
		return 0, errHeadTooLong
	}
	n, err := c.Conn.Read(p[:min(int64(len(p)), c.headLeft)])
	c.headLeft -= int64(n)
	return n, err
}

// connect returns an idle connection that looks alive, else a new one.
func (p *Pool) connect(ctx context.Context, r Request) (*conn, error) {
	if ctx.Err() != nil {
		return nil, contextError(ctx)
	}
	for !r.Fresh {
		c := p.take(r.Address)
		if c == nil {
			break
		}
		if c.quiet() {
			p.reused.Add(1)
			return c, nil
		}
		p.stale.Add(1)
		c.Close()
	}
	return p.dial(ctx, r.Address)
}

// dial makes a connection within DialTimeout.
func (p *Pool) dial(ctx context.Context, address string) (*conn, error) {
	dialCtx, cancel := context.WithTimeout(ctx, p.opts.DialTimeout)
	defer cancel()
	nc, err := p.opts.Dial(dialCtx, "tcp", address)
	switch {
	case err == nil:
	case ctx.Err() != nil:
		return nil, contextError(ctx)
	case dialCtx.Err() != nil || errors.Is(err, context.DeadlineExceeded):
		// Not the dialer's error: it would read as the end of the caller's context.
		return nil, fmt.Errorf("dial %s: no connection within %v: %w", address, p.opts.DialTimeout, os.ErrDeadlineExceeded)
	default:
		return nil, fmt.Errorf("dial %s: %w", address, err)
	}
	p.dialed.Add(1)
	setUserTimeout(nc)
	c := &conn{Conn: nc, address: address, headLeft: -1}
	c.br = bufio.NewReader(c)
	return c, nil
}

func defaultDialer() *net.Dialer {
	return &net.Dialer{KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 3,
	}}
}

// setUserTimeout sets userTimeout where there is such a thing. A failure is
// let pass: the connection works without it.
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

// quiet reports whether the target has neither closed the idle connection nor
// sent a byte on it. A request on a closed one would be lost as sent, and a
// stray byte would be read as the start of its answer. Where the kernel can't
// be asked, as for a pipe in memory, it is taken for quiet.
func (c *conn) quiet() bool {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		quiet = nothingToRead(int(fd))
		return true // never wait
	})
	return err == nil && quiet
}

func nothingToRead(fd int) bool {
	var b [1]byte
	for {
		_, _, err := unix.Recvfrom(fd, b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		if err != unix.EINTR {
			return err == unix.EAGAIN // nil: a byte, or the end
		}
	}
}

// take removes the connection that was used last: the others age and go, so
// that no more are kept than are needed. Nil if there is none.
func (p *Pool) take(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for {
		list := p.idle[address]
		if len(list) == 0 {
			return nil
		}
		c := list[len(list)-1]
		p.remove(c)
		if now.Before(c.expires) {
			return c
		}
		c.Close() // its timer is late
	}
}

// put keeps c for at most d.
func (p *Pool) put(c *conn, d time.Duration) {
	if d <= 0 || p.opts.MaxIdle < 0 {
		c.Close()
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if list := p.idle[c.address]; len(list) >= p.opts.MaxIdle {
		list[0].Close()
		p.remove(list[0])
	}
	c.expires = time.Now().Add(d)
	c.timer = time.AfterFunc(d, func() { p.evict(c) })
	p.idle[c.address] = append(p.idle[c.address], c)
}

// remove takes c out of the list of idle ones. Caller holds mu.
func (p *Pool) remove(c *conn) {
	c.timer.Stop()
	list := p.idle[c.address]
	i := slices.Index(list, c)
	list = slices.Delete(list, i, i+1)
	if len(list) == 0 {
		delete(p.idle, c.address) // addresses come and go
		return
	}
	p.idle[c.address] = list
}

// evict closes c if it is idle and its time is over. It may be neither: the
// timer can fire just when c is taken, and c may be back by now.
func (p *Pool) evict(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !slices.Contains(p.idle[c.address], c) || time.Now().Before(c.expires) {
		return
	}
	p.remove(c)
	c.Close()
}

// CloseIdle closes the idle connections to address, e.g. when the target is
// gone. Those in use aren't touched and are kept after their answer.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[address] {
		c.timer.Stop()
		c.Close()
	}
	delete(p.idle, address)
}

// idleTime returns how long a connection may be kept after an answer with
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
