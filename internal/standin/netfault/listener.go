package netfault

import (
	"net"
	"sync"
)

// listener accepts for an owner.
type listener struct {
	net.Listener
	network *Network
	owner   string
	closed  chan struct{}
	once    sync.Once
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if !l.passFrozen() {
		_ = raw.Close()
		return nil, net.ErrClosed
	}
	return l.network.wrap(raw, l.owner, "", false), nil
}

func (l *listener) passFrozen() bool {
	for {
		now := l.network.rules.Load()
		if !now.frozen[l.owner] {
			return true
		}
		select {
		case <-now.changed:
		case <-l.closed:
			return false
		}
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	var err error
	l.once.Do(func() {
		close(l.closed)
		l.network.mu.Lock()
		delete(l.network.listeners, l)
		l.network.mu.Unlock()
		err = l.Listener.Close()
	})
	return err
}
