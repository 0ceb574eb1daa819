package targetbase

import "time"

// Straggle multiplies the service times; 1 is normal.
func (t *Target) Straggle(factor float64) { t.faults.set(func(f *faults) { f.slow = factor }) }

// Fail makes this share (0 to 1) of the runs fail, after they have run.
func (t *Target) Fail(share float64) { t.faults.set(func(f *faults) { f.fail = share }) }

// Refuse answers all new runs with busy while on.
func (t *Target) Refuse(on bool) { t.faults.set(func(f *faults) { f.refuse = on }) }

// Leave refuses new runs with leaving; what was accepted is finished.
func (t *Target) Leave() {
	t.faults.set(func(f *faults) { f.leaving = true })
	t.load.leaving(true)
}

// Return ends the leaving state.
func (t *Target) Return() {
	t.faults.set(func(f *faults) { f.leaving = false })
	t.load.leaving(false)
}

// MixUp spoils this share (0 to 1) of the answers: ids of another request, a
// gap, or a truncated stream.
func (t *Target) MixUp(share float64) { t.faults.set(func(f *faults) { f.mix = share }) }

// LoseReply drops the connection in place of this share of the answers, after
// the run was done and recorded. HTTP/1.1 closes the connection, HTTP/2
// resets the stream.
func (t *Target) LoseReply(share float64) { t.faults.set(func(f *faults) { f.lose = share }) }

// LoseNext does the same for the next n answers.
func (t *Target) LoseNext(n int) { t.faults.set(func(f *faults) { f.loseNext = n }) }

// CrashOn makes an input that holds the marker crash the target, which comes
// back after the given time. An empty marker switches it off.
func (t *Target) CrashOn(marker string, restartAfter time.Duration) {
	t.faults.set(func(f *faults) { f.marker, f.restartAfter = []byte(marker), restartAfter })
}

// Crash closes the listener and resets all connections. Runs in progress
// stop unfinished. What the target held in memory is lost, its record of runs
// is not.
func (t *Target) Crash() {
	t.http.Crash()
	t.load.restart()
	t.runner.Lost()
}

// Restart comes back on the same address.
func (t *Target) Restart() error { return t.http.Restart() }

// Up reports whether the target is listening.
func (t *Target) Up() bool { return t.http.Running() }

// Silent makes the open connections silent for good; new ones work.
func (t *Target) Silent() { t.http.Silence() }
