package edge

import (
	"context"
	"expvar"
	"fmt"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
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

// memoryNetwork is an in-memory network: listeners by address.
type memoryNetwork struct {
	mu        sync.Mutex // guards listeners
	listeners map[string]*memnet.Listener
	sides     map[string]int  // side of the partition by address; guarded by mu
	silent    map[string]bool // addresses where dials hang instead of being refused; guarded by mu
	testEnded chan struct{}   // closed at the end of the test; unblocks hanging dials
	bytes     atomic.Int64    // sent and received on connections between instances
}

// instanceNetwork is the access of one instance to the network and the store, with the
// faults injected into it.
type instanceNetwork struct {
	*memoryNetwork
	mu               sync.Mutex // guards the fields below
	poweredOff       bool
	isolated         bool // cannot reach other instances
	side             int  // side of the partition; the sides cannot reach each other; guarded by memoryNetwork.mu
	targetsLost      bool // cannot open connections to targets: dials hang, or are refused if targetsRefuse
	targetsRefuse    bool
	storeUnreachable bool // cannot reach the store
	storeSilent      bool // Get, List and Watch calls of the store hang until their context ends
	toStore          storeConns
	opened           []opened
	serving          []string // addresses on which it listens
}

// opened is a connection that an instance opened.
type opened struct {
	*silenceableConn
	to string // address
}

func (s *instanceNetwork) listen(_, address string) (net.Listener, error) {
	s.memoryNetwork.mu.Lock()
	defer s.memoryNetwork.mu.Unlock()
	l := memnet.Listen()
	s.listeners[address] = l
	delete(s.silent, address)
	s.sides[address] = s.side
	s.serving = append(s.serving, address)
	return l, nil
}

func (s *instanceNetwork) dial(ctx context.Context, network, address string) (net.Conn, error) {
	s.memoryNetwork.mu.Lock()
	l := s.listeners[address]
	otherSide := s.sides[address] != s.side
	silent := s.silent[address]
	s.memoryNetwork.mu.Unlock()
	if silent {
		// net/http continues to dial after the request has ended.
		select {
		case <-ctx.Done():
		case <-s.memoryNetwork.testEnded:
		}
		return nil, os.ErrDeadlineExceeded
	}
	if strings.HasPrefix(address, targetNetwork) && s.has(&s.targetsLost) {
		if s.has(&s.targetsRefuse) {
			return nil, syscall.ECONNREFUSED
		}
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if l == nil || otherSide || s.has(&s.poweredOff) || s.has(&s.isolated) && !strings.HasPrefix(address, targetNetwork) {
		return nil, net.ErrClosed
	}
	conn, err := l.Dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	silenceable := &silenceableConn{Conn: conn, bytes: &s.memoryNetwork.bytes, closed: make(chan struct{})}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.opened = append(s.opened, opened{silenceable, address})
	return silenceable, nil
}

// silenceableConn is a connection that can go silent: reads block until it is
// closed, and written data is discarded.
type silenceableConn struct {
	net.Conn
	bytes           *atomic.Int64 // counts what is sent and received
	silent          atomic.Bool
	receivesNothing atomic.Bool // silent only in the direction towards the instance that opened it
	closed          chan struct{}
	closeOnce       sync.Once // guards the close of closed
}

func (c *silenceableConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	if c.silent.Load() || c.receivesNothing.Load() {
		<-c.closed
		return 0, net.ErrClosed
	}
	return n, err
}

func (c *silenceableConn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	c.bytes.Add(int64(len(p)))
	return c.Conn.Write(p)
}

func (c *silenceableConn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// has reports whether one of the faults is injected.
func (s *instanceNetwork) has(fault *bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return *fault
}

// injectFault sets one of the faults and closes the instance's connections.
func (s *instanceNetwork) injectFault(fault *bool) {
	s.mu.Lock()
	*fault = true
	opened := s.opened
	s.mu.Unlock()
	for _, conn := range opened {
		_ = conn.Close()
	}
}

// setSide moves the instance to a side of a partition and closes its connections.
func (s *instanceNetwork) setSide(side int) {
	s.memoryNetwork.mu.Lock()
	s.side = side
	for _, address := range s.serving {
		s.sides[address] = side
	}
	s.memoryNetwork.mu.Unlock()
	s.mu.Lock()
	opened := s.opened
	s.opened = nil
	s.mu.Unlock()
	for _, conn := range opened {
		_ = conn.Close()
	}
}

// storeGone reports whether the instance cannot reach the store.
func (s *instanceNetwork) storeGone() bool { return s.has(&s.poweredOff) || s.has(&s.storeUnreachable) }

// losePower simulates a power loss: it closes the instance's listeners and connections.
func (s *instanceNetwork) losePower() {
	for _, l := range s.memoryNetwork.hide(s) {
		_ = l.Close()
	}
	s.injectFault(&s.poweredOff)
}

// silence simulates a power loss of the instance's host: dials to it hang, and its
// connections go silent instead of being closed.
func (f *testFleet) silence(lost *member) {
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
	lost.socket.poweredOff = true
	lost.socket.mu.Unlock()
}

// hide removes the instance's listeners from the network; they stay open.
func (h *memoryNetwork) hide(s *instanceNetwork) (hidden []*memnet.Listener) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, address := range s.serving {
		hidden = append(hidden, h.listeners[address])
		delete(h.listeners, address)
	}
	return hidden
}

// instancePlatform is the platform as seen by one instance, with the faults of its network.
type instancePlatform struct {
	fakePlatform
	*instanceNetwork
}

// begin acquires a connection to the store for a call. The returned function ends the
// call: if the store's response does not arrive, it blocks until ctx ends and fails.
func (r instancePlatform) begin(ctx context.Context) (end func() error) {
	conn := r.toStore.take()
	return func() error {
		if !r.has(&r.storeSilent) && !conn.silent.Load() && ctx.Err() == nil {
			r.toStore.put(conn)
			return nil
		}
		<-ctx.Done()
		r.toStore.closeIdle()
		return store.ErrUnavailable
	}
}

// Table decodes a table whose version is the length of the value; each version from 2 on
// adds a route with a host of its own.
func (r instancePlatform) Table(value []byte) (*route.Table, error) {
	table, err := r.fakePlatform.Table(value)
	table.Version = int64(len(value))
	if table.Version > 1 {
		added := table.Routes[0]
		added.Host = addedHost(table.Version)
		table.Routes = append(table.Routes, added)
	}
	return table.Build(), err
}

// addedHost returns the host that a version of the table adds.
func addedHost(version int64) string { return fmt.Sprint("h", version) }

func (r instancePlatform) Get(ctx context.Context, key string) (store.Object, error) {
	if r.storeGone() {
		return store.Object{}, store.ErrUnavailable
	}
	end := r.begin(ctx)
	object, err := r.fakePlatform.Get(ctx, key)
	if lost := end(); lost != nil {
		return store.Object{}, lost
	}
	return object, err
}

func (r instancePlatform) List(ctx context.Context, prefix string) ([]store.Object, uint64, error) {
	if r.storeGone() {
		return nil, 0, store.ErrUnavailable
	}
	end := r.begin(ctx)
	objects, version, err := r.fakePlatform.List(ctx, prefix)
	if lost := end(); lost != nil {
		return nil, 0, lost
	}
	return objects, version, err
}

func (r instancePlatform) ListPage(ctx context.Context, prefix, after string) (store.Page, error) {
	if r.storeGone() {
		return store.Page{}, store.ErrUnavailable
	}
	end := r.begin(ctx)
	page, err := r.fakePlatform.ListPage(ctx, prefix, after)
	if lost := end(); lost != nil {
		return store.Page{}, lost
	}
	return page, err
}

func (r instancePlatform) Watch(ctx context.Context, prefix string, after uint64) ([]store.Object, uint64, bool, error) {
	if r.storeGone() {
		return nil, 0, false, store.ErrUnavailable
	}
	end := r.begin(ctx)
	objects, version, compacted, err := r.fakePlatform.Watch(ctx, prefix, after)
	if lost := end(); lost != nil || r.storeGone() {
		return nil, 0, false, store.ErrUnavailable
	}
	return objects, version, compacted, err
}

func (r instancePlatform) Put(ctx context.Context, key string, value []byte, ifVersion uint64) (store.Object, error) {
	if r.storeGone() {
		return store.Object{}, store.ErrUnavailable
	}
	return r.fakePlatform.Put(ctx, key, value, ifVersion)
}

func (r instancePlatform) Instances(ctx context.Context) ([]store.Instance, error) {
	if r.storeGone() {
		return nil, store.ErrUnavailable
	}
	return r.fakePlatform.Instances(ctx)
}

func (r instancePlatform) Register(ctx context.Context, self store.Instance) error {
	if r.storeGone() {
		return store.ErrUnavailable
	}
	return r.fakePlatform.Register(ctx, self)
}

func (r instancePlatform) Deregister(_ context.Context, id string) error {
	if !r.storeGone() {
		r.fakePlatform.RemoveInstance(id)
	}
	return nil
}

// testFleet is a fleet of instances in virtual time with one store.
type testFleet struct {
	t     *testing.T
	store *memstore.Store
	net   *memoryNetwork
	all   []*member
	dead  []*member // instances that lost power
	began time.Time
	// evacuations is set if the instances watch orders to evacuate availability zones.
	evacuations bool
	bounds      bounds
	extra       float64                // extra retries of all instances; 0 = the default
	sideOf      func(i int) (side int) // side of the partition on which instance i starts; nil = no partition
}

// partition prevents instances on different sides from reaching each other.
func (f *testFleet) partition(sideOf func(i int) int) {
	f.sideOf = sideOf
	for i, m := range f.all {
		m.socket.setSide(sideOf(i))
	}
}

// restart cuts the power of instance i and starts it again.
func (f *testFleet) restart(i int) {
	f.all[i].socket.losePower()
	f.dead = append(f.dead, f.all[i])
	f.all[i] = f.start(i)
}

// seenDispatchers returns the instances that at least one instance considers the
// dispatcher.
func (f *testFleet) seenDispatchers() map[string]bool {
	firsts := make(map[string]bool)
	for _, m := range f.all {
		first, _ := m.finder.First(stagework.Cell{Weight: 1})
		firsts[first] = true
	}
	return firsts
}

// member is an instance of a fleet with the function that stops it.
type member struct {
	*Instance
	socket *instanceNetwork
	kill   context.CancelFunc
	ended  chan error
}

const fleetZones = 6

// readsAt returns the store's limit of reads per second for n instances: 16000 at 295
// instances, in proportion to n, but no less than the 2000 of eight instances.
func readsAt(n int) float64 { return max(2000, 16000*float64(n)/295) }

// writesAt returns the store's limit of writes per second for n instances: 3200 at 295
// instances, in proportion to n, but no less than the 400 of eight instances.
func writesAt(n int) float64 { return max(400, 3200*float64(n)/295) }

// runFleet runs the test with n instances that start at the same time.
func runFleet(t *testing.T, n int, test func(*testFleet)) {
	runFleetWithBounds(t, n, false, defaultBounds, test)
}

// runFleetWithEvacuations is runFleet with instances that watch orders to evacuate zones.
func runFleetWithEvacuations(t *testing.T, n int, test func(*testFleet)) {
	runFleetWithBounds(t, n, true, defaultBounds, test)
}

// bounds holds the time limits that operators set for a fleet.
type bounds struct {
	touch time.Duration // time after which a cut-off instance counts as out of touch
	apply time.Duration // time within which a change has to be in force
}

var defaultBounds = bounds{touch: 5 * time.Second, apply: 5 * time.Second}

// boundsAt returns the time limits of the users' deployments with about n instances.
func boundsAt(n int) bounds {
	if n <= 8 {
		return bounds{touch: 3 * time.Second, apply: 2 * time.Second}
	}
	return bounds{touch: 4 * time.Second, apply: 3 * time.Second}
}

func runFleetWithBounds(t *testing.T, n int, evacuations bool, b bounds, test func(*testFleet)) {
	runFleetWithTargets(t, n, 1, func(f *testFleet) { f.evacuations, f.bounds = evacuations, b }, test)
}

// targetsPerPage is the number of targets in a page of the store's list.
const targetsPerPage = 500

// runFleetWithTargets is runFleet with a number of targets, and with what adjust changes.
func runFleetWithTargets(t *testing.T, n, targets int, adjust, test func(*testFleet)) {
	synctest.Test(t, func(t *testing.T) {
		options := memstore.Options{WatchWait: time.Hour, ReadsPerSecond: readsAt(n), PageObjects: targetsPerPage}
		if targets == 1 {
			options.WritesPerSecond = writesAt(n)
		}
		f := &testFleet{t: t, began: time.Now(), store: memstore.New(options), bounds: defaultBounds}
		f.net = &memoryNetwork{listeners: make(map[string]*memnet.Listener), sides: make(map[string]int), silent: make(map[string]bool), testEnded: make(chan struct{})}
		adjust(f)
		f.put(routesync.TableKey, "x")
		f.put("targets/a", "10.0.0.1:1")
		for i := 1; i < targets; i++ {
			f.put(fmt.Sprintf("targets/t%05d", i), fmt.Sprintf("10.0.%d.%d:1@place-%d", i/250, i%250, i%fleetZones))
		}
		for i := range n {
			f.all = append(f.all, f.start(i))
		}
		test(f)
		for _, m := range append(f.dead, f.all...) {
			m.kill()
		}
		for _, m := range f.dead {
			<-m.ended // with the error of its closed listeners
		}
		for _, m := range f.all {
			if err := <-m.ended; err != nil {
				t.Error(err)
			}
		}
		close(f.net.testEnded)
		for _, m := range append(f.dead, f.all...) {
			m.socket.injectFault(&m.socket.poweredOff)
		}
	})
}

// cutCallers closes the connections that other instances have opened to the instance.
func (f *testFleet) cutCallers(cut *member) {
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

func (f *testFleet) put(key, value string) {
	f.t.Helper()
	if _, err := f.store.Put(f.t.Context(), key, []byte(value), 0); err != nil {
		f.t.Fatal(err)
	}
}

func (f *testFleet) remove(key string) {
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
func (f *testFleet) start(i int) *member {
	cfg := settings()
	cfg.Instance.ID = fmt.Sprintf("i-%03d", i)
	cfg.Instance.Zone = fmt.Sprintf("place-%d", i%fleetZones)
	cfg.Listen.Peer = peerAddressOf(i)
	cfg.Ingress.Listen, cfg.Ingress.Metrics = "c"+cfg.Listen.Peer, ""
	cfg.Ingress.OutOfTouchAfter, cfg.Ingress.ApplyWithin = config.DurationOf(f.bounds.touch), config.DurationOf(f.bounds.apply)
	cfg.Ingress.Grace = config.DurationOf(8 * time.Second)
	cfg.Peers.Seeds = []string{peerAddressOf(0), peerAddressOf(1), peerAddressOf(2)}
	cfg.Ingress.Evacuations = f.evacuations
	if f.extra > 0 {
		cfg.Ingress.RetryExtra = f.extra
	}
	way := &instanceNetwork{memoryNetwork: f.net}
	if f.sideOf != nil {
		way.side = f.sideOf(i)
	}
	p, began := instancePlatform{fakePlatform{Store: f.store}, way}, time.Now()
	in, err := New(cfg, Adapter{
		Platform: p, Codec: p, Decoder: p, ReadyPath: "/ready", AddressPath: "/where",
		NewStageClient: func(*exchange.Pool) relay.StageClient { return p }, ResponseAttemptID: func(http.Header) string { return "" },
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

// calls returns the number of calls of the store since the start, by kind of call.
func (f *testFleet) calls() map[string]int64 { return f.callsOf(f.all) }

// callsOf returns the number of calls of the store that the members made, by kind of call.
func (f *testFleet) callsOf(members []*member) map[string]int64 {
	sums := make(map[string]int64)
	for _, m := range members {
		m.metrics.Labelled(metricStoreCalls).Do(func(v expvar.KeyValue) {
			n := v.Value.(*expvar.Int).Value()
			sums[v.Key] += n
			sums["all"] += n
		})
	}
	return sums
}

// until waits until every instance fulfils the condition and returns the time that this
// took.
func (f *testFleet) until(limit time.Duration, what string, each func(*member) bool) time.Duration {
	f.t.Helper()
	return virtualtest.Until(f.t, 20*time.Millisecond, limit, what, func() bool {
		return !slices.ContainsFunc(f.all, func(m *member) bool { return !each(m) })
	})
}
