package targetpath

import (
	"context"
	"sync"
	"time"

	"lynxhill.example/lynxhill/internal/event"
)

const (
	// probeInterval is the interval of direct dials to targets whose path is lost, and
	// probeTimeout the time limit of each.
	probeInterval = 400 * time.Millisecond
	probeTimeout  = 300 * time.Millisecond
	// probeCount is the number of targets that are dialed at a time.
	probeCount = 3
	// minProbes is the number of successive dials that must succeed before a path is used
	// again, so that a path that comes and goes is not.
	minProbes = 2
)

// scheduleProbe schedules the next probe unless one is scheduled. The caller holds mu.
func (m *Manager) scheduleProbe() {
	if m.probing || m.closed {
		return
	}
	m.probing = true
	time.AfterFunc(probeInterval, m.probe)
}

// probe dials some of the lost targets directly and schedules the next probe if any is
// lost still.
func (m *Manager) probe() {
	chosen := m.probeTargets()
	results := make([]bool, len(chosen))
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	var dials sync.WaitGroup
	for n, address := range chosen {
		dials.Go(func() {
			conn, err := m.o.Dial(ctx, "tcp", address)
			if results[n] = err == nil; results[n] {
				_ = conn.Close()
			}
		})
	}
	dials.Wait()
	var restored []string
	m.mu.Lock()
	m.probing = false
	answered := false
	for n, address := range chosen {
		answered = answered || results[n]
		if m.recordProbe(address, results[n]) {
			restored = append(restored, address)
		}
	}
	back := m.recordProbes(len(chosen) > 0, answered)
	becameLost := !back && m.evaluate() // failures count once targets have been silent for long enough
	if m.lost || len(m.paths) > 0 {
		m.scheduleProbe()
	}
	m.mu.Unlock()
	if becameLost {
		m.becomeLost()
	}
	if back {
		m.o.Logger.Log(event.TargetsRestored)
		restored = []string{""}
	}
	for _, address := range restored {
		if m.o.OnRestored != nil {
			m.o.OnRestored(address)
		}
	}
}

// probeTargets chooses the targets to dial and forgets expired failures.
func (m *Manager) probeTargets() (chosen []string) {
	listed := m.addresses()
	isListed := make(map[string]bool, len(listed))
	for _, address := range listed {
		isListed[address] = true
	}
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	for address, p := range m.paths {
		expired := !p.lost() && now.Sub(p.failedAt) > failureRetention && now.After(p.deadUntil)
		if expired || !isListed[address] {
			delete(m.paths, address)
			continue
		}
		if p.lost() && !m.lost {
			chosen = append(chosen, address)
		}
	}
	if m.lost {
		chosen = listed
	}
	m.o.Rand.Shuffle(len(chosen), func(a, b int) { chosen[a], chosen[b] = chosen[b], chosen[a] })
	// Targets that answered the last probe come first, so that they are restored soon.
	n := 0
	for k, address := range chosen {
		if p := m.paths[address]; p != nil && p.probes > 0 {
			chosen[n], chosen[k] = chosen[k], chosen[n]
			n++
		}
	}
	return chosen[:min(len(chosen), max(probeCount, n))]
}

// recordProbe records a probe of a single lost path and reports whether the path is
// restored. The caller holds mu.
func (m *Manager) recordProbe(address string, ok bool) (restored bool) {
	p := m.paths[address]
	if p == nil || !p.lost() {
		return false
	}
	if !ok {
		p.probes = 0
		return false
	}
	if p.probes++; p.probes < minProbes || m.lost {
		return false
	}
	delete(m.paths, address)
	m.o.Logger.Log(event.TargetPathRestored, "address", address)
	return true
}

// recordProbes records a probe while all targets are lost and reports whether this instance
// reaches targets again. The caller holds mu.
func (m *Manager) recordProbes(probed, answered bool) (back bool) {
	if !m.lost || !probed {
		return false
	}
	if !answered {
		m.answered = 0
		return false
	}
	if m.answered++; m.answered < minProbes {
		return false
	}
	m.lost, m.lastDial = false, time.Now()
	clear(m.paths)
	return true
}
