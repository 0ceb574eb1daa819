package pipeline

import "sync"

// dispatches counts the attempts of a request that may have reached a target. The
// answer "not run" is based on this count. An attempt is counted before its first
// byte can be sent, and uncounted only if it is proven that nothing of it ran.
//
// close prevents further attempts. Without it, an attempt that waits in a queue
// could be dispatched just after the caller got "not run"; the target would then
// have run a request that was answered not_run.
type dispatches struct {
	mu       sync.Mutex // guards all fields
	possible int
	closed   bool
}

// begin counts an attempt. It returns false if the request has already been
// answered; the attempt must not be made then.
func (d *dispatches) begin() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return false
	}
	d.possible++
	return true
}

// undo uncounts an attempt that is proven not to have run.
func (d *dispatches) undo() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.possible--
}

// mayHaveRun reports whether any attempt may have run so far.
func (d *dispatches) mayHaveRun() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.possible > 0
}

// close prevents further attempts from beginning and reports whether any may have
// run.
func (d *dispatches) close() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.closed = true
	return d.possible > 0
}
