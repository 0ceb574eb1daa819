// Package drain keeps operators' orders that an instance, a place or a target
// takes no new work. They are objects of the platform ("drains/SUBJECT") and
// so outlast restarts. A drain that is taken back stays as a cleared object
// for a while, so that an old word of a peer cannot bring it back.
package drain

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"lynxhill.example/lynxhill/internal/board"
	"lynxhill.example/lynxhill/internal/clock"
	"lynxhill.example/lynxhill/internal/control/loop"
	"lynxhill.example/lynxhill/internal/control/rendezvous"
	"lynxhill.example/lynxhill/internal/event"
	"lynxhill.example/lynxhill/internal/metrics"
	"lynxhill.example/lynxhill/internal/store"
)

// KeyPrefix is where drains are kept in the store; the subject follows.
const KeyPrefix = "drains/"

// Defaults of Options.
const (
	DefaultReadEvery     = 5 * time.Second
	DefaultSlowReadEvery = 2 * time.Minute
	DefaultReaders       = 2
	DefaultKeepCleared   = 24 * time.Hour
)

const (
	jitter      = 0.25
	callTimeout = 5 * time.Second
)

var (
	metricReads  = metrics.Define("drain_reads_total", "reads", "Lists of drains read from the platform.")
	metricActive = metrics.Define("drains_active", "drains", "Drains in force.")
)

// Store is what the controller needs of the platform.
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
	Place   string
	// ReadEvery is how often the readers of a place read the drains from the
	// platform; the others read every SlowReadEvery and learn by gossip.
	ReadEvery     time.Duration
	SlowReadEvery time.Duration
	// Readers is the number of readers in each place.
	Readers int
	// KeepCleared is how long a cleared object is kept.
	KeepCleared time.Duration
}

func (o Options) withDefaults() Options {
	if o.ReadEvery <= 0 {
		o.ReadEvery = DefaultReadEvery
	}
	if o.SlowReadEvery <= 0 {
		o.SlowReadEvery = DefaultSlowReadEvery
	}
	if o.Readers <= 0 {
		o.Readers = DefaultReaders
	}
	if o.KeepCleared <= 0 {
		o.KeepCleared = DefaultKeepCleared
	}
	return o
}

// stored is the value of a drain object.
type stored struct {
	board.Drain
	Cleared bool `json:"cleared,omitempty"`
}

// entry is what is known of a subject.
type entry struct {
	version uint64
	active  bool
	by      string
	at      time.Time
}

// Controller keeps board.Drains and the Draining mark of board.Self.
type Controller struct {
	opts Options
	rand *loop.Rand
	wake board.Signal // a peer's word or an operator's order

	mu       sync.Mutex // guards entries, listed and nextFill
	entries  map[string]entry
	listed   uint64 // version of the store at the latest list
	nextFill int
}

// New returns a controller that knows no drains yet.
func New(opts Options) *Controller {
	return &Controller{opts: opts.withDefaults(), rand: loop.NewRand(opts.Rand), entries: make(map[string]entry)}
}

// Run reads the drains at a low rate and keeps the board until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	var publishing sync.WaitGroup
	publishing.Go(func() {
		loop.Run(ctx, loop.Options{
			Clock: c.opts.Clock, Rand: c.rand, Period: c.opts.SlowReadEvery, Jitter: jitter, Changed: c.wake.Wait,
		}, func(context.Context) { c.publish() })
	})
	defer publishing.Wait()
	for ctx.Err() == nil {
		c.read(ctx)
		if !loop.Sleep(ctx, c.opts.Clock, c.rand.Spread(c.period(), jitter)) {
			return
		}
	}
}

// period is short on the few readers of the place.
func (c *Controller) period() time.Duration {
	live := c.opts.Board.LiveMembersIn(c.opts.Place, c.opts.Self)
	if rendezvous.Position(KeyPrefix+c.opts.Place, c.opts.Self, live) < c.opts.Readers {
		return c.opts.ReadEvery
	}
	return c.opts.SlowReadEvery
}

// read takes over the platform's drains. While it is down, those known stay.
func (c *Controller) read(ctx context.Context) {
	callCtx, cancel := loop.WithTimeout(store.WithPriority(ctx, store.PriorityBackground), c.opts.Clock, callTimeout)
	defer cancel()
	c.opts.Metrics.Counter(metricReads).Add(1)
	objects, version, err := c.opts.Store.List(callCtx, KeyPrefix)
	if err != nil {
		if ctx.Err() == nil {
			c.opts.Logger.Log(event.DrainReadFail, "error", err)
		}
		return
	}
	c.takeList(objects, version)
	c.publish()
	c.sweep(ctx, objects)
}

// sweep removes cleared objects that are old enough that no peer can still
// hold the drain that they cleared. One reader does so.
func (c *Controller) sweep(ctx context.Context, objects []store.Object) {
	if rendezvous.Position(KeyPrefix, c.opts.Self, c.opts.Board.LiveMembers(c.opts.Self)) != 0 {
		return
	}
	ctx = store.WithPriority(ctx, store.PriorityBackground)
	for _, object := range objects {
		var s stored
		if json.Unmarshal(object.Value, &s) == nil && s.Cleared && c.opts.Clock.Now().Sub(s.At) > c.opts.KeepCleared {
			_ = c.opts.Store.Delete(ctx, object.Key, object.Version) // the next read tries again
		}
	}
}

// takeList merges the list. A subject that the list lacks is gone if it was
// written before the list was taken.
func (c *Controller) takeList(objects []store.Object, version uint64) {
	listed := make(map[string]bool, len(objects))
	for _, object := range objects {
		subject := strings.TrimPrefix(object.Key, KeyPrefix)
		listed[subject] = true
		var s stored
		if err := json.Unmarshal(object.Value, &s); err != nil {
			c.opts.Logger.Log(event.DrainInvalid, "subject", subject)
			continue
		}
		c.take(subject, entry{version: object.Version, active: !s.Cleared, by: s.By, at: s.At})
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.listed = max(c.listed, version)
	for subject, e := range c.entries {
		if !listed[subject] && e.version <= version {
			delete(c.entries, subject)
		}
	}
}

// take merges one subject: the higher version wins.
func (c *Controller) take(subject string, e entry) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	old, known := c.entries[subject]
	if known && old.version > e.version {
		return false
	}
	if known && old.version == e.version && (old.by != "" || e.by == "") {
		return false
	}
	c.entries[subject] = e
	return true
}

// publish writes the decisions to the board.
func (c *Controller) publish() {
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

func (c *Controller) active() map[string]board.Drain {
	c.mu.Lock()
	defer c.mu.Unlock()
	active := make(map[string]board.Drain)
	for subject, e := range c.entries {
		if e.active {
			active[subject] = board.Drain{Subject: subject, By: e.by, At: e.at, Version: e.version}
		}
	}
	return active
}

// markSelf sets the Draining mark of this instance.
func (c *Controller) markSelf() {
	b := c.opts.Board
	draining := b.Drained(board.DrainInstance+c.opts.Self) || b.Drained(board.DrainPlace+c.opts.Place)
	b.Self.Update(board.SelfRow, func(self board.Self, found bool) (board.Self, bool) {
		if found && self.Draining == draining {
			return self, false
		}
		self.Draining = draining
		return self, true
	})
}
