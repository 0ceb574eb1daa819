package pathtest

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"lynxhill.example/lynxhill/deploy/emulator"
	"lynxhill.example/lynxhill/internal/config"
	"lynxhill.example/lynxhill/internal/edge"
	"lynxhill.example/lynxhill/internal/exchange"
	"lynxhill.example/lynxhill/internal/relay"
	"lynxhill.example/lynxhill/platform"
)

// Bounds that the rig's settings promise; they are those of a small deployment.
const (
	host       = "a.example"
	applyTime  = 2 * time.Second        // within which a change of routes is in force
	touchTime  = 2 * time.Second        // after which an instance is out of touch
	drainTime  = time.Second            // within which a leaving server gets no more work
	leaveTime  = 500 * time.Millisecond // within which work for a client that left ends
	graceTime  = 6 * time.Second
	longestRun = 25 * time.Second // of any load
)

// network is what one instance listens on and dials through. Its address tells the store who calls. Connections
// are handed out as they are: the exchange asks the kernel about them.
type network struct {
	ip string

	mu        sync.Mutex
	dead      bool
	killed    time.Time
	listeners map[string]net.Listener
	conns     []net.Conn
	dialed    map[string]int // by address
}

var errDead = errors.New("the instance was killed")

func (n *network) dial(ctx context.Context, kind, address string) (net.Conn, error) {
	n.mu.Lock()
	dead := n.dead
	n.dialed[address]++
	n.mu.Unlock()
	if dead {
		return nil, errDead
	}
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(n.ip)}, Timeout: time.Second}
	conn, err := dialer.DialContext(ctx, kind, address)
	if err == nil {
		err = n.keep(conn)
	}
	return conn, err
}

// keep remembers a connection, or ends it if the instance is dead.
func (n *network) keep(conn net.Conn) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.dead {
		_ = conn.Close()
		return errDead
	}
	n.conns = append(n.conns, conn)
	return nil
}

// open opens a listener at a free port and returns its address.
func (n *network) open(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", n.ip+":0")
	if err != nil {
		t.Fatal(err)
	}
	n.listeners[l.Addr().String()] = &kept{l, n}
	return l.Addr().String()
}

// kill resets all connections and lets none be made, as the end of the process.
func (n *network) kill() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.dead, n.killed = true, time.Now()
	for _, l := range n.listeners {
		_ = l.Close()
	}
	for _, conn := range n.conns {
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}
}

type kept struct {
	net.Listener
	n *network
}

func (k *kept) Accept() (net.Conn, error) {
	conn, err := k.Listener.Accept()
	if err == nil {
		err = k.n.keep(conn)
	}
	return conn, err
}

// instance is one instance of the product.
type instance struct {
	*network
	id, address, readiness, addresses string

	stop   context.CancelFunc
	ended  chan error
	direct *emulator.Client // asks this instance only
}

// rig is a deployment: a World, instances and clients.
type rig struct {
	*testing.T
	world     *emulator.World
	store     string
	instances []*instance

	mu      sync.Mutex
	clients []*emulator.Client
	checked bool
}

func pools() []emulator.Pool {
	two := []emulator.Place{{Zone: "z1", Count: 1}, {Zone: "z2", Count: 1}}
	return []emulator.Pool{
		{Service: "talk", Places: two, Queue: 4, LoadHeader: true, Engine: emulator.EngineOptions{PrefillPerMS: 4, Step: time.Millisecond, StepPerRun: time.Millisecond / 2}},
		{Service: "cut", Places: two, Stage: emulator.StageOptions{ResultBytes: map[int]int64{0: 1000, 1: 1000}}},
		{Service: "plain", Places: []emulator.Place{{Zone: "z1", Count: 2}, {Zone: "z2", Count: 1}}, Slots: 8, Queue: 8, LoadHeader: true, Plain: emulator.ServiceOptions{Work: 8 * time.Millisecond, Spread: 0.5, AnswerBytes: 600}},
		{Service: "slow", Places: two, Slots: 50, Queue: 10, Plain: emulator.ServiceOptions{Work: 1200 * time.Millisecond, AnswerBytes: 100}},
		{Service: "tight", Places: two, Slots: 1, Queue: 0, Plain: emulator.ServiceOptions{Work: 20 * time.Millisecond}},
	}
}

