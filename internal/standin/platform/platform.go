// Package platform is a stand-in for the platform's service: the object API
// with versions, conditional updates and watches, and the instance list that
// lags. Its fault switches may be used while it runs. It keeps all in memory.
package platform

import (
	"maps"
	"net/http"
	"sync"
	"time"

	"lynxhill.example/lynxhill/internal/defaults"
	"lynxhill.example/lynxhill/internal/standin/loopback"
	"lynxhill.example/lynxhill/internal/wire/platformapi"
)

// Defaults of Options.
const (
	DefaultMaxValue    = 1 << 20   // bytes
	DefaultMaxStore    = 512 << 20 // bytes
	DefaultHistory     = 4096
	DefaultInstanceTTL = 30 * time.Second
)

// Options of a Server.
type Options struct {
	Seed uint64
	// InstanceLag is how far the instance list is behind.
	InstanceLag time.Duration
	// InstanceTTL is how long a registration lasts without a refresh.
	InstanceTTL time.Duration
	Limits      Limits
	// MaxValue is the largest value of an object in bytes.
	MaxValue int
	// MaxStore bounds all keys and values together, in bytes.
	MaxStore int
	// History is how many changes are kept for watches.
	History int
	// Listen opens the listener; nil listens on TCP.
	Listen loopback.ListenFunc
}

func (o *Options) setDefaults() {
	defaults.Positive(&o.InstanceTTL, DefaultInstanceTTL)
	defaults.Positive(&o.MaxValue, DefaultMaxValue)
	defaults.Positive(&o.MaxStore, DefaultMaxStore)
	defaults.Positive(&o.History, DefaultHistory)
}

// Server is the platform.
type Server struct {
	opts      Options
	store     *objectStore
	instances *instanceTable
	faults    *faults
	counters  counters
	http      *loopback.Server
}

// New starts a platform on a loopback port.
func New(opts Options) (*Server, error) {
	opts.setDefaults()
	s := &Server{
		opts:      opts,
		store:     newObjectStore(opts.History, opts.MaxStore),
		instances: newInstanceTable(opts.InstanceLag, opts.InstanceTTL, time.Now),
		faults:    newFaults(opts.Seed, opts.Limits),
	}
	server, err := loopback.New(loopback.Options{Handler: s.routes(), Listen: opts.Listen})
	if err != nil {
		return nil, err
	}
	s.http = server
	return s, nil
}

// Addr returns the address (IP:port).
func (s *Server) Addr() string { return s.http.Addr() }

// Close stops the server.
func (s *Server) Close() { s.http.Close() }

// Outage starts or, with OutageNone, ends an outage. Calls that hang are
// answered when it ends.
func (s *Server) Outage(mode OutageMode) { s.faults.setOutage(mode) }

// Slow delays every answer by base plus a random part of jitter.
func (s *Server) Slow(base, jitter time.Duration) { s.faults.setDelay(base, jitter) }

// LoseReplies drops this share (0 to 1) of the replies to writes, after the
// write took effect.
func (s *Server) LoseReplies(share float64) { s.faults.setLose(share, 0) }

// LoseNext drops the replies to the next n writes, after each took effect.
func (s *Server) LoseNext(n int) { s.faults.setLose(0, n) }

// SetLimits changes the rate limits.
func (s *Server) SetLimits(limits Limits) { s.faults.setLimits(limits) }

// Silence makes the open connections silent for good; new ones work.
func (s *Server) Silence() { s.http.Silence() }

// Crash resets all connections and refuses new ones until Restart. What was
// written stays.
func (s *Server) Crash() { s.http.Crash() }

// Restart listens on the same address again.
func (s *Server) Restart() error { return s.http.Restart() }

// SetInstance places an entry in the instance list that doesn't expire, as
// the platform itself would for a machine that it runs.
func (s *Server) SetInstance(instance platformapi.Instance) { s.instances.set(instance) }

// RemoveInstance takes an entry off the instance list.
func (s *Server) RemoveInstance(id string) { s.instances.remove(id) }

// Get reads an object directly, past faults and counters.
func (s *Server) Get(key string) (platformapi.Object, bool) { return s.store.get(key) }

// List reads the objects with a prefix directly, past faults and counters.
func (s *Server) List(prefix string) []platformapi.Object { return s.store.list(prefix).Objects }

// Put writes an object directly and unconditionally, past faults and
// counters. Version 0 says that the store was full.
func (s *Server) Put(key string, value []byte) platformapi.Object {
	object, _ := s.store.put(key, value, condition{})
	return object
}

// Counts returns the calls so far, refused ones included.
func (s *Server) Counts() Counts { return s.counters.snapshot() }

// Counts are the calls by kind.
type Counts struct {
	Calls     map[Kind]uint64
	Throttled uint64
	Refused   uint64 // by an outage
	Lost      uint64 // replies lost after the write took effect
}

// Total returns all calls.
func (c Counts) Total() uint64 {
	var total uint64
	for _, n := range c.Calls {
		total += n
	}
	return total
}

// Writes returns the calls that count against the limit of writes.
func (c Counts) Writes() uint64 {
	var total uint64
	for kind, n := range c.Calls {
		if kind.writes() {
			total += n
		}
	}
	return total
}

// counters count calls. The zero value is ready.
type counters struct {
	mu     sync.Mutex // guards counts
	counts Counts
}

func (c *counters) change(f func(*Counts)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f(&c.counts)
}

func (c *counters) call(kind Kind) {
	c.change(func(counts *Counts) {
		if counts.Calls == nil {
			counts.Calls = make(map[Kind]uint64)
		}
		counts.Calls[kind]++
	})
}

func (c *counters) snapshot() Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	snapshot := c.counts
	snapshot.Calls = maps.Clone(c.counts.Calls)
	return snapshot
}

func (s *Server) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+platformapi.PathObjects+"{key...}", s.handleRead)
	mux.HandleFunc("PUT "+platformapi.PathObjects+"{key...}", s.guarded(KindPut, s.handlePut))
	mux.HandleFunc("DELETE "+platformapi.PathObjects+"{key...}", s.guarded(KindDelete, s.handleDelete))
	mux.HandleFunc("GET "+platformapi.PathWatch, s.guarded(KindWatch, s.handleWatch))
	mux.HandleFunc("GET "+platformapi.PathInstances, s.guarded(KindInstances, s.handleInstances))
	mux.HandleFunc("POST "+platformapi.PathInstances, s.guarded(KindRegister, s.handleRegister))
	return compressed(mux)
}
