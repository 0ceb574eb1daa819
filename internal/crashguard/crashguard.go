// Package crashguard detects requests that crash the targets that run them. It
// counts the distinct targets that crashed while they ran requests with the
// same fingerprint. When the count reaches a limit, every instance refuses the
// request, also under a new idempotency key. Rarely, one instance tries a refused
// request again, since the targets may have been repaired.
package crashguard

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/coder/quartz"

	"lynxhill.example/lynxhill/internal/board"
	"lynxhill.example/lynxhill/internal/clock"
	"lynxhill.example/lynxhill/internal/event"
	"lynxhill.example/lynxhill/internal/gossip"
	"lynxhill.example/lynxhill/internal/metrics"
	"lynxhill.example/lynxhill/internal/stagecall"
)

// Defaults of Options.
const (
	DefaultLimit         = 2
	DefaultTTL           = 10 * time.Minute
	DefaultRetention     = 24 * time.Hour
	DefaultTrialInterval = 12 * time.Hour
	// maxRows bounds the fingerprints in the table. Each row needs a crashed
	// target, so only a very large number of crashes reaches the bound.
	maxRows = 4096
	// fingerprintBytes is the length of the truncated hash. 128 bits keep a
	// caller from crafting a crashing request whose fingerprint collides with the
	// request of another organisation.
	fingerprintBytes = 16
)

// Options of a Guard.
type Options struct {
	// Self is the id of this instance; "" = there are no others.
	Self  string
	Board *board.Board
	Clock clock.Clock
	// Limit is the number of distinct crashed targets at which the request is
	// refused.
	Limit int
	// TTL is how long crashes below the limit count after the newest of them.
	TTL time.Duration
	// Retention is how long a refusal stays in force after the newest crash.
	Retention time.Duration
	// FirstTrial is the time after the crash that reached the limit at which a refused
	// request is tried again, so that one that is refused wrongly is back soon; TrialInterval
	// that after each further crash.
	FirstTrial, TrialInterval time.Duration
	// Alive checks whether the process that served a broken attempt is still
	// running. If it is nil, AttemptBroke and HasCrashed detect no crashes.
	Alive func(ctx context.Context, target stagecall.Target) bool
	// OnChange is called, with no lock held, after a row has changed that other
	// instances need soon. nil: not called.
	OnChange func()
	Logger   *event.Logger
	Metrics  *metrics.Registry
}

// Guard counts crashed targets by key: the fingerprint of a request, or that of a part of
// prompts (PartKeys). The rows, including those below the limit, are in the board's table
// Refused. A nil Guard refuses nothing.
type Guard struct {
	opts Options

	mu              sync.Mutex                // guards all below
	running         map[string]map[string]int // target id -> suspected fingerprint -> attempts in flight
	cursor          string                    // fingerprint last sent in a digest for completeness
	rotated         time.Time                 // when an unchanged row was last sent
	wanted          map[string]bool           // ids of the instances that asked for all rows
	unsent          map[string]int            // fingerprint of a changed row -> digests in which it is still to be sent
	trials          map[string]trial          // by key
	recentlyCrashed map[string]time.Time      // id of a crashed target -> until when it is avoided
	unsaved         map[string]bool           // fingerprints whose refusal began, grew or was lifted here and is not yet in the store

	unsavedChanged board.Signal // of unsaved
	refusals       board.Signal // notified when a row reaches its limit
	complete       board.Signal // notified once complete is set
	isComplete     atomic.Bool  // the table holds all refusals of the fleet, as of the start of this process at least
}

var _ gossip.Participant = (*Guard)(nil)

// New returns a guard. It replaces zero fields by defaults, except Self, Alive, Logger
// and Metrics.
func New(opts Options) *Guard {
	if opts.Board == nil {
		opts.Board = board.New()
	}
	if opts.Clock == nil {
		opts.Clock = quartz.NewReal()
	}
	if opts.Limit <= 0 {
		opts.Limit = DefaultLimit
	}
	if opts.TTL <= 0 {
		opts.TTL = DefaultTTL
	}
	if opts.Retention <= 0 {
		opts.Retention = DefaultRetention
	}
	if opts.FirstTrial <= 0 {
		opts.FirstTrial = opts.TTL
	}
	if opts.TrialInterval <= 0 {
		opts.TrialInterval = DefaultTrialInterval
	}
	if opts.OnChange == nil {
		opts.OnChange = func() {}
	}
	return &Guard{
		opts: opts, running: make(map[string]map[string]int), unsent: make(map[string]int),
		trials: make(map[string]trial), recentlyCrashed: make(map[string]time.Time), unsaved: make(map[string]bool), wanted: make(map[string]bool),
	}
}