func routeOf(prefix, kind, service string) emulator.Route {
	return emulator.Route{
		Name: "r" + strings.ReplaceAll(prefix, "/", ""), Host: host, PathPrefix: prefix, Kind: kind, Service: service,
		TimeoutMs: 4000, TargetLatencyMs: 1000, MaxAttempts: 3, EventGapMs: 1000,
	}
}

func configuration() emulator.Config {
	stages := []emulator.Stage{{Service: "cut", After: []int{}, ByteCount: 1000}, {Service: "cut", After: []int{0}, ByteCount: 1000}}
	resume, staged, open := routeOf("/resume/", emulator.Streaming, "talk"), routeOf("/staged/", emulator.Streaming, "talk"), routeOf("/open/", emulator.Idempotent, "plain")
	resume.StreamResumption, staged.Stages, open.AnonymousAccess = true, stages, true
	return emulator.Config{
		Version: 3,
		Routes: []emulator.Route{
			routeOf("/talk/", emulator.Streaming, "talk"), resume, staged, open,
			routeOf("/idem/", emulator.Idempotent, "plain"), routeOf("/once/", emulator.NonIdempotent, "plain"),
			routeOf("/slow/", emulator.Idempotent, "slow"), routeOf("/slowonce/", emulator.NonIdempotent, "slow"),
			routeOf("/tight/", emulator.NonIdempotent, "tight"),
		},
		Services: []emulator.ServiceConfig{
			{Name: "talk", HealthPath: "/health", InferenceEngine: &emulator.EngineConfig{Slots: 12, KVCacheTokens: 10000, Stride: 4, Models: []emulator.ModelName{{Name: "m"}}}},
			{Name: "cut", HealthPath: "/health", Pieces: &emulator.PieceConfig{Slots: 2, Queue: 4, Batch: 4, CallLatencyMs: 10, ItemLatencyMs: 2, HeadroomMb: 1, HandleTTLS: 4}},
			{Name: "plain", HealthPath: "/health"}, {Name: "slow", HealthPath: "/health"}, {Name: "tight", HealthPath: "/health"},
		},
		Limits:  emulator.Limits{MaxHeaderBytes: 16 << 10, MaxBodyBytes: 1 << 20, HeaderTimeoutMs: 2000, IdleTimeoutMs: 5000},
		Tenants: []emulator.Tenant{{Name: "t", APIKeys: []string{"k"}}, {Name: "u", APIKeys: []string{"k2", "k3"}}},
	}
}

// plan changes a deployment before it starts.
type plan struct {
	instances int
	change    func(*emulator.Deployment)
	store     func(*emulator.World) string // address of the store for instances; nil is the World's
	notReady  bool                         // don't wait until the instances are ready
}

// start starts a deployment; it ends with the test.
func start(t *testing.T, p plan) *rig {
	t.Helper()
	d := emulator.Deployment{
		Config: configuration(), Pools: pools(), Random: rand.New(rand.NewPCG(11, 13)),
		HeartbeatInterval: 300 * time.Millisecond, DrainTimeout: 3 * time.Second,
	}
	if p.change != nil {
		p.change(&d)
	}
	w, err := emulator.NewWorld(d)
	if err != nil {
		t.Fatal(err)
	}
	r := &rig{T: t, world: w, store: w.StoreAddress}
	t.Cleanup(r.close)
	if p.store != nil {
		r.store = p.store(w)
	}
	for range p.instances {
		r.add()
	}
	if !p.notReady {
		r.until(5*time.Second, "all instances are ready and know each other", func() bool {
			return !slices.ContainsFunc(r.instances, func(i *instance) bool { return !i.ready() || i.known() != len(r.instances) })
		})
	}
	return r
}

