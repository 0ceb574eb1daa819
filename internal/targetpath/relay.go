package targetpath

import (
	"cmp"
	"context"
	"errors"
	"net"
	"slices"
	"syscall"
	"time"

	"lynxhill.example/lynxhill/internal/fleet"
)

const (
	// maxRelays is the maximum number of relays that are tried for one connection.
	maxRelays = 3
	// minRefusals is the number of relays whose dials a target must refuse before it counts
	// as dead: a relay may have lost its way as well and not know it yet.
	minRefusals = 3
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

// dialRelays connects to the target through a relay, see dialThroughRelay.
func (m *Manager) dialRelays(ctx context.Context, address string) (net.Conn, error) {
	d := m.dialThroughRelay(ctx, address)
	return d.conn, d.err
}

// relayDial is a dial of one target through relays.
type relayDial struct {
	m       *Manager
	ctx     context.Context
	target  fleet.Target
	relays  []string // not tried yet
	dials   int      // relays that may still dial the target
	results chan dialed
	running int
}

// dialThroughRelay connects to the target through one of up to maxRelays relays. Relays that
// open no connection don't count. The error is errNoRelay if no relay dialed the target,
// syscall.ECONNREFUSED if the target refused all of them.
func (m *Manager) dialThroughRelay(ctx context.Context, address string) dialed {
	relays, view := m.relays(), m.o.Targets()
	id, listed := view.AtAddress(address)
	if !listed || len(relays) == 0 {
		return dialed{err: errNoRelay}
	}
	target, _ := view.Get(id)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel() // the context of a connection outlives that of its dial
	d := &relayDial{m: m, ctx: ctx, target: target, relays: relays, dials: maxRelays, results: make(chan dialed, len(relays))}
	defer func() { go d.closeRest() }()
	return d.run()
}

// run dials until a relay connects to the target, enough relays failed or none is left.
func (d *relayDial) run() dialed {
	d.next()
	hedge := time.NewTicker(relayHedgeDelay)
	defer hedge.Stop()
	var timedOut []string // relays that did not connect to the target
	refused := 0
	last := errNoRelay
	for d.running > 0 {
		select {
		case <-hedge.C:
			d.next()
			continue
		case r := <-d.results:
			d.running--
			switch {
			case r.err == nil:
				for _, relay := range timedOut {
					d.m.exclude(relay)
				}
				return r
			case d.ctx.Err() != nil:
				last = r.err
			case errors.Is(r.err, syscall.ECONNREFUSED):
				last = r.err
				if refused++; refused >= minRefusals {
					return r
				}
			case isTimeout(r.err):
				last = r.err
				timedOut = append(timedOut, r.relay)
			default:
				d.m.exclude(r.relay)
				d.dials++
			}
			d.next()
		}
	}
	return dialed{err: last}
}

// next dials through the next relay, if there is one.
func (d *relayDial) next() {
	if len(d.relays) == 0 || d.dials == 0 || d.ctx.Err() != nil {
		return
	}
	relay := d.relays[0]
	d.relays = d.relays[1:]
	d.dials--
	d.running++
	go func() {
		conn, err := d.m.o.Open(d.ctx, relay, d.target)
		if err != nil {
			d.results <- dialed{relay: relay, err: err}
			return
		}
		d.results <- dialed{conn: &relayedConn{Conn: conn, manager: d.m, address: d.target.Address}, relay: relay}
	}()
}

// closeRest closes the connections of dials that are not needed any more.
func (d *relayDial) closeRest() {
	for range d.running {
		closeUnused(d.results)
	}
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
