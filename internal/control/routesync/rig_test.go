package routesync

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/coder/quartz"
	"github.com/go-kit/log"

	"lynxhill.example/lynxhill/internal/clock"
	"lynxhill.example/lynxhill/internal/event"
	"lynxhill.example/lynxhill/internal/fleet"
	"lynxhill.example/lynxhill/internal/gossip"
	"lynxhill.example/lynxhill/internal/route"
	"lynxhill.example/lynxhill/internal/store"
	"lynxhill.example/lynxhill/internal/store/memstore"
)

// coldTime is the cold time of the simulated service's targets.
const coldTime = 3 * time.Second

// testDecoder decodes tables of the form VERSION, and targets of the form
// [-]ADDRESS[@ZONE][#SEQUENCE][*DURATION][^START][/SERVICE]: "-" marks a draining target,
// SEQUENCE is the sequence number of the write, DURATION the time for which the target
// stays cold, and START its start. "bad" is neither a valid table nor a valid target.
type testDecoder struct{}

func (testDecoder) Table(value []byte) (*route.Table, error) {
	version, err := strconv.ParseInt(string(value), 10, 64)
	services := map[string]*route.Service{"s": {Name: "s", ColdTime: coldTime}}
	return (&route.Table{Version: version, Services: services}).Build(), err
}

func (testDecoder) Target(id string, value []byte) (fleet.Target, error) {
	if string(value) == "bad" {
		return fleet.Target{}, errors.New("bad")
	}
	text, draining := strings.CutPrefix(string(value), "-")
	text, service, _ := strings.Cut(text, "/")
	text, start, _ := strings.Cut(text, "^")
	started, _ := strconv.ParseInt(start, 10, 64)
	text, cold, _ := strings.Cut(text, "*")
	text, number, _ := strings.Cut(text, "#")
	address, zone, _ := strings.Cut(text, "@")
	left, _ := time.ParseDuration(cold)
	sequence, _ := strconv.ParseUint(number, 10, 64)
	return fleet.Target{ID: id, Service: cmp.Or(service, "s"), Address: address, Zone: zone, Draining: draining, ColdFor: left, Sequence: sequence, Started: started}, nil
}

// link is the connection of one instance to the store, with injected faults.
type link struct {
	*memstore.Store
	mu           sync.Mutex                                         // guards the fields below
	up           context.Context                                    // ended: the link is cut
	cut          context.CancelFunc                                 // cuts the link
	calls        int                                                // lists and watches
	shortWatches int                                                // watches with minWatchWait
	dropChanges  bool                                               // watches that start return no changes
	silentPrefix string                                             // prefix whose watches, except short ones, get no answer; "" = none
	get          func(context.Context) error                        // replaces Get
	list         func() ([]store.Object, uint64, error)             // replaces List
	watch        func(uint64) ([]store.Object, uint64, bool, error) // replaces Watch
}

func (l *link) restore() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.up, l.cut = context.WithCancel(context.Background())
}

func (l *link) set(fn func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fn()
}

func (l *link) Get(ctx context.Context, key string) (store.Object, error) {
	l.mu.Lock()
	get := l.get
	l.mu.Unlock()
	if get != nil {
		return store.Object{}, get(ctx)
	}
	return l.Store.Get(ctx, key)
}

func (l *link) ListPage(ctx context.Context, prefix, after string) (store.Page, error) {
	l.mu.Lock()
	l.calls++
	up, list := l.up, l.list
	l.mu.Unlock()
	switch {
	case up.Err() != nil:
		return store.Page{}, store.ErrThrottled
	case list != nil:
		objects, version, err := list()
		return store.Page{Objects: objects, Version: version}, err
	}
	return l.Store.ListPage(ctx, prefix, after)
}

func (l *link) Watch(ctx context.Context, prefix string, after uint64) ([]store.Object, uint64, bool, error) {
	l.mu.Lock()
	l.calls++
	up, deaf, watch := l.up, l.dropChanges, l.watch
	short := store.WatchWait(ctx, time.Hour) == minWatchWait
	if short {
		l.shortWatches++
	}
	mute := prefix == l.silentPrefix && !short
	l.mu.Unlock()
	if mute {
		return nil, 0, false, waitUnanswered(ctx, 100*time.Hour)
	}
	if watch != nil && up.Err() == nil {
		return watch(after)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(up, cancel)()
	if deaf {
		return nil, after, false, waitUnanswered(ctx, store.WatchWait(ctx, time.Second))
	}
	objects, version, compacted, err := l.Store.Watch(ctx, prefix, after)
	if up.Err() != nil {
		return nil, 0, false, store.ErrUnavailable
	}
	return objects, version, compacted, err
}

func (l *link) shortWatchCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.shortWatches
}

// waitUnanswered blocks like a call that gets no answer, for the duration wait or until
// ctx ends.
func waitUnanswered(ctx context.Context, wait time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(wait):
		return nil
	}
}

// world is a simulated store with instances in one synctest bubble of virtual time.
type world struct {
	t         *testing.T
	store     *memstore.Store
	instances map[string]*testInstance
	boot      clock.Boot
	// orders reports whether instances watch evacuation orders.
	orders bool
	// adjust modifies the options of instances that are started; nil = no change.
	adjust func(*Options)
}

