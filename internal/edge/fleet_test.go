package edge

import (
	"context"
	"expvar"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"lynxhill.example/lynxhill/internal/clock"
	"lynxhill.example/lynxhill/internal/config"
	"lynxhill.example/lynxhill/internal/control/routesync"
	"lynxhill.example/lynxhill/internal/exchange"
	"lynxhill.example/lynxhill/internal/memnet"
	"lynxhill.example/lynxhill/internal/relay"
	"lynxhill.example/lynxhill/internal/stagework"
	"lynxhill.example/lynxhill/internal/store"
	"lynxhill.example/lynxhill/internal/store/memstore"
	"lynxhill.example/lynxhill/internal/virtualtest"
)

// hosts is a network in memory: listeners by address.
type hosts struct {
	mu        sync.Mutex // guards listeners
	listeners map[string]*memnet.Listener
}

// socket is one instance's way to the network and the store, until its power
// is lost.
type socket struct {
	*hosts
	mu      sync.Mutex // guards what follows
	off     bool
	opened  []net.Conn
	serving []string // addresses
}

func (s *socket) listen(_, address string) (net.Listener, error) {
	s.hosts.mu.Lock()
	defer s.hosts.mu.Unlock()
	l := memnet.Listen()
	s.listeners[address] = l
	s.serving = append(s.serving, address)
	return l, nil
}

func (s *socket) dial(ctx context.Context, network, address string) (net.Conn, error) {
	s.hosts.mu.Lock()
	l := s.listeners[address]
	s.hosts.mu.Unlock()
	if l == nil || s.isOff() {
		return nil, net.ErrClosed
	}
	conn, err := l.Dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.opened = append(s.opened, conn)
	return conn, nil
}

func (s *socket) isOff() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.off
}

// losePower ends all that reaches or leaves the instance.
func (s *socket) losePower() {
	s.mu.Lock()
	s.off = true
	opened := s.opened
	s.mu.Unlock()
	s.hosts.mu.Lock()
	for _, address := range s.serving {
		_ = s.listeners[address].Close()
		delete(s.listeners, address)
	}
	s.hosts.mu.Unlock()
	for _, conn := range opened {
		_ = conn.Close()
	}
}

// reachable is the store as an instance reaches it.
type reachable struct {
	wire
	*socket
}

func (r reachable) Instances(ctx context.Context) ([]store.Instance, error) {
	if r.isOff() {
		return nil, store.ErrUnavailable
	}
	return r.wire.Instances(ctx)
}

func (r reachable) Register(ctx context.Context, self store.Instance) error {
	if r.isOff() {
		return store.ErrUnavailable
	}
	return r.wire.Register(ctx, self)
}

