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

// Defaults of PagesOptions. docs/design/claims.md has the figures behind them.
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
	// removalMargin is how long a window outlasts its retention, so that an
	// instance whose clock is late still finds it.
	removalMargin = 10 * time.Minute
)

// PagesOptions configures Pages. Zero values take the defaults. All instances
// must agree on Shards, Retention, OpaqueRetention and MaxSkew.
type PagesOptions struct {
	Store  store.Store
	Clock  clock.Clock
	Rand   *rand.Rand // used by Pages alone
	Self   string     // id of this instance
	Owners func(shard int) string
	Shards int
	// WindowBytes is the size at which a window is sealed.
	WindowBytes int
	// FlushInterval is the least time between two writes of a shard by this
	// instance, on average: after a pause a few may follow one another at once.
	FlushInterval time.Duration
	// Retention of keys that carry their time (UUIDv7).
	Retention time.Duration
	Logger    *event.Logger
	Metrics   *metrics.Registry

	// Forward, if set, carries claims to the shard's preferred owner, which
	// groups those of many instances into one write. Nil: written here.
	Forward Forwarder
	// Peers returns the other living instances, the preferred ones first. At
	// its end Pages hands them what the store did not take. Nil: none.
	Peers func() []string
	// OpaqueRetention is how long a key without a time is remembered; sent
	// again later, it runs a second time.
	OpaqueRetention time.Duration
	MaxSkew         time.Duration // how far a caller's clock may be ahead
	LazyInterval    time.Duration // how long a completion waits for a write to ride on
	MaxResult       int           // bytes of output kept with a completion
	CacheBytes      int           // memory of the sealed windows that are kept
	MaxPending      int           // claims and records that wait for the store
}

func (o *PagesOptions) setDefaults() {
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

// Pages holds claims in windows in the platform's store. The guarantee is the
// condition on the version of each write: a claim is granted only by a write
// on top of exactly the content in which the key was looked for.
type Pages struct {
	opts   PagesOptions
	shards []*shard
	cache  *windowCache
	stop   chan struct{} // closed when Run ends
	// draining is set when this instance stops: it takes no more messages.
	draining atomic.Bool
	// formatOK is set when the store's pages are known to have our shards.
	formatOK atomic.Bool
	// ending counts the completions and releases on their way to an owner.
	ending atomic.Int64
	once   sync.Once

	randMu sync.Mutex // guards opts.Rand

	avoidMu sync.Mutex           // guards avoid
	avoid   map[string]time.Time // owners that did not answer, and until when

	granted   *expvar.Int
	held      *expvar.Int
	writes    *expvar.Int
	conflicts *expvar.Int
	reads     *expvar.Int
	errors    *expvar.Int
	pending   *expvar.Int
}

// NewPages returns a Claimer. It works before Run is called; Run removes old
// windows, and ends the writing when it ends.
func NewPages(opts PagesOptions) *Pages {
	opts.setDefaults()
	p := &Pages{
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
func (p *Pages) Claim(ctx context.Context, req Request) (Answer, error) {
	now := p.opts.Clock.Now()
	life, err := p.opts.lifeOf(req.Key.Key, now)
	if err != nil {
		return Answer{}, err
	}
	id := idOf(req.Key)
	o := newOp(life, entry{
		ID: id, Op: opClaim, Token: p.token(), Holder: p.opts.Self,
		Body: shortHash(req.BodyHash), At: millis(now), Keep: millis(life.keep),
	})
	o.source = source{key: req.Key, bodyHash: req.BodyHash}
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
func (p *Pages) Lookup(ctx context.Context, key Key) (Answer, bool, error) {
	life, err := p.opts.lifeOf(key.Key, p.opts.Clock.Now())
	if err != nil {
		return Answer{}, false, err
	}
	o := newOp(life, entry{ID: idOf(key), Op: opLookup})
	return p.submit(ctx, p.shards[o.entry.ID.shard(p.opts.Shards)], o, Request{Key: key})
}

// submit hands the op to its shard and waits for the answer until ctx or the
// deadline ends.
func (p *Pages) submit(ctx context.Context, s *shard, o *op, req Request) (Answer, bool, error) {
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

// grant hands out a claim unless its request is past its deadline, which
// happens when this process was paused while the write was under way. owner is
// the instance that wrote it, "" for this one.
func (p *Pages) grant(s *shard, o *op, req Request, owner string) (Answer, bool, error) {
	c := &granted{pages: p, shard: s, entry: o.entry, life: o.life, req: req, owner: owner}
	if !req.Deadline.IsZero() && millis(p.opts.Clock.Now()) >= millis(req.Deadline) {
		c.Release()
		return Answer{}, false, errkind.New(errkind.StoreUnavailable, "the claim was written after the deadline and is given up")
	}
	if o.entry.Holder == p.opts.Self { // an owner's grants are counted by their holders
		p.granted.Add(1)
	}
	return Answer{State: Granted, Holder: o.entry.Holder, Claim: c}, true, nil
}

func (p *Pages) token() string {
	var raw [12]byte
	p.randMu.Lock()
	binary.BigEndian.PutUint64(raw[:8], p.opts.Rand.Uint64())
	binary.BigEndian.PutUint32(raw[8:], p.opts.Rand.Uint32())
	p.randMu.Unlock()
	return base64.RawURLEncoding.EncodeToString(raw[:])
}

// jitter returns a random time up to limit.
func (p *Pages) jitter(limit time.Duration) time.Duration {
	p.randMu.Lock()
	defer p.randMu.Unlock()
	return time.Duration(p.opts.Rand.Int64N(int64(limit)))
}

var _ Claimer = (*Pages)(nil)
