package peer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	"lynxhill.example/lynxhill/internal/peer/peerpb"
)

// Errors of a tunnel that ended.
var (
	errTunnelBroken = errors.New("peer: the tunnel broke off")
	errTunnelSilent = errors.New("peer: the tunnel is silent")
)

// OpenTunnel connects to the target with the id through another instance. The connection
// behaves like one of this instance's own: it ends with io.EOF only if the target closed
// it regularly, and Close closes the one to the target. If the instance could not connect,
// the error is or wraps syscall.ECONNREFUSED, os.ErrDeadlineExceeded or
// ErrTunnelUnavailable.
func (c *Client) OpenTunnel(ctx context.Context, instance, target string) (*TunnelConn, error) {
	peerAddress, err := c.addressOf(instance)
	if err != nil {
		return nil, err
	}
	timeout := tunnelSilenceTimeout
	if deadline, ok := ctx.Deadline(); ok {
		timeout = min(timeout, time.Until(deadline))
	}
	// The streams outlive ctx. A second attempt to open one is harmless: nothing has been
	// sent to the target on the first.
	open, stopOpening := context.WithCancel(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, stopOpening)
	stream, end, err := hedge(open, c, peerAddress, func(ctx context.Context, l *link) (*tunnelStream, error) {
		return c.startTunnel(ctx, l, target, timeout)
	})
	if err != nil || !stop() {
		end()
		c.o.Metrics.Labelled(metricCalls).Add("tunnel_failed", 1)
		return nil, fmt.Errorf("through %s: %w", instance, errors.Join(err, ctx.Err()))
	}
	c.o.Metrics.Labelled(metricCalls).Add("tunnel_ok", 1)
	return newTunnelConn(instance, target, stream, end), nil
}

// tunnelStream is the sender's side of the stream of a tunnel.
type tunnelStream = connect.BidiStreamForClientSimple[peerpb.TunnelUp, peerpb.TunnelDown]

// startTunnel asks for a tunnel and waits until the connection is open.
func (c *Client) startTunnel(ctx context.Context, l *link, target string, timeout time.Duration) (*tunnelStream, error) {
	observed, observation := observe(ctx)
	stream, err := l.client.Tunnel(observed)
	if err != nil {
		return nil, err
	}
	if err := stream.Send(&peerpb.TunnelUp{Target: target, DialTimeoutMs: uint32(timeout.Milliseconds())}); err != nil && !errors.Is(err, io.EOF) {
		return nil, err
	}
	first, err := stream.Receive()
	if err != nil {
		c.recordUnanswered(observation, "tunnel", l, err)
		return nil, err
	}
	if f := first.GetFailure(); f != peerpb.TunnelFailure_TUNNEL_FAILURE_UNSPECIFIED {
		return nil, errorOf(f)
	}
	return stream, nil
}

// TunnelConn is a connection to a target through another instance. Bytes pass through a
// net.Pipe, which provides the deadlines of net.Conn.
type TunnelConn struct {
	net.Conn // the near end of the pipe
	far      net.Conn
	instance string
	target   string
	stream   *tunnelStream
	cancel   context.CancelFunc
	silence  *time.Timer

	accepted  atomic.Uint64 // bytes taken from the pipe
	written   atomic.Uint64 // bytes that the instance has written to the target
	unread    atomic.Int64  // bytes received and not read yet
	closing   atomic.Bool   // no new request may be sent
	onClosing atomic.Pointer[func()]

	sending sync.Mutex // held during stream.Send

	mu  sync.Mutex // guards end
	end error      // why nothing more is received; io.EOF = the target closed the connection
}

func newTunnelConn(instance, target string, stream *tunnelStream, cancel context.CancelFunc) *TunnelConn {
	near, far := net.Pipe()
	t := &TunnelConn{Conn: near, far: far, instance: instance, target: target, stream: stream, cancel: cancel}
	t.silence = time.AfterFunc(tunnelSilenceTimeout, func() { t.finish(errTunnelSilent) })
	go t.sendRequests()
	go t.sendHeartbeats()
	go t.receiveResponses()
	return t
}

// Instance returns the id of the instance through which the connection leads.
func (t *TunnelConn) Instance() string { return t.instance }

