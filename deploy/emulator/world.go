package emulator

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Place is a zone and the number of servers of a pool that stand there.
type Place struct {
	Zone  string
	Count int
}

// Pool is the servers of one service of the configuration. What the
// configuration tells of a service is taken from there: a service with
// inference_engine gets model servers, one with pieces stage servers.
type Pool struct {
	Service    string
	Places     []Place
	Slots      int      // of plain services
	Queue      int      // of plain services and model servers
	Versions   []string // of the software of the first servers, by turns; nil: all have firstVersion
	LoadHeader bool
	Plain      ServiceOptions
	Engine     EngineOptions
	Stage      StageOptions
}

// Deployment describes a World.
type Deployment struct {
	Config            Config
	Pools             []Pool
	Store             StoreOptions
	Network           Network       // nil is Loopback
	Random            *rand.Rand    // source of all chances; owned by the World from now
	HeartbeatInterval time.Duration // a silent server's entry goes after three; 0 is a second
	DrainTimeout      time.Duration // how long a leaving server serves on
	StateStarts       bool          // servers state when they started
}

// Server is one server of a World.
type Server struct {
	ID, Service, Zone, Address string
	Version                    string // of its software

	*Target
	handler  http.Handler
	close    func()
	http     *http.Server
	listener *tracked
	entry    serverEntry
	lapsed   bool // its entry was taken away
	restarts int  // starts under its id before this one
}

// serverEntry is a server in the store.
type serverEntry struct {
	Service         string        `json:"service"`
	Address         string        `json:"address"`
	Zone            string        `json:"zone"`
	Version         string        `json:"version"`
	Slots           int           `json:"slots"`
	State           string        `json:"state"`
	ColdRemainingMs int           `json:"cold_remaining_ms"`
	Stage           string        `json:"stage,omitempty"`
	Models          []ModelReport `json:"models,omitempty"`
	Sequence        int           `json:"sequence"`
	Born            int64         `json:"born,omitempty"` // in Unix milliseconds; 0 = not stated
}

// World is a deployment that runs.
type World struct {
	Store        *Store
	StoreAddress string
	Journal      *Journal
	Registry     *Registry

	plan     Deployment
	storeEnd func()
	serving  sync.WaitGroup

	changeMu sync.Mutex // held by Change, Evacuate and TakeBack, and by Drill while the store is down; locked before mu

	mu      sync.Mutex
	random  *rand.Rand
	configs []Config // all, the newest last
	servers map[string]*Server
	timers  []*time.Timer
	// evacuated are the zones that were evacuated; false = and given back.
	evacuated map[string]bool
	poison    Poison
}

// NewWorld starts a deployment: its store, with config/main and the entries of
// the servers, and the servers. The error is of the first listener that fails.
func NewWorld(plan Deployment) (*World, error) {
	if plan.Network == nil {
		plan.Network = Loopback{}
	}
	if plan.HeartbeatInterval <= 0 {
		plan.HeartbeatInterval = time.Second
	}
	w := &World{
		Journal: NewJournal(), Registry: NewRegistry(), plan: plan, random: plan.Random,
		configs: []Config{plan.Config}, servers: make(map[string]*Server), evacuated: make(map[string]bool),
	}
	plan.Store.Random = w.derive()
	w.Store = NewStore(plan.Store)
	if err := w.serveStore(); err != nil {
		return nil, err
	}
	if err := w.populate(); err != nil {
		w.Close()
		return nil, err
	}
	return w, nil
}

func (w *World) serveStore() error {
	l, err := w.plan.Network.Listen("")
	if err != nil {
		return err
	}
	server := &http.Server{Handler: w.Store}
	w.StoreAddress = l.Addr().String()
	w.storeEnd = func() { _ = server.Close(); _ = l.Close() } // either closes the listener
	w.serving.Go(func() { _ = server.Serve(l) })
	return nil
}

func (w *World) populate() error {
	if _, err := w.Store.Put("config", "main", w.plan.Config); err != nil {
		return err
	}
	for _, pool := range w.plan.Pools {
		started := 0
		for _, place := range pool.Places {
			for range place.Count {
				version := firstVersion
				if len(pool.Versions) > 0 {
					version = pool.Versions[started%len(pool.Versions)]
				}
				if _, err := w.AddVersion(pool.Service, place.Zone, "", version); err != nil {
					return err
				}
				started++
			}
		}
	}
	return nil
}

// firstVersion is the software's version of servers of which nothing else is said.
const firstVersion = "v1"

