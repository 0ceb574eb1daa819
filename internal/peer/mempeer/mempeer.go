// Package mempeer connects instances in memory, with fault injection. It replaces
// internal/peer in tests with virtual time.
package mempeer

import (
	"context"
	"errors"
	"sync"
	"time"

	"lynxhill.example/lynxhill/internal/gossip"
	"lynxhill.example/lynxhill/internal/peer"
	"lynxhill.example/lynxhill/internal/store"
)

// ErrUnreachable is the error of a call without a reply.
var ErrUnreachable = errors.New("mempeer: unreachable")

// Instance holds the functions that serve the calls to one instance.
type Instance struct {
	Handle func(ctx context.Context, d gossip.Digest) gossip.Digest
	Since  func(prefix string, after uint64) (objects []store.Object, mark uint64, more bool)
}

// Network delivers the calls. Its faults may be changed at any time.
type Network struct {
	delay time.Duration // one way
	sleep func(ctx context.Context, d time.Duration) bool

	mu        sync.Mutex // guards the following fields
	instances map[string]Instance
	blocked   map[link]bool
	paused    map[string]chan struct{}
	traffic   map[string]Traffic
}

type link struct{ from, to string }

// Traffic counts the digests that an instance sent and received.
type Traffic struct {
	Digests int
	Bytes   int
}

// New returns a network with a one-way delay. sleep waits in the test's time and returns
// false if ctx was cancelled first.
func New(delay time.Duration, sleep func(ctx context.Context, d time.Duration) bool) *Network {
	return &Network{
		delay:     delay,
		sleep:     sleep,
		instances: make(map[string]Instance),
		blocked:   make(map[link]bool),
		paused:    make(map[string]chan struct{}),
		traffic:   make(map[string]Traffic),
	}
}

// Join attaches an instance to an address.
func (n *Network) Join(addr string, instance Instance) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.instances[addr] = instance
}

// Drop removes the instance at the address, as a crash does.
func (n *Network) Drop(addr string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.instances, addr)
}

// Block drops all messages from one address to another, in this direction only.
func (n *Network) Block(from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.blocked[link{from, to}] = true
}

// Split blocks messages between two groups in both directions.
func (n *Network) Split(a, b []string) {
	for _, x := range a {
		for _, y := range b {
			n.Block(x, y)
			n.Block(y, x)
		}
	}
}

// Heal removes all blocks.
func (n *Network) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.blocked)
}

// Pause pauses an instance: its calls and calls to it block until Resume.
func (n *Network) Pause(addr string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.paused[addr] == nil {
		n.paused[addr] = make(chan struct{})
	}
}

// Resume resumes a paused instance.
func (n *Network) Resume(addr string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if gate := n.paused[addr]; gate != nil {
		close(gate)
		delete(n.paused, addr)
	}
}

// Wait blocks while the instance is paused. The boot clock of a test calls it, so that no
// time passes for a paused instance.
func (n *Network) Wait(addr string) {
	n.mu.Lock()
	gate := n.paused[addr]
	n.mu.Unlock()
	if gate != nil {
		<-gate
	}
}

// Traffic returns the traffic of the instance at an address.
func (n *Network) Traffic(addr string) Traffic {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.traffic[addr]
}

func (n *Network) count(from, to string, d gossip.Digest) {
	size := peer.Size(d)
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, addr := range []string{from, to} {
		t := n.traffic[addr]
		t.Digests++
		t.Bytes += size
		n.traffic[addr] = t
	}
}

// deliver delivers one message in one direction and returns the receiver.
func (n *Network) deliver(ctx context.Context, from, to string) (Instance, error) {
	n.Wait(from)
	if !n.sleep(ctx, n.delay) {
		return Instance{}, ctx.Err()
	}
	n.mu.Lock()
	lost := n.blocked[link{from, to}]
	gate := n.paused[to]
	n.mu.Unlock()
	if lost {
		<-ctx.Done()
		return Instance{}, ErrUnreachable
	}
	if gate != nil {
		select {
		case <-gate:
		case <-ctx.Done():
			return Instance{}, ErrUnreachable
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	receiver, ok := n.instances[to]
	if !ok {
		return Instance{}, ErrUnreachable
	}
	return receiver, nil
}

// Client is the client of one instance.
type Client struct {
	network *Network
	addr    string
	address func(instance string) (string, bool)
}

// Client returns the client of the instance at addr. address returns the addresses of
// other instances by id.
func (n *Network) Client(addr string, address func(instance string) (string, bool)) *Client {
	return &Client{network: n, addr: addr, address: address}
}

// Exchange implements membership.Transport.
func (c *Client) Exchange(ctx context.Context, to string, d gossip.Digest) (gossip.Digest, error) {
	c.network.count(c.addr, to, d)
	receiver, err := c.network.deliver(ctx, c.addr, to)
	if err != nil {
		return gossip.Digest{}, err
	}
	reply := receiver.Handle(ctx, d)
	c.network.count(to, c.addr, reply)
	if _, err := c.network.deliver(ctx, to, c.addr); err != nil {
		return gossip.Digest{}, err
	}
	return reply, nil
}

// Probe implements membership.Transport.
func (c *Client) Probe(ctx context.Context, via, target string) error {
	for _, hop := range []link{{c.addr, via}, {via, target}, {target, via}, {via, c.addr}} {
		if _, err := c.network.deliver(ctx, hop.from, hop.to); err != nil {
			return err
		}
	}
	return nil
}

// Pull implements profilesync.Puller.
func (c *Client) Pull(ctx context.Context, instance, prefix string, after uint64) ([]store.Object, uint64, bool, error) {
	to, ok := c.address(instance)
	if !ok {
		return nil, 0, false, ErrUnreachable
	}
	receiver, err := c.network.deliver(ctx, c.addr, to)
	if err != nil {
		return nil, 0, false, err
	}
	objects, mark, more := receiver.Since(prefix, after)
	if _, err := c.network.deliver(ctx, to, c.addr); err != nil {
		return nil, 0, false, err
	}
	return objects, mark, more, nil
}
