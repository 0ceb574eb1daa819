// Package drain manages drains: operators' orders that an instance, an availability
// zone or a target takes no new work. Drains are objects in the platform's store
// ("drains/SUBJECT") and therefore survive restarts; package profilesync maintains
// the board's copy of them.
package drain

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"strings"
	"time"

	"lynxhill.example/lynxhill/internal/board"
	"lynxhill.example/lynxhill/internal/clock"
	"lynxhill.example/lynxhill/internal/control/loop"
	"lynxhill.example/lynxhill/internal/event"
	"lynxhill.example/lynxhill/internal/metrics"
	"lynxhill.example/lynxhill/internal/store"
)

// KeyPrefix is the prefix of the keys of drains in the store; the subject follows.
const KeyPrefix = "drains/"

const (
	// period is the time between two reconciliations of the board when no object
	// changes.
	period = 30 * time.Second
	// settle is the shortest time between two reconciliations, so that many
	// simultaneous changes cause one.
	settle = 100 * time.Millisecond
	jitter = 0.25 // share by which period varies
)

var metricActive = metrics.Define("drains_active", "drains", "Drains in force.")

// Store is the part of the platform's store that the controller uses.
type Store interface {
	store.Reader
	store.Writer
}

// Options configure a Controller.
type Options struct {
	Store   Store
	Board   *board.Board
	Clock   clock.Clock
	Rand    *rand.Rand
	Logger  *event.Logger
	Metrics *metrics.Registry
	Self    string
	Zone    string
}

// Controller derives board.Drains and the Draining field of board.Self from the
// board's copy of the store's objects. While the store is unavailable, the known
// drains stay in force.
type Controller struct {
	opts Options
	rand *loop.Rand
}

// New returns a controller.
func New(opts Options) *Controller {
	return &Controller{opts: opts, rand: loop.NewRand(opts.Rand)}
}

// Run reconciles the board until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	loop.Run(ctx, loop.Options{
		Clock: c.opts.Clock, Rand: c.rand, Period: period, Jitter: jitter,
		Changed: c.opts.Board.Objects.Changed, MinInterval: settle,
	}, func(context.Context) { c.Step() })
}

// Step reconciles the board with the objects once.
func (c *Controller) Step() {
	active := c.active()
	for subject := range c.opts.Board.Drains.Snapshot() {
		if _, still := active[subject]; !still {
			c.opts.Board.Drains.Delete(subject)
			c.opts.Logger.Log(event.DrainCleared, "subject", subject)
		}
	}
	for subject, d := range active {
		old, found := c.opts.Board.Drains.Get(subject)
		if !found {
			c.opts.Logger.Log(event.DrainOrdered, "subject", subject, "by", d.By)
		}
		if old != d {
			c.opts.Board.Drains.Put(subject, d)
		}
	}
	c.opts.Metrics.Counter(metricActive).Set(int64(len(active)))
	c.markSelf()
}

// active returns the drains in force by subject.
func (c *Controller) active() map[string]board.Drain {
	active := make(map[string]board.Drain)
	for key, object := range c.opts.Board.Objects.Snapshot() {
		subject, ours := strings.CutPrefix(key, KeyPrefix)
		if !ours || object.Deleted {
			continue
		}
		d := board.Drain{}
		if err := json.Unmarshal(object.Value, &d); err != nil {
			c.opts.Logger.Log(event.DrainInvalid, "subject", subject)
		}
		// An object that cannot be decoded still drains, since its writer meant to.
		d.Subject, d.Version = subject, object.Version
		active[subject] = d
	}
	return active
}

// markSelf sets the Draining field of this instance's row.
func (c *Controller) markSelf() {
	b := c.opts.Board
	draining := b.Drained(board.DrainInstance+c.opts.Self) || b.Drained(board.DrainZone+c.opts.Zone)
	b.Self.Update(board.SelfRow, func(self board.Self, _ bool) (board.Self, bool) {
		if self.Draining == draining {
			return self, false
		}
		self.Draining = draining
		return self, true
	})
}
