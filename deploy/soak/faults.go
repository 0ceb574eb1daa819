package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"lynxhill.example/lynxhill/deploy/emulator"
)

// kinds are the faults of the schedule; what stands twice comes twice as often.
var kinds = []string{
	"target-drain", "target-remove", "target-crash", "target-crash", "target-replace", "target-spoil", "target-slow", "entry-lost", "target-limit", "target-leaving",
	"target-grey", "target-hang", "target-ill", "target-flap", "target-cold", "service-release", "zone-evacuate", "burst",
	"store-down", "store-down", "store-slow", "store-lossy", "store-compact", "store-return",
	"config-route", "config-route", "config-storm", "config-timeout", "config-many",
}

const (
	againTime       = time.Second     // from the store's return until lost data is written again
	againTimeLong   = 6 * time.Second // the same, in half of the returns
	stormChanges    = 8
	stormInterval   = 100 * time.Millisecond
	releaseInterval = 500 * time.Millisecond // from a server's start until the one it replaces drains
	manyRoutes      = 150
	evacuateTime    = 8 * time.Second // within which an evacuated zone must get no new requests
	coldTime        = 8 * time.Second
	coldHeardTime   = 5 * time.Second // within which the limit for a cold target must apply
	coldBound       = 17              // requests per second allowed at a cold target
	flapInterval    = 300 * time.Millisecond
	burstFactor     = 3
)

// hurter hurts the world by a seeded schedule.
type hurter struct {
	world      *emulator.World
	services   []string // names
	zones      int      // z1, z2, ...
	instances  []instanceSpec
	load       *load
	probes     *probes
	links      *links
	random     *rand.Rand
	working    sync.WaitGroup  // until all faults have ended
	leaving    map[string]bool // servers by id
	versions   *rand.Rand      // draws of changeVersions
	starts     *rand.Rand      // draws of hurtStarts
	wire       *emulator.Wire  // the connections to servers
	wires      *rand.Rand      // draws of hurtWires
	poison     *poison
	repeats    emulator.RepeatBound
	stalls     stalls
	identified bool // late and foreign answers always state their ids
	// onlySever leaves out all faults but severConnections.
	onlySever bool

	mu        sync.Mutex // of what follows
	routes    int
	counts    map[string]int
	wrong     []string        // what failed in the soak itself
	evacuated map[string]bool // zones
}

// run hurts until ctx ends, then ends all faults.
func (h *hurter) run(ctx context.Context) {
	if h.onlySever {
		h.severConnections(ctx)
		return
	}
	h.working.Go(func() { h.revoke(ctx) })
	h.working.Go(func() { h.hurtLinks(ctx) })
	h.working.Go(func() { h.severConnections(ctx) })
	h.working.Go(func() { h.changeVersions(ctx) })
	h.working.Go(func() { h.hurtStarts(ctx) })
	h.working.Go(func() { h.hurtWires(ctx) })
	h.working.Go(func() { h.poison.run(ctx, h.world, h.note) })
	for pause(ctx, time.Duration(400+h.random.IntN(1000))*time.Millisecond) {
		h.once(ctx)
	}
	h.working.Wait()
}

// pause waits; it is false if ctx ended.
func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// once does one fault. All draws are made here, so that the schedule is the seed's.
func (h *hurter) once(ctx context.Context) {
	kind, length := kinds[h.random.IntN(len(kinds))], time.Duration(500+h.random.IntN(2000))*time.Millisecond
	service := h.services[h.random.IntN(len(h.services))]
	draw, one := h.random.IntN(1<<20), h.random.IntN(2*len(h.instances))
	until, subject := func(end func()) { h.working.Go(func() { pause(ctx, length); end() }) }, ""
	switch kind {
	case "store-compact":
		h.world.Store.Compact()
	case "store-return": // from a copy that is about as old as the fault is long
		copied, again := h.world.Store.Copy(), []time.Duration{againTime, againTimeLong}[draw%2]
		h.working.Go(func() {
			pause(ctx, length)
			defer h.probes.beginStoreFault("")()
			h.world.Drill(copied, 200*time.Millisecond, again)
		})
	case "store-down", "store-slow", "store-lossy":
		subject = h.hurtStore(kind, one, draw, until)
	case "config-route":
		subject = h.changeRoutes()
	case "config-storm":
		h.working.Go(func() {
			for n := 0; n < stormChanges && pause(ctx, stormInterval); n++ {
				h.changeRoutes()
			}
		})
	case "config-timeout":
		h.must(h.world.Change(func(c *emulator.Config) { c.Route(host, "/slow/").TimeoutMs = 3000 + 100*(draw%20) }))
	case "config-many":
		h.must(h.world.Change(addManyRoutes))
		until(func() { h.must(h.world.Change(removeManyRoutes)) })
	case "zone-evacuate":
		subject = h.evacuate(ctx, fmt.Sprintf("z%d", 1+draw%h.zones))
	case "service-release":
		subject = service
		h.releaseService(ctx, service)
	case "burst":
		h.load.rateFactor.Store(burstFactor)
		until(func() { h.load.rateFactor.Store(1) })
	default:
		servers := slices.DeleteFunc(h.world.Servers(service), func(s *emulator.Server) bool { return h.leaving[s.ID] })
		if len(servers) < 2 {
			return // none to spare
		}
		subject = servers[draw%len(servers)].ID
		h.hurtTarget(kind, servers[draw%len(servers)], draw, until)
	}
	h.note(kind, fmt.Sprintf("%s for %v", subject, length))
}

