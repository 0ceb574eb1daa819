package targetpath

import (
	"context"
	"errors"
	"net"
	"slices"
	"syscall"
	"time"
)

const (
	// relayDelay is how long a direct dial may take before the target is also tried
	// through a relay.
	relayDelay = 200 * time.Millisecond
	// searchTimeout limits one attempt to find out whether a target can be reached.
	searchTimeout = 500 * time.Millisecond
	// searchInterval is the minimum time between two searches for further lost targets,
	// searchCount the number of targets of one.
	searchInterval = 500 * time.Millisecond
	searchCount    = 2
	// maxSearches limits the searches that run at a time.
	maxSearches = 4
)

// Dial connects to a target: directly or, if this instance does not reach it, through a
// relay. The connection is a *net.TCPConn only if it is direct.
func (m *Manager) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	lost, all, dead := m.state(address)
	if !lost {
		return m.race(ctx, network, address)
	}
	if dead {
		return nil, ErrNoPath
	}
	conn, err := m.dialRelays(ctx, address)
	switch {
	case err == nil:
		return conn, nil
	case errors.Is(err, errNoRelay) && !all:
		return m.race(ctx, network, address)
	case errors.Is(err, errNoRelay):
		return nil, ErrNoPath
	case ctx.Err() == nil || errors.Is(ctx.Err(), context.DeadlineExceeded):
		m.recordDead(address)
	}
	return nil, err
}

// state returns whether connections to the target lead through relays, whether those to all
// targets do, and whether relays have just failed to connect to it as well.
func (m *Manager) state(address string) (lost, all, dead bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.paths[address]
	return m.lost || p != nil && p.lost(), m.lost, p != nil && time.Now().Before(p.deadUntil)
}

// recordDead records that no relay connected to the target.
func (m *Manager) recordDead(address string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.get(address).deadUntil = time.Now().Add(deadTime)
}

// dialed is the result of a dial.
type dialed struct {
	conn  net.Conn
	relay string
	err   error
}

// race dials the target directly, and through a relay if that fails or takes long.
func (m *Manager) race(ctx context.Context, network, address string) (net.Conn, error) {
	began := time.Now()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	direct, viaRelay := make(chan dialed, 1), make(chan dialed, 1)
	go func() {
		conn, err := m.o.Dial(ctx, network, address)
		direct <- dialed{conn: conn, err: err}
	}()
	delay := time.NewTimer(relayDelay)
	defer delay.Stop()
	relayed := false // a dial through a relay has begun
	useRelay := func() bool {
		if relayed {
			return true
		}
		if relayed = m.mayUseRelay(address); relayed {
			go func() { viaRelay <- m.dialThroughRelay(ctx, address) }()
		}
		return relayed
	}
	var directErr, relayErr error
	for {
		select {
		case d := <-direct:
			if d.err == nil {
				m.recordDial(address)
				if relayed && relayErr == nil {
					go closeUnused(viaRelay)
				}
				return d.conn, nil
			}
			if directErr = d.err; relayErr != nil || ctx.Err() != nil && !relayed || !useRelay() {
				m.recordFailures(address, began, directErr, relayErr)
				return nil, directErr
			}
		case <-delay.C:
			useRelay()
		case d := <-viaRelay:
			if d.err == nil {
				m.recordOwnFailure(address, d.relay, began, directErr)
				if directErr == nil {
					go closeUnused(direct)
				}
				return d.conn, nil
			}
			if relayErr = d.err; directErr != nil {
				m.recordFailures(address, began, directErr, relayErr)
				return nil, directErr
			}
		}
	}
}

// closeUnused closes the connection of a dial that is not needed any more.
func closeUnused(result <-chan dialed) {
	if d := <-result; d.conn != nil {
		_ = d.conn.Close()
	}
}

// recordFailures records a direct dial that failed and one through relays that failed too,
// or was not made (nil) because there is no relay or too little time.
func (m *Manager) recordFailures(address string, began time.Time, direct, relay error) {
	_, listed := m.o.Targets().AtAddress(address)
	switch {
	case !listed || errors.Is(direct, context.Canceled):
	case errors.Is(direct, syscall.ECONNREFUSED) && (relay == nil || errors.Is(relay, syscall.ECONNREFUSED)):
		m.recordRefused(address)
	case relay != nil || time.Since(began) >= relayDelay:
		m.recordSharedFailure(address, began, relay != nil)
	}
}

// Suspect finds out, in the background, whether the target can still be reached directly. It
// is called when a connection does not acknowledge data.
func (m *Manager) Suspect(address string) {
	lost, _, dead := m.state(address)
	if lost || dead {
		return
	}
	m.search(address)
}

// searchMore tries further targets after the way to one was lost, to find out whether all
// are.
func (m *Manager) searchMore(lost string) {
	m.mu.Lock()
	if m.lost || time.Since(m.lastSearch) < searchInterval {
		m.mu.Unlock()
		return
	}
	m.lastSearch = time.Now()
	listed := m.addresses()
	m.o.Rand.Shuffle(len(listed), func(a, b int) { listed[a], listed[b] = listed[b], listed[a] })
	var chosen []string
	for _, address := range listed {
		if address != lost && m.paths[address] == nil && len(chosen) < searchCount {
			chosen = append(chosen, address)
		}
	}
	m.mu.Unlock()
	for _, address := range chosen {
		m.search(address)
	}
}

// search connects to the target in the background and records the result.
func (m *Manager) search(address string) {
	m.mu.Lock()
	begin := len(m.searching) < maxSearches && !m.searching[address] && !m.closed
	if begin {
		m.searching[address] = true
	}
	m.mu.Unlock()
	if !begin {
		return
	}
	go func() {
		defer m.endSearch(address)
		ctx, cancel := context.WithTimeout(context.Background(), searchTimeout)
		defer cancel()
		if conn, err := m.race(ctx, "tcp", address); err == nil {
			_ = conn.Close()
		}
	}()
}

func (m *Manager) endSearch(address string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.searching, address)
}

// otherCount is the number of targets that ReachesOther dials.
const otherCount = 3

// ReachesOther reports whether any of a few targets other than that with the address can be
// connected to, or there is no other one. If none can, the refusal of a target does not show
// that it is dead.
func (m *Manager) ReachesOther(ctx context.Context, address string) bool {
	others := slices.DeleteFunc(m.addresses(), func(a string) bool { return a == address })
	if len(others) == 0 {
		return true
	}
	m.mu.Lock()
	m.o.Rand.Shuffle(len(others), func(a, b int) { others[a], others[b] = others[b], others[a] })
	m.mu.Unlock()
	others = others[:min(len(others), otherCount)]
	ctx, cancel := context.WithTimeout(ctx, searchTimeout)
	defer cancel()
	results := make(chan dialed, len(others))
	for _, other := range others {
		go func() {
			conn, err := m.Dial(ctx, "tcp", other)
			results <- dialed{conn: conn, err: err}
		}()
	}
	reached := false
	for range others {
		if d := <-results; d.err == nil {
			reached = true
			_ = d.conn.Close()
			cancel()
		}
	}
	return reached
}
