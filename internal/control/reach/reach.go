// Package reach detects that this instance is healthy but reaches none of its
// targets, for example because of a network failure, and takes the instance out of
// service until a target answers again.
//
// Without this check, an instance that is cut off accepts requests until the age
// limit of its configuration (fence) takes it out of service some seconds later, and
// each request waits for targets that it cannot reach, so callers receive their
// errors late. With the check, the instance refuses new requests, marked as not
// executed so that another instance can run them, and abandons those in progress,
// so that their callers can retry in time.
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
	// Window is the time without an answer from any target after which the
	// instance may count as cut off.
	Window time.Duration
	// MinTargets is the number of distinct targets that calls must have failed to
	// reach since a target last answered; all of them if the board lists fewer. A
	// few dead targets do not mean that this instance is cut off.
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

// Controller maintains the CutOff field of board.Self.
type Controller struct {
	opts Options

	mu               sync.Mutex          // guards the fields below
	answered         time.Time           // when a target last answered
	unreachedTargets map[string]struct{} // targets that calls failed to reach since then
	cutOff           bool
	lost             chan struct{} // closed when the instance is found to be cut off
}

// New returns a controller that initially regards the instance as connected.
func New(opts Options) *Controller {
	opts = opts.withDefaults()
	return &Controller{
		opts: opts, answered: opts.Clock.Now(), unreachedTargets: make(map[string]struct{}), lost: make(chan struct{}),
	}
}

// Run calls Step every Options.Period until ctx ends.
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

// CutOff returns a channel that is closed when the instance is found to be cut off.
// Callers must call CutOff anew for each request, since the channel is replaced when
// a target answers again.
func (c *Controller) CutOff() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lost
}

// Observe records the result of a call to a target.
func (c *Controller) Observe(target string, err error) {
	switch reachabilityOf(err) {
	case reached:
		c.targetAnswered()
	case unreached:
		c.mu.Lock()
		c.unreachedTargets[target] = struct{}{}
		c.mu.Unlock()
	}
}

func (c *Controller) targetAnswered() {
	c.mu.Lock()
	c.answered = c.opts.Clock.Now()
	clear(c.unreachedTargets)
	wasCutOff := c.cutOff
	c.mu.Unlock()
	if wasCutOff {
		c.Step()
	}
}

// reachability is what the result of a call says about the reachability of its target.
type reachability int

const (
	unknown reachability = iota
	reached
	unreached
)

// reachabilityOf classifies a call's error. A connection that broke, or a call that this
// instance cancelled, does not tell whether the target is reachable.
func reachabilityOf(err error) reachability {
	if err == nil {
		return reached
	}
	switch stagecall.FailureOf(err).Class {
	case stagecall.ClassConnect, stagecall.ClassSilent:
		return unreached
	case stagecall.ClassRefused, stagecall.ClassFailed, stagecall.ClassBadInput, stagecall.ClassProtocol:
		return reached
	default:
		return unknown
	}
}

// Step decides from the observed calls whether the instance is cut off, and
// publishes a change.
func (c *Controller) Step() {
	targets := c.opts.Board.Targets.Len()
	c.mu.Lock()
	silent := c.opts.Clock.Now().Sub(c.answered) >= c.opts.Window
	cutOff := targets > 0 && silent && len(c.unreachedTargets) >= min(c.opts.MinTargets, targets)
	changed := cutOff != c.cutOff
	c.cutOff = cutOff
	tried := len(c.unreachedTargets)
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
