package targetpath

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"

	"lynxhill.example/lynxhill/internal/peer"
)

// maxServed limits the connections that are open on behalf of other instances.
const maxServed = 1024

// Server serves tunnels of other instances; it implements peer.TunnelServer.
type Server struct{ m *Manager }

var _ peer.TunnelServer = Server{}

// Server returns the part that serves other instances.
func (m *Manager) Server() Server { return Server{m} }

// Served returns the number of connections that are open on behalf of other instances.
func (m *Manager) Served() int { return int(m.served.Load()) }

// Stopping implements peer.TunnelServer.
func (s Server) Stopping() bool { return s.m.o.IsStopping() }

// Open implements peer.TunnelServer. It connects to listed targets only, and only by this
// instance's own way, so that a connection leads through one relay at most.
func (s Server) Open(ctx context.Context, target string) (net.Conn, error) {
	m := s.m
	t, listed := m.o.Targets().Get(target)
	if !listed || m.o.IsStopping() {
		return nil, peer.ErrTunnelUnavailable
	}
	address := t.Address
	if lost, _, _ := m.state(address); lost {
		return nil, peer.ErrTunnelUnavailable
	}
	if m.served.Add(1) > maxServed {
		m.served.Add(-1)
		return nil, fmt.Errorf("%w: %d tunnels are open", peer.ErrTunnelUnavailable, maxServed)
	}
	began := time.Now()
	conn, err := m.o.Dial(ctx, "tcp", address)
	if err == nil {
		m.recordDial(address)
		return &servedConn{Conn: conn, end: sync.OnceFunc(func() { m.served.Add(-1) })}, nil
	}
	m.served.Add(-1)
	if isTimeout(err) && time.Since(began) >= relayDelay {
		m.recordSharedFailure(address, began, false)
	}
	if errors.Is(err, syscall.ECONNREFUSED) && m.lostPaths() > 0 {
		return nil, peer.ErrTunnelUnavailable // the refusal may be that of this instance's own way
	}
	return nil, err
}

// servedConn counts a connection on behalf of another instance until it is closed.
type servedConn struct {
	net.Conn
	end func()
}

// Close implements net.Conn.
func (c *servedConn) Close() error {
	c.end()
	return c.Conn.Close()
}