// Fingerprint returns the hex-encoded fingerprint of a request. It depends on
// the profile and the input only, not on the idempotency key or the
// organisation.
func Fingerprint(profile string, input []byte) string {
	hash := sha256.New()
	hash.Write([]byte(profile))
	hash.Write([]byte{0})
	hash.Write(input)
	return hex.EncodeToString(hash.Sum(nil)[:fingerprintBytes])
}

// Refused reports whether the crashes that count for the key have reached the limit, so
// that requests known under it may not run.
func (g *Guard) Refused(key string) bool {
	return g != nil && len(g.crashes(key)) >= g.policyOf(key).limit
}

// RefusalsChanged returns a channel that is closed when the next key is refused.
func (g *Guard) RefusalsChanged() <-chan struct{} {
	if g == nil {
		return nil
	}
	return g.refusals.Wait()
}

func (g *Guard) now() time.Time {
	if g == nil {
		return time.Time{}
	}
	return g.opts.Clock.Now()
}

// Suspected reports whether any target crashed under the fingerprint. A suspected
// request is not hedged: a hedge could crash two targets at once.
func (g *Guard) Suspected(fingerprint string) bool {
	return len(g.crashes(fingerprint)) > 0
}

// crashes returns the crashes that count for the fingerprint.
func (g *Guard) crashes(fingerprint string) []board.Crash {
	if g == nil {
		return nil
	}
	row, ok := g.opts.Board.Refused.Get(fingerprint)
	if !ok {
		return nil
	}
	return g.counted(fingerprint, row, g.opts.Clock.Now())
}

// AttemptBroke handles an attempt that broke off: it checks whether the target crashed
// and if so counts the crash. A broken connection alone is not counted.
func (g *Guard) AttemptBroke(ctx context.Context, fingerprint string, target stagecall.Target) (crashed bool) {
	if !g.HasCrashed(ctx, target) {
		return false
	}
	g.RecordCrash(fingerprint, Crash{Target: target.ID})
	return true
}

// HasCrashed checks whether the target has crashed. It returns false if the check does
// not complete before the context ends.
func (g *Guard) HasCrashed(ctx context.Context, target stagecall.Target) bool {
	if g == nil || g.opts.Alive == nil {
		return false
	}
	return !g.opts.Alive(ctx, target) && ctx.Err() == nil
}

// Crash is the crash of a target while it had a request.
type Crash struct {
	Target      string    // fleet.Target.Run: each start of a target crashes by itself
	Sent, Broke time.Time // start and end of the attempt; zero Sent = not known, so that the crash counts in any case; zero Broke = now
	// Variant tells requests apart that have the key in common; "" = the key is of one
	// request.
	Variant string
}

// RecordCrash counts a target that crashed while it had a request known under the key. Each
// variant counts once: a request that crashes targets by itself must not get the others
// refused that have the key in common.
func (g *Guard) RecordCrash(key string, c Crash) {
	if g == nil {
		return
	}
	g.opts.Metrics.Counter(metricCrashes).Add(1)
	g.record(key, c.row(g.now()))
}

// row returns the crash as it is kept.
func (c Crash) row(now time.Time) board.Crash {
	kept := board.Crash{Target: c.Target, At: c.Broke, Sent: c.Sent, Variant: variantOf(c.Variant)}
	if kept.At.IsZero() {
		kept.At = now
	}
	return kept
}

// record counts a crash that this instance saw.
func (g *Guard) record(key string, c board.Crash) {
	g.recordCrashed([]string{c.Target})
	added := false
	g.update(key, func(row board.Refusal) (board.Refusal, bool) {
		row, added = withCrash(key, row, c)
		row.Witnessed = row.Witnessed || added
		return row, added
	})
	if added && g.Refused(key) {
		g.markUnsaved(key)
	}
	if counted := len(g.crashes(key)); counted > 1 || kindOf(key) == kindRequest {
		g.opts.Logger.Log(event.CrashguardCrash, "key", key, "target", c.Target, "targets", counted, "new", added)
	}
}

// variantOf returns a hash of the variant that is not 0, or 0 for "".
func variantOf(variant string) uint32 {
	if variant == "" {
		return 0
	}
	return max(uint32(xxhash.Sum64String(variant)), 1)
}

// RecordSuccess records that a request was answered completely. If the request is
// suspected but not yet refused, its crashes no longer count: its attempt ran on the
// same target as another request that caused the crash. A refusal is lifted by the
// success of a trial only.
func (g *Guard) RecordSuccess(fingerprint string, trial bool) {
	if g == nil || !g.Suspected(fingerprint) || g.Refused(fingerprint) && !trial {
		return
	}
	g.clear(fingerprint)
}

