package pipeline

import "sync"

// dispatches keeps what "not run" rests on: how many attempts of a request may
// have reached a target. An attempt is counted before its first byte can leave
// and taken back only if it is proven that nothing of it ran.
//
// Without the closing, an attempt that waits in a queue could be dispatched
// just after its caller was told "not run"; it would show as a run in a
// target's record for a request that was answered not_run.
type dispatches struct {
	mu       sync.Mutex // guards all fields
	possible int
	closed   bool
}

// begin counts an attempt. It returns false if the request has had its answer;
// then the attempt must not be made.
func (d *dispatches) begin() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return false
	}
	d.possible++
	return true
}

// notRun takes an attempt back.
func (d *dispatches) notRun() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.possible--
}

// any reports whether any attempt may have run so far.
func (d *dispatches) any() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.possible > 0
}

// close lets no further attempt begin and reports whether any may have run.
func (d *dispatches) close() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.closed = true
	return d.possible > 0
}