// derive returns a source of random numbers of its own.
func (w *World) derive() *rand.Rand {
	w.mu.Lock()
	defer w.mu.Unlock()
	return rand.New(rand.NewPCG(w.random.Uint64(), w.random.Uint64()))
}

// Config returns the newest configuration.
func (w *World) Config() Config {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.configs[len(w.configs)-1]
}

// Change writes a new configuration: a copy of the newest that change has
// changed, under a higher version. It returns the store's revision.
func (w *World) Change(change func(*Config)) (int64, error) {
	w.changeMu.Lock()
	defer w.changeMu.Unlock()
	w.mu.Lock()
	defer w.mu.Unlock()
	old := w.configs[len(w.configs)-1]
	text, err := json.Marshal(old)
	if err != nil {
		return 0, err
	}
	var config Config
	if err := json.Unmarshal(text, &config); err != nil {
		return 0, err
	}
	change(&config)
	config.Version = old.Version + 1 + w.random.IntN(3)
	w.configs = append(w.configs, config)
	return w.Store.Put("config", "main", config)
}

// Add is AddVersion with firstVersion.
func (w *World) Add(service, zone, address string) (*Server, error) {
	return w.AddVersion(service, zone, address, firstVersion)
}

// AddVersion starts a server of a service with a version of its software, at an address
// or at a free one (""), and registers it.
func (w *World) AddVersion(service, zone, address, version string) (*Server, error) {
	pool := slices.IndexFunc(w.plan.Pools, func(p Pool) bool { return p.Service == service })
	config := w.Config()
	c := slices.IndexFunc(config.Services, func(s ServiceConfig) bool { return s.Name == service })
	if pool < 0 || c < 0 {
		return nil, fmt.Errorf("service %s: no pool or not configured", service)
	}
	l, err := w.plan.Network.Listen(address)
	if err != nil {
		return nil, err
	}
	source := w.derive()
	s := &Server{ID: fmt.Sprintf("i-%08x", source.Uint32()), Service: service, Zone: zone, Version: version}
	return s, w.serve(s, l, w.plan.Pools[pool], config.Services[c], source)
}

// serve starts a server on a listener and registers it.
func (w *World) serve(s *Server, l net.Listener, pool Pool, c ServiceConfig, source *rand.Rand) error {
	s.Address = l.Addr().String()
	s.listener = &tracked{Listener: l, limit: c.ConnectionLimit, open: make(map[net.Conn]bool)}
	if w.plan.StateStarts {
		s.entry.Born = time.Now().UnixMilli()
	}
	w.build(s, pool, c, source)
	s.http = &http.Server{Handler: s.handler}
	w.serving.Go(func() { _ = s.http.Serve(s.listener) }) // ends by close
	w.mu.Lock()
	w.servers[s.ID] = s
	w.mu.Unlock()
	return w.Register(s.ID)
}

// build makes the handler that the service's configuration asks for.
func (w *World) build(s *Server, pool Pool, c ServiceConfig, source *rand.Rand) {
	o := TargetOptions{
		Instance: s.ID, Service: s.Service, Version: s.Version, Address: s.Address, HealthPath: c.HealthPath, Slots: pool.Slots, Queue: pool.Queue,
		LoadHeader: pool.LoadHeader, Random: source, Journal: w.Journal, OnCrash: func() { w.Crash(s.ID) },
		Born: s.entry.Born, Restarts: s.restarts, Poison: w.currentPoison, OnPoison: func(cause string) { w.crashUnder(s.ID, cause) },
	}
	switch {
	case c.InferenceEngine != nil:
		o.Slots = c.InferenceEngine.Slots
		model := pool.Engine
		model.MemoryTokens, model.Stride = c.InferenceEngine.KVCacheTokens, c.InferenceEngine.Stride
		model.Model, model.Registry, model.Stages = c.InferenceEngine.Models[0].Name, w.Registry, w.stages
		engine := NewEngine(o, model)
		s.Target, s.handler, s.close = engine.Target, engine, engine.Close
		s.entry.Stage, s.entry.Models = "combined", engine.models()
	case c.Pieces != nil:
		o.Slots, o.Queue = c.Pieces.Slots, c.Pieces.Queue
		stage := NewStageServer(o, stageOptions(pool.Stage, *c.Pieces, w.Registry))
		s.Target, s.handler, s.close = stage.Target, stage, stage.Close
	default:
		plain := NewService(o, pool.Plain)
		s.Target, s.handler, s.close = plain.Target, plain, plain.Close
	}
	s.entry.Service, s.entry.Address, s.entry.Zone = s.Service, s.Address, s.Zone
	s.entry.Version, s.entry.Slots, s.entry.State, s.entry.Sequence = s.Version, o.Slots, "ready", 1
}