// add starts one more instance.
func (r *rig) add() *instance {
	r.Helper()
	number := len(r.instances) + 1
	n := &network{ip: fmt.Sprintf("127.0.0.%d", 10+number), listeners: make(map[string]net.Listener), dialed: make(map[string]int)}
	i := &instance{network: n, id: fmt.Sprintf("n%d", number), ended: make(chan error, 1)}
	i.address, i.readiness, i.addresses = n.open(r.T), n.open(r.T), n.open(r.T)
	cfg := config.Default()
	cfg.Instance = config.Instance{ID: i.id, Place: "z1", Region: "r"}
	cfg.Listen.Peer = n.open(r.T)
	cfg.Platform.Endpoints = []string{"http://" + r.store}
	cfg.Ingress.Listen, cfg.Ingress.Readiness, cfg.Ingress.Addresses = i.address, i.readiness, i.addresses
	cfg.Ingress.AddressTTL, cfg.Ingress.Grace = config.Of(500*time.Millisecond), config.Of(graceTime)
	cfg.Ingress.Drain, cfg.Ingress.Touch, cfg.Ingress.Apply = config.Of(drainTime), config.Of(touchTime), config.Of(applyTime)
	cfg.Ingress.RetryExtra = 1000
	if err := cfg.Validate(); err != nil {
		r.Fatal(err)
	}
	made, err := edge.New(cfg, edge.Adapter{
		Platform: platform.NewStore(platform.StoreOptions{Endpoint: r.store, Dial: n.dial}),
		Codec:    platform.Codec{}, Decoder: platform.Decoder{},
		Stages:   func(pool *exchange.Pool) relay.StageClient { return platform.NewStageClient(pool) },
		AnswerID: platform.AnswerID, ReadyPath: platform.ReadinessPath, AddressPath: platform.AddressPath,
	}, edge.Options{Seed: uint64(number), Dial: n.dial, Listen: func(_, a string) (net.Listener, error) { return n.listeners[a], nil }})
	if err != nil {
		r.Fatal(err)
	}
	var ctx context.Context
	ctx, i.stop = context.WithCancel(context.Background())
	go func() { i.ended <- made.Run(ctx) }() // ends by stop or kill, at close at the latest
	i.direct = r.client(emulator.ClientOptions{Addresses: []string{i.address}})
	r.instances = append(r.instances, i)
	return i
}

// client makes a client that is checked at the end.
func (r *rig) client(o emulator.ClientOptions) *emulator.Client {
	r.mu.Lock()
	defer r.mu.Unlock()
	o.Random, o.Dial = rand.New(rand.NewPCG(17, uint64(len(r.clients)))), emulator.Loopback{}.Dial
	c := emulator.NewClient(o)
	r.clients = append(r.clients, c)
	return c
}

// get asks the instance for a path and reads the answer into one of its own.
func (i *instance) get(address, path string, answer any) bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + address + path)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK && (answer == nil || json.NewDecoder(response.Body).Decode(answer) == nil)
}

// ready asks as the platform does.
func (i *instance) ready() bool { return i.get(i.readiness, platform.ReadinessPath, nil) }

// known is how many instances are named to clients.
func (i *instance) known() int {
	var answer struct{ Addresses []string }
	i.get(i.addresses, platform.AddressPath+"?zone=z1", &answer)
	return len(answer.Addresses)
}

// until waits for a condition, at most for the bound.
func (r *rig) until(bound time.Duration, what string, holds func() bool) {
	r.Helper()
	began := time.Now()
	for !holds() {
		if time.Since(began) > bound {
			r.Fatalf("after %v not yet: %s", bound, what)
		}
		time.Sleep(15 * time.Millisecond)
	}
}

func ask(kind, path string) emulator.Ask {
	return emulator.Ask{
		Method: "POST", Host: host, Path: path, Kind: kind, Key: "k", Body: []byte("body of " + path),
		Deadline: 3 * time.Second, Header: http.Header{},
	}
}

func talk(path string, header ...string) emulator.Ask {
	a := ask(emulator.Streaming, path)
	a.Resume = strings.HasPrefix(path, "/resume/")
	header = append([]string{"Model", "m", "Token-Counts", "40,20", "Prompt-Prefix", "aa:20,bb:20"}, header...)
	for i := 0; i < len(header); i += 2 {
		a.Header.Set(header[i], header[i+1])
	}
	return a
}