// Usable reports whether a request may be sent: the target and the instance have neither
// closed the connection nor announced it, and nothing unread has arrived.
func (t *TunnelConn) Usable() bool {
	return t.ended() == nil && !t.closing.Load() && t.unread.Load() == 0
}

// Unacked returns how many bytes the instance has not passed on to the target.
func (t *TunnelConn) Unacked() int {
	written := t.written.Load() // first, since accepted only grows
	return int(t.accepted.Load() - written)
}

// OnClosing sets a function that is called once the connection must not be used for new
// requests.
func (t *TunnelConn) OnClosing(f func()) {
	t.onClosing.Store(&f)
	if t.closing.Load() {
		f()
	}
}

// Read implements net.Conn.
func (t *TunnelConn) Read(p []byte) (int, error) {
	n, err := t.Conn.Read(p)
	t.unread.Add(int64(-n))
	if errors.Is(err, io.EOF) && t.ended() != nil {
		err = t.ended()
	}
	return n, err
}

// Close implements net.Conn.
func (t *TunnelConn) Close() error {
	t.finish(net.ErrClosed)
	return t.Conn.Close()
}

// RemoteAddr implements net.Conn; it returns the id of the target.
func (t *TunnelConn) RemoteAddr() net.Addr { return tunnelAddr(t.target) }

type tunnelAddr string

func (tunnelAddr) Network() string  { return "tunnel" }
func (a tunnelAddr) String() string { return string(a) }

func (t *TunnelConn) ended() error {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.end
}

// finish ends the tunnel with the given reason, unless it has ended before.
func (t *TunnelConn) finish(reason error) {
	t.mu.Lock()
	first := t.end == nil
	if first {
		t.end = reason
	}
	t.mu.Unlock()
	if !first {
		return
	}
	t.silence.Stop()
	t.cancel()
	_ = t.far.Close()
}

// sendRequests sends what is written to the connection until it ends.
func (t *TunnelConn) sendRequests() {
	buffer := make([]byte, tunnelBufferBytes)
	for {
		n, err := t.far.Read(buffer)
		if err != nil {
			t.finish(net.ErrClosed)
			return
		}
		t.accepted.Add(uint64(n))
		if !t.send(&peerpb.TunnelUp{Data: buffer[:n]}) {
			return
		}
	}
}

// sendHeartbeats shows the other instance that this one still uses the connection.
func (t *TunnelConn) sendHeartbeats() {
	heartbeat := time.NewTicker(tunnelHeartbeatInterval)
	defer heartbeat.Stop()
	for range heartbeat.C {
		if t.ended() != nil || !t.send(&peerpb.TunnelUp{}) {
			return
		}
	}
}

// send sends a message; it returns false if the tunnel has broken off. io.EOF says that the
// stream has ended: the reason is received.
func (t *TunnelConn) send(m *peerpb.TunnelUp) bool {
	t.sending.Lock()
	defer t.sending.Unlock()
	if err := t.stream.Send(m); err != nil && !errors.Is(err, io.EOF) {
		t.finish(fmt.Errorf("%w: %w", errTunnelBroken, err))
		return false
	}
	return true
}

// receiveResponses passes on what the instance sends until the tunnel ends.
func (t *TunnelConn) receiveResponses() {
	for {
		m, err := t.stream.Receive()
		if err != nil {
			t.finish(fmt.Errorf("%w: %w", errTunnelBroken, err))
			return
		}
		t.silence.Reset(tunnelSilenceTimeout)
		if m.GetWritten() > 0 {
			t.written.Store(m.GetWritten())
		}
		if m.GetClosing() {
			t.announceClosing()
		}
		if data := m.GetData(); len(data) > 0 {
			t.unread.Add(int64(len(data)))
			t.silence.Stop() // a slow reader is not a silent instance
			if _, err := t.far.Write(data); err != nil {
				t.finish(net.ErrClosed)
				return
			}
			t.silence.Reset(tunnelSilenceTimeout)
		}
		if m.GetEnded() {
			t.finish(io.EOF)
			return
		}
	}
}

func (t *TunnelConn) announceClosing() {
	if t.closing.Swap(true) {
		return
	}
	if f := t.onClosing.Load(); f != nil {
		(*f)()
	}
}
