// Package crashguard detects requests that crash the targets that run them. It
// counts the distinct targets that crashed while they ran requests with the
// same fingerprint. When the count reaches a limit, every instance refuses the
// request, also under a new idempotency key.
package crashguard

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"sync"
	"time"

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
	DefaultLimit = 2
	DefaultTTL   = 10 * time.Minute
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
	Board *board.Board
	Clock clock.Clock
	// Limit is the number of distinct crashed targets at which the request is
	// refused.
	Limit int
	// TTL is how long a crash counts and a refusal stays in force.
	TTL time.Duration
	// Alive checks whether the process that served a broken attempt is still
	// running. If it is nil, AttemptBroke and HasCrashed detect no crashes.
	Alive   func(ctx context.Context, target stagecall.Target) bool
	Logger  *event.Logger
	Metrics *metrics.Registry
}

// Guard counts crashed targets by request fingerprint. The rows, including those
// below the limit, are in the board's table Refused. A nil Guard refuses
// nothing.
type Guard struct {
	opts Options

	mu              sync.Mutex                // guards all below
	running         map[string]map[string]int // target id -> suspected fingerprint -> attempts in flight
	cursor          string                    // fingerprint last sent in a digest
	recentlyCrashed map[string]time.Time      // id of a crashed target -> until when it is avoided
}

var _ gossip.Participant = (*Guard)(nil)

// New returns a guard. It replaces zero fields by defaults, except Alive, Logger
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
	return &Guard{opts: opts, running: make(map[string]map[string]int), recentlyCrashed: make(map[string]time.Time)}
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

// Refused reports whether the number of targets that crashed under the
// fingerprint has reached the limit, so that the request may not run again.
func (g *Guard) Refused(fingerprint string) bool {
	return g.crashes(fingerprint) >= g.limit()
}

// Suspected reports whether any target crashed under the fingerprint. A suspected
// request is not hedged: a hedge could crash two targets at once.
func (g *Guard) Suspected(fingerprint string) bool {
	return g.crashes(fingerprint) > 0
}

func (g *Guard) limit() int {
	if g == nil {
		return DefaultLimit
	}
	return g.opts.Limit
}

func (g *Guard) crashes(fingerprint string) int {
	if g == nil {
		return 0
	}
	row, ok := g.opts.Board.Refused.Get(fingerprint)
	if !ok || !row.Until.After(g.opts.Clock.Now()) {
		return 0
	}
	return len(row.Targets)
}

// AttemptBroke handles an attempt that broke off: it checks whether the target crashed
// and if so counts the crash. A broken connection alone is not counted.
func (g *Guard) AttemptBroke(ctx context.Context, fingerprint string, target stagecall.Target) (crashed bool) {
	if !g.HasCrashed(ctx, target) {
		return false
	}
	g.RecordCrash(fingerprint, target.ID)
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

// RecordCrash counts a target that crashed while it ran the request.
func (g *Guard) RecordCrash(fingerprint, targetID string) {
	if g == nil {
		return
	}
	g.opts.Metrics.Counter(metricCrashes).Add(1)
	g.recordCrashed([]string{targetID})
	g.merge(fingerprint, []string{targetID}, g.opts.TTL)
	g.opts.Logger.Log(event.CrashguardCrash, "fingerprint", fingerprint, "target", targetID, "targets", g.crashes(fingerprint))
}

// RecordSuccess records that a request was answered completely. If the request is
// suspected but not yet refused, its row is deleted: its attempt ran on the same
// target as another request that caused the crash.
func (g *Guard) RecordSuccess(fingerprint string) {
	if g == nil || !g.Suspected(fingerprint) || g.Refused(fingerprint) {
		return
	}
	g.opts.Board.Refused.Delete(fingerprint)
}

// merge adds crashed targets to the row of the fingerprint. A row that gains a
// target expires after keep.
func (g *Guard) merge(fingerprint string, targets []string, keep time.Duration) {
	now := g.opts.Clock.Now()
	if !g.hasRoom(now) {
		g.opts.Metrics.Counter(metricDropped).Add(1)
		return
	}
	reachedLimit := false
	g.opts.Board.Refused.Update(fingerprint, func(old board.Refusal, _ bool) (board.Refusal, bool) {
		row := board.Refusal{Until: now.Add(keep)}
		if old.Until.After(now) {
			row.Targets = append(row.Targets, old.Targets...)
		}
		before := len(row.Targets)
		row.Targets = union(row.Targets, targets)
		reachedLimit = before < g.opts.Limit && len(row.Targets) >= g.opts.Limit
		if len(row.Targets) == before {
			// Without a new target the row keeps its expiry. Otherwise gossip
			// among instances would extend it forever.
			return old, false
		}
		return row, true
	})
	if reachedLimit {
		g.opts.Metrics.Counter(metricRefusedRequests).Add(1)
		g.opts.Logger.Log(event.CrashguardRefused, "fingerprint", fingerprint)
	}
}

// hasRoom reports whether the table can take another row. It deletes the expired
// rows if the table is full.
func (g *Guard) hasRoom(now time.Time) bool {
	if g.opts.Board.Refused.Len() < maxRows {
		return true
	}
	for fingerprint, row := range g.opts.Board.Refused.Snapshot() {
		if !row.Until.After(now) {
			g.expire(fingerprint, row)
		}
	}
	return g.opts.Board.Refused.Len() < maxRows
}

// expire deletes the row of a fingerprint.
func (g *Guard) expire(fingerprint string, row board.Refusal) {
	g.opts.Board.Refused.Delete(fingerprint)
	g.opts.Logger.Log(event.CrashguardExpired, "fingerprint", fingerprint, "targets", len(row.Targets))
}

func union(have, more []string) []string {
	for _, id := range more {
		if !contains(have, id) {
			have = append(have, id)
		}
	}
	return have
}

func contains(list []string, id string) bool {
	for _, have := range list {
		if have == id {
			return true
		}
	}
	return false
}
