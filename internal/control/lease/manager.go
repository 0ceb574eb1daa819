package lease

import (
	"context"
	"fmt"
	"sync"
	"time"

	"lynxhill.example/lynxhill/internal/board"
	"lynxhill.example/lynxhill/internal/control/loop"
	"lynxhill.example/lynxhill/internal/control/rendezvous"
	"lynxhill.example/lynxhill/internal/event"
	"lynxhill.example/lynxhill/internal/metrics"
)

var (
	metricWrites = metrics.Define("lease_writes_total", "writes", "Lease objects written, by result.")
	metricReads  = metrics.Define("lease_reads_total", "reads", "Lease objects read.")
	metricHeld   = metrics.Define("lease_held", "leases", "Leases that this instance holds.")
	metricLapsed = metrics.Define("lease_lapsed_total", "leases", "Leases that ran out before they were renewed.")
)

// Periods of the manager.
const (
	servicesPeriod = 2 * time.Second // how often the set of services is read
	callTimeout    = 3 * time.Second // timeout of one store call
	retryPeriod    = 500 * time.Millisecond
	jitter         = 0.2
	renewals       = 3 // a lease is renewed this many times within its duration
)

// Manager holds the leases of this instance. It implements Checker.
type Manager struct {
	opts  Options
	rand  *loop.Rand
	runID string // identifies this run of the process in tokens

	mu     sync.Mutex // guards grants and writes
	grants map[string]Grant
	writes uint64
}

// NewManager returns a manager that holds no lease until Run is called.
func NewManager(opts Options) *Manager {
	opts = opts.withDefaults()
	random := loop.NewRand(opts.Rand)
	return &Manager{
		opts:   opts,
		rand:   random,
		runID:  fmt.Sprintf("%s/%x/%x", opts.Self, opts.Clock.Now().UnixNano(), int64(random.Float64()*(1<<52))),
		grants: make(map[string]Grant),
	}
}

// Run contends for the leases of all services until ctx ends, then releases those
// that it holds.
func (m *Manager) Run(ctx context.Context) {
	contentions := loop.NewTasks(m.serve)
	loop.Run(ctx, loop.Options{
		Clock: m.opts.Clock, Rand: m.rand, Period: servicesPeriod, Jitter: jitter,
	}, func(ctx context.Context) { contentions.Keep(ctx, m.opts.Services()) })
	contentions.Stop()
}

// serve contends for one lease until ctx ends.
func (m *Manager) serve(ctx context.Context, service string) {
	c := &candidate{m: m, service: service}
	for ctx.Err() == nil {
		wait := c.step(ctx)
		c.publish()
		if !loop.Sleep(ctx, m.opts.Clock, wait) {
			break
		}
	}
	c.release(context.WithoutCancel(ctx))
	c.publish()
}

// position returns the rank of this instance among the live instances for the
// service.
func (m *Manager) position(service string) int {
	return rendezvous.Position(KeyPrefix+service, m.opts.Self, m.opts.Board.LiveMembers(m.opts.Self))
}

// stoppingOrDraining reports whether this instance is stopping or draining and thus
// should hold no lease.
func (m *Manager) stoppingOrDraining() bool {
	self, _ := m.opts.Board.Self.Get(board.SelfRow)
	return self.Stopping || self.Draining
}

func (m *Manager) nextToken() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.writes++
	return fmt.Sprintf("%s/%d", m.runID, m.writes)
}

// publish writes the known state of the lease to the board.
func (c *candidate) publish() {
	m := c.m
	grant, held := m.grant(c.service)
	row := board.Lease{Service: c.service, Holder: c.seen.record.Holder, Fence: c.seen.version}
	if held {
		row.Holder, row.Fence, row.Mine = m.opts.Self, grant.Fence, true
		row.Until, row.UncheckedFrom = grant.Until, grant.UncheckedFrom
	}
	if old, found := m.opts.Board.Leases.Get(c.service); !found || old != row {
		m.opts.Board.Leases.Put(c.service, row)
	}
	m.mu.Lock()
	n := len(m.grants)
	m.mu.Unlock()
	m.opts.Metrics.Counter(metricHeld).Set(int64(n))
}

func (m *Manager) log(id event.ID, service string, fence uint64) {
	m.opts.Logger.Log(id, "service", service, "fence", fence)
}
