// Package memnet is a listener in memory for tests of HTTP edges under
// testing/synctest, where sockets of the kernel would keep virtual time from
// passing. Its connections have no buffer: a write waits for the reader, which
// is the hardest case of a slow one.
package memnet

import (
	"context"
	"net"
	"sync"
)

// Listener accepts the connections made by its Dial.
type Listener struct {
	connections chan net.Conn
	closed      chan struct{}
	once        sync.Once // closes closed
}

// Listen returns a new listener.
func Listen() *Listener {
	return &Listener{connections: make(chan net.Conn), closed: make(chan struct{})}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.connections:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *Listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *Listener) Addr() net.Addr { return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 1} }

// Dial connects to the listener; its signature is that of
// http.Transport.DialContext.
func (l *Listener) Dial(ctx context.Context, _, _ string) (net.Conn, error) {
	client, server := net.Pipe()
	select {
	case l.connections <- server:
		return client, nil
	case <-l.closed:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}
