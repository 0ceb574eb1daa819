package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"lynxhill.example/lynxhill/deploy/emulator"
)

// kinds are the faults of the schedule; what stands twice comes twice as often.
var kinds = []string{
	"target-drain", "target-remove", "target-crash", "target-crash", "target-replace", "target-spoil", "target-slow", "entry-lost", "target-limit", "target-leaving",
	"store-down", "store-down", "store-slow", "store-lossy", "store-compact", "store-return", "config-route", "config-route",
}

// hurter hurts the world by a seeded schedule.
type hurter struct {
	world   *emulator.World
	places  []place
	load    *load
	random  *rand.Rand
	working sync.WaitGroup  // until all faults have ended
	leaving map[string]bool // servers by id
	routes  int
	mu      sync.Mutex // of what follows
	counts  map[string]int
	wrong   []string // what failed in the soak itself
}

// run hurts until ctx ends, then ends all faults.
func (h *hurter) run(ctx context.Context) {
	h.working.Go(func() { h.revoke(ctx) })
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
	service := []string{"talk", "cut", "plain", "slow"}[h.random.IntN(4)]
	draw, one := h.random.IntN(1<<20), h.random.IntN(2*len(h.places))
	until, subject := func(end func()) { h.working.Go(func() { pause(ctx, length); end() }) }, ""
	switch kind {
	case "store-compact":
		h.world.Store.Compact()
	case "store-return": // from a copy that is about as old as the fault is long
		copied := h.world.Store.Copy()
		h.working.Go(func() {
			pause(ctx, length)
			h.world.Drill(copied, 200*time.Millisecond, time.Second)
		})
	case "store-down", "store-slow", "store-lossy":
		subject = h.hurtStore(kind, one, draw, until)
	case "config-route":
		subject = h.changeRoutes()
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
	add := func(address string) { h.must(h.world.Add(s.Service, s.Zone, address)) }
	h.leaving[s.ID] = !slices.Contains([]string{"target-spoil", "target-slow", "entry-lost", "target-limit"}, kind)
	switch kind {
	case "target-spoil":
		s.SetFaults(emulator.Faults{BreakOff: 0.15, LoseAnswer: 0.15, Reset: draw%2 == 0, Extra: 0.05, NoLength: 0.1})
		until(well)
	case "target-slow":
		s.SetFaults(emulator.Faults{Slow: 4})
		until(well)
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

// hurtStore hurts the store for one instance or for all.
func (h *hurter) hurtStore(kind string, one, draw int, until func(func())) string {
	who, fault := "", map[string]emulator.StoreFault{
		"store-down":  {Down: []emulator.Down{emulator.Down503, emulator.Down429, emulator.DownReset, emulator.DownSilent}[draw%4]},
		"store-slow":  {Slow: 300 * time.Millisecond},
		"store-lossy": {LoseShare: 0.5, LoseLate: time.Duration(draw%2) * 300 * time.Millisecond},
	}[kind]
	if one < len(h.places) {
		who = h.places[one].ID + ":"
	}
	h.world.Store.SetFault(who, fault)
	until(func() { h.world.Store.SetFault(who, emulator.StoreFault{}) })
	return fmt.Sprintf("%q %+v", who, fault)
}

// changeRoutes adds a route and takes the oldest added one away.
func (h *hurter) changeRoutes() string {
	h.routes++
	prefix, oldest := fmt.Sprintf("/new%d/", h.routes), fmt.Sprintf("/new%d/", h.routes-3)
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
