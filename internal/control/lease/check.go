package lease

import "time"

// Grant is a lease that this instance holds. Times are on the boot clock.
type Grant struct {
	// Fence is the fencing number that orders carry.
	Fence uint64
	// Until is when the lease expires.
	Until time.Duration
	// UncheckedFrom is the earliest time for orders to engines that do not check
	// fencing numbers.
	UncheckedFrom time.Duration
}

// Checker reports whether this instance may give orders. Manager implements it.
type Checker interface {
	// Check reports whether an order that takes up to need may be given now.
	// checksFence says whether the engine checks fencing numbers. The result
	// depends on the boot clock, so call Check directly before each order.
	Check(service string, need time.Duration, checksFence bool) (Grant, bool)
	// OrderTimeout is the maximum time that an order may take. The next holder of
	// the lease relies on it.
	OrderTimeout() time.Duration
}

// OrderTimeout implements Checker.
func (m *Manager) OrderTimeout() time.Duration { return m.opts.OrderTimeout }

// Check implements Checker.
//
// A holder that was paused still has its grant, although another instance may hold
// the lease by now; both could then change one engine at the same time. The boot
// clock continues while the host is suspended, so the first check after the pause
// fails, regardless of the state of the rest of the process.
func (m *Manager) Check(service string, need time.Duration, checksFence bool) (Grant, bool) {
	m.mu.Lock()
	grant, held := m.grants[service]
	m.mu.Unlock()
	if !held {
		return Grant{}, false
	}
	now := m.opts.Boot.SinceBoot()
	if now+need+m.opts.Margin > grant.Until {
		return grant, false
	}
	if !checksFence && now < grant.UncheckedFrom {
		return grant, false
	}
	return grant, true
}

// Holds reports whether this instance holds the lease of the service now.
func (m *Manager) Holds(service string) bool {
	_, ok := m.Check(service, 0, true)
	return ok
}

func (m *Manager) grant(service string) (Grant, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	g, ok := m.grants[service]
	return g, ok
}

func (m *Manager) setGrant(service string, g Grant) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.grants[service] = g
}

func (m *Manager) dropGrant(service string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, held := m.grants[service]
	delete(m.grants, service)
	return held
}
