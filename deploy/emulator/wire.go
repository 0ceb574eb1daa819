package emulator

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"regexp"
	"strings"
	"sync"
	"time"
)

// WireFaults are faults of the kept connections to a server. The server itself is sound,
// and goes on serving on them. Shares lie between 0 and 1.
type WireFaults struct {
	Repeat  float64 // of answers, refusals too: the answer comes again before that to the next request
	Foreign float64 // of requests: an answer to another one comes before their own
	Strip   bool    // what Repeat and Foreign send bears no id
	Reset   float64 // of requests: the connection is reset as they arrive
	Endless float64 // of answers: bytes without end come instead, until the caller closes
}

// WireCounts are the faults that occurred.
type WireCounts struct{ Repeated, Foreign, Reset, Endless int }

// Wire is a Network with faults of the connections to single addresses. Use NewWire.
type Wire struct {
	Network

	mu     sync.Mutex // guards all below
	random *rand.Rand
	faults map[string]WireFaults // by address
	latest map[string][]byte     // the latest answer that was sent, by address
	counts WireCounts
}

// NewWire returns a network without faults. random is used by it alone.
func NewWire(network Network, random *rand.Rand) *Wire {
	return &Wire{Network: network, random: random, faults: make(map[string]WireFaults), latest: make(map[string][]byte)}
}

// SetFaults replaces the faults of the connections to an address.
func (n *Wire) SetFaults(address string, f WireFaults) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.faults[address] = f
}

// Counts returns the faults that have occurred.
func (n *Wire) Counts() WireCounts {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.counts
}

// Listen implements Network.
func (n *Wire) Listen(address string) (net.Listener, error) {
	l, err := n.Network.Listen(address)
	if err != nil {
		return nil, err
	}
	return wireListener{l, n}, nil
}

// Dial implements Network.
func (n *Wire) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	return n.Network.Dial(ctx, network, address)
}

type wireListener struct {
	net.Listener
	wire *Wire
}

// Accept implements net.Listener.
func (l wireListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &wireConn{Conn: conn, wire: l.wire, address: l.Addr().String()}, nil
}

// answerFaults are the faults of one answer.
type answerFaults struct {
	repeat, endless, strip bool
	kind                   int // of an endless one
}

// drawAnswer draws the faults of an answer that begins.
func (n *Wire) drawAnswer(address string) answerFaults {
	n.mu.Lock()
	defer n.mu.Unlock()
	f := n.faults[address]
	d := answerFaults{repeat: n.random.Float64() < f.Repeat, endless: n.random.Float64() < f.Endless, strip: f.Strip, kind: n.random.IntN(len(endlessStarts))}
	if d.endless {
		n.counts.Endless++
	}
	return d
}

// drawRequest draws what comes before the answer to a request that has arrived on a kept
// connection: the answer before it, if that comes again, or one to another request.
func (n *Wire) drawRequest(address string, again []byte) (before []byte, reset bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f := n.faults[address]
	switch foreign := n.latest[address]; {
	case n.random.Float64() < f.Reset:
		n.counts.Reset++
		return nil, true
	case again != nil:
		n.counts.Repeated++
		return again, false
	case foreign != nil && n.random.Float64() < f.Foreign:
		n.counts.Foreign++
		return stripped(foreign, f.Strip), false
	}
	return nil, false
}

func (n *Wire) answered(address string, answer []byte) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.latest[address] = bytes.Clone(answer)
}

var idLine = regexp.MustCompile(`(?i)\r\nattempt-id: [^\r]*`)

// stripped returns the answer, without its id if strip is set.
func stripped(answer []byte, strip bool) []byte {
	if !strip {
		return answer
	}
	head, body, _ := bytes.Cut(answer, []byte("\r\n\r\n"))
	return fmt.Appendf(nil, "%s\r\n\r\n%s", idLine.ReplaceAll(head, nil), body)
}

// maxRepeated bounds the answers that come again.
const maxRepeated = 64 << 10

// wireConn is the server's end of a connection. Requests on it come one at a time.
type wireConn struct {
	net.Conn
	wire    *Wire
	address string

	mu        sync.Mutex // guards all below
	answering bool       // a byte of the current answer was written
	faults    answerFaults
	answer    bytes.Buffer // the current answer
}

// Write implements net.Conn.
func (c *wireConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if !c.answering {
		c.answering, c.faults = true, c.wire.drawAnswer(c.address)
	}
	if c.answer.Len() <= maxRepeated {
		c.answer.Write(p)
	}
	faults := c.faults
	c.mu.Unlock()
	if faults.endless {
		return 0, c.writeEndless(faults.kind)
	}
	return c.Conn.Write(p)
}

// Read implements net.Conn. The first bytes after an answer are those of the next request.
func (c *wireConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n <= 0 {
		return n, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.answering {
		return n, err
	}
	var again []byte
	if c.answer.Len() <= maxRepeated {
		c.wire.answered(c.address, c.answer.Bytes())
		if c.faults.repeat {
			again = stripped(bytes.Clone(c.answer.Bytes()), c.faults.strip)
		}
	}
	c.answering = false
	c.answer.Reset()
	before, cut := c.wire.drawRequest(c.address, again)
	if cut {
		reset(c.Conn)
		return 0, net.ErrClosed
	}
	if before != nil {
		_, _ = c.Conn.Write(before) // the caller may be gone
	}
	return n, err
}

// endlessStarts are what bytes without end begin with. None states that the request was not
// run: the server has run it.
var endlessStarts = []string{
	"HTTP/1.1 200 OK\r\nX-Padding: ",
	"HTTP/1.1 500 Internal Server Error\r\nContent-Type: text/plain\r\n\r\n",
	"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 1000000000000\r\n\r\n",
	strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 100),
}

// endlessInterval is the pause between blocks of 16 KiB of bytes without end.
const endlessInterval = 2 * time.Millisecond

// writeEndless writes until the caller closes, and returns the error.
func (c *wireConn) writeEndless(kind int) error {
	_, err := c.Conn.Write([]byte(endlessStarts[kind]))
	for block := bytes.Repeat([]byte("x"), 16<<10); err == nil; time.Sleep(endlessInterval) {
		_, err = c.Conn.Write(block)
	}
	return err
}

// SetLinger hands on to a TCP connection.
func (c *wireConn) SetLinger(seconds int) error {
	if conn, ok := c.Conn.(interface{ SetLinger(int) error }); ok {
		return conn.SetLinger(seconds)
	}
	return nil
}
