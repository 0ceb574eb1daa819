package netfault

import (
	"context"
	"fmt"
	"net"
	"syscall"

	"lynxhill.example/lynxhill/internal/sleep"
)

// Listen opens a listener of an owner. The address is as for net.Listen.
func (n *Network) Listen(owner, addr string) (net.Listener, error) {
	if n.rules.Load().dead[owner] {
		return nil, fmt.Errorf("netfault: %s was killed: %w", owner, net.ErrClosed)
	}
	raw, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	l := &listener{Listener: raw, network: n, owner: owner, closed: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners[l] = struct{}{}
	n.addresses[raw.Addr().String()] = owner
	return l, nil
}

// Dialer returns the dial function of an owner, in the shape that
// http.Transport.DialContext has.
func (n *Network) Dialer(owner string) func(ctx context.Context, network, addr string) (net.Conn, error) {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		peer := n.ownerOfAddress(addr)
		if err := n.passDial(ctx, owner, peer, addr); err != nil {
			return nil, err
		}
		raw, err := new(net.Dialer).DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		c := n.wrap(raw, owner, peer, true)
		if n.rules.Load().dead[owner] {
			c.reset()
			return nil, dialError(addr, net.ErrClosed)
		}
		return c, nil
	}
}

// passDial waits as the handshake would: for a round trip, and for as long as
// a cut in either direction swallows its packets.
func (n *Network) passDial(ctx context.Context, owner, peer, addr string) error {
	waited := false
	for {
		now := n.rules.Load()
		switch {
		case now.dead[owner]:
			return dialError(addr, net.ErrClosed)
		case now.refused(owner, peer):
			return dialError(addr, syscall.ECONNREFUSED)
		case now.frozen[owner] || now.cutOff(owner, peer) || now.cutOff(peer, owner):
			if err := waitChange(ctx, now); err != nil {
				return dialError(addr, err)
			}
		case !waited && now.delay(owner, peer) > 0:
			if err := sleep.For(ctx, 2*now.delay(owner, peer)); err != nil {
				return dialError(addr, err)
			}
			waited = true
		default:
			return nil
		}
	}
}

func waitChange(ctx context.Context, now *rules) error {
	select {
	case <-now.changed:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func dialError(addr string, cause error) error {
	return &net.OpError{Op: "dial", Net: "tcp", Err: fmt.Errorf("%s: %w", addr, cause)}
}