func staged() emulator.Ask { return talk("/staged/x", "Piece-Count", "2,1", "Piece-Key", "p") }

// mixed are asks of every sort.
func mixed() []emulator.Ask {
	open := ask(emulator.Idempotent, "/open/x?y=1")
	open.Key = ""
	return []emulator.Ask{
		talk("/talk/x"), talk("/resume/x"), staged(), staged(), open,
		ask(emulator.Idempotent, "/idem/x"), ask(emulator.NonIdempotent, "/once/x?a=b"),
	}
}

// load asks without pause from some clients until the returned function is called, which waits for them and
// returns what they got.
func (r *rig) load(workers int, o emulator.ClientOptions, asks ...emulator.Ask) func() []emulator.Attempt {
	if o.Addresses == nil {
		for _, i := range r.instances {
			o.Directory = append(o.Directory, i.addresses)
		}
	}
	ctx, end := context.WithTimeout(context.Background(), longestRun)
	stop := make(chan struct{})
	var working sync.WaitGroup
	var clients []*emulator.Client
	for n := range workers {
		c, source := r.client(o), rand.New(rand.NewPCG(19, uint64(n)))
		clients = append(clients, c)
		working.Go(func() {
			for ctx.Err() == nil {
				select {
				case <-stop:
					return
				case <-time.After(time.Duration(2+source.IntN(10)) * time.Millisecond):
				}
				c.Do(ctx, asks[source.IntN(len(asks))])
			}
		})
	}
	return func() []emulator.Attempt {
		close(stop)
		working.Wait()
		end()
		var all []emulator.Attempt
		for _, c := range clients {
			all = append(all, c.Attempts()...)
		}
		return all
	}
}

func served(a emulator.Attempt) bool { return a.Complete && a.Status == http.StatusOK }

// allServed demands that some attempts were made and all were served.
func (r *rig) allServed(what string, attempts []emulator.Attempt) {
	r.Helper()
	bad := slices.DeleteFunc(slices.Clone(attempts), served)
	if len(attempts) == 0 || len(bad) > 0 {
		r.Errorf("%s: %d of %d weren't served", what, len(bad), len(attempts))
	}
	for _, a := range bad[:min(len(bad), 5)] {
		r.Logf("%s after %v: status %d, %v, %q", a.Ask.Path, a.Ended.Sub(a.Sent), a.Status, a.Err, a.Body)
	}
}

// settle waits until the servers are at work no more.
func (r *rig) settle() {
	r.Helper()
	r.until(5*time.Second, "all runs have ended", func() bool {
		return !slices.ContainsFunc(r.world.Journal.Runs(), func(run emulator.Run) bool { return run.Ended.IsZero() })
	})
}

// check demands that no promise was broken. What a killed instance had in flight is lost with it.
func (r *rig) check() {
	r.Helper()
	r.checked = true
	r.settle()
	cut := make(map[string]bool)
	for _, i := range r.instances {
		if i.killed.IsZero() {
			continue
		}
		for _, a := range i.direct.Attempts() {
			cut[a.ID] = !a.Ended.Before(i.killed)
		}
	}
	found := r.world.Check(r.clients...)
	found = slices.DeleteFunc(found, func(v emulator.Violation) bool { return v.Name == emulator.NameLost && cut[v.Attempt] })
	if len(found) > 0 {
		r.Errorf("%d promises broken, the first: %v", len(found), found[:min(len(found), 5)])
	}
}

// close ends everything.
func (r *rig) close() {
	if !r.checked && !r.Failed() {
		r.Error("the test didn't check the promises")
	}
	for _, i := range r.instances {
		i.kill()
		select {
		case <-i.ended:
		case <-time.After(5 * time.Second):
			r.Errorf("instance %s didn't end", i.id)
		}
		i.stop()
	}
	for _, c := range r.clients {
		c.Close()
	}
	r.world.Close()
}
