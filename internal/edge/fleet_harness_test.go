package edge

import (
	"context"
	"expvar"
	"fmt"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"lynxhill.example/lynxhill/internal/clock"
	"lynxhill.example/lynxhill/internal/config"
	"lynxhill.example/lynxhill/internal/control/routesync"
	"lynxhill.example/lynxhill/internal/exchange"
	"lynxhill.example/lynxhill/internal/memnet"
	"lynxhill.example/lynxhill/internal/relay"
	"lynxhill.example/lynxhill/internal/route"
	"lynxhill.example/lynxhill/internal/stagework"
	"lynxhill.example/lynxhill/internal/store"
	"lynxhill.example/lynxhill/internal/store/memstore"
	"lynxhill.example/lynxhill/internal/virtualtest"
)

// hosts is a network in memory: listeners by address.
type hosts struct {
	mu        sync.Mutex // guards listeners
	listeners map[string]*memnet.Listener
	sides     map[string]int  // side of a partition by address; guarded by mu
	silent    map[string]bool // addresses where dials hang instead of being refused; guarded by mu
	testEnded chan struct{}   // closed at the end of the test; unblocks hanging dials
}

// socket is one instance's way to the network and the store, until its power
// is lost.
type socket struct {
	*hosts
	mu        sync.Mutex // guards what follows
	off       bool
	alone     bool // reaches no other instance
	side      int  // of a partition, whose sides cannot reach each other; guarded by hosts.mu
	noStore   bool // reaches no store
	noAnswers bool // Get, List and Watch of the store hang until their context ends
	toStore   storeConns
	opened    []opened
	serving   []string // addresses
}

// opened is a connection that an instance made.
type opened struct {
	*silenceableConn
	to string // address
}

func (s *socket) listen(_, address string) (net.Listener, error) {
	s.hosts.mu.Lock()
	defer s.hosts.mu.Unlock()
	l := memnet.Listen()
	s.listeners[address] = l
	delete(s.silent, address)
	s.sides[address] = s.side
	s.serving = append(s.serving, address)
	return l, nil
}

func (s *socket) dial(ctx context.Context, network, address string) (net.Conn, error) {
	s.hosts.mu.Lock()
	l := s.listeners[address]
	otherSide := s.sides[address] != s.side
	silent := s.silent[address]
	s.hosts.mu.Unlock()
	if silent {
		// net/http continues to dial after the request has ended.
		select {
		case <-ctx.Done():
		case <-s.hosts.testEnded:
		}
		return nil, os.ErrDeadlineExceeded
	}
	if l == nil || otherSide || s.has(&s.off) || s.has(&s.alone) {
		return nil, net.ErrClosed
	}
	conn, err := l.Dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	silenceable := &silenceableConn{Conn: conn, closed: make(chan struct{})}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.opened = append(s.opened, opened{silenceable, address})
	return silenceable, nil
}

// silenceableConn is a connection that can go silent: reads block until it is
// closed, and written data is discarded.
type silenceableConn struct {
	net.Conn
	silent    atomic.Bool
	deaf      atomic.Bool // silent in the direction of who opened it alone
	closed    chan struct{}
	closeOnce sync.Once // guards the close of closed
}

func (c *silenceableConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.silent.Load() || c.deaf.Load() {
		<-c.closed
		return 0, net.ErrClosed
	}
	return n, err
}