func stageOptions(o StageOptions, c PieceConfig, registry *Registry) StageOptions {
	ms := func(value float64) time.Duration { return time.Duration(value * float64(time.Millisecond)) }
	o.Batch, o.CallLatency, o.ItemLatency = c.Batch, ms(c.CallLatencyMs), ms(c.ItemLatencyMs)
	o.Room, o.HandleTTL, o.LinkMbps = int64(c.HeadroomMb*1e6), ms(c.HandleTTLS*1000), c.LinkMbps
	o.Registry = registry
	return o
}

// stages are those of a request's route, by the newest configuration that has it.
func (w *World) stages(host, path string) []Stage {
	w.mu.Lock()
	defer w.mu.Unlock()
	return stagesIn(w.configs, host, path)
}

// Servers returns the running servers of a service, all for "", by id.
func (w *World) Servers(service string) []*Server {
	w.mu.Lock()
	defer w.mu.Unlock()
	var servers []*Server
	for _, s := range w.servers {
		if service == "" || s.Service == service {
			servers = append(servers, s)
		}
	}
	slices.SortFunc(servers, func(a, b *Server) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return servers
}

// Register writes a server's entry, also after Expire.
func (w *World) Register(id string) error {
	return w.announce(id, func(*serverEntry) {})
}

// Expire removes the entry of a server that goes on, as after lost beats.
func (w *World) Expire(id string) {
	w.mu.Lock()
	if s := w.servers[id]; s != nil {
		s.lapsed = true
	}
	w.mu.Unlock()
	w.Store.Delete("servers", id)
}

func (w *World) announce(id string, change func(*serverEntry)) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.servers[id]
	if s == nil {
		return fmt.Errorf("server %s doesn't run", id)
	}
	change(&s.entry)
	s.lapsed = false
	s.entry.Sequence++
	_, err := w.Store.Put("servers", id, s.entry)
	return err
}

// Drain reports a server as draining; it leaves after DrainTimeout.
func (w *World) Drain(id string) error {
	err := w.announce(id, func(e *serverEntry) { e.State = "draining" })
	w.leave(id)
	return err
}

// Remove takes a server's entry away; it leaves after DrainTimeout.
func (w *World) Remove(id string) {
	w.Expire(id)
	w.leave(id)
}

func (w *World) leave(id string) {
	w.mu.Lock()
	s := w.servers[id]
	w.mu.Unlock()
	if s != nil {
		s.SetDraining(true)
		w.after(w.plan.DrainTimeout, func() { w.Expire(id); w.end(id) })
	}
}

// Crash ends a server at once; its entry goes after three heartbeat intervals.
func (w *World) Crash(id string) {
	w.end(id)
	w.after(3*w.plan.HeartbeatInterval, func() { w.Expire(id) })
}

// Replace crashes a server and starts one of a service at its address.
func (w *World) Replace(id, service string) (*Server, error) {
	w.mu.Lock()
	s := w.servers[id]
	w.mu.Unlock()
	if s == nil {
		return nil, fmt.Errorf("server %s doesn't run", id)
	}
	w.Crash(id)
	return w.AddVersion(service, s.Zone, s.Address, s.Version)
}

// after runs do later, unless the World is closed.
func (w *World) after(d time.Duration, do func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timers = append(w.timers, time.AfterFunc(d, do))
}

// end closes a server and its connections.
func (w *World) end(id string) {
	w.mu.Lock()
	s := w.servers[id]
	delete(w.servers, id)
	w.mu.Unlock()
	if s == nil {
		return
	}
	s.close()
	_ = s.http.Close()     // what it can't close is closed below
	_ = s.listener.Close() // also if Serve hadn't begun
	s.listener.closeAll()
}

// Close ends all servers and the store.
func (w *World) Close() {
	for _, s := range w.Servers("") {
		w.end(s.ID)
	}
	w.mu.Lock()
	for _, timer := range w.timers {
		timer.Stop()
	}
	w.mu.Unlock()
	w.storeEnd()
	w.serving.Wait()
}

// Check returns the promises that were broken to clients.
func (w *World) Check(clients ...*Client) []Violation {
	var attempts []Attempt
	for _, c := range clients {
		attempts = append(attempts, c.Attempts()...)
	}
	w.mu.Lock()
	configs := slices.Clone(w.configs)
	w.mu.Unlock()
	return Check(attempts, w.Journal, configs)
}
