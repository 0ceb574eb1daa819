package peer

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"connectrpc.com/connect"

	"lynxhill.example/lynxhill/internal/peer/peerpb"
)

// Times and sizes of a tunnel.
const (
	tunnelHeartbeatInterval = 500 * time.Millisecond
	// tunnelSilenceTimeout is how long a tunnel may receive nothing before it is closed.
	tunnelSilenceTimeout = 2 * time.Second
	tunnelBufferBytes    = 32 << 10
)

// TunnelServer opens connections to targets for other instances.
type TunnelServer interface {
	// Open connects to the target with the id, by this instance's own way only. It returns
	// ErrTunnelUnavailable if it opens no connection to that target.
	Open(ctx context.Context, target string) (net.Conn, error)
	// Stopping reports whether this instance is stopping.
	Stopping() bool
}

// ErrTunnelUnavailable is returned for a tunnel to a target to which the other instance opens
// no connections, or none at present.
var ErrTunnelUnavailable = errors.New("peer: the instance opens no tunnel to the target")

// Tunnel serves a tunnel to a target. It ends with the stream or with the target's
// connection.
func (h *service) Tunnel(ctx context.Context, stream *connect.BidiStream[peerpb.TunnelUp, peerpb.TunnelDown]) error {
	h.count("tunnel")
	first, err := stream.Receive()
	if err != nil {
		return err
	}
	if h.o.Tunnels == nil {
		return connect.NewError(connect.CodeUnimplemented, errors.New("no tunnels here"))
	}
	dialCtx, cancelDial := context.WithTimeout(ctx, time.Duration(first.GetDialTimeoutMs())*time.Millisecond)
	conn, err := h.o.Tunnels.Open(dialCtx, first.GetTarget())
	cancelDial()
	if err != nil {
		return stream.Send(&peerpb.TunnelDown{Failure: tunnelFailureOf(err)})
	}
	t := &servedTunnel{stream: stream, conn: conn, silent: make(chan struct{})}
	defer t.end()
	if err := t.send(&peerpb.TunnelDown{}); err != nil {
		return err
	}
	return t.serve(ctx, h.o.Tunnels.Stopping)
}

func tunnelFailureOf(err error) peerpb.TunnelFailure {
	switch {
	case errors.Is(err, ErrTunnelUnavailable):
		return peerpb.TunnelFailure_TUNNEL_FAILURE_UNAVAILABLE
	case errors.Is(err, syscall.ECONNREFUSED):
		return peerpb.TunnelFailure_TUNNEL_FAILURE_REFUSED
	}
	return peerpb.TunnelFailure_TUNNEL_FAILURE_TIMEOUT
}

// errorOf returns the error of a dial that ended with the failure.
func errorOf(f peerpb.TunnelFailure) error {
	switch f {
	case peerpb.TunnelFailure_TUNNEL_FAILURE_REFUSED:
		return syscall.ECONNREFUSED
	case peerpb.TunnelFailure_TUNNEL_FAILURE_TIMEOUT:
		return os.ErrDeadlineExceeded
	}
	return ErrTunnelUnavailable
}

// servedTunnel is a tunnel at the instance that reaches the target.
type servedTunnel struct {
	stream *connect.BidiStream[peerpb.TunnelUp, peerpb.TunnelDown]
	conn   net.Conn

	mu    sync.Mutex // serialises stream.Send, guards ended
	ended bool       // the handler has returned, and stream must not be used

	writing sync.Mutex // held during a write to the target, guards written
	written uint64     // bytes written to the target

	silent chan struct{} // closed once the sender is silent
}

func (t *servedTunnel) send(m *peerpb.TunnelDown) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ended {
		return net.ErrClosed
	}
	return t.stream.Send(m)
}

// end closes the connection to the target and stops the use of the stream.
func (t *servedTunnel) end() {
	_ = t.conn.Close()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ended = true
}

// serve carries bytes in both directions until either side ends.
func (t *servedTunnel) serve(ctx context.Context, stopping func() bool) error {
	fromTarget := make(chan error, 1)
	go func() { fromTarget <- t.sendResponses() }()
	fromSender := make(chan error, 1)
	go func() { fromSender <- t.writeRequests() }()
	heartbeat := time.NewTicker(tunnelHeartbeatInterval)
	defer heartbeat.Stop()
	for {
		select {
		case err := <-fromTarget:
			if errors.Is(err, io.EOF) {
				return t.send(&peerpb.TunnelDown{Written: t.finalWritten(), Ended: true})
			}
			return connect.NewError(connect.CodeAborted, err)
		case <-fromSender: // the sender has left
			return nil
		case <-t.silent:
			return connect.NewError(connect.CodeAborted, errTunnelSilent)
		case <-heartbeat.C:
			if err := t.send(&peerpb.TunnelDown{Closing: stopping()}); err != nil {
				return err
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// sendResponses sends what the target sends until its connection ends. It returns io.EOF
// if the target closed the connection regularly.
func (t *servedTunnel) sendResponses() error {
	buffer := make([]byte, tunnelBufferBytes)
	for {
		n, err := t.conn.Read(buffer)
		if n > 0 {
			if err := t.send(&peerpb.TunnelDown{Data: buffer[:n]}); err != nil {
				return err
			}
		}
		if err != nil {
			return err
		}
	}
}

// writeRequests writes what the sender sends to the target. A sender that has sent
// heartbeats and is silent has given the connection up, or is about to: it receives none
// from here either.
func (t *servedTunnel) writeRequests() error {
	silence := time.AfterFunc(tunnelSilenceTimeout, sync.OnceFunc(func() { close(t.silent) }))
	silence.Stop()
	defer silence.Stop()
	heartbeats := false // older senders send none
	for {
		m, err := t.stream.Receive()
		silence.Stop() // a target that reads slowly does not make the sender silent
		if err != nil {
			return err
		}
		if len(m.GetData()) == 0 {
			heartbeats = true
			silence.Reset(tunnelSilenceTimeout)
			continue
		}
		written, err := t.write(m.GetData())
		if err != nil {
			return err
		}
		if err := t.send(&peerpb.TunnelDown{Written: written}); err != nil {
			return err
		}
		if heartbeats {
			silence.Reset(tunnelSilenceTimeout)
		}
	}
}

// write writes to the target and returns how many bytes were written to it since the start.
func (t *servedTunnel) write(data []byte) (written uint64, err error) {
	t.writing.Lock()
	defer t.writing.Unlock()
	n, err := t.conn.Write(data)
	t.written += uint64(n)
	return t.written, err
}

// finalWritten returns how many bytes were written to a target that has closed the connection.
// A write that it has read may not have returned yet: without waiting for it, the sender would
// take bytes that the target has answered for bytes that never reached it.
func (t *servedTunnel) finalWritten() uint64 {
	_ = t.conn.SetWriteDeadline(time.Now()) // ends a write that the target does not read
	t.writing.Lock()
	defer t.writing.Unlock()
	return t.written
}