// note counts a fault and says when it was.
func (h *hurter) note(kind, subject string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.counts[kind]++
	fmt.Printf("%s %5.1fs %s %s\n", time.Now().UTC().Format("15:04:05.000"), time.Since(h.load.zero).Seconds(), kind, subject)
}

func (h *hurter) hurtTarget(kind string, s *emulator.Server, draw int, until func(func())) {
	well := func() { s.SetFaults(emulator.Faults{}) }
	add := func(address string) { h.must(h.world.AddVersion(s.Service, s.Zone, address, s.Version)) }
	h.leaving[s.ID] = !slices.Contains([]string{"target-spoil", "target-slow", "entry-lost", "target-limit", "target-grey", "target-hang", "target-ill", "target-flap", "target-cold"}, kind)
	switch kind {
	case "target-spoil":
		s.SetFaults(emulator.Faults{BreakOff: 0.15, LoseAnswer: 0.15, Reset: draw%2 == 0, Extra: 0.05, NoLength: 0.1, BreakOffUnframed: 0.15})
		until(well)
	case "target-slow":
		s.SetFaults(emulator.Faults{Slow: 4})
		until(well)
	case "target-grey": // health checks pass
		s.SetFaults(emulator.Faults{Fail: 0.3, Shed: 0.3})
		until(well)
	case "target-hang":
		s.SetFaults(emulator.Faults{Grey: 0.3})
		until(well)
	case "target-ill": // health checks fail, requests are served
		s.SetFailing(true)
		until(func() { s.SetFailing(false) })
	case "target-flap":
		ended := make(chan struct{})
		until(func() { close(ended) })
		h.working.Go(func() { flap(s, ended) })
	case "target-cold":
		if s.Service == "talk" {
			h.must(nil, h.world.Cool(s.ID, coldTime, coldHeardTime, coldBound))
		}
	case "entry-lost": // as after lost heartbeats; the server goes on
		h.world.Expire(s.ID)
		until(func() { _ = h.world.Register(s.ID) }) // it may have been ended meanwhile
	case "target-limit": // it names what it takes in its answers
		s.AskLimit(float64(1+draw%5), touchTime)
		h.working.Go(func() { time.Sleep(touchTime + 5*time.Second); s.EndLimit() })
	case "target-leaving": // it says so in its answers, and its entry does not for a while
		s.AskLeaving(leaveTime)
		until(func() { _ = h.world.Drain(s.ID) })
		add("")
	case "target-drain":
		h.must(nil, h.world.Drain(s.ID))
		add("")
	case "target-remove":
		h.world.Remove(s.ID)
		add("")
	case "target-crash": // another one follows at the same address, after a while
		h.world.Crash(s.ID)
		until(func() { add(s.Address) })
	case "target-replace":
		h.must(h.world.Replace(s.ID, s.Service))
	}
}

// flap makes a server alternate between losing all answers and working normally until ended is closed.
func flap(s *emulator.Server, ended <-chan struct{}) {
	defer s.SetFaults(emulator.Faults{})
	for n := 0; ; n++ {
		s.SetFaults(emulator.Faults{LoseAnswer: float64((n + 1) % 2), Reset: true})
		select {
		case <-ended:
			return
		case <-time.After(flapInterval):
		}
	}
}

