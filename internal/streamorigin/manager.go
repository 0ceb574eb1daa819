package streamorigin

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/singleflight"

	"lynxhill.example/lynxhill/internal/clock"
	"lynxhill.example/lynxhill/internal/event"
	"lynxhill.example/lynxhill/internal/fleet"
	"lynxhill.example/lynxhill/internal/metrics"
	"lynxhill.example/lynxhill/internal/route"
)

const (
	// maxKeep is the longest time that a record is kept.
	maxKeep = time.Minute
	// callTimeout is the timeout of a call to another instance.
	callTimeout = 300 * time.Millisecond
	// maxBatch is the number of records or keys in one call.
	maxBatch = 512
	// maxWaiting is the number of records that may wait for one instance.
	maxWaiting = 4096
	// fullLogInterval is the least time between two log lines about a full table.
	fullLogInterval = time.Second
)

// Transport calls other instances. Both calls are safe to repeat.
type Transport interface {
	// StoreOrigins gives records to an instance.
	StoreOrigins(ctx context.Context, instance string, records []Record) error
	// FindOrigins returns an instance's answer to each query.
	FindOrigins(ctx context.Context, instance string, queries []Query) ([]Answer, error)
}

// Answer is what an instance knows of a stream.
type Answer struct {
	// Record is set if Found, its Origin also if Only: if the route of the stream has had
	// that origin only for the time of the query's window.
	Record
	Found bool
	Only  bool
}

// Options configure a Manager.
type Options struct {
	Self      string // id of this instance
	Transport Transport
	// Members returns the instances that are alive and not leaving, possibly with this one.
	Members func() []Member
	// Connected reports whether other instances can be reached. nil = always.
	Connected func() bool
	// Confirmed reports whether the targets and routes that this instance knows are
	// confirmed to be current, so that Find may draw conclusions from them. nil = always.
	Confirmed func() bool
	// FirstStart reports that the fleet starts for the first time: there are no streams yet.
	FirstStart bool
	Clock      clock.Clock
	Logger     *event.Logger
	Metrics    *metrics.Registry
}

// Manager keeps origins of streams and finds those that other instances keep. It is safe
// for concurrent use.
type Manager struct {
	o       Options
	table   *table
	history *History
	asks    singleflight.Group // by query

	mu       sync.Mutex // guards the fields below
	outboxes map[string]*outbox
	askers   map[string]*asker

	handedOver marks // rows that HandOver has sent; used by HandOver only
	fullLogAt  atomic.Int64
}

// New returns a Manager without records.
func New(o Options) *Manager {
	m := &Manager{o: o, table: newTable(maxRecords), history: NewHistory(), outboxes: make(map[string]*outbox), askers: make(map[string]*asker)}
	if o.FirstStart {
		m.history.SetWhole()
	}
	o.Metrics.Func(metricKept, func() any { return m.table.len() })
	return m
}

// Begin records that the stream of a query begins, before its first event is forwarded. The
// caller may take it up within keep. Begin does not wait for other instances. They are not
// told while streams of the route can have no other origin.
func (m *Manager) Begin(q Query, origin Origin, keep time.Duration) {
	if !q.Valid() || !origin.valid() {
		return
	}
	m.o.Metrics.Counter(metricBegun).Add(1)
	r := Record{Key: q.Key, Origin: origin, ExpiresIn: min(keep, maxKeep)}
	m.put(r)
	if only, ok := m.history.Only(q.Route, q.Window, m.o.Clock.Now()); ok && only == origin {
		m.table.markUnsent(q.Key)
		return
	}
	m.send(r, m.candidates(q.Key))
}

// Observe records the present targets and routes. When streams of a route begin to have
// several origins, others are told of the streams of which they were not.
func (m *Manager) Observe(view *fleet.View, table *route.Table) {
	if m.history.Observe(view, table, m.o.Clock.Now()) {
		m.sendUnsent()
	}
}

// Interrupt records that changes of targets or routes may have been missed until now, so that
// streams may have several origins.
func (m *Manager) Interrupt() {
	m.history.Interrupt(m.o.Clock.Now())
	m.sendUnsent()
}

// sendUnsent tells others of the streams of which they were not told.
func (m *Manager) sendUnsent() {
	for _, r := range m.table.takeUnsent(m.o.Clock.Now()) {
		m.send(r, m.candidates(r.Key))
	}
}

// put stores a record here.
func (m *Manager) put(r Record) {
	now := m.o.Clock.Now()
	dropped := m.table.put(r, now)
	if dropped == 0 {
		return
	}
	m.o.Metrics.Counter(metricDropped).Add(int64(dropped))
	last := m.fullLogAt.Load()
	if now.UnixNano()-last >= int64(fullLogInterval) && m.fullLogAt.CompareAndSwap(last, now.UnixNano()) {
		m.o.Logger.Log(event.StreamOriginsFull, "kept", m.table.len())
	}
}

// HandleStore stores records that another instance sent.
func (m *Manager) HandleStore(records []Record) {
	for _, r := range records {
		r.ExpiresIn = min(r.ExpiresIn, maxKeep)
		if r.Valid() && r.valid() && r.ExpiresIn > 0 {
			m.put(r)
		}
	}
}

// HandleFind returns what this instance knows of the streams of the queries.
func (m *Manager) HandleFind(queries []Query) []Answer {
	now := m.o.Clock.Now()
	answers := make([]Answer, min(len(queries), maxBatch))
	for i := range answers {
		a, q := &answers[i], queries[i]
		if a.Record, a.Found = m.table.get(q.Key, now); !a.Found {
			a.Origin, a.Only = m.only(q.Route, q.Window)
		}
	}
	return answers
}

// HandOver sends the records that this instance holds for others to the instances that rank
// first without it. It is called when the instance stops, first once the others know, and
// then once more for what arrived since. It must not be called concurrently.
func (m *Manager) HandOver(ctx context.Context) {
	var records []Record
	records, m.handedOver = m.table.since(m.handedOver, m.o.Clock.Now())
	batches := make(map[string][]Record)
	for _, r := range records {
		to := m.candidates(r.Key)
		for _, instance := range to[:min(len(to), holderCount)] {
			batches[instance] = append(batches[instance], r)
		}
	}
	var sending sync.WaitGroup
	var failed atomic.Int64
	for instance, batch := range batches {
		sending.Go(func() {
			for len(batch) > 0 {
				n := min(len(batch), maxBatch)
				if err := m.o.Transport.StoreOrigins(ctx, instance, batch[:n]); err != nil {
					failed.Add(int64(len(batch)))
					return
				}
				batch = batch[n:]
			}
		})
	}
	sending.Wait()
	if len(records) > 0 {
		m.o.Logger.Log(event.StreamOriginsHandedOver, "records", len(records), "instances", len(batches), "failed", failed.Load())
	}
}
