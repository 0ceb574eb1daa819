package targetpath

import "testing"

// Guards against a target that has started again at its address and is not connected to, since the earlier start was dead; what
// is known of the way to the address stays.
func TestTargetStartedIsNotDead(t *testing.T) {
	m := New(Options{})
	defer m.Close()
	m.recordRefused("a")
	m.recordDead("b")
	m.mu.Lock()
	m.paths["b"].relayReached = true
	m.mu.Unlock()
	for _, address := range []string{"a", "b", "unknown"} {
		m.TargetStarted(address)
		if _, _, dead := m.state(address); dead {
			t.Errorf("%s is dead", address)
		}
	}
	if lost, _, _ := m.state("b"); !lost || len(m.paths) != 1 {
		t.Errorf("the way to b is lost: %v; %d paths are known", lost, len(m.paths))
	}
}
