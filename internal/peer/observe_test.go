package peer

import (
	"bytes"
	"context"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"

	"lynxhill.example/lynxhill/internal/claim"
	"lynxhill.example/lynxhill/internal/event"
)

// severableDialer dials connections that can be made silent permanently: written data is
// dropped and nothing more is read. Connections opened later work.
type severableDialer struct {
	mu    sync.Mutex // guards conns
	conns []*severableConn
}

type severableConn struct {
	net.Conn
	severed atomic.Bool
	closed  chan struct{}
	once    sync.Once // guards the close of closed
}

func (s *severableDialer) dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := new(net.Dialer).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	c := &severableConn{Conn: conn, closed: make(chan struct{})}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns = append(s.conns, c)
	return c, nil
}

// sever makes all open connections silent.
func (s *severableDialer) sever() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		c.severed.Store(true)
	}
}

// dialed returns how many connections have been opened.
func (s *severableDialer) dialed() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// open returns how many working connections are open.
func (s *severableDialer) open() (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		select {
		case <-c.closed:
		default:
			if !c.severed.Load() {
				n++
			}
		}
	}
	return n
}

func (c *severableConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.severed.Load() {
		<-c.closed
		return 0, net.ErrClosed
	}
	return n, err
}

func (c *severableConn) Write(p []byte) (int, error) {
	if c.severed.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (c *severableConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// lockedBuffer is a buffer that is safe for concurrent use.
type lockedBuffer struct {
	mu sync.Mutex // guards b
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// TestUnansweredCallIsLogged checks that a call that ends on a silent connection is logged,
// with how long the connection has been silent.
func TestUnansweredCallIsLogged(t *testing.T) {
	_, addr := startServer(t, ServerOptions{Claim: func(context.Context, claim.Message) (claim.Reply, error) { return claim.Reply{}, nil }})
	var lines lockedBuffer
	var links severableDialer
	client := NewClient(Options{
		Self: "a", Dial: links.dial, Address: func(string) (string, bool) { return addr, true },
		Logger: event.NewLogger(log.NewLogfmtLogger(&lines)),
	})
	defer client.Close()
	if _, err := client.ForwardClaim(t.Context(), "b", claim.Message{}); err != nil {
		t.Fatal(err)
	}
	links.sever()
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	if _, err := client.ForwardClaim(ctx, "b", claim.Message{}); err == nil {
		t.Fatal("a call on a silent connection was answered")
	}
	for _, part := range []string{"peer_call_unanswered", "method=claim", "address=" + addr, `cause="context deadline exceeded"`, "silent_ms=", "open_ms="} {
		if !strings.Contains(lines.String(), part) {
			t.Errorf("no %s in the log:\n%s", part, lines.String())
		}
	}
}
