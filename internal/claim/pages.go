package claim

import (
	"context"
	"encoding/base64"
	"encoding/binary"
	"expvar"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/quartz"

	"lynxhill.example/lynxhill/internal/clock"
	"lynxhill.example/lynxhill/internal/defaults"
	"lynxhill.example/lynxhill/internal/errkind"
	"lynxhill.example/lynxhill/internal/event"
	"lynxhill.example/lynxhill/internal/metrics"
	"lynxhill.example/lynxhill/internal/store"
)

// Defaults of StoreOptions. docs/design/claims.md has the figures behind them.
const (
	DefaultShards          = 64
	DefaultWindowBytes     = 8 << 10
	DefaultFlushInterval   = 250 * time.Millisecond
	DefaultRetention       = time.Hour
	DefaultOpaqueRetention = 24 * time.Hour
	DefaultMaxSkew         = 5 * time.Minute
	DefaultLazyInterval    = time.Second
	DefaultMaxResult       = 2 << 10
	DefaultCacheBytes      = 48 << 20
	DefaultMaxPending      = 20_000
	// removalMargin is how long a window is kept beyond its retention, so that an
	// instance whose clock is behind still finds it.
	removalMargin = 10 * time.Minute
)

// StoreOptions configures a StoreClaimer. Zero values select the defaults. All
// instances must agree on Shards, Retention, OpaqueRetention and MaxSkew.
type StoreOptions struct {
	Store store.Store
	Clock clock.Clock
	Rand  *rand.Rand // must not be used elsewhere; StoreClaimer serialises access
	Self  string     // id of this instance
	// Owners returns the preferred owner of a shard. By default, this is Self.
	Owners func(shard int) string
	Shards int
	// WindowBytes is the stored size above which a window is sealed.
	WindowBytes int
	// FlushInterval is the minimum average time between writes of a shard by
	// this instance. After an idle period, a burst of writeBurst writes is
	// allowed.
	FlushInterval time.Duration
	// Retention is how long a key that contains its creation time (UUIDv7) is
	// remembered.
	Retention time.Duration
	Logger    *event.Logger
	Metrics   *metrics.Registry

	// Forward, if set, sends claims to the shard's preferred owner, which batches
	// claims of many instances into one write. If nil, this instance writes them
	// itself.
	Forward Forwarder
	// Peers returns the other live instances in order of preference. They receive
	// copies of completions and releases that cannot be written to the store. If
	// nil, there are none.
	Peers func() []string
	// OpaqueRetention is how long a key without a timestamp is remembered. A
	// retry after that time runs the stage a second time.
	OpaqueRetention time.Duration
	MaxSkew         time.Duration // how far a caller's clock may be ahead of an instance's clock
	LazyInterval    time.Duration // how long a completion is delayed to share a write with other records
	MaxResult       int           // limit on the output retained with a completion, in bytes
	CacheBytes      int           // memory limit of the cache of sealed windows
	MaxPending      int           // limit on claims, completions and releases that wait for the store
}

func (o *StoreOptions) setDefaults() {
	if o.Clock == nil {
		o.Clock = quartz.NewReal()
	}
	if o.Rand == nil {
		o.Rand = rand.New(rand.NewPCG(uint64(o.Clock.Now().UnixNano()), 3))
	}
	if o.Peers == nil {
		o.Peers = func() []string { return nil }
	}
	if o.Owners == nil {
		o.Owners = func(int) string { return o.Self }
	}
	defaults.Set(&o.Shards, DefaultShards)
	defaults.Set(&o.WindowBytes, DefaultWindowBytes)
	defaults.Set(&o.FlushInterval, DefaultFlushInterval)
	defaults.Set(&o.Retention, DefaultRetention)
	defaults.Set(&o.OpaqueRetention, DefaultOpaqueRetention)
	defaults.Set(&o.MaxSkew, DefaultMaxSkew)
	defaults.Set(&o.LazyInterval, DefaultLazyInterval)
	defaults.Set(&o.MaxResult, DefaultMaxResult)
	defaults.Set(&o.CacheBytes, DefaultCacheBytes)
	defaults.Set(&o.MaxPending, DefaultMaxPending)
}

var (
	metricGranted   = metrics.Define("claim_granted_total", "claims", "Claims granted by the platform's pages.")
	metricHeld      = metrics.Define("claim_held_total", "claims", "Claims refused because another request holds the key or has completed it.")
	metricWrites    = metrics.Define("claim_writes_total", "writes", "Conditional writes of claim windows that took effect.")
	metricConflicts = metrics.Define("claim_conflicts_total", "writes", "Writes of claim windows that another instance came before.")
	metricReads     = metrics.Define("claim_reads_total", "reads", "Reads of claim windows and indexes.")
	metricErrors    = metrics.Define("claim_store_errors_total", "calls", "Calls of the store for claims that were refused, throttled or lost.")
	metricPending   = metrics.Define("claim_pending", "records", "Claims, completions and releases that wait for the store.")
)

// StoreClaimer records claims in the platform's store. The keys are divided into shards;
// each shard is a sequence of windows, of which only the last one is appended to.
// At most one claim of a key is granted because every write is conditional on the
// window's version: a claim is granted only by a write on top of exactly the
// content in which the key was searched for.
type StoreClaimer struct {
	opts   StoreOptions
	shards []*shard
	cache  *windowCache
	stop   chan struct{} // closed when Run ends
	// draining is set when this instance stops; from then on, Handle refuses
	// messages.
	draining atomic.Bool
	// formatOK is set once checkFormat has passed.
	formatOK atomic.Bool
	// forwardedEnds counts the completions and releases that are being forwarded to
	// an owner.
	forwardedEnds atomic.Int64
	once          sync.Once

	randMu sync.Mutex // guards opts.Rand

	avoidMu sync.Mutex           // guards avoid
	avoid   map[string]time.Time // owners that did not answer, with the end of the time in which they are avoided

	granted   *expvar.Int
	held      *expvar.Int
	writes    *expvar.Int
	conflicts *expvar.Int
	reads     *expvar.Int
	errors    *expvar.Int
	pending   *expvar.Int
}