// clear records that a request with the key was answered. It lifts a refusal.
func (g *Guard) clear(key string) {
	refused := g.Refused(key)
	g.update(key, func(row board.Refusal) (board.Refusal, bool) { return withClearing(row, g.opts.Clock.Now()) })
	if refused {
		g.markUnsaved(key)
		g.opts.Logger.Log(event.CrashguardLifted, "key", key)
	}
}

// update changes the row of a key. A row that has expired counts as empty.
func (g *Guard) update(key string, change func(board.Refusal) (board.Refusal, bool)) {
	now := g.opts.Clock.Now()
	if _, exists := g.opts.Board.Refused.Get(key); !exists && !g.makeRoom(now) {
		g.opts.Metrics.Counter(metricDropped).Add(1)
		return
	}
	reachedLimit, limit := false, g.policyOf(key).limit
	changed := g.opts.Board.Refused.Update(key, func(old board.Refusal, _ bool) (board.Refusal, bool) {
		if g.expired(key, old, now) {
			old = board.Refusal{}
		}
		before := len(g.counted(key, old, now))
		row, ok := change(old)
		reachedLimit = ok && before < limit && len(g.counted(key, row, now)) >= limit
		return row, ok
	})
	if !changed {
		return
	}
	g.mu.Lock()
	g.unsent[key] = eagerSends
	g.mu.Unlock()
	if reachedLimit {
		g.opts.Metrics.Counter(metricRefusedRequests).Add(1)
		g.opts.Logger.Log(event.CrashguardRefused, "key", key)
		g.refusals.Notify()
	}
	if row, _ := g.opts.Board.Refused.Get(key); reachedLimit && row.Witnessed {
		g.markUnsaved(key)
	}
	g.opts.OnChange()
}

// markUnsaved has an Archive write the row of the key.
func (g *Guard) markUnsaved(key string) {
	g.mu.Lock()
	g.unsaved[key] = true
	g.mu.Unlock()
	g.unsavedChanged.Notify()
}

// takeUnsaved returns the keys of the rows that are to be written, sorted. A row that
// changes while it is written is marked again.
func (g *Guard) takeUnsaved() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	keys := slices.Sorted(maps.Keys(g.unsaved))
	clear(g.unsaved)
	return keys
}

// Complete reports whether this instance has had all refusals of the fleet since its
// start, from the platform's store or from another instance.
func (g *Guard) Complete() bool { return g.isComplete.Load() }

func (g *Guard) markComplete() {
	if !g.isComplete.Swap(true) {
		g.complete.Notify()
		g.opts.OnChange()
	}
}

// evictedShare is the divisor of the share of the rows of a single crash that are evicted
// when the table is full.
const evictedShare = 4

// makeRoom makes room for one more row. If the table is full, it deletes the rows that have
// expired, otherwise the oldest of those of a single crash: what crashes targets soon has
// more. It returns false if there are none.
func (g *Guard) makeRoom(now time.Time) bool {
	if g.opts.Board.Refused.Len() < maxRows {
		return true
	}
	rows := g.opts.Board.Refused.Snapshot()
	var single []string
	for key, row := range rows {
		switch {
		case g.expired(key, row, now):
			g.expire(key, row)
		case len(row.Crashes) == 1:
			single = append(single, key)
		}
	}
	if g.opts.Board.Refused.Len() < maxRows {
		return true
	}
	slices.SortFunc(single, func(a, b string) int { return rows[a].Crashes[0].At.Compare(rows[b].Crashes[0].At) })
	for _, key := range single[:(len(single)+evictedShare-1)/evictedShare] {
		g.expire(key, rows[key])
	}
	return g.opts.Board.Refused.Len() < maxRows
}

// expire deletes the row of a key.
func (g *Guard) expire(key string, row board.Refusal) {
	g.opts.Board.Refused.Delete(key)
	g.mu.Lock()
	delete(g.unsent, key)
	delete(g.trials, key)
	g.mu.Unlock()
	if len(row.Crashes) > 1 {
		g.opts.Logger.Log(event.CrashguardExpired, "key", key, "targets", len(row.Crashes))
	}
}

// targetsOf returns the ids of the targets that crashed.
func targetsOf(crashes []board.Crash) []string {
	ids := make([]string, len(crashes))
	for i, c := range crashes {
		ids[i] = c.Target
	}
	return slices.Clip(ids)
}
