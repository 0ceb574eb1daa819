package main

import (
	"context"
	"embed"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"lynxhill.example/lynxhill/deploy/emulator"
)

// worldFiles hold a world each.
//
//go:embed worlds/*.json
var worldFiles embed.FS

// worldFile is a deployment with its load: the first configuration, and the pools of
// servers in the emulator's own terms.
type worldFile struct {
	About      string // one line
	Zones      int    // of the instances and clients: z1, z2, ...
	Mix        string // prefixes of the routes that are asked for; what stands twice comes twice as often
	Clump      int    // requests that come at the same moment
	PieceCount string // of requests on routes with stages
	// Repeats is the bound on repeats that the instances are given, and held to.
	Repeats emulator.RepeatBound
	emulator.Deployment
}

// readWorld reads a world by its name.
func readWorld(name string) (f worldFile, err error) {
	text, err := worldFiles.ReadFile("worlds/" + name + ".json")
	if err == nil {
		err = json.Unmarshal(text, &f)
	}
	return f, err
}

// services returns the names of all services.
func (f worldFile) services() (names []string) {
	for _, s := range f.Config.Services {
		names = append(names, s.Name)
	}
	return names
}

// openStores gives each instance its own way to the store, so that faults can be those of one.
func openStores(w *emulator.World, instances []instanceSpec) error {
	for n := range instances {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		instances[n].Store = l.Addr().String()
		front := http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
			r.RemoteAddr = instances[n].ID + ":" + r.RemoteAddr
			w.Store.ServeHTTP(rw, r)
		})
		go func() { _ = (&http.Server{Handler: front}).Serve(l) }() // ends with the process
	}
	return nil
}

// serveWorld runs the stand-ins and the load, and writes the result. It stays until a signal, so that instances can stop
// in an orderly way. A signal before the result interrupts the load.
func serveWorld(o options) error {
	whole, end := context.WithTimeout(context.Background(), o.duration+2*time.Minute)
	defer end()
	ctx, stop := signal.NotifyContext(whole, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	source := func(n uint64) *rand.Rand { return rand.New(rand.NewPCG(o.seed, n)) }
	wire := emulator.NewWire(emulator.Loopback{}, source(12))
	file, err := readWorld(o.world)
	if err != nil {
		return err
	}
	file.Random, file.Network = source(1), wire
	w, err := emulator.NewWorld(file.Deployment)
	if err != nil {
		return err
	}
	defer w.Close()
	instances := chooseInstances(o.instances, file.Zones)
	ls, linksErr := openLinks(instances, source(5))
	err = errors.Join(linksErr, openStores(w, instances))
	if err == nil {
		err = ls.openStoreLinks(source(6))
	}
	text, _ := json.Marshal(instances) // strings only
	if err := errors.Join(err, writeWhole(o.dir, "plan.json", text)); err != nil {
		return err
	}
	for begun := false; !begun; {
		_, err := os.Stat(filepath.Join(o.dir, "go"))
		if begun = err == nil; !pause(ctx, 10*time.Millisecond) {
			return writeWhole(o.dir, "result.txt", []byte("interrupted before the load began\n"))
		}
	}
	l := newLoad(instances, file, o.rate, source(2), source(8))
	p := newProbes(instances, source(4))
	bad := newPoison(instances, source(9))
	h := &hurter{repeats: file.Repeats, poison: bad, world: w, services: file.services(), zones: file.Zones, instances: instances, load: l, probes: p, links: ls, random: source(3), versions: source(7), starts: source(10), wire: wire, wires: source(11), leaving: make(map[string]bool), counts: make(map[string]int), onlySever: o.severed, identified: o.identified}
	if o.severed {
		p.interval = severedProbeInterval
	}
	cut := soak(ctx, o, l, h)
	ended, forget := signal.NotifyContext(whole, syscall.SIGINT, syscall.SIGTERM)
	defer forget()
	if !settled(w, 10*time.Second) {
		h.wrong = append(h.wrong, "wrong: servers are still at work 10 s after the load")
	}
	if err := writeWhole(o.dir, "result.txt", []byte(judge(o, instances, w, l, h, cut).String())); err != nil {
		return err
	}
	<-ended.Done()
	return nil
}

// soak runs load and faults. It returns when the load was interrupted, else zero.
func soak(ctx context.Context, o options, l *load, h *hurter) (cut time.Time) {
	loading, end := context.WithTimeout(ctx, o.duration)
	defer end()
	hurting, endFaults := context.WithTimeout(loading, o.duration-3*time.Second)
	defer endFaults()
	var working sync.WaitGroup
	working.Go(func() { h.run(hurting) })
	working.Go(func() { h.stalls.watch(loading, h.note) })
	working.Go(func() { l.run(loading) })
	working.Go(func() { h.probes.run(hurting) })
	<-loading.Done()
	if errors.Is(loading.Err(), context.Canceled) {
		cut = time.Now()
	}
	working.Wait() // also for the asks on their way
	return cut
}

// settled waits until the servers are at work no more.
func settled(w *emulator.World, limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if !slices.ContainsFunc(w.Journal.Runs(), func(run emulator.Run) bool { return run.Ended.IsZero() }) {
			return true
		}
	}
	return false
}
