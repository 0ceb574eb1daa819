package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"lynxhill.example/lynxhill/deploy/emulator"
)

const (
	beatInterval = 1200 * time.Millisecond
	downTime     = 1600 * time.Millisecond
	foreignTime  = 4 * time.Second
	recoverTime  = 12 * time.Second
)

// foreignConfig has one service, of requests that may be repeated.
func foreignConfig() emulator.Config {
	c := slowConfig()
	c.Services[0].Name, c.Routes[0].Service = "lookup", "lookup"
	return c
}

// foreign has another writer put entries of a service that isn't named over those of all
// servers, while the instances are killed and start again.
func foreign(ctx context.Context, o options) (v verdict, err error) {
	w, err := emulator.NewWorld(emulator.Deployment{Config: foreignConfig(), Random: rand.New(rand.NewPCG(1, 1)), HeartbeatInterval: beatInterval, StateStarts: true, Pools: []emulator.Pool{{
		Service: "lookup", Slots: 6, Queue: 24, LoadHeader: true, Places: []emulator.Place{{Zone: "z1", Count: 2}, {Zone: "z2", Count: 2}},
		Plain: emulator.ServiceOptions{Work: 15 * time.Millisecond, AnswerBytes: answerBytes},
	}}})
	if err != nil {
		return v, err
	}
	defer w.Close()
	defer o.record.sayRuns(w)
	beating, endBeats := context.WithCancel(ctx)
	defer endBeats()
	for n, s := range w.Servers("") {
		go beat(beating, w, s.ID, time.Duration(n)*beatInterval/4)
	}
	instances, err := newInstances(o.program, o.dir, []string{"z1", "z2", "z1", "z2"})
	if err != nil {
		return v, err
	}
	start := func(first bool) error {
		for _, i := range instances {
			i.store = w.StoreAddress
			if err := i.start(instances[:3], first); err != nil {
				return err
			}
		}
		return nil
	}
	defer func() {
		for _, i := range instances {
			i.stop()
		}
	}()
	if err = start(true); err != nil {
		return v, err
	}
	for _, i := range instances {
		if err = i.ready(ctx); err != nil {
			return v, err
		}
	}
	time.Sleep(5 * time.Second)
	before, asked := askFor(ctx, o, instances, "/read/", 5*time.Second)
	o.record.say("before the fault %d of %d requests were served", before, asked)
	o.record.say("fault: SIGKILL to all instances")
	for _, i := range instances {
		i.signal(syscall.SIGKILL)
		<-i.ended
	}
	if o.trouble {
		go overwrite(ctx, o, w)
	}
	time.Sleep(downTime)
	if err = start(false); err != nil {
		return v, err
	}
	for _, i := range instances {
		if err = i.ready(ctx); err != nil {
			return v, err
		}
	}
	o.record.say("all instances are ready again")
	time.Sleep(max(recoverTime, foreignTime+2*beatInterval))
	after, asked2 := askFor(ctx, o, instances, "/read/", 8*time.Second)
	o.record.say("more than %v after the instances were back %d of %d requests were served", recoverTime, after, asked2)
	v.checked = 1
	if before*4 >= asked && after*4 < asked2 {
		v.broken = 1
		o.record.say("BROKEN: less than a quarter is served")
	}
	return v, nil
}

// beat writes the entry of a server at each heartbeat.
func beat(ctx context.Context, w *emulator.World, id string, after time.Duration) {
	time.Sleep(after)
	for ctx.Err() == nil {
		_ = w.Register(id)
		time.Sleep(beatInterval)
	}
}

// overwrite is another writer: it writes over each entry as soon as it finds it to be that
// of a server.
func overwrite(ctx context.Context, o options, w *emulator.World) {
	o.record.say("disruption: another writer puts entries of a service that isn't named over those of the servers for %v", foreignTime)
	written := 0
	for began := time.Now(); time.Since(began) < foreignTime && ctx.Err() == nil; time.Sleep(time.Millisecond) {
		for _, s := range w.Servers("") {
			object, found := w.Store.Get(o.list, s.ID)
			var entry map[string]any
			if !found || json.Unmarshal(object.Specification, &entry) != nil || entry["service"] == "unnamed" {
				continue
			}
			entry["service"] = "unnamed"
			_, _ = w.Store.Put(o.list, s.ID, entry)
			written++
		}
	}
	o.record.say("the other writer has ended after %d entries; the servers write theirs at each heartbeat", written)
}