// NewStoreClaimer returns a Claimer that records claims in the platform's store. It is
// usable before Run is called; Run removes expired windows and, when it returns,
// stops all writes.
func NewStoreClaimer(opts StoreOptions) *StoreClaimer {
	opts.setDefaults()
	p := &StoreClaimer{
		opts:      opts,
		cache:     newWindowCache(opts.CacheBytes),
		stop:      make(chan struct{}),
		avoid:     make(map[string]time.Time),
		granted:   opts.Metrics.Counter(metricGranted),
		held:      opts.Metrics.Counter(metricHeld),
		writes:    opts.Metrics.Counter(metricWrites),
		conflicts: opts.Metrics.Counter(metricConflicts),
		reads:     opts.Metrics.Counter(metricReads),
		errors:    opts.Metrics.Counter(metricErrors),
		pending:   opts.Metrics.Counter(metricPending),
	}
	for i := range opts.Shards {
		p.shards = append(p.shards, newShard(p, i))
	}
	return p
}

// Claim implements Claimer.
func (p *StoreClaimer) Claim(ctx context.Context, req Request) (Answer, error) {
	now := p.opts.Clock.Now()
	life, err := p.opts.lifetimeOf(req.Key.Key, now)
	if err != nil {
		return Answer{}, err
	}
	id := idOf(req.Key)
	o := newOp(life, entry{
		ID: id, Op: opClaim, Token: p.token(), Holder: p.opts.Self,
		Body: shortHash(req.BodyHash), At: millis(now), Keep: millis(life.retainUntil),
	})
	o.unhashed = unhashed{key: req.Key, bodyHash: req.BodyHash}
	s := p.shards[id.shard(p.opts.Shards)]
	owner := p.ownerOf(s)
	if owner == "" {
		answer, _, err := p.submit(ctx, s, o, req)
		return answer, err
	}
	answer, settled, certain, err := p.claimAtOwner(ctx, s, owner, o, req)
	if settled {
		return answer, err
	}
	return p.claimHereInstead(ctx, s, o, req, certain)
}

// Lookup implements Claimer.
func (p *StoreClaimer) Lookup(ctx context.Context, key Key) (Answer, bool, error) {
	life, err := p.opts.lifetimeOf(key.Key, p.opts.Clock.Now())
	if err != nil {
		return Answer{}, false, err
	}
	o := newOp(life, entry{ID: idOf(key), Op: opLookup})
	return p.submit(ctx, p.shards[o.entry.ID.shard(p.opts.Shards)], o, Request{Key: key})
}

// submit queues the op at its shard and waits for the result until ctx ends or
// the deadline passes.
func (p *StoreClaimer) submit(ctx context.Context, s *shard, o *op, req Request) (Answer, bool, error) {
	if !s.add(o) {
		return Answer{}, false, errkind.New(errkind.StoreUnavailable, "too many claims wait for the store")
	}
	var expired <-chan time.Time
	if !req.Deadline.IsZero() {
		timer := p.opts.Clock.NewTimer(max(0, req.Deadline.Sub(p.opts.Clock.Now())))
		defer timer.Stop()
		expired = timer.C
	}
	select {
	case <-o.done:
	case <-ctx.Done():
		s.abandon(o)
	case <-expired:
		s.abandon(o)
	}
	result := s.resultOf(o)
	if result.err != nil {
		return Answer{}, false, result.err
	}
	if result.answer.State == Granted && o.entry.Op == opClaim {
		return p.grant(s, o, req, "")
	}
	return result.answer, result.found, nil
}

// grant returns the claim to the caller. If the deadline has passed, for example
// because the process was paused during the write, it releases the claim and
// returns an error instead. owner is the instance that wrote the claim, "" for
// this instance.
func (p *StoreClaimer) grant(s *shard, o *op, req Request, owner string) (Answer, bool, error) {
	c := &grantedClaim{claimer: p, shard: s, entry: o.entry, lifetime: o.lifetime, req: req, owner: owner}
	if !req.Deadline.IsZero() && millis(p.opts.Clock.Now()) >= millis(req.Deadline) {
		c.Release()
		return Answer{}, false, errkind.New(errkind.StoreUnavailable, "the claim was written after the deadline and is given up")
	}
	if o.entry.Holder == p.opts.Self { // a forwarded grant is counted by its holder only
		p.granted.Add(1)
	}
	return Answer{State: Granted, Holder: o.entry.Holder, Claim: c}, true, nil
}

func (p *StoreClaimer) token() string {
	var raw [12]byte
	p.randMu.Lock()
	binary.BigEndian.PutUint64(raw[:8], p.opts.Rand.Uint64())
	binary.BigEndian.PutUint32(raw[8:], p.opts.Rand.Uint32())
	p.randMu.Unlock()
	return base64.RawURLEncoding.EncodeToString(raw[:])
}

// jitter returns a random duration in [0, limit).
func (p *StoreClaimer) jitter(limit time.Duration) time.Duration {
	p.randMu.Lock()
	defer p.randMu.Unlock()
	return time.Duration(p.opts.Rand.Int64N(int64(limit)))
}

var _ Claimer = (*StoreClaimer)(nil)
