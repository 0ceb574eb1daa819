// Package crashguard finds requests that crash the targets that run them. It
// counts the distinct targets that died under one request fingerprint; after
// a few of them the request is refused at every instance, also under a new
// idempotency key.
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
	DefaultKeep  = 10 * time.Minute
	// maxRows bounds the fingerprints that are remembered. Each needs a target
	// that died, so the bound is met only by a flood of deaths.
	maxRows = 4096
	// fingerprintBytes of the hash are kept: 128 bits, so that a caller cannot
	// make another organisation's request look like its own crashing one.
	fingerprintBytes = 16
)

// Options of a Guard.
type Options struct {
	Board *board.Board
	Clock clock.Clock
	// Limit is the number of distinct targets that may die before the request
	// is refused.
	Limit int
	// Keep is for how long a death counts and a refusal holds.
	Keep time.Duration
	// Alive asks whether the process that served a broken attempt is still
	// there. nil counts no deaths.
	Alive   func(ctx context.Context, target stagecall.Target) bool
	Logger  *event.Logger
	Metrics *metrics.Registry
}

// Guard counts deaths. The board's table Refused holds the rows, also those
// below the limit. A nil Guard refuses nothing.
type Guard struct {
	opts Options

	mu      sync.Mutex                // guards all below
	running map[string]map[string]int // target id -> suspected fingerprint -> attempts
	cursor  string                    // fingerprint last sent in a digest
	dead    map[string]time.Time      // target id -> until when it is kept off
}

var _ gossip.Part = (*Guard)(nil)

// New returns a guard.
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
	if opts.Keep <= 0 {
		opts.Keep = DefaultKeep
	}
	return &Guard{opts: opts, running: make(map[string]map[string]int), dead: make(map[string]time.Time)}
}

// Fingerprint identifies a request by its profile and input, whatever its key
// and organisation.
func Fingerprint(profile string, input []byte) string {
	hash := sha256.New()
	hash.Write([]byte(profile))
	hash.Write([]byte{0})
	hash.Write(input)
	return hex.EncodeToString(hash.Sum(nil)[:fingerprintBytes])
}

// Refused reports whether so many targets died under the fingerprint that it
// may not run again.
func (g *Guard) Refused(fingerprint string) bool {
	return g.deaths(fingerprint) >= g.limit()
}

// Suspect reports whether any target died under the fingerprint. A suspected
// request is not hedged: a hedge would kill two targets at once.
func (g *Guard) Suspect(fingerprint string) bool {
	return g.deaths(fingerprint) > 0
}

func (g *Guard) limit() int {
	if g == nil {
		return DefaultLimit
	}
	return g.opts.Limit
}

func (g *Guard) deaths(fingerprint string) int {
	if g == nil {
		return 0
	}
	row, ok := g.opts.Board.Refused.Get(fingerprint)
	if !ok || !row.Until.After(g.opts.Clock.Now()) {
		return 0
	}
	return len(row.Targets)
}

// Broke is told of an attempt that broke. It asks whether the target died and
// counts the death if so. A broken connection alone is no death.
func (g *Guard) Broke(ctx context.Context, fingerprint string, target stagecall.Target) (died bool) {
	if !g.Died(ctx, target) {
		return false
	}
	g.TargetDied(fingerprint, target.ID)
	return true
}

// Died asks whether the target died. One that does not say within the context's
// time did not.
func (g *Guard) Died(ctx context.Context, target stagecall.Target) bool {
	if g == nil || g.opts.Alive == nil {
		return false
	}
	return !g.opts.Alive(ctx, target) && ctx.Err() == nil
}

// TargetDied counts a target that died while it ran the request.
func (g *Guard) TargetDied(fingerprint, targetID string) {
	if g == nil {
		return
	}
	g.opts.Metrics.Counter(metricDeaths).Add(1)
	g.noteDead([]string{targetID})
	g.merge(fingerprint, []string{targetID}, g.opts.Keep)
}

// Survived is told that a request was answered whole. If it is only suspected,
// the suspicion is dropped: it shared a target with another that crashed it.
func (g *Guard) Survived(fingerprint string) {
	if g == nil || !g.Suspect(fingerprint) || g.Refused(fingerprint) {
		return
	}
	g.opts.Board.Refused.Delete(fingerprint)
}

// merge adds dead targets to a row.
func (g *Guard) merge(fingerprint string, targets []string, keep time.Duration) {
	now := g.opts.Clock.Now()
	if !g.room(now) {
		g.opts.Metrics.Counter(metricDropped).Add(1)
		return
	}
	crossed := false
	g.opts.Board.Refused.Update(fingerprint, func(old board.Refusal, _ bool) (board.Refusal, bool) {
		row := board.Refusal{Until: now.Add(keep)}
		if old.Until.After(now) {
			row.Targets = append(row.Targets, old.Targets...)
		}
		before := len(row.Targets)
		row.Targets = union(row.Targets, targets)
		crossed = before < g.opts.Limit && len(row.Targets) >= g.opts.Limit
		if len(row.Targets) == before {
			// Nothing new: a row that goes round among instances must not
			// live for ever on its own echo.
			return old, false
		}
		return row, true
	})
	if crossed {
		g.opts.Metrics.Counter(metricRefusedRequests).Add(1)
		g.opts.Logger.Log(event.CrashguardRefused, "fingerprint", fingerprint)
	}
}

// room makes room by dropping expired rows, and reports whether there is any.
func (g *Guard) room(now time.Time) bool {
	if g.opts.Board.Refused.Len() < maxRows {
		return true
	}
	for fingerprint, row := range g.opts.Board.Refused.Snapshot() {
		if !row.Until.After(now) {
			g.opts.Board.Refused.Delete(fingerprint)
		}
	}
	return g.opts.Board.Refused.Len() < maxRows
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
