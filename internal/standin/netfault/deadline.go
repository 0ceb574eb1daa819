package netfault

import (
	"sync"
	"time"
)

// deadline is a moment that may be moved; expired tells when it has passed.
type deadline struct {
	mu      sync.Mutex // guards the fields below
	timer   *time.Timer
	passed  bool
	expires chan struct{} // closed when the deadline passes
}

func newDeadline() *deadline { return &deadline{expires: make(chan struct{})} }

// set moves the deadline; the zero time is never.
func (d *deadline) set(t time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.timer != nil {
		d.timer.Stop()
		d.timer = nil
	}
	if d.passed {
		d.passed = false
		d.expires = make(chan struct{})
	}
	if t.IsZero() {
		return
	}
	left := time.Until(t)
	if left <= 0 {
		d.pass()
		return
	}
	var timer *time.Timer
	timer = time.AfterFunc(left, func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		if d.timer == timer {
			d.pass()
		}
	})
	d.timer = timer
}

// pass marks the deadline as passed. The caller holds mu.
func (d *deadline) pass() {
	d.passed = true
	close(d.expires)
}

// expired returns a channel that is closed when the deadline has passed.
func (d *deadline) expired() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.expires
}
