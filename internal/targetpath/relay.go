package targetpath

import (
	"cmp"
	"context"
	"errors"
	"net"
	"slices"
	"syscall"
	"time"
)

const (
	// maxRelays is the maximum number of relays that are tried for one connection.
	maxRelays = 3
	// minRefusals is the number of relays whose dials a target must refuse before it counts
	// as dead: a relay may have lost its way as well and not know it yet.
	minRefusals = 2
	// relayHedgeDelay is how long a relay may take before the next one is tried as well.
	relayHedgeDelay = 200 * time.Millisecond
	// excludeTime is how long a relay that failed is not used.
	excludeTime = 2 * time.Second
)

var errNoRelay = errors.New("targetpath: no other instance reaches targets")

// relays returns the usable relays, those in this instance's zone first, otherwise in random
// order.
func (m *Manager) relays() []string {
	all := m.o.Relays()
	now := time.Now()
	m.mu.Lock()
	all = slices.DeleteFunc(all, func(r Relay) bool { return r.TargetsLost || now.Before(m.excluded[r.Instance]) })
	m.o.Rand.Shuffle(len(all), func(a, b int) { all[a], all[b] = all[b], all[a] })
	m.mu.Unlock()
	slices.SortStableFunc(all, func(a, b Relay) int { return cmp.Compare(m.distance(a), m.distance(b)) })
	ids := make([]string, len(all))
	for n, r := range all {
		ids[n] = r.Instance
	}
	return m.spread(ids, all)
}

// spread moves one relay of another zone to the second place, since instances of one zone
// often lose their way together.
func (m *Manager) spread(ids []string, all []Relay) []string {
	far := slices.IndexFunc(all, func(r Relay) bool { return r.Zone != m.o.Zone })
	if far > 1 {
		id := ids[far]
		ids = slices.Insert(slices.Delete(ids, far, far+1), 1, id)
	}
	return ids
}

// distance is 0 for a relay in the zone of this instance, otherwise 1.
func (m *Manager) distance(r Relay) int {
	if r.Zone == m.o.Zone {
		return 0
	}
	return 1
}

// mayUseRelay reports whether the target may be tried through a relay.
func (m *Manager) mayUseRelay(address string) bool {
	_, listed := m.o.Targets().AtAddress(address)
	_, _, dead := m.state(address)
	return listed && !dead && len(m.relays()) > 0
}

// exclude stops the use of a relay for a while.
func (m *Manager) exclude(instance string) {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	for id, until := range m.excluded {
		if now.After(until) {
			delete(m.excluded, id)
		}
	}
	m.excluded[instance] = now.Add(excludeTime)
}

// dialRelays connects to the target through one of up to maxRelays relays. The error is or
// wraps errNoRelay if there is none, syscall.ECONNREFUSED if the target refused all of
// them.
func (m *Manager) dialRelays(ctx context.Context, address string) (net.Conn, error) {
	d := m.dialThroughRelay(ctx, address)
	return d.conn, d.err
}

func (m *Manager) dialThroughRelay(ctx context.Context, address string) dialed {
	relays, view := m.relays(), m.o.Targets()
	id, listed := view.AtAddress(address)
	if !listed || len(relays) == 0 {
		return dialed{err: errNoRelay}
	}
	target, _ := view.Get(id)
	ctx, cancel := context.WithCancel(ctx)
	results := make(chan dialed, len(relays))
	running, refused := 0, 0
	next := func() {
		if len(relays) == 0 {
			return
		}
		relay := relays[0]
		relays = relays[1:]
		running++
		go func() {
			conn, err := m.o.Open(ctx, relay, target)
			if err != nil {
				results <- dialed{relay: relay, err: err}
				return
			}
			results <- dialed{conn: &relayedConn{Conn: conn, manager: m, address: address}, relay: relay}
		}()
	}
	relays = relays[:min(len(relays), maxRelays)]
	next()
	hedge := time.NewTicker(relayHedgeDelay)
	defer hedge.Stop()
	var timedOut []string // relays that did not connect to the target
	var last error
	for running > 0 {
		select {
		case <-hedge.C:
			next()
		case d := <-results:
			running--
			if d.err == nil {
				for _, relay := range timedOut {
					m.exclude(relay)
				}
				go func() {
					for range running {
						closeUnused(results)
					}
				}()
				// The context of the connection outlives that of the dial.
				cancel()
				return d
			}
			last = d.err
			switch {
			case ctx.Err() != nil:
			case errors.Is(d.err, syscall.ECONNREFUSED):
				if refused++; refused >= minRefusals {
					cancel()
					go func() {
						for range running {
							closeUnused(results)
						}
					}()
					return d
				}
				next()
			case isTimeout(d.err):
				timedOut = append(timedOut, d.relay)
				next()
			default:
				m.exclude(d.relay)
				next()
			}
		}
	}
	cancel()
	return dialed{err: last}
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// relayedConn is a connection to a target through a relay.
type relayedConn struct {
	Conn
	manager *Manager
	address string
}

// Usable reports whether a request may be sent: the connection is still open, and direct
// connections to the target don't succeed yet.
func (c *relayedConn) Usable() bool {
	lost, _, _ := c.manager.state(c.address)
	return lost && c.Conn.Usable()
}
