// Package reach notices that this instance reaches none of its targets while
// it is itself well, as when the network between them fails, and takes it out
// of service until it reaches one again.
//
// What goes wrong without it: an instance that is cut off takes requests until
// the fence of its configuration closes, some seconds later, and each of them
// waits for targets that cannot hear it. Callers see only late errors. Here
// the instance refuses new requests (not run, elsewhere) and gives up those it
// has, so that their callers send them again in time.
package reach

import (
	"context"
	"sync"
	"time"

	"lynxhill.example/lynxhill/internal/board"
	"lynxhill.example/lynxhill/internal/clock"
	"lynxhill.example/lynxhill/internal/event"
	"lynxhill.example/lynxhill/internal/metrics"
	"lynxhill.example/lynxhill/internal/stagecall"
)

// Defaults of Options.
const (
	DefaultWindow     = 1500 * time.Millisecond
	DefaultMinTargets = 3
	DefaultPeriod     = 100 * time.Millisecond
)

var metricCutOff = metrics.Define("reach_cut_off", "0 or 1", "Whether this instance takes no work because it reaches none of its targets.")

// Options configure a Controller.
type Options struct {
	Board   *board.Board
	Clock   clock.Clock
	Logger  *event.Logger
	Metrics *metrics.Registry
	// Window is how long no target may have answered.
	Window time.Duration
	// MinTargets is how many distinct targets must have been tried in vain
	// since one last answered; all of them if the board lists fewer. A few
	// dead targets are no sign that this instance is cut off.
	MinTargets int
	Period     time.Duration // between two checks
}

func (o Options) withDefaults() Options {
	if o.Window <= 0 {
		o.Window = DefaultWindow
	}
	if o.MinTargets <= 0 {
		o.MinTargets = DefaultMinTargets
	}
	if o.Period <= 0 {
		o.Period = DefaultPeriod
	}
	return o
}

// Controller keeps the CutOff mark of board.Self.
type Controller struct {
	opts Options

	mu       sync.Mutex // guards what follows
	answered time.Time  // when a target last answered
	failed   map[string]struct{}
	cutOff   bool
	lost     chan struct{} // closed when the instance is found cut off
}

// New returns a controller that takes the instance for connected.
func New(opts Options) *Controller {
	opts = opts.withDefaults()
	return &Controller{
		opts: opts, answered: opts.Clock.Now(), failed: make(map[string]struct{}), lost: make(chan struct{}),
	}
}

// Run checks until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	ticker := c.opts.Clock.NewTicker(c.opts.Period)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			c.Step()
		}
	}
}

// Lost returns a channel that is closed when the instance is found cut off.
// Take a new one for each request.
func (c *Controller) Lost() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lost
}

// Observe takes in the end of a call to a target.
func (c *Controller) Observe(target string, err error) {
	switch verdictOf(err) {
	case reached:
		c.reached()
	case unreached:
		c.mu.Lock()
		c.failed[target] = struct{}{}
		c.mu.Unlock()
	}
}

func (c *Controller) reached() {
	c.mu.Lock()
	c.answered = c.opts.Clock.Now()
	clear(c.failed)
	back := c.cutOff
	c.mu.Unlock()
	if back {
		c.Step()
	}
}

// verdict is what the end of a call says about the way to the target.
type verdict int

const (
	unsure verdict = iota
	reached
	unreached
)

// verdictOf reads a call's error. A connection that broke, or a call that we
// ended, says nothing: the target may have died or lived.
func verdictOf(err error) verdict {
	if err == nil {
		return reached
	}
	switch stagecall.FailureOf(err).Class {
	case stagecall.ClassConnect, stagecall.ClassSilent:
		return unreached
	case stagecall.ClassRefused, stagecall.ClassFailed, stagecall.ClassBadInput, stagecall.ClassProtocol:
		return reached
	default:
		return unsure
	}
}

// Step decides from what was observed.
func (c *Controller) Step() {
	targets := c.opts.Board.Targets.Len()
	c.mu.Lock()
	silent := c.opts.Clock.Now().Sub(c.answered) >= c.opts.Window
	cutOff := targets > 0 && silent && len(c.failed) >= min(c.opts.MinTargets, targets)
	changed := cutOff != c.cutOff
	c.cutOff = cutOff
	tried := len(c.failed)
	if changed && cutOff {
		close(c.lost)
	}
	if changed && !cutOff {
		c.lost = make(chan struct{})
	}
	c.mu.Unlock()
	if changed {
		c.publish(cutOff, tried)
	}
}

func (c *Controller) publish(cutOff bool, tried int) {
	c.opts.Board.Self.Update(board.SelfRow, func(self board.Self, _ bool) (board.Self, bool) {
		self.CutOff = cutOff
		return self, true
	})
	if cutOff {
		c.opts.Metrics.Counter(metricCutOff).Set(1)
		c.opts.Logger.Log(event.ReachLost, "targets_tried", tried)
		return
	}
	c.opts.Metrics.Counter(metricCutOff).Set(0)
	c.opts.Logger.Log(event.ReachRegained)
}
