// Package netfault puts faults between the daemons and stand-ins of one
// process: latency between zones, partitions, connections that go silent,
// and owners that freeze or die. Connections are real TCP on loopback. The
// rules may be changed at any moment. An idle connection costs no goroutine.
package netfault

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// CutID names a partition, to heal it.
type CutID int

// Partition describes which owners can't reach which.
type Partition struct {
	A, B []string // owners
	// OneWay cuts only what A sends to B.
	OneWay bool
	// Refuse resets connections and refuses new ones. Otherwise what is sent
	// is held as by TCP over a lossy path: it arrives when the cut heals.
	Refuse bool
}

// Network carries the connections of all owners. An owner is a process
// played: a daemon or a stand-in.
type Network struct {
	rules atomic.Pointer[rules]

	mu        sync.Mutex // guards the fields below and changes of rules
	nextCut   CutID
	listeners map[*listener]struct{}
	conns     map[*conn]struct{}
	addresses map[string]string // listening address to owner
	ends      map[string]string // local address of a dialled connection to owner
}

// New returns a network without faults.
func New() *Network {
	n := &Network{
		listeners: make(map[*listener]struct{}),
		conns:     make(map[*conn]struct{}),
		addresses: make(map[string]string),
		ends:      make(map[string]string),
	}
	n.rules.Store(newRules())
	return n
}

// change replaces the rules and lets held bytes go where they now may.
func (n *Network) change(f func(*rules)) {
	n.mu.Lock()
	old := n.rules.Load()
	next := old.clone()
	f(next)
	n.rules.Store(next)
	conns := n.connsLocked()
	n.mu.Unlock()
	close(old.changed)
	for _, c := range conns {
		c.out.kick()
	}
}

// SetZone says in which zone an owner is.
func (n *Network) SetZone(owner, zone string) {
	n.change(func(r *rules) { r.zones[owner] = zone })
}

// SetLatency sets the one-way latency between two zones, or within one.
func (n *Network) SetLatency(a, b string, d time.Duration) {
	n.change(func(r *rules) { r.latency[pairOf(a, b)] = d })
}

// SetLatencyBetween sets the one-way latency between different zones that
// have none of their own.
func (n *Network) SetLatencyBetween(d time.Duration) {
	n.change(func(r *rules) { r.between = d })
}

// Cut makes a partition until Heal.
func (n *Network) Cut(p Partition) CutID {
	var id CutID
	n.change(func(r *rules) {
		n.nextCut++
		id = n.nextCut
		a, b := setOf(p.A), setOf(p.B)
		r.cuts = append(r.cuts, cut{id: id, from: a, to: b, refuse: p.Refuse})
		if !p.OneWay {
			r.cuts = append(r.cuts, cut{id: id, from: b, to: a, refuse: p.Refuse})
		}
	})
	if p.Refuse {
		n.resetRefused()
	}
	return id
}

// Isolate cuts an owner from all others that the network knows now.
func (n *Network) Isolate(owner string) CutID {
	return n.Cut(Partition{A: []string{owner}, B: n.othersThan(owner)})
}

// Heal ends a partition.
func (n *Network) Heal(id CutID) {
	n.change(func(r *rules) {
		r.cuts = slices.DeleteFunc(r.cuts, func(c cut) bool { return c.id == id })
	})
}

// HealAll ends all partitions.
func (n *Network) HealAll() { n.change(func(r *rules) { r.cuts = nil }) }

// Freeze blocks all reads, writes, dials and accepts of an owner until Thaw.
// No byte is lost or overtaken.
func (n *Network) Freeze(owner string) { n.change(func(r *rules) { r.frozen[owner] = true }) }

// Thaw ends Freeze.
func (n *Network) Thaw(owner string) { n.change(func(r *rules) { delete(r.frozen, owner) }) }

// Kill closes the listeners of an owner, resets its connections and fails all
// that it tries until Revive.
func (n *Network) Kill(owner string) {
	n.change(func(r *rules) { r.dead[owner] = true })
	for _, l := range n.listenersOf(owner) {
		_ = l.Close()
	}
	for _, c := range n.pick(func(c *conn) bool { return c.owner == owner }) {
		c.reset()
	}
}

// Revive lets a killed owner listen and dial again.
func (n *Network) Revive(owner string) { n.change(func(r *rules) { delete(r.dead, owner) }) }

// Silence makes all open connections of an owner silent for good: what either
// end sends vanishes and neither is told. New connections work.
func (n *Network) Silence(owner string) {
	for _, c := range n.pick(func(c *conn) bool { return c.owner == owner || c.peer() == owner }) {
		c.silence()
	}
}

// SilenceBetween does the same for the connections between two owners.
func (n *Network) SilenceBetween(a, b string) {
	between := func(c *conn) bool {
		peer := c.peer()
		return (c.owner == a && peer == b) || (c.owner == b && peer == a)
	}
	for _, c := range n.pick(between) {
		c.silence()
	}
}

// Close resets all connections and closes all listeners.
func (n *Network) Close() {
	n.mu.Lock()
	var listeners []*listener
	for l := range n.listeners {
		listeners = append(listeners, l)
	}
	n.mu.Unlock()
	for _, l := range listeners {
		_ = l.Close()
	}
	for _, c := range n.pick(func(*conn) bool { return true }) {
		c.reset()
	}
}

func setOf(names []string) map[string]bool {
	set := make(map[string]bool, len(names))
	for _, name := range names {
		set[name] = true
	}
	return set
}

func (n *Network) resetRefused() {
	now := n.rules.Load()
	for _, c := range n.pick(func(c *conn) bool { return now.refused(c.owner, c.peer()) }) {
		c.reset()
	}
}

func (n *Network) listenersOf(owner string) []*listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	var found []*listener
	for l := range n.listeners {
		if l.owner == owner {
			found = append(found, l)
		}
	}
	return found
}

func (n *Network) othersThan(owner string) []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	others := make(map[string]bool)
	for name := range n.rules.Load().zones {
		others[name] = true
	}
	for _, name := range n.addresses {
		others[name] = true
	}
	for _, name := range n.ends {
		others[name] = true
	}
	delete(others, owner)
	names := make([]string, 0, len(others))
	for name := range others {
		names = append(names, name)
	}
	return names
}

// pick returns the open connections for which keep holds.
func (n *Network) pick(keep func(*conn) bool) []*conn {
	n.mu.Lock()
	all := n.connsLocked()
	n.mu.Unlock()
	return slices.DeleteFunc(all, func(c *conn) bool { return !keep(c) })
}

func (n *Network) connsLocked() []*conn {
	all := make([]*conn, 0, len(n.conns))
	for c := range n.conns {
		all = append(all, c)
	}
	return all
}

func (n *Network) ownerOfEnd(addr string) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.ends[addr]
}

func (n *Network) ownerOfAddress(addr string) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.addresses[addr]
}

// add takes a connection in; dialled ones are known to the accepting side by
// their local address.
func (n *Network) add(c *conn, dialled bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns[c] = struct{}{}
	if dialled {
		n.ends[c.LocalAddr().String()] = c.owner
	}
}

// remove must come before the TCP connection is closed: afterwards the kernel
// may give the same local port to a new connection.
func (n *Network) remove(c *conn, dialled bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.conns, c)
	if dialled {
		delete(n.ends, c.LocalAddr().String())
	}
}