func (c *silenceableConn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (c *silenceableConn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// has reads one of the socket's faults.
func (s *socket) has(fault *bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return *fault
}

// strike sets one of the socket's faults and cuts its connections.
func (s *socket) strike(fault *bool) {
	s.mu.Lock()
	*fault = true
	opened := s.opened
	s.mu.Unlock()
	for _, conn := range opened {
		_ = conn.Close()
	}
}

// setSide moves the instance to a side of a partition and closes its connections.
func (s *socket) setSide(side int) {
	s.hosts.mu.Lock()
	s.side = side
	for _, address := range s.serving {
		s.sides[address] = side
	}
	s.hosts.mu.Unlock()
	s.mu.Lock()
	opened := s.opened
	s.opened = nil
	s.mu.Unlock()
	for _, conn := range opened {
		_ = conn.Close()
	}
}

// storeGone reports whether the instance reaches no store.
func (s *socket) storeGone() bool { return s.has(&s.off) || s.has(&s.noStore) }

// losePower ends all that reaches or leaves the instance.
func (s *socket) losePower() {
	for _, l := range s.hosts.hide(s) {
		_ = l.Close()
	}
	s.strike(&s.off)
}

// silence simulates a power loss of the instance's machine: dials to it hang, and its
// connections go silent instead of being closed.
func (f *fleetOf) silence(lost *member) {
	f.net.mu.Lock()
	for _, address := range lost.socket.serving {
		f.net.silent[address] = true
	}
	f.net.mu.Unlock()
	for _, m := range f.all {
		m.socket.mu.Lock()
		for _, c := range m.socket.opened {
			if m == lost || slices.Contains(lost.socket.serving, c.to) {
				c.silent.Store(true)
			}
		}
		m.socket.mu.Unlock()
	}
	lost.socket.mu.Lock()
	lost.socket.off = true
	lost.socket.mu.Unlock()
}

// hide takes the socket's listeners out of the network; they stay open.
func (h *hosts) hide(s *socket) (hidden []*memnet.Listener) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, address := range s.serving {
		hidden = append(hidden, h.listeners[address])
		delete(h.listeners, address)
	}
	return hidden
}

// reachable is the store as an instance reaches it.
type reachable struct {
	wire
	*socket
}

// begin takes a connection to the store for a call. The function that it returns ends
// the call: it blocks until ctx ends and fails if the store's answer does not arrive.
func (r reachable) begin(ctx context.Context) (end func() error) {
	conn := r.toStore.take()
	return func() error {
		if !r.has(&r.noAnswers) && !conn.silent.Load() && ctx.Err() == nil {
			r.toStore.put(conn)
			return nil
		}
		<-ctx.Done()
		r.toStore.closeIdle()
		return store.ErrUnavailable
	}
}

// Table reads a table whose version is the length of the value; version 2 and later
// have a host of their own.
func (r reachable) Table(value []byte) (*route.Table, error) {
	table, err := r.wire.Table(value)
	table.Version = int64(len(value))
	if table.Version > 1 {
		added := table.Routes[0]
		added.Host = addedHost(table.Version)
		table.Routes = append(table.Routes, added)
	}
	return table.Build(), err
}

// addedHost is the host that a version of the table adds.
func addedHost(version int64) string { return fmt.Sprint("h", version) }

func (r reachable) Get(ctx context.Context, key string) (store.Object, error) {
	if r.storeGone() {
		return store.Object{}, store.ErrUnavailable
	}
	end := r.begin(ctx)
	object, err := r.wire.Get(ctx, key)
	if lost := end(); lost != nil {
		return store.Object{}, lost
	}
	return object, err
}

func (r reachable) List(ctx context.Context, prefix string) ([]store.Object, uint64, error) {
	if r.storeGone() {
		return nil, 0, store.ErrUnavailable
	}
	end := r.begin(ctx)
	objects, version, err := r.wire.List(ctx, prefix)
	if lost := end(); lost != nil {
		return nil, 0, lost
	}
	return objects, version, err
}

func (r reachable) Watch(ctx context.Context, prefix string, after uint64) ([]store.Object, uint64, bool, error) {
	if r.storeGone() {
		return nil, 0, false, store.ErrUnavailable
	}
	end := r.begin(ctx)
	objects, version, compacted, err := r.wire.Watch(ctx, prefix, after)
	if lost := end(); lost != nil || r.storeGone() {
		return nil, 0, false, store.ErrUnavailable
	}
	return objects, version, compacted, err
}

func (r reachable) Instances(ctx context.Context) ([]store.Instance, error) {
	if r.storeGone() {
		return nil, store.ErrUnavailable
	}
	return r.wire.Instances(ctx)
}

func (r reachable) Register(ctx context.Context, self store.Instance) error {
	if r.storeGone() {
		return store.ErrUnavailable
	}
	return r.wire.Register(ctx, self)
}

func (r reachable) Deregister(_ context.Context, id string) error {
	if !r.storeGone() {
		r.wire.RemoveInstance(id)
	}
	return nil
}

// fleetOf is a number of instances in virtual time with one store.
type fleetOf struct {
	t     *testing.T
	store *memstore.Store
	net   *hosts
	all   []*member
	dead  []*member // that lost power
	began time.Time
	// evacuations reports whether instances watch orders to evacuate zones.
	evacuations bool
	bounds      bounds
	extra       float64                // extra repeats of all instances; 0 = the default
	sideOf      func(i int) (side int) // side of the partition on which instance i starts; nil = no partition
}

// partition prevents instances on different sides from reaching each other.
func (f *fleetOf) partition(sideOf func(i int) int) {
	f.sideOf = sideOf
	for i, m := range f.all {
		m.socket.setSide(sideOf(i))
	}
}

// restart cuts the power of instance i and starts it again.
func (f *fleetOf) restart(i int) {
	f.all[i].socket.losePower()
	f.dead = append(f.dead, f.all[i])
	f.all[i] = f.start(i)
}

// dispatchers returns the instances that somebody takes for the dispatcher.
func (f *fleetOf) dispatchers() map[string]bool {
	firsts := make(map[string]bool)
	for _, m := range f.all {
		first, _ := m.finder.First(stagework.Cell{Weight: 1})
		firsts[first] = true
	}
	return firsts
}

// member is an instance of a fleet and how to end it.
type member struct {
	*Instance
	socket *socket
	kill   context.CancelFunc
	ended  chan error
}

const fleetPlaces = 6

// readsAt and writesAt are the store's rates, a second, as they are for 295
// instances, in proportion; no less than for eight.
func readsAt(n int) float64 { return max(2000, 16000*float64(n)/295) }

func writesAt(n int) float64 { return max(400, 3200*float64(n)/295) }

// inFleet runs the test with n instances that start together.
func inFleet(t *testing.T, n int, test func(*fleetOf)) { playFleet(t, n, false, defaultBounds, test) }

// inFleetWithOrders is inFleet with instances that watch orders to evacuate
// zones.
func inFleetWithOrders(t *testing.T, n int, test func(*fleetOf)) {
	playFleet(t, n, true, defaultBounds, test)
}

// bounds are what operators demand of a fleet.
type bounds struct {
	touch time.Duration // after which an instance is out of touch
	apply time.Duration // within which a change has to be in force
}

var defaultBounds = bounds{touch: 5 * time.Second, apply: 5 * time.Second}

// boundsAt returns the bounds of the users' deployments of about that many instances.
func boundsAt(n int) bounds {
	if n <= 8 {
		return bounds{touch: 3 * time.Second, apply: 2 * time.Second}
	}
	return bounds{touch: 4 * time.Second, apply: 3 * time.Second}
}

func playFleet(t *testing.T, n int, evacuations bool, b bounds, test func(*fleetOf)) {
	synctest.Test(t, func(t *testing.T) {
		f := &fleetOf{t: t, began: time.Now(), store: memstore.New(memstore.Options{WatchWait: time.Hour, ReadsPerSecond: readsAt(n), WritesPerSecond: writesAt(n)}), net: &hosts{listeners: make(map[string]*memnet.Listener), sides: make(map[string]int), silent: make(map[string]bool), testEnded: make(chan struct{})}, evacuations: evacuations, bounds: b}
		f.put(routesync.TableKey, "x")
		f.put("targets/a", "10.0.0.1:1")
		for i := range n {
			f.all = append(f.all, f.start(i))
		}
		test(f)
		for _, m := range append(f.dead, f.all...) {
			m.kill()
		}
		for _, m := range f.dead {
			<-m.ended // with the error that its listeners were closed
		}
		for _, m := range f.all {
			if err := <-m.ended; err != nil {
				t.Error(err)
			}
		}
		close(f.net.testEnded)
		for _, m := range append(f.dead, f.all...) {
			m.socket.strike(&m.socket.off)
		}
	})
}

// cutCallers cuts the connections that others made to the instance.
func (f *fleetOf) cutCallers(cut *member) {
	for _, m := range f.all {
		m.socket.mu.Lock()
		made := slices.Clone(m.socket.opened)
		m.socket.mu.Unlock()
		for _, c := range made {
			if slices.Contains(cut.socket.serving, c.to) {
				_ = c.Close()
			}
		}
	}
}

func (f *fleetOf) put(key, value string) {
	f.t.Helper()
	if _, err := f.store.Put(f.t.Context(), key, []byte(value), 0); err != nil {
		f.t.Fatal(err)
	}
}

func (f *fleetOf) remove(key string) {
	f.t.Helper()
	object, err := f.store.Get(f.t.Context(), key)
	if err == nil {
		err = f.store.Delete(f.t.Context(), key, object.Version)
	}
	if err != nil {
		f.t.Fatal(err)
	}
}

func peerAddressOf(i int) string { return fmt.Sprintf("10.1.%d.%d:1", i/250, i%250) }

// start starts the i-th instance.
func (f *fleetOf) start(i int) *member {
	cfg := settings()
	cfg.Instance.ID = fmt.Sprintf("i-%03d", i)
	cfg.Instance.Place = fmt.Sprintf("place-%d", i%fleetPlaces)
	cfg.Listen.Peer = peerAddressOf(i)
	cfg.Ingress.Listen, cfg.Ingress.Metrics = "c"+cfg.Listen.Peer, ""
	cfg.Ingress.Touch, cfg.Ingress.Apply = config.Of(f.bounds.touch), config.Of(f.bounds.apply)
	cfg.Ingress.Grace = config.Of(8 * time.Second)
	cfg.Peers.Seeds = []string{peerAddressOf(0), peerAddressOf(1), peerAddressOf(2)}
	cfg.Ingress.Evacuations = f.evacuations
	if f.extra > 0 {
		cfg.Ingress.RetryExtra = f.extra
	}
	way := &socket{hosts: f.net}
	if f.sideOf != nil {
		way.side = f.sideOf(i)
	}
	p, began := reachable{wire{Store: f.store}, way}, time.Now()
	in, err := New(cfg, Adapter{
		Platform: p, Codec: p, Decoder: p, ReadyPath: "/ready", AddressPath: "/where",
		Stages: func(*exchange.Pool) relay.StageClient { return p }, AnswerID: func(http.Header) string { return "" },
	}, Options{
		Seed: uint64(i + 1), Dial: way.dial, Listen: way.listen,
		Boot: clock.BootFunc(func() time.Duration { return time.Since(began) }),
	})
	if err != nil {
		f.t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	m := &member{Instance: in, socket: way, kill: stop, ended: make(chan error, 1)}
	go func() { m.ended <- in.Run(ctx) }()
	return m
}

// calls returns the calls of the store since the start, by what was done.
func (f *fleetOf) calls() map[string]int64 {
	sums := make(map[string]int64)
	for _, m := range f.all {
		m.metrics.Labelled(metricStoreCalls).Do(func(v expvar.KeyValue) {
			n := v.Value.(*expvar.Int).Value()
			sums[v.Key] += n
			sums["all"] += n
		})
	}
	return sums
}

// until waits until each instance fulfils the condition and returns how long
// that took.
func (f *fleetOf) until(limit time.Duration, what string, each func(*member) bool) time.Duration {
	f.t.Helper()
	return virtualtest.Until(f.t, 20*time.Millisecond, limit, what, func() bool {
		return !slices.ContainsFunc(f.all, func(m *member) bool { return !each(m) })
	})
}
