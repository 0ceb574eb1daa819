package emulator

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"
)

// Network is where servers listen and clients dial.
type Network interface {
	// Listen opens a listener at an address; "" is any free one.
	Listen(address string) (net.Listener, error)
	// Dial has the signature of http.Transport.DialContext.
	Dial(ctx context.Context, network, address string) (net.Conn, error)
}

// Loopback is the network of 127.0.0.1.
type Loopback struct{}

// Listen implements Network.
func (Loopback) Listen(address string) (net.Listener, error) {
	if address == "" {
		address = "127.0.0.1:0"
	}
	return net.Listen("tcp", address)
}

// Dial implements Network; it waits at most a second.
func (Loopback) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	return (&net.Dialer{Timeout: time.Second}).DialContext(ctx, network, address)
}

// Memory is a network of pipes without buffers, for virtual time.
type Memory struct {
	mu        sync.Mutex
	listeners map[string]*memoryListener
	count     int
}

// Listen implements Network.
func (m *Memory) Listen(address string) (net.Listener, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.listeners == nil {
		m.listeners = make(map[string]*memoryListener)
	}
	if address == "" {
		m.count++
		address = fmt.Sprintf("10.128.%d.%d:8080", m.count/250, 1+m.count%250)
	}
	if m.listeners[address] != nil {
		return nil, fmt.Errorf("listen %s: address in use", address)
	}
	l := &memoryListener{m: m, address: memoryAddress(address), calls: make(chan net.Conn), closed: make(chan struct{})}
	m.listeners[address] = l
	return l, nil
}

// Dial implements Network, from the address 10.0.0.1.
func (m *Memory) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	return m.DialFrom("10.0.0.1:1")(ctx, network, address)
}

// DialFrom returns a Dial whose connections come from an address.
func (m *Memory) DialFrom(from string) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		m.mu.Lock()
		l := m.listeners[address]
		m.mu.Unlock()
		if l == nil {
			return nil, fmt.Errorf("dial %s: connection refused", address)
		}
		client, server := net.Pipe()
		select {
		case l.calls <- memoryConn{server, memoryAddress(from)}:
			return memoryConn{client, l.address}, nil
		case <-l.closed:
			return nil, fmt.Errorf("dial %s: connection refused", address)
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

type memoryAddress string

func (memoryAddress) Network() string  { return "tcp" }
func (a memoryAddress) String() string { return string(a) }

type memoryConn struct {
	net.Conn
	remote memoryAddress
}

func (c memoryConn) RemoteAddr() net.Addr { return c.remote }

type memoryListener struct {
	m       *Memory
	address memoryAddress
	calls   chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.calls:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *memoryListener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.m.mu.Lock()
		defer l.m.mu.Unlock()
		delete(l.m.listeners, string(l.address))
	})
	return nil
}

func (l *memoryListener) Addr() net.Addr { return l.address }