func (r reachable) Deregister(_ context.Context, id string) error {
	if !r.isOff() {
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

// inFleet runs the test with n instances that start together.
func inFleet(t *testing.T, n int, test func(*fleetOf)) {
	synctest.Test(t, func(t *testing.T) {
		f := &fleetOf{t: t, began: time.Now(), store: memstore.New(memstore.Options{WatchWait: time.Hour}), net: &hosts{listeners: make(map[string]*memnet.Listener)}}
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
	})
}

func (f *fleetOf) put(key, value string) {
	f.t.Helper()
	if _, err := f.store.Put(f.t.Context(), key, []byte(value), 0); err != nil {
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
	cfg.Ingress.Touch = config.Of(5 * time.Second)
	cfg.Ingress.Grace = config.Of(8 * time.Second)
	cfg.Peers.Seeds = []string{peerAddressOf(0), peerAddressOf(1), peerAddressOf(2)}
	way := &socket{hosts: f.net}
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

// fleetSizes are the sizes that are tested; 295 takes a minute of real time and
// is run with -measure-size.
func fleetSizes() []int { return virtualtest.Sizes(8, 58) }

// Symptom: calls of the store grow with the fleet and are refused when it is
// largest: 58 instances that list every 10 s and ask for themselves once the
// store is away made 512, 430 and 1,418 calls in the three parts of this test, 295
// made 2,457, 1,547 and 6,912.
// Events: a fleet starts, lives through 35 quiet seconds with one new target,
// and the store is then away for 9 s.
// Cause: what each instance reads for itself again and again.
func TestCallsOfTheStoreAtSize(t *testing.T) {
	for _, n := range fleetSizes() {
		inFleet(t, n, func(f *fleetOf) {
			time.Sleep(14 * time.Second)
			started := f.calls()
			f.put("targets/b", "10.0.0.2:1")
			told := f.until(2*time.Second, "all know the target", func(m *member) bool { return len(m.routes.Targets().All()) == 2 })
			oldest := time.Duration(0)
			for range 35 {
				time.Sleep(time.Second)
				for _, m := range f.all {
					oldest = max(oldest, m.routes.ConfirmedAge())
				}
			}
			calm := f.calls()
			f.store.SetFaults(memstore.Faults{Outage: true})
			time.Sleep(9 * time.Second)
			away := f.calls()
			f.store.SetFaults(memstore.Faults{})
			f.until(3*time.Second, "all are confirmed", (*member).confirmedNow)
			t.Logf("%d instances: told %v, oldest word %v; calls: start %v, calm %v, outage %v, return %v",
				n, told, oldest, started, less(calm, started), less(away, calm), less(f.calls(), away))
			if oldest > 6*time.Second {
				t.Errorf("%d instances: word of the store was %v old while all was well", n, oldest)
			}
			dear := func(calls map[string]int64) int64 { return calls["all"] - calls["list instances"] }
			checkCalls(t, n, "start", dear(started), 3*int64(n)+100)
			checkCalls(t, n, "calm", dear(less(calm, started)), 200)
			checkCalls(t, n, "outage", dear(less(away, calm)), 600)
			checkCalls(t, n, "old lists", f.calls()["list instances"], 6*int64(n))
		})
	}
}

// confirmedNow reports whether the instance has heard of the store's return.
func (m *member) confirmedNow() bool { return m.routes.ConfirmedAge() < 2*time.Second }

func checkCalls(t *testing.T, n int, when string, got, most int64) {
	t.Helper()
	if got > most {
		t.Errorf("%d instances: %d calls of the store (%s), want %d at most", n, got, when, most)
	}
}

// Symptom: for seconds after a loss of power calls find targets full and pieces
// are refused for room, though all instances are back.
// Events: all instances lose power and start again within 0.3 s.
// Cause: each knows the few others that it has met, so that 6 to 10 of them
// schedule for the same targets in the first second.
func TestInstancesThatLostPowerAgreeAtOnce(t *testing.T) {
	for _, n := range fleetSizes() {
		inFleet(t, n, func(f *fleetOf) {
			time.Sleep(20 * time.Second)
			f.losePower()
			time.Sleep(700 * time.Millisecond)
			for i := range n {
				f.all = append(f.all, f.start(i))
				time.Sleep(300 * time.Millisecond / time.Duration(n))
			}
			time.Sleep(100 * time.Millisecond)
			named := maxAddresses
			for _, m := range f.all {
				named = min(named, len(m.addresses("place-1")))
			}
			if got := len(f.dispatchers()); got != 1 || named != min(n, maxAddresses) {
				t.Errorf("%d instances, 0.1 s after the last started: %d dispatchers, %d addresses named", n, got, named)
			}
			time.Sleep(6 * time.Second)
			if got := len(f.dispatchers()); got != 1 {
				t.Errorf("%d instances, 6 s later: %d dispatchers", n, got)
			}
			for _, m := range f.all {
				if got := m.instances(); got != n {
					t.Errorf("%s knows %d of %d instances", m.id(), got, n)
				}
			}
		})
	}
}

// losePower ends all instances without a word.
func (f *fleetOf) losePower() {
	for _, m := range f.all {
		m.socket.losePower()
	}
	f.dead, f.all = append(f.dead, f.all...), nil
}

// less returns the calls that came after others.
func less(now, before map[string]int64) map[string]int64 {
	d := make(map[string]int64)
	for k, v := range now {
		if v -= before[k]; v > 0 {
			d[k] = v
		}
	}
	return d
}
