package main

import (
	"bytes"
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"lynxhill.example/lynxhill/deploy/emulator"
)

// faultyNetwork is the loopback network of the servers. A listener whose address is spoilt
// belongs to a faulty server: of a share of its answers it sends a second copy, late, at the
// point where the next answer on the connection is expected. It then serves the next request
// as a sound server does.
type faultyNetwork struct {
	emulator.Loopback

	mu     sync.Mutex // guards all below
	random *rand.Rand
	share  map[string]float64 // of the answers that come twice, by address
	copies []secondCopy
	given  int // answers of spoilt servers
}

// secondCopy is an answer that a faulty server sent a second time.
type secondCopy struct {
	at      time.Time
	address string
	bytes   int
}

func newNetwork(random *rand.Rand) *faultyNetwork {
	return &faultyNetwork{random: random, share: make(map[string]float64)}
}

// spoil makes the servers at the addresses faulty until the returned function is called.
func (n *faultyNetwork) spoil(addresses []string, share float64) (end func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, address := range addresses {
		n.share[address] = share
	}
	return func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		clear(n.share)
	}
}

// draw decides whether an answer that begins now at the address comes twice.
func (n *faultyNetwork) draw(address string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	share, spoilt := n.share[address]
	if spoilt {
		n.given++
	}
	return spoilt && n.random.Float64() < share
}

func (n *faultyNetwork) note(address string, size int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.copies = append(n.copies, secondCopy{time.Now(), address, size})
}

// secondCopies returns what was sent a second time, and the number of answers of servers
// while they were faulty.
func (n *faultyNetwork) secondCopies() ([]secondCopy, int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return append([]secondCopy(nil), n.copies...), n.given
}

// Listen implements emulator.Network.
func (n *faultyNetwork) Listen(address string) (net.Listener, error) {
	l, err := n.Loopback.Listen(address)
	if err != nil {
		return nil, err
	}
	return faultyListener{l, n}, nil
}

// Dial implements emulator.Network.
func (n *faultyNetwork) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	return n.Loopback.Dial(ctx, network, address)
}

type faultyListener struct {
	net.Listener
	network *faultyNetwork
}

// Accept implements net.Listener.
func (l faultyListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &faultyConn{Conn: conn, network: l.network, address: l.Addr().String()}, nil
}

// faultyConn is a server's connection. Requests come one at a time.
type faultyConn struct {
	net.Conn
	network *faultyNetwork
	address string

	mu        sync.Mutex // guards all below
	answering bool       // a byte of the current answer was written
	twice     bool       // the current answer comes twice
	answer    bytes.Buffer
}

// maxCopied bounds the answers that come twice.
const maxCopied = 64 << 10

// Write implements net.Conn.
func (c *faultyConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if !c.answering {
		c.answering, c.twice = true, c.network.draw(c.address)
	}
	if c.twice {
		c.answer.Write(p)
	}
	c.mu.Unlock()
	return c.Conn.Write(p)
}

// Read implements net.Conn. The first bytes after an answer are those of the next request.
func (c *faultyConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n <= 0 {
		return n, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.answering {
		if c.twice && c.answer.Len() <= maxCopied {
			c.network.note(c.address, c.answer.Len())
			_, _ = c.Conn.Write(c.answer.Bytes()) // the caller may be gone
		}
		c.answering, c.twice = false, false
		c.answer.Reset()
	}
	return n, err
}

// SetLinger hands on to the TCP connection, so that a server can reset it.
func (c *faultyConn) SetLinger(seconds int) error {
	if conn, ok := c.Conn.(*net.TCPConn); ok {
		return conn.SetLinger(seconds)
	}
	return nil
}
