package bench

import (
	"context"
	"net"
	"sync"
	"sync/atomic"

	"lynxhill.example/lynxhill/internal/daemon"
)

// traffic counts what goes through connections of one kind, as bytes handed to
// and taken from TCP: with the framing of HTTP/2 and TLS, without the headers
// of TCP and IP.
type traffic struct {
	sent, received, open atomic.Int64
}

// Traffic is what went through connections of one kind.
type Traffic struct {
	Sent     int64 `json:"sent"`
	Received int64 `json:"received"`
	Open     int64 `json:"open"` // connections now
}

func (t *traffic) snapshot() Traffic {
	return Traffic{Sent: t.sent.Load(), Received: t.received.Load(), Open: t.open.Load()}
}

func (t Traffic) plus(o Traffic) Traffic {
	return Traffic{Sent: t.Sent + o.Sent, Received: t.Received + o.Received, Open: t.Open + o.Open}
}

// bytes are both directions together.
func (t Traffic) bytes() float64 { return float64(t.Sent + t.Received) }

// meteredConn counts its bytes.
type meteredConn struct {
	net.Conn
	traffic *traffic
	close   sync.Once
}

func newMeteredConn(raw net.Conn, t *traffic) *meteredConn {
	t.open.Add(1)
	return &meteredConn{Conn: raw, traffic: t}
}

// Read implements net.Conn.
func (c *meteredConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.traffic.received.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *meteredConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.traffic.sent.Add(int64(n))
	return n, err
}

// Close implements net.Conn.
func (c *meteredConn) Close() error {
	c.close.Do(func() { c.traffic.open.Add(-1) })
	return c.Conn.Close()
}

// meteredListener counts the bytes of what it accepts.
type meteredListener struct {
	net.Listener
	traffic *traffic
}

// Accept implements net.Listener.
func (l *meteredListener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return newMeteredConn(raw, l.traffic), nil
}

// meter counts an instance's traffic by whom it is with.
type meter struct {
	platform string          // address
	targets  map[string]bool // addresses

	toPlatform, toTargets, toPeers traffic

	mu       sync.Mutex          // guards accepted
	accepted map[string]*traffic // by listening address
}

func newMeter(platform string, targets map[string]bool) *meter {
	return &meter{platform: platform, targets: targets, accepted: make(map[string]*traffic)}
}

// dial is the daemon's Dial. An instance dials the platform, targets and other
// instances, and nothing else.
func (m *meter) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	raw, err := (&net.Dialer{}).DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	return newMeteredConn(raw, m.of(addr)), nil
}

var _ daemon.DialFunc = (&meter{}).dial

func (m *meter) of(addr string) *traffic {
	switch {
	case addr == m.platform:
		return &m.toPlatform
	case m.targets[addr]:
		return &m.toTargets
	default:
		return &m.toPeers
	}
}

// listen is the daemon's Listen.
func (m *meter) listen(addr string) (net.Listener, error) {
	raw, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	t := new(traffic)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.accepted[raw.Addr().String()] = t
	return &meteredListener{Listener: raw, traffic: t}, nil
}

// at is the traffic accepted at a listening address.
func (m *meter) at(addr string) Traffic {
	m.mu.Lock()
	defer m.mu.Unlock()
	if t := m.accepted[addr]; t != nil {
		return t.snapshot()
	}
	return Traffic{}
}
