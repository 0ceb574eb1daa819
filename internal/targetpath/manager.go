// Package targetpath connects an instance to targets: by its own way, or through another
// instance (a relay) that reaches a target which this one does not.
//
// An instance may lose its way to some or all targets while callers, the store and the
// other instances still reach it. Its requests then take a tunnel through a relay. A
// tunnel carries the bytes of one connection and leads from the relay to the target
// directly, never through a second relay. What decides about requests, such as deadlines,
// limits and retries, stays with the instance that got them from callers.
package targetpath

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"lynxhill.example/lynxhill/internal/event"
	"lynxhill.example/lynxhill/internal/fleet"
	"lynxhill.example/lynxhill/internal/metrics"
)

var (
	metricLost    = metrics.Define("target_paths_lost", "targets", "Targets that this instance reaches only through other instances.")
	metricTunnels = metrics.Define("target_tunnels_served", "connections", "Connections to targets that are open on behalf of other instances.")
)

// ErrNoPath is returned for a target that neither this instance nor another one reaches.
var ErrNoPath = errors.New("targetpath: neither this instance nor another one reaches the target")

// Relay is another instance that may open connections on behalf of this one.
type Relay struct {
	Instance    string
	Zone        string
	TargetsLost bool // it reports that it reaches no targets itself
}

// Conn is a connection through a relay, such as peer.TunnelConn.
type Conn interface {
	net.Conn
	// Usable reports whether a request may be sent on the connection.
	Usable() bool
	// Unacked returns the number of bytes that have not been passed on to the target.
	Unacked() int
}

// Options configure a Manager.
type Options struct {
	Zone string // availability zone (short: zone) of this instance
	// Dial connects to a target directly.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Open connects to a target through another instance. Errors are those of
	// peer.Client.OpenTunnel.
	Open func(ctx context.Context, instance string, target fleet.Target) (Conn, error)
	// Relays returns the other instances that are alive and not leaving.
	Relays func() []Relay
	// Targets returns the targets. Instances may know a target by different addresses; they
	// name it by its id to each other.
	Targets func() *fleet.View
	// LastHeard returns when a byte was last received on a direct connection to a target.
	LastHeard func() time.Time
	// IsStopping reports whether this instance is stopping.
	IsStopping func() bool
	// OnLost is called when this instance has lost its way to all targets, OnRestored when
	// it reaches a target again, of which the address is given, or any ("").
	OnLost     func()
	OnRestored func(address string)
	Rand       *rand.Rand // used by the Manager only
	Logger     *event.Logger
	Metrics    *metrics.Registry
}

// Manager finds out which targets this instance reaches and connects to targets. It is
// safe for concurrent use.
type Manager struct {
	o Options

	mu         sync.Mutex           // guards the fields below
	paths      map[string]*path     // by address; only those with recent failures
	excluded   map[string]time.Time // until when a relay is not used, by instance
	lastDial   time.Time            // when a direct dial last succeeded, or of New
	lost       bool                 // this instance reaches no target itself
	answered   int                  // successive probes that succeeded while lost
	searching  map[string]bool      // targets that are being tried in the background
	lastSearch time.Time            // when other targets were last tried after a failure
	probing    bool                 // a probe is scheduled
	closed     bool

	served atomic.Int64 // open connections on behalf of other instances
}

// New returns a Manager.
func New(o Options) *Manager {
	m := &Manager{o: o, paths: make(map[string]*path), excluded: make(map[string]time.Time), searching: make(map[string]bool), lastDial: time.Now()}
	o.Metrics.Func(metricLost, func() any { return m.lostPaths() })
	o.Metrics.Func(metricTunnels, func() any { return m.served.Load() })
	return m
}

// Close stops the probes.
func (m *Manager) Close() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.closed = true
}

// Lost reports whether this instance can't connect to most targets by itself.
func (m *Manager) Lost() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	lost := m.lostPathsLocked()
	return m.lost || lost > 0 && 2*lost > m.o.Targets().Len()
}

// Reachable reports whether this instance reaches any target, by itself or through another
// instance.
func (m *Manager) Reachable() bool {
	m.mu.Lock()
	lost := m.lost
	m.mu.Unlock()
	return !lost || len(m.relays()) > 0
}

// addresses returns the addresses of all targets.
func (m *Manager) addresses() []string {
	all := m.o.Targets().All()
	addresses := make([]string, len(all))
	for n, t := range all {
		addresses[n] = t.Address
	}
	return addresses
}

func (m *Manager) lostPaths() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lostPathsLocked()
}

func (m *Manager) lostPathsLocked() (n int) {
	for _, p := range m.paths {
		if p.lost() {
			n++
		}
	}
	return n
}
