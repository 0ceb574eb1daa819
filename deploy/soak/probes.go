package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"lynxhill.example/lynxhill/deploy/emulator"
)

const (
	probeInterval        = 150 * time.Millisecond
	severedProbeInterval = 20 * time.Millisecond
	probeTimeout         = time.Second
)

// addedRoute is a route that the schedule added.
type addedRoute struct {
	prefix         string
	added, removed time.Time // when the store acknowledged it; zero = not yet
}

// probe is a request for an addedRoute at one instance.
type probe struct {
	instance    string // id of the instance
	prefix      string
	sent, ended time.Time
	status      int
}

// storeFault is the period of a store fault.
type storeFault struct {
	instance string    // id of the instance, "" = all
	from, to time.Time // to is zero while the fault lasts
}

// probes sends requests for added and removed routes to single instances.
type probes struct {
	instances []instanceSpec
	client    map[string]*emulator.Client // by id of the instance
	random    *rand.Rand
	// interval is the time between two probes.
	interval time.Duration

	mu          sync.Mutex // guards the fields below
	routes      []addedRoute
	finished    []probe
	storeFaults []storeFault
}

func newProbes(instances []instanceSpec, source *rand.Rand) *probes {
	p := &probes{instances: instances, client: make(map[string]*emulator.Client), random: source, interval: probeInterval}
	for n, i := range instances {
		p.client[i.ID] = emulator.NewClient(emulator.ClientOptions{
			Addresses: []string{i.Listen}, Random: rand.New(rand.NewPCG(source.Uint64(), uint64(n))), Dial: emulator.Loopback{}.Dial,
		})
	}
	return p
}

func (p *probes) clients() (all []*emulator.Client) {
	for _, c := range p.client {
		all = append(all, c)
	}
	return all
}

// added records that the store acknowledged the addition of a route.
func (p *probes) added(prefix string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.routes = append(p.routes, addedRoute{prefix: prefix, added: time.Now()})
}

// removed records that the store acknowledged the removal of a route.
func (p *probes) removed(prefix string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for n := range p.routes {
		if p.routes[n].prefix == prefix && p.routes[n].removed.IsZero() {
			p.routes[n].removed = time.Now()
		}
	}
}

// beginStoreFault records a store fault for the instance, or for all (""), that
// lasts until end is called.
func (p *probes) beginStoreFault(instance string) (end func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.storeFaults)
	p.storeFaults = append(p.storeFaults, storeFault{instance: instance, from: time.Now()})
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.storeFaults[n].to = time.Now()
	}
}

// run sends probes until ctx ends, then waits for their answers.
func (p *probes) run(ctx context.Context) {
	var working sync.WaitGroup
	defer working.Wait()
	for n := 0; pause(ctx, p.interval); n++ {
		p.mu.Lock()
		newest := p.routes[max(len(p.routes)-6, 0):]
		at := p.instances[p.random.IntN(len(p.instances))].ID
		if len(newest) == 0 {
			p.mu.Unlock()
			continue
		}
		prefix := newest[p.random.IntN(len(newest))].prefix
		p.mu.Unlock()
		working.Go(func() { p.ask(at, prefix, n) })
	}
}

func (p *probes) ask(at, prefix string, n int) {
	a := p.client[at].Do(context.Background(), emulator.Ask{
		Method: "POST", Host: host, Path: fmt.Sprintf("%sprobe?n=%d", prefix, n), Kind: emulator.Idempotent, Key: "k",
		Body: []byte("probe"), Deadline: probeTimeout, Header: http.Header{},
	})
	p.mu.Lock()
	defer p.mu.Unlock()
	p.finished = append(p.finished, probe{at, prefix, a.Sent, a.Ended, a.Status})
}

// instancesOf returns the id of the instance that a probe's attempt was sent to,
// or nil if no probe sent the attempt.
func (p *probes) instancesOf(a emulator.Attempt) (ids []string) {
	for id, c := range p.client {
		if slices.ContainsFunc(c.Attempts(), func(sent emulator.Attempt) bool { return sent.ID == a.ID }) {
			ids = append(ids, id)
		}
	}
	return ids
}

// judge returns the probes that were answered by an outdated configuration, and
// the number of probes that counted.
func (p *probes) judge(signals map[string][]time.Time) (broken []string, counted int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, one := range p.finished {
		if !p.counts(one, signals[one.instance]) {
			continue
		}
		counted++
		for _, r := range p.routes {
			if r.prefix != one.prefix {
				continue
			}
			switch {
			case one.status == http.StatusNotFound && one.sent.After(r.added.Add(applyTime)) && (r.removed.IsZero() || one.ended.Before(r.removed)):
				broken = append(broken, fmt.Sprintf("broken: config probe %s at %s answered 404, %v after the route was added", one.prefix, one.instance, one.sent.Sub(r.added).Round(time.Millisecond)))
			case one.status == http.StatusOK && !r.removed.IsZero() && one.sent.After(r.removed.Add(applyTime)):
				broken = append(broken, fmt.Sprintf("broken: config probe %s at %s was served, %v after the route was removed", one.prefix, one.instance, one.sent.Sub(r.removed).Round(time.Millisecond)))
			}
		}
	}
	return broken, counted
}

// counts reports whether the instance was not signalled or started and had no
// store fault during the probe and for touchTime before it.
func (p *probes) counts(one probe, signals []time.Time) bool {
	from := one.sent.Add(-touchTime)
	signalled := slices.ContainsFunc(signals, func(at time.Time) bool { return at.After(from) && at.Before(one.ended) })
	faulty := slices.ContainsFunc(p.storeFaults, func(s storeFault) bool {
		return (s.instance == "" || s.instance == one.instance) && s.from.Before(one.ended) && (s.to.IsZero() || s.to.After(from))
	})
	return !signalled && !faulty
}
