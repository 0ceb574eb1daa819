// Package virtualtest is what tests with several instances in virtual time
// have in common. Only tests import it.
package virtualtest

import (
	"flag"
	"fmt"
	"sync"
	"testing"
	"time"

	"lynxhill.example/lynxhill/internal/board"
)

// measureSize adds a fleet to the sizes that are measured: 370 is the size to
// design for, and takes a minute of real time.
var measureSize = flag.Int("measure-size", 0, "further number of instances to measure")

// Sizes are the fleets to measure: the usual ones and that of -measure-size.
func Sizes(usual ...int) []int {
	if *measureSize > 0 {
		usual = append(usual, *measureSize)
	}
	return usual
}

// Member is the i-th instance of a fleet in four zones of one region.
func Member(i int) board.Member {
	addr := fmt.Sprintf("10.0.%d.%d:7300", i/250, i%250)
	return board.Member{
		ID: fmt.Sprintf("lynxhill-%03d", i), CallerAddr: "c" + addr, AdminAddr: "a" + addr, PeerAddr: addr,
		Zone: fmt.Sprintf("place-%d", i%4), Region: "tunis",
	}
}

// Until sleeps in steps until ok holds and returns how long that took; past
// the limit it ends the test.
func Until(t testing.TB, step, limit time.Duration, what string, ok func() bool) time.Duration {
	t.Helper()
	for waited := time.Duration(0); waited <= limit; waited += step {
		if ok() {
			return waited
		}
		time.Sleep(step)
	}
	t.Fatalf("%s: not within %v", what, limit)
	return 0
}

// Pause stops an instance at its next call to the outside, as a process that
// is stopped has no effect on others. The zero value is not paused.
type Pause struct {
	mu    sync.Mutex // guards until
	until time.Time
}

// For pauses for d from now.
func (p *Pause) For(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.until = time.Now().Add(d)
}

// Wait returns when the pause is over. Every call to the outside begins with
// it.
func (p *Pause) Wait() {
	p.mu.Lock()
	until := p.until
	p.mu.Unlock()
	if d := time.Until(until); d > 0 {
		time.Sleep(d)
	}
}
