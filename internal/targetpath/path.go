package targetpath

import (
	"time"

	"lynxhill.example/lynxhill/internal/event"
)

// Evidence for the loss of all targets.
const (
	// minOwnFailures is how many targets a relay must reach that this instance does not.
	minOwnFailures = 2
	// minSharedFailures is the number of targets that count if no relay reaches them
	// either; a single one may be dead.
	minSharedFailures = 3
	// minOwnSilence and minSharedSilence are how long no target must have been heard.
	minOwnSilence    = 500 * time.Millisecond
	minSharedSilence = 1500 * time.Millisecond
	// failureRetention is how long a failure counts.
	failureRetention = 5 * time.Second
	// deadTime is how long a target that no relay reaches either is not tried through
	// relays again.
	deadTime = time.Second
)

// path is what is known about the direct way to one target.
type path struct {
	relayReached bool      // a relay reached the target when this instance did not
	failedBegan  time.Time // when the last direct dial that failed began
	failedAt     time.Time
	deadUntil    time.Time // no relay reaches it either, until then
	probes       int       // successive probes that succeeded
}

// lost reports whether connections to the target lead through relays.
func (p *path) lost() bool { return p.relayReached }

// get returns the path to the address, a new one if nothing is known. The caller holds mu.
func (m *Manager) get(address string) *path {
	p := m.paths[address]
	if p == nil {
		p = &path{}
		m.paths[address] = p
	}
	return p
}

// recordDial records that a direct dial succeeded.
func (m *Manager) recordDial(address string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lastDial = time.Now()
	if p := m.paths[address]; p != nil && !p.lost() {
		delete(m.paths, address)
	}
}

// recordOwnFailure records that a relay connected to the target while a direct dial, which
// began at the given time, had not.
func (m *Manager) recordOwnFailure(address, relay string, began time.Time, err error) {
	m.mu.Lock()
	p := m.get(address)
	known := p.lost()
	p.relayReached, p.failedBegan, p.failedAt, p.deadUntil, p.probes = true, began, time.Now(), time.Time{}, 0
	becameLost := m.evaluate()
	m.scheduleProbe()
	m.mu.Unlock()
	if !known {
		m.o.Logger.Log(event.TargetPathLost, "address", address, "relay", relay, "waited_ms", time.Since(began).Milliseconds(), "err", err)
	}
	if becameLost {
		m.becomeLost()
	} else if !known {
		m.searchMore(address)
	}
}

// recordSharedFailure records that a direct dial, which began at the given time, did not
// connect to the target, and no relay did either if one was tried.
func (m *Manager) recordSharedFailure(address string, began time.Time, relayTried bool) {
	m.mu.Lock()
	p := m.get(address)
	now := time.Now()
	p.failedBegan, p.failedAt = began, now
	if relayTried {
		p.deadUntil = now.Add(deadTime)
	}
	becameLost := m.evaluate()
	m.scheduleProbe()
	m.mu.Unlock()
	if becameLost {
		m.becomeLost()
	} else {
		m.searchMore(address)
	}
}

// recordRefused records that the target refused a direct dial and one through a relay: it
// is dead, which says nothing about the way to it.
func (m *Manager) recordRefused(address string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.get(address)
	p.deadUntil = time.Now().Add(deadTime)
	m.scheduleProbe()
}

// evaluate decides from the failures whether this instance has lost its way to all targets
// and reports whether it has just done so. The caller holds mu.
func (m *Manager) evaluate() (becameLost bool) {
	if m.lost {
		return false
	}
	now, heard := time.Now(), m.lastDial
	if at := m.o.LastHeard(); at.After(heard) {
		heard = at
	}
	own, shared := 0, 0
	for _, p := range m.paths {
		if !p.failedBegan.After(heard) || now.Sub(p.failedAt) > failureRetention {
			continue
		}
		if p.relayReached {
			own++
		} else {
			shared++
		}
	}
	listed := max(m.o.Targets().Len(), 1)
	silence := now.Sub(heard)
	m.lost = own >= min(minOwnFailures, listed) && silence > minOwnSilence ||
		own+shared >= min(minSharedFailures, listed) && silence > minSharedSilence
	if m.lost {
		m.answered = 0
		m.o.Logger.Log(event.TargetsLost, "reached_by_relay", own, "unreached", shared, "listed", listed, "heard_ms", silence.Milliseconds())
	}
	return m.lost
}

// becomeLost acts on the loss of all targets.
func (m *Manager) becomeLost() {
	if m.o.OnLost != nil {
		m.o.OnLost()
	}
}

// TargetStarted records that a target has started again at the address: that the earlier
// start was dead says nothing about it.
func (m *Manager) TargetStarted(address string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch p := m.paths[address]; {
	case p == nil:
	case p.lost():
		p.deadUntil = time.Time{}
	default:
		delete(m.paths, address)
	}
}
