package outcome

import (
	"container/list"
	"context"
	"expvar"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/coder/quartz"

	"lynxhill.example/lynxhill/internal/clock"
	"lynxhill.example/lynxhill/internal/errkind"
	"lynxhill.example/lynxhill/internal/event"
	"lynxhill.example/lynxhill/internal/metrics"
)

// Defaults of Options.
const (
	DefaultMaxRecords       = 20_000
	DefaultMaxBytes   int64 = 32 << 20
	DefaultKeep             = 10 * time.Minute
)

// shardCount is a power of two, so that a shard is picked by a mask.
const shardCount = 16

// recordOverhead is the memory in bytes that a record takes beside its output.
const recordOverhead = 512

var (
	metricShared  = metrics.Define("outcome_shared_total", "requests", "Requests that got the answer of another request with the same key.")
	metricDropped = metrics.Define("outcome_dropped_total", "records", "Finished outcomes dropped for room before their time.")
	metricRecords = metrics.Define("outcome_records", "records", "Finished outcomes kept.")
	metricRunning = metrics.Define("outcome_running", "requests", "Requests that are running.")
)

// Options configures a Registry. Zero values take the defaults.
type Options struct {
	Clock      clock.Clock
	MaxRecords int           // finished records kept
	MaxBytes   int64         // memory of finished records
	Keep       time.Duration // how long a finished record is kept
	Logger     *event.Logger
	Metrics    *metrics.Registry
}

// Registry holds the requests in flight and the recent outcomes.
type Registry struct {
	opts    Options
	shards  [shardCount]shard
	shared  *expvar.Int
	dropped *expvar.Int
	records *expvar.Int
	running *expvar.Int
}

type shard struct {
	mu       sync.Mutex // guards the fields below
	flights  map[Key]*flight
	finished map[Key]*list.Element // of *kept
	order    *list.List            // most recently used first
	bytes    int64
}

// kept is a finished record.
type kept struct {
	key     Key
	record  Record
	expires time.Time
}

func (k *kept) size() int64 { return recordSize(k.key, k.record) }

func recordSize(key Key, rec Record) int64 {
	return int64(recordOverhead + len(key.Organisation) + len(key.Key) + len(rec.Output))
}

// NewRegistry returns an empty registry.
func NewRegistry(opts Options) *Registry {
	if opts.Clock == nil {
		opts.Clock = quartz.NewReal()
	}
	if opts.MaxRecords == 0 {
		opts.MaxRecords = DefaultMaxRecords
	}
	if opts.MaxBytes == 0 {
		opts.MaxBytes = DefaultMaxBytes
	}
	if opts.Keep == 0 {
		opts.Keep = DefaultKeep
	}
	r := &Registry{
		opts:    opts,
		shared:  opts.Metrics.Counter(metricShared),
		dropped: opts.Metrics.Counter(metricDropped),
		records: opts.Metrics.Counter(metricRecords),
		running: opts.Metrics.Counter(metricRunning),
	}
	for i := range r.shards {
		r.shards[i].flights = make(map[Key]*flight)
		r.shards[i].finished = make(map[Key]*list.Element)
		r.shards[i].order = list.New()
	}
	return r
}

func (r *Registry) shardOf(key Key) *shard {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key.Organisation)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(key.Key)
	return &r.shards[d.Sum64()&(shardCount-1)]
}

// Lookup returns the finished record of the key.
func (r *Registry) Lookup(key Key) (Record, bool) {
	s := r.shardOf(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	return r.lookup(s, key)
}

// lookup returns the record unless it is past its time. s.mu is held.
func (r *Registry) lookup(s *shard, key Key) (Record, bool) {
	element, ok := s.finished[key]
	if !ok {
		return Record{}, false
	}
	k := element.Value.(*kept)
	if !r.opts.Clock.Now().Before(k.expires) {
		r.remove(s, element)
		return Record{}, false
	}
	s.order.MoveToFront(element)
	return k.record, true
}

// Wait returns the record of the key, waiting for a request in flight until
// ctx ends. found is false if there is neither, or ctx ended first.
func (r *Registry) Wait(ctx context.Context, key Key) (rec Record, found bool) {
	s := r.shardOf(key)
	s.mu.Lock()
	if rec, ok := r.lookup(s, key); ok {
		s.mu.Unlock()
		return rec, true
	}
	f, ok := s.flights[key]
	s.mu.Unlock()
	if !ok {
		return Record{}, false
	}
	select {
	case <-f.done:
		return f.record, true
	case <-ctx.Done():
		return Record{}, false
	}
}

// Running reports whether a request with the key is in flight.
func (r *Registry) Running(key Key) bool {
	s := r.shardOf(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.flights[key]
	return ok
}

// keep stores a finished record and drops the least recently used ones for
// room. s.mu is held.
func (r *Registry) keep(s *shard, key Key, rec Record, expires time.Time) {
	if element, ok := s.finished[key]; ok {
		r.remove(s, element)
	}
	k := &kept{key: key, record: rec, expires: expires}
	if k.size() > r.opts.MaxBytes/shardCount {
		r.dropped.Add(1)
		return
	}
	s.finished[key] = s.order.PushFront(k)
	s.bytes += k.size()
	r.records.Add(1)
	r.trim(s)
}

// trim drops records until the shard is within its part of the limits. Only
// finished records are dropped: a request in flight must stay findable, or a
// second one with its key would run beside it. s.mu is held.
func (r *Registry) trim(s *shard) {
	maxRecords := max(1, r.opts.MaxRecords/shardCount)
	for s.order.Len() > maxRecords || s.bytes > r.opts.MaxBytes/shardCount {
		oldest := s.order.Back()
		if r.opts.Clock.Now().Before(oldest.Value.(*kept).expires) {
			r.dropped.Add(1)
		}
		r.remove(s, oldest)
	}
}

func (r *Registry) remove(s *shard, element *list.Element) {
	k := element.Value.(*kept)
	s.order.Remove(element)
	delete(s.finished, k.key)
	s.bytes -= k.size()
	r.records.Add(-1)
}

// retained reports whether a record is worth keeping: one that was certainly
// not run is not, since a resend may run.
func retained(rec Record) bool {
	return rec.Err == nil || rec.Err.RunState != errkind.NotRun
}
