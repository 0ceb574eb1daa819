package peer

import (
	"bytes"
	"context"
	"crypto/sha256"
	"errors"
	"io"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// tunnels is a TunnelServer whose dials the test decides.
type tunnels struct {
	err      error // of dials
	stopping atomic.Bool
}

func (s *tunnels) Open(ctx context.Context, address string) (net.Conn, error) {
	if s.err != nil {
		return nil, s.err
	}
	return new(net.Dialer).DialContext(ctx, "tcp", address)
}

func (s *tunnels) Stopping() bool { return s.stopping.Load() }

// openTunnel opens a tunnel to a target that handles one connection.
func openTunnel(t *testing.T, s *tunnels, handle func(net.Conn)) (*TunnelConn, *faultyProxy) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		if conn, err := l.Accept(); err == nil {
			handle(conn)
		}
	}()
	_, address := startServer(t, ServerOptions{Tunnels: s})
	client, proxy := newFaultyProxy(t, address)
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	conn, err := client.OpenTunnel(ctx, "b", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	cancel() // the tunnel outlives the context
	t.Cleanup(func() { _ = conn.Close() })
	return conn, proxy
}

func TestTunnelCarriesBytes(t *testing.T) {
	const size = 1 << 20
	sent := bytes.Repeat([]byte("0123456789abcdef"), size/16)
	conn, _ := openTunnel(t, &tunnels{}, func(target net.Conn) {
		_, _ = io.CopyN(target, target, size)
		_ = target.Close()
	})
	go func() { _, _ = conn.Write(sent) }()
	got, err := io.ReadAll(conn)
	if err != nil || sha256.Sum256(got) != sha256.Sum256(sent) {
		t.Errorf("%d of %d bytes, %v", len(got), size, err)
	}
	if conn.Unacked() != 0 || conn.Usable() {
		t.Errorf("after the end: %d bytes unacked, usable %v", conn.Unacked(), conn.Usable())
	}
}

// Guards against a response without a length that broke off being taken for a complete one: only a regular close of
// the target may be io.EOF.
func TestTunnelTellsABreakFromAnEnd(t *testing.T) {
	for name, c := range map[string]struct {
		end      func(target *net.TCPConn, proxy *faultyProxy)
		complete bool
	}{
		"close":        {func(target *net.TCPConn, _ *faultyProxy) { _ = target.Close() }, true},
		"reset":        {func(target *net.TCPConn, _ *faultyProxy) { _ = target.SetLinger(0); _ = target.Close() }, false},
		"relay lost":   {func(_ *net.TCPConn, proxy *faultyProxy) { proxy.closeAll() }, false},
		"relay silent": {func(_ *net.TCPConn, proxy *faultyProxy) { proxy.silent.Store(true) }, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			targets := make(chan *net.TCPConn, 1)
			conn, proxy := openTunnel(t, &tunnels{}, func(target net.Conn) {
				_, _ = io.WriteString(target, "part")
				targets <- target.(*net.TCPConn)
			})
			if _, err := io.ReadFull(conn, make([]byte, 4)); err != nil {
				t.Fatal(err)
			}
			c.end(<-targets, proxy)
			began := time.Now()
			_, err := conn.Read(make([]byte, 1))
			if errors.Is(err, io.EOF) != c.complete || err == nil || time.Since(began) > tunnelSilenceTimeout+time.Second {
				t.Errorf("%v after %v", err, time.Since(began))
			}
		})
	}
}

// Guards against a target that goes on with a request whose caller has left.
func TestClosedTunnelClosesTheTargetsConnection(t *testing.T) {
	closed := make(chan error, 1)
	conn, _ := openTunnel(t, &tunnels{}, func(target net.Conn) {
		_, err := target.Read(make([]byte, 1))
		closed <- err
	})
	_ = conn.Close()
	select {
	case err := <-closed:
		if err == nil {
			t.Error("the target read a byte")
		}
	case <-time.After(400 * time.Millisecond):
		t.Error("the target's connection is still open")
	}
}

// Guards against a target that goes on with a request which the sender has given up, since the connection between the
// instances is silent: the stream may go on at another target meanwhile. A sender that only waits is not silent.
func TestSilentSenderClosesTheTargetsConnection(t *testing.T) {
	closed := make(chan time.Time, 1)
	_, proxy := openTunnel(t, &tunnels{}, func(target net.Conn) {
		_, _ = target.Read(make([]byte, 1))
		closed <- time.Now()
	})
	select {
	case <-closed:
		t.Fatal("the connection of a waiting sender is closed")
	case <-time.After(tunnelSilenceTimeout + 2*tunnelHeartbeatInterval):
	}
	proxy.silent.Store(true)
	began := time.Now()
	select {
	case at := <-closed:
		if took := at.Sub(began); took > tunnelSilenceTimeout+tunnelHeartbeatInterval {
			t.Errorf("closed after %v", took)
		}
	case <-time.After(pingIdleTime + 2*pingTimeout):
		t.Error("the target's connection is still open")
	}
}

// Guards against a tunnel that is taken for silent since its target reads a long request late.
func TestSlowTargetDoesNotMakeTheSenderSilent(t *testing.T) {
	const size = 16 << 20
	conn, _ := openTunnel(t, &tunnels{}, func(target net.Conn) {
		time.Sleep(tunnelSilenceTimeout + 2*tunnelHeartbeatInterval)
		_, _ = io.CopyN(io.Discard, target, size)
		_, _ = io.WriteString(target, "done")
	})
	go func() { _, _ = conn.Write(make([]byte, size)) }()
	if _, err := io.ReadFull(conn, make([]byte, 4)); err != nil {
		t.Error(err)
	}
}

// Guards against requests that are sent through an instance which is stopping, or on a connection with stray bytes.
func TestTunnelIsNotUsable(t *testing.T) {
	t.Run("stopping", func(t *testing.T) {
		s := &tunnels{}
		conn, _ := openTunnel(t, s, func(net.Conn) {})
		closing := make(chan struct{})
		conn.OnClosing(func() { close(closing) })
		if !conn.Usable() {
			t.Error("a new tunnel isn't usable")
		}
		s.stopping.Store(true)
		select {
		case <-closing:
		case <-time.After(2 * tunnelHeartbeatInterval):
		}
		if conn.Usable() {
			t.Error("usable though the instance is stopping")
		}
	})
	t.Run("stray bytes", func(t *testing.T) {
		conn, _ := openTunnel(t, &tunnels{}, func(target net.Conn) { _, _ = io.WriteString(target, "stray") })
		for end := time.Now().Add(time.Second); conn.Usable() && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
		if conn.Usable() {
			t.Error("usable with unread bytes")
		}
	})
}

// Guards against a refusal, a timeout and an instance that does not take part being confused: a refusal alone shows
// that a target is dead.
func TestFailuresOfTunnels(t *testing.T) {
	for _, want := range []error{syscall.ECONNREFUSED, os.ErrDeadlineExceeded, ErrTunnelUnavailable} {
		_, address := startServer(t, ServerOptions{Tunnels: &tunnels{err: want}})
		client, _ := newFaultyProxy(t, address)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		_, err := client.OpenTunnel(ctx, "b", "127.0.0.1:1")
		cancel()
		if !errors.Is(err, want) {
			t.Errorf("%v, want %v", err, want)
		}
	}
}
