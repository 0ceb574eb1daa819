package profilesync_test

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/coder/quartz"

	"lynxhill.example/lynxhill/internal/board"
	"lynxhill.example/lynxhill/internal/clock"
	"lynxhill.example/lynxhill/internal/control/loop"
	"lynxhill.example/lynxhill/internal/control/profilesync"
	"lynxhill.example/lynxhill/internal/gossip"
	"lynxhill.example/lynxhill/internal/invariant"
	"lynxhill.example/lynxhill/internal/membership"
	"lynxhill.example/lynxhill/internal/peer/mempeer"
	"lynxhill.example/lynxhill/internal/profile"
	"lynxhill.example/lynxhill/internal/store"
	"lynxhill.example/lynxhill/internal/store/memstore"
	"lynxhill.example/lynxhill/internal/virtualtest"
)

// fleet is a number of instances with membership and profile sync, an in-memory
// network and an in-memory store, in virtual time.
type fleet struct {
	t       testing.TB
	clock   quartz.Clock
	started time.Time
	net     *mempeer.Network
	store   *memstore.Store
	checks  *invariant.Collector
	nodes   []*node
	options profilesync.Options
	wg      sync.WaitGroup
}

type node struct {
	id, addr string
	life     int
	up       bool
	board    *board.Board
	members  *membership.Manager
	sync     *profilesync.Manager
	link     *storeLink
	stop     context.CancelFunc
}

// storeLink is one instance's connection to the store. It can be cut, and it
// blocks while the instance is paused.
type storeLink struct {
	*memstore.Store
	net  *mempeer.Network
	addr string

	mu  sync.Mutex // guards cut
	cut bool
}

func (l *storeLink) setCut(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut
}

func (l *storeLink) ready() error {
	l.net.Wait(l.addr)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cut {
		return store.ErrUnavailable
	}
	return nil
}

func (l *storeLink) Get(ctx context.Context, key string) (store.Object, error) {
	if err := l.ready(); err != nil {
		return store.Object{}, err
	}
	return l.Store.Get(ctx, key)
}

func (l *storeLink) List(ctx context.Context, prefix string) ([]store.Object, uint64, error) {
	if err := l.ready(); err != nil {
		return nil, 0, err
	}
	return l.Store.List(ctx, prefix)
}

func (l *storeLink) Put(ctx context.Context, key string, value []byte, ifVersion uint64) (store.Object, error) {
	if err := l.ready(); err != nil {
		return store.Object{}, err
	}
	return l.Store.Put(ctx, key, value, ifVersion)
}

func (l *storeLink) Watch(ctx context.Context, prefix string, after uint64) ([]store.Object, uint64, bool, error) {
	if err := l.ready(); err != nil {
		return nil, after, false, err
	}
	objects, version, compacted, err := l.Store.Watch(ctx, prefix, after)
	if cut := l.ready(); cut != nil {
		return nil, after, false, cut
	}
	return objects, version, compacted, err
}

func (l *storeLink) Instances(ctx context.Context) ([]store.Instance, error) {
	if err := l.ready(); err != nil {
		return nil, err
	}
	return l.Store.Instances(ctx)
}

func (l *storeLink) Register(ctx context.Context, self store.Instance) error {
	if err := l.ready(); err != nil {
		return err
	}
	return l.Store.Register(ctx, self)
}

func newFleet(t testing.TB, n int, options profilesync.Options) *fleet {
	clock := quartz.NewReal()
	sleep := func(ctx context.Context, d time.Duration) bool { return loop.Sleep(ctx, clock, d) }
	f := &fleet{
		t:       t,
		clock:   clock,
		started: clock.Now(),
		net:     mempeer.New(time.Millisecond, sleep),
		store:   memstore.New(memstore.Options{Clock: clock, InstanceLag: 5 * time.Second}),
		checks:  new(invariant.Collector),
		options: options,
	}
	f.store.SetFaults(memstore.Faults{Delay: 2 * time.Millisecond, Jitter: 3 * time.Millisecond})
	for i := range n {
		self := virtualtest.Member(i)
		f.nodes = append(f.nodes, &node{id: self.ID, addr: self.PeerAddr})
	}
	for i := range f.nodes {
		f.start(i)
	}
	return f
}

