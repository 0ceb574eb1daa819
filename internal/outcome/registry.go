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

// shardCount is a power of two, so that a shard is selected with a bit mask.
const shardCount = 16

// recordOverhead is the estimated memory in bytes of a record without its key
// and output.
const recordOverhead = 512

var (
	metricShared  = metrics.Define("outcome_shared_total", "requests", "Requests that got the answer of another request with the same key.")
	metricDropped = metrics.Define("outcome_dropped_total", "records", "Finished outcomes dropped for room before their time.")
	metricRecords = metrics.Define("outcome_records", "records", "Finished outcomes kept.")
	metricRunning = metrics.Define("outcome_running", "requests", "Requests that are running.")
)

// Options configures a Registry. Zero values select the defaults.
type Options struct {
	Clock      clock.Clock
	MaxRecords int           // limit on retained finished records
	MaxBytes   int64         // limit on the memory of finished records, in bytes
	Keep       time.Duration // retention of a finished record
	Logger     *event.Logger
	Metrics    *metrics.Registry
}

// Registry holds the requests in flight and the outcomes of recently finished
// requests.
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
	inFlight map[Key]*inFlightRequest
	finished map[Key]*list.Element // of *finishedRecord
	order    *list.List            // most recently used first
	bytes    int64
}

// finishedRecord is a retained record with its expiry.
type finishedRecord struct {
	key     Key
	record  Record
	expires time.Time
}

func (k *finishedRecord) size() int64 { return recordSize(k.key, k.record) }

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
		r.shards[i].inFlight = make(map[Key]*inFlightRequest)
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

// Lookup returns the record of a finished request. It does not wait for a
// request in flight.
func (r *Registry) Lookup(key Key) (Record, bool) {
	s := r.shardOf(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	return r.lookup(s, key)
}

// lookup returns the record of the key, or removes it if it has expired. The
// caller holds s.mu.
func (r *Registry) lookup(s *shard, key Key) (Record, bool) {
	element, ok := s.finished[key]
	if !ok {
		return Record{}, false
	}
	k := element.Value.(*finishedRecord)
	if !r.opts.Clock.Now().Before(k.expires) {
		r.remove(s, element)
		return Record{}, false
	}
	s.order.MoveToFront(element)
	return k.record, true
}

// Wait returns the record of the key. If the request is in flight, it waits
// until the request finishes or ctx ends. found is false if the key is unknown
// or ctx ended first.
func (r *Registry) Wait(ctx context.Context, key Key) (rec Record, found bool) {
	s := r.shardOf(key)
	s.mu.Lock()
	if rec, ok := r.lookup(s, key); ok {
		s.mu.Unlock()
		return rec, true
	}
	f, ok := s.inFlight[key]
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
	_, ok := s.inFlight[key]
	return ok
}

// retain stores a finished record and evicts the least recently used ones if
// the shard exceeds its limits. A record larger than the shard's memory limit is
// dropped. The caller holds s.mu.
func (r *Registry) retain(s *shard, key Key, rec Record, expires time.Time) {
	if element, ok := s.finished[key]; ok {
		r.remove(s, element)
	}
	k := &finishedRecord{key: key, record: rec, expires: expires}
	if k.size() > r.opts.MaxBytes/shardCount {
		r.dropped.Add(1)
		return
	}
	s.finished[key] = s.order.PushFront(k)
	s.bytes += k.size()
	r.records.Add(1)
	r.evict(s)
}

// evict removes the least recently used records until the shard is within its
// share of the limits. Only finished records are evicted: if a request in flight
// were removed, a second request with its key would run concurrently. The caller
// holds s.mu.
func (r *Registry) evict(s *shard) {
	maxRecords := max(1, r.opts.MaxRecords/shardCount)
	for s.order.Len() > maxRecords || s.bytes > r.opts.MaxBytes/shardCount {
		oldest := s.order.Back()
		if r.opts.Clock.Now().Before(oldest.Value.(*finishedRecord).expires) {
			r.dropped.Add(1)
		}
		r.remove(s, oldest)
	}
}

func (r *Registry) remove(s *shard, element *list.Element) {
	k := element.Value.(*finishedRecord)
	s.order.Remove(element)
	delete(s.finished, k.key)
	s.bytes -= k.size()
	r.records.Add(-1)
}

// shouldRetain reports whether a record is to be shouldRetain. The record of a
// request that certainly did not run is not, since a retry may run.
func shouldRetain(rec Record) bool {
	return rec.Err == nil || rec.Err.RunState != errkind.NotRun
}