// evacuate evacuates a zone for a while, unless one is evacuated already.
func (h *hurter) evacuate(ctx context.Context, zone string) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.evacuated) > 0 {
		return "none"
	}
	h.evacuated = map[string]bool{zone: true}
	h.working.Go(func() {
		h.must(nil, h.world.Evacuate(zone, evacuateTime))
		pause(ctx, evacuateTime+2*time.Second)
		h.world.TakeBack(zone)
		h.mu.Lock()
		defer h.mu.Unlock()
		h.evacuated = nil
	})
	return zone
}

// releaseService replaces the servers of a service one after the other.
func (h *hurter) releaseService(ctx context.Context, service string) {
	var old []*emulator.Server
	for _, s := range h.world.Servers(service) {
		if !h.leaving[s.ID] {
			h.leaving[s.ID] = true
			old = append(old, s)
		}
	}
	h.working.Go(func() {
		for _, s := range old {
			h.must(h.world.AddVersion(s.Service, s.Zone, "", s.Version))
			pause(ctx, releaseInterval)
			_ = h.world.Drain(s.ID) // it may have been ended meanwhile
		}
	})
}

// manyPrefix starts the paths of the routes that addManyRoutes adds.
const manyPrefix = "/many"

// addManyRoutes adds manyRoutes routes, replacing those of an earlier call.
func addManyRoutes(c *emulator.Config) {
	removeManyRoutes(c)
	for n := range manyRoutes {
		route := *c.Route(host, "/idem/")
		route.PathPrefix = fmt.Sprintf("%s%d/", manyPrefix, n)
		route.Name = "r" + route.PathPrefix
		c.Routes = append(c.Routes, route)
	}
}

func removeManyRoutes(c *emulator.Config) {
	c.Routes = slices.DeleteFunc(c.Routes, func(r emulator.Route) bool { return strings.HasPrefix(r.PathPrefix, manyPrefix) })
}

// hurtStore hurts the store for one instance or for all.
func (h *hurter) hurtStore(kind string, one, draw int, until func(func())) string {
	who, fault := "", map[string]emulator.StoreFault{
		"store-down":  {Down: []emulator.Down{emulator.Down503, emulator.Down429, emulator.DownReset, emulator.DownSilent}[draw%4]},
		"store-slow":  {Slow: 300 * time.Millisecond},
		"store-lossy": {LoseShare: 0.5, LoseLate: time.Duration(draw%2) * 300 * time.Millisecond},
	}[kind]
	if one < len(h.instances) {
		who = h.instances[one].ID + ":"
	}
	endFault := h.probes.beginStoreFault(strings.TrimSuffix(who, ":"))
	h.world.Store.SetFault(who, fault)
	until(func() {
		h.world.Store.SetFault(who, emulator.StoreFault{})
		endFault()
	})
	return fmt.Sprintf("%q %+v", who, fault)
}

// changeRoutes adds a route and takes the oldest added one away.
func (h *hurter) changeRoutes() string {
	h.mu.Lock()
	h.routes++
	prefix, oldest := fmt.Sprintf("/new%d/", h.routes), fmt.Sprintf("/new%d/", h.routes-3)
	h.mu.Unlock()
	defer h.probes.added(prefix)
	defer h.probes.removed(oldest)
	h.must(h.world.Change(func(c *emulator.Config) {
		route := *c.Route(host, "/idem/")
		route.Name, route.PathPrefix = "r"+prefix, prefix
		c.Routes = slices.DeleteFunc(append(c.Routes, route), func(r emulator.Route) bool { return r.PathPrefix == oldest })
	}))
	return prefix
}

// revoke gives the second tenant a further key, lets clients change over to it once it is in force, takes the old one
// away when nobody uses it, and begins anew.
func (h *hurter) revoke(ctx context.Context) {
	for n := 1; ; n++ {
		old, key := fmt.Sprintf("u%d", n-1), fmt.Sprintf("u%d", n)
		h.must(h.world.Change(func(c *emulator.Config) { c.Tenants[1].APIKeys = []string{old, key} }))
		if !pause(ctx, applyTime+touchTime) {
			return
		}
		if h.load.useKeys(key, ""); !pause(ctx, askTime+time.Second/2) {
			return
		}
		h.must(h.world.Change(func(c *emulator.Config) { c.Tenants[1].APIKeys = []string{key} }))
		h.load.useKeys(key, old)
		h.note("key-revoke", old)
	}
}

// must notes what failed in the soak itself.
func (h *hurter) must(_ any, err error) {
	if err != nil {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.wrong = append(h.wrong, "wrong: "+err.Error())
	}
}