func (f *fleet) start(i int) {
	n := f.nodes[i]
	n.life++
	n.up = true
	n.board = board.New()
	n.link = &storeLink{Store: f.store, net: f.net, addr: n.addr}
	boot := f.boot(n)
	client := f.net.Client(n.addr, func(id string) (string, bool) {
		m, ok := n.board.Members.Get(id)
		return m.PeerAddr, ok
	})
	o := f.options
	o.Self, o.Board, o.Store, o.Puller = n.id, n.board, n.link, client
	o.Clock, o.Boot, o.Check = f.clock, boot, invariant.New(f.checks)
	o.Rand = rand.New(rand.NewPCG(uint64(n.life), uint64(i)))
	n.sync = profilesync.New(o)
	n.members = membership.New(membership.Options{
		Self:  virtualtest.Member(i),
		Board: n.board, Clock: f.clock, Boot: boot, Rand: rand.New(rand.NewPCG(uint64(i), uint64(n.life))),
		Transport: client, Lister: n.link, Parts: []gossip.Participant{n.sync},
	})
	f.net.Join(n.addr, mempeer.Instance{Handle: n.members.HandleExchange, Since: n.sync.ObjectsSince})
	ctx, cancel := context.WithCancel(context.Background())
	n.stop = cancel
	f.wg.Go(func() { n.members.Run(ctx) })
	f.wg.Go(func() { n.sync.Run(ctx) })
}

// boot returns an instance's boot clock. It blocks while the instance is paused, so
// that the instance sees no time pass.
func (f *fleet) boot(n *node) clock.Boot {
	return clock.BootFunc(func() time.Duration {
		f.net.Wait(n.addr)
		return time.Hour + f.clock.Since(f.started)
	})
}

func (f *fleet) crash(i int) {
	f.net.Resume(f.nodes[i].addr)
	f.net.Drop(f.nodes[i].addr)
	f.nodes[i].stop()
	f.nodes[i].up = false
}

func (f *fleet) stop() {
	for _, n := range f.nodes {
		f.net.Resume(n.addr)
		n.stop()
	}
	f.wg.Wait()
	for _, v := range f.checks.Violations() {
		f.t.Errorf("invariant %s: %s", v.Rule, v.Detail)
	}
}

func (f *fleet) until(limit time.Duration, what string, ok func() bool) time.Duration {
	f.t.Helper()
	return virtualtest.Until(f.t, 20*time.Millisecond, limit, what, ok)
}

func (n *node) version(name string) uint64 {
	held, _ := n.board.Profiles.Get(name)
	return held.Version
}

func (n *node) serves() bool { return n.sync.MayServe() }

// inForce counts the instances that hold the version of the profile.
func (f *fleet) inForce(name string, version uint64) int {
	count := 0
	for _, n := range f.nodes {
		if n.up && n.version(name) >= version {
			count++
		}
	}
	return count
}

func (f *fleet) serving() int {
	count := 0
	for _, n := range f.nodes {
		if n.up && n.serves() {
			count++
		}
	}
	return count
}

// settle waits until all instances serve and know one another.
func (f *fleet) settle() {
	f.t.Helper()
	f.until(time.Minute, "all serve and know one another", func() bool {
		for _, n := range f.nodes {
			if len(n.board.LiveMembers(n.id)) != len(f.nodes) {
				return false
			}
		}
		return f.serving() == len(f.nodes)
	})
}

func draft(name string, weight float64) profile.Profile {
	return profile.Profile{
		Name: name, Priority: 5, Deadline: 10 * time.Second, Objective: 0.99, MaxInputKB: 64,
		Stages: []profile.Stage{{
			Name: "draft", Kind: profile.KindGenerate, Idempotent: true, MaxTokens: 100,
			Providers: []profile.Provider{{Name: "old", Service: "lynx-pool", Model: "m", Version: "1", Weight: weight}},
		}},
	}
}

func TestChangeIsInForceEverywhereAndAccepted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 8, profilesync.Options{})
		defer f.stop()
		f.settle()
		reply, err := f.nodes[3].sync.Set(t.Context(), profilesync.Change{
			Profile: draft("check", 1), ChangeID: "c1", Operator: "op", Wait: 10 * time.Second,
		})
		if err != nil || reply.State != "accepted" || reply.Force.InForce != 8 {
			t.Fatalf("%+v %v", reply, err)
		}
		if n := f.inForce("check", reply.Version); n != 8 {
			t.Errorf("accepted with the version at %d of 8 instances", n)
		}
	})
}