// askFor sends requests to all instances and returns how many were served.
func askFor(ctx context.Context, o options, instances []*instance, prefix string, d time.Duration) (served, asked int) {
	var clients []*emulator.Client
	for n, i := range instances {
		c := emulator.NewClient(emulator.ClientOptions{Addresses: []string{i.listen}, Region: "r", Zone: i.zone, Retries: 1, Random: rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), uint64(n))), Dial: emulator.Loopback{}.Dial})
		defer c.Close()
		clients = append(clients, c)
	}
	var asking sync.WaitGroup
	var mu sync.Mutex
	for began, n := time.Now(), 0; time.Since(began) < d && ctx.Err() == nil; n++ {
		path := fmt.Sprintf("%s%d", prefix, n)
		asking.Go(func() {
			a := clients[n%len(clients)].Do(ctx, emulator.Ask{Method: "GET", Host: host, Path: path, Kind: emulator.Idempotent, Deadline: time.Second})
			mu.Lock()
			defer mu.Unlock()
			asked++
			if a.Complete && a.Status == 200 {
				served++
			}
			o.record.say("%s %s at %s: status %d", a.ID, path, instances[n%len(clients)].id, a.Status)
		})
		time.Sleep(40 * time.Millisecond)
	}
	asking.Wait()
	return served, asked
}

// laterStart has another writer put one entry over that of each server of a service, with a
// service that isn't named and a start of its own. Later the operator adds a route to that
// service.
func laterStart(ctx context.Context, o options) (v verdict, err error) {
	config := foreignConfig()
	config.Services = append(config.Services, emulator.ServiceConfig{Name: "orders", HealthPath: "/health"})
	config.Routes[0].Name, config.Routes[0].PathPrefix, config.Routes[0].Service = "first", "/first/", "orders"
	var pools []emulator.Pool
	for _, service := range config.Services {
		pools = append(pools, emulator.Pool{
			Service: service.Name, Slots: 6, Queue: 24, LoadHeader: true, Places: []emulator.Place{{Zone: "z1", Count: 2}, {Zone: "z2", Count: 2}},
			Plain: emulator.ServiceOptions{Work: 15 * time.Millisecond, AnswerBytes: answerBytes},
		})
	}
	w, err := emulator.NewWorld(emulator.Deployment{Config: config, Random: rand.New(rand.NewPCG(1, 1)), HeartbeatInterval: beatInterval, StateStarts: true, Pools: pools})
	if err != nil {
		return v, err
	}
	defer w.Close()
	defer o.record.sayRuns(w)
	beating, endBeats := context.WithCancel(ctx)
	defer endBeats()
	for n, s := range w.Servers("") {
		go beat(beating, w, s.ID, time.Duration(n)*beatInterval/8)
	}
	instances, err := newInstances(o.program, o.dir, []string{"z1", "z2", "z1", "z2"})
	if err != nil {
		return v, err
	}
	for _, i := range instances {
		i.store = w.StoreAddress
		if err := i.start(instances[:3], true); err != nil {
			return v, err
		}
		defer i.stop()
	}
	for _, i := range instances {
		if err = i.ready(ctx); err != nil {
			return v, err
		}
	}
	time.Sleep(5 * time.Second)
	if o.trouble {
		o.record.say("disruption: another writer puts one entry of a service that isn't named over that of each server of lookup")
		for _, s := range w.Servers("lookup") {
			object, _ := w.Store.Get(o.list, s.ID)
			var entry map[string]any
			if err := json.Unmarshal(object.Specification, &entry); err != nil {
				return v, err
			}
			entry["service"], entry[o.start] = "unnamed", time.Now().UnixMilli()
			if _, err := w.Store.Put(o.list, s.ID, entry); err != nil {
				return v, err
			}
		}
	}
	time.Sleep(8 * time.Second) // the servers have written their entries again, and all are in touch
	if _, err := w.Change(func(c *emulator.Config) {
		later := c.Routes[0]
		later.Name, later.PathPrefix, later.Service = "later", "/later/", "lookup"
		c.Routes = append(c.Routes, later)
	}); err != nil {
		return v, err
	}
	o.record.say("planned work: the operator adds the route /later/ to lookup")
	time.Sleep(5 * time.Second)
	first, ofFirst := askFor(ctx, o, instances, "/first/", 5*time.Second)
	later, ofLater := askFor(ctx, o, instances, "/later/", 5*time.Second)
	o.record.say("served: %d of %d requests on the first route, %d of %d on the one that was added later", first, ofFirst, later, ofLater)
	v.checked = 1
	if ofLater >= 20 && 4*later*ofFirst < first*ofLater {
		v.broken = 1
		o.record.say("BROKEN: requests on the route that was added later are served less than a quarter as often")
	}
	return v, nil
}