type testInstance struct {
	*Manager
	link *link

	mu        sync.Mutex       // guards the fields below
	tables    []int64          // versions passed to OnTable
	views     []string         // "OLD > NEW" of the views passed to OnTargets
	events    map[event.ID]int // number of log entries by event
	exchanges int              // calls of RequestExchanges
}

func inWorld(t *testing.T, fn func(w *world)) {
	synctest.Test(t, func(t *testing.T) {
		started := time.Now()
		boot := clock.BootFunc(func() time.Duration { return time.Since(started) })
		w := &world{t: t, store: memstore.New(memstore.Options{Seed: 1}), instances: make(map[string]*testInstance), boot: boot}
		w.put(TableKey, "1")
		w.put("targets/a", "1:1")
		w.put("targets/b", "1:2")
		fn(w)
	})
}

// Pull implements Puller over all instances.
func (w *world) Pull(ctx context.Context, instance, prefix string, after uint64) ([]store.Object, uint64, bool, error) {
	if err := ctx.Err(); err != nil {
		return nil, 0, false, err
	}
	return w.instances[instance].Serve("puller", prefix, after)
}

func (w *world) start(id string, up bool) *testInstance {
	n := &testInstance{link: &link{Store: w.store}, events: make(map[event.ID]int)}
	n.link.restore()
	if !up {
		n.link.cut()
	}
	locked := func(fn func()) { n.mu.Lock(); defer n.mu.Unlock(); fn() }
	options := Options{
		Self: id, Store: n.link, Decoder: testDecoder{}, Puller: w, Clock: quartz.NewReal(), Boot: w.boot,
		Rand: rand.New(rand.NewPCG(1, uint64(len(w.instances)))),
		Logger: event.NewLogger(log.LoggerFunc(func(kv ...any) error {
			locked(func() { n.events[event.ID(kv[slices.Index(kv, any("event"))+1].(int))]++ })
			return nil
		})),
		OnTable: func(t *route.Table) { locked(func() { n.tables = append(n.tables, t.Version) }) },
		OnTargets: func(old, new *fleet.View) {
			locked(func() { n.views = append(n.views, describe(old)+" > "+describe(new)) })
		},
		RequestExchanges: func() { locked(func() { n.exchanges++ }) },
		Evacuations:      w.orders,
	}
	if w.adjust != nil {
		w.adjust(&options)
	}
	n.Manager = New(options)
	w.instances[id] = n
	go n.Run(w.t.Context())
	synctest.Wait()
	return n
}

// reconnectAll restores the links of all instances to the store, waits until they are up
// to date, and returns an instance that is started then.
func (w *world) reconnectAll() *testInstance {
	for _, n := range w.instances {
		n.link.restore()
	}
	time.Sleep(20 * time.Second)
	return w.start("fresh", true)
}

// sendDigest delivers a digest of one instance to another.
func (w *world) sendDigest(from, to string) {
	synctest.Wait()
	w.deliver(from, to)
	synctest.Wait()
}

// deliver is sendDigest without waiting for what follows.
func (w *world) deliver(from, to string) {
	d := gossip.Digest{From: from}
	w.instances[from].Fill(&d, to, 1000)
	w.instances[to].Absorb(d)
}

func (w *world) put(key, value string) uint64 {
	old, _ := w.store.Get(context.Background(), key)
	obj, err := w.store.Put(context.Background(), key, []byte(value), old.Version)
	if err != nil {
		w.t.Fatal(err)
	}
	return obj.Version
}

func (w *world) remove(key string) {
	old, _ := w.store.Get(context.Background(), key)
	if err := w.store.Delete(context.Background(), key, old.Version); err != nil {
		w.t.Fatal(err)
	}
}

// describe returns the IDs of a view's targets, sorted, with "-" before those that drain.
func describe(v *fleet.View) string {
	var ids []string
	for _, t := range v.All() {
		if t.Draining {
			t.ID = "-" + t.ID
		}
		ids = append(ids, t.ID)
	}
	slices.SortFunc(ids, func(a, b string) int { return strings.Compare(strings.Trim(a, "-"), strings.Trim(b, "-")) })
	return strings.Join(ids, " ")
}

// wantState waits until all goroutines are blocked and checks the table and the targets
// of the instance, in the form "VERSION: TARGETS".
func (w *world) wantState(n *testInstance, when, want string) {
	w.t.Helper()
	synctest.Wait()
	version := int64(0)
	if table := n.Table(); table != nil {
		version = table.Version
	}
	if got := fmt.Sprintf("%d: %s", version, describe(n.Targets())); got != want {
		w.t.Errorf("%s: state %q, want %q", when, got, want)
	}
}

func (w *world) wantEvents(n *testInstance, id event.ID, want int) {
	w.t.Helper()
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.events[id] != want {
		w.t.Errorf("%s logged %d times, want %d", event.Lookup(id).Name, n.events[id], want)
	}
}

// listAgain has the instance list again, as after a compaction of the store's history.
func (n *testInstance) listAgain() {
	n.link.set(func() {
		n.link.watch = func(after uint64) ([]store.Object, uint64, bool, error) { return nil, after, true, nil }
	})
	n.Refresh()
	synctest.Wait()
	n.link.set(func() { n.link.watch = nil })
	time.Sleep(2 * time.Second) // until the next watch
}
