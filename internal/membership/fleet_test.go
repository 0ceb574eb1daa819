package membership_test

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/coder/quartz"

	"lynxhill.example/lynxhill/internal/board"
	"lynxhill.example/lynxhill/internal/control/loop"
	"lynxhill.example/lynxhill/internal/membership"
	"lynxhill.example/lynxhill/internal/peer/mempeer"
	"lynxhill.example/lynxhill/internal/store"
	"lynxhill.example/lynxhill/internal/virtualtest"
)

// list is the platform's instance list.
type list struct {
	mu      sync.Mutex // guards entries and down
	entries map[string]store.Instance
	down    bool
}

func (l *list) Instances(context.Context) ([]store.Instance, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return nil, store.ErrUnavailable
	}
	var all []store.Instance
	for _, in := range l.entries {
		all = append(all, in)
	}
	return all, nil
}

func (l *list) Register(_ context.Context, self store.Instance) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return store.ErrUnavailable
	}
	l.entries[self.ID] = self
	return nil
}

// fleet is a group of instances in one synctest bubble.
type fleet struct {
	t         testing.TB
	net       *mempeer.Network
	list      *list
	instances []*instance
	options   membership.Options // of all instances
	wg        sync.WaitGroup
	clock     quartz.Clock
}

type instance struct {
	id, addr string
	board    *board.Board
	manager  *membership.Manager
	stop     context.CancelFunc
}

func newFleet(t testing.TB, n int, options membership.Options) *fleet {
	clock := quartz.NewReal()
	sleep := func(ctx context.Context, d time.Duration) bool { return loop.Sleep(ctx, clock, d) }
	f := &fleet{
		t:       t,
		net:     mempeer.New(time.Millisecond, sleep),
		list:    &list{entries: make(map[string]store.Instance)},
		options: options,
		clock:   clock,
	}
	for i := range n {
		f.addStopped(i)
	}
	for i := range f.instances {
		f.start(i)
	}
	return f
}

// addStopped adds the i-th instance without starting it.
func (f *fleet) addStopped(i int) {
	self := virtualtest.Member(i)
	f.instances = append(f.instances, &instance{id: self.ID, addr: self.PeerAddr, stop: func() {}})
}

func (f *fleet) start(i int) {
	n := f.instances[i]
	n.board = board.New()
	o := f.options
	o.Self = virtualtest.Member(i)
	o.Board, o.Clock, o.Lister = n.board, f.clock, f.list
	o.Rand = rand.New(rand.NewPCG(7, uint64(i)))
	o.Transport = f.net.Client(n.addr, nil)
	n.manager = membership.New(o)
	f.net.Join(n.addr, mempeer.Instance{Handle: n.manager.HandleExchange})
	ctx, cancel := context.WithCancel(context.Background())
	n.stop = cancel
	f.wg.Go(func() { n.manager.Run(ctx) })
}

// crash removes an instance without an announcement.
func (f *fleet) crash(i int) {
	f.net.Drop(f.instances[i].addr)
	f.instances[i].stop()
}

func (f *fleet) stop() {
	for _, n := range f.instances {
		n.stop()
	}
	f.wg.Wait()
}

// alive returns how many of the given instances the observer considers alive.
func (f *fleet) alive(observer int, of []int) int {
	count := 0
	for _, i := range of {
		m, ok := f.instances[observer].board.Members.Get(f.instances[i].id)
		if ok && m.State == board.MemberAlive {
			count++
		}
	}
	return count
}

// agree reports whether each of the given instances considers exactly these alive.
func (f *fleet) agree(among []int) bool {
	for _, i := range among {
		if f.alive(i, among) != len(among) {
			return false
		}
		live := 0
		for _, m := range f.instances[i].board.Members.Snapshot() {
			if m.State == board.MemberAlive {
				live++
			}
		}
		if live != len(among) {
			return false
		}
	}
	return true
}

// until advances the time until ok returns true and returns how long that took.
func (f *fleet) until(limit time.Duration, what string, ok func() bool) time.Duration {
	f.t.Helper()
	return virtualtest.Until(f.t, 100*time.Millisecond, limit, what, ok)
}

func upTo(n int) []int { return span(0, n) }

func span(from, to int) []int {
	var all []int
	for i := from; i < to; i++ {
		all = append(all, i)
	}
	return all
}

func (f *fleet) addrs(of []int) []string {
	var addrs []string
	for _, i := range of {
		addrs = append(addrs, f.instances[i].addr)
	}
	return addrs
}

var _ store.InstanceLister = (*list)(nil)

func TestInstancesStartedTogetherFindEachOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 8, membership.Options{})
		defer f.stop()
		f.until(10*time.Second, "all see all", func() bool { return f.agree(upTo(8)) })
	})
}

// Guards against members that do not learn that another instance has lost the store,
// or that the store is available to it again.
func TestStoreLossAndRecoveryReachAllMembers(t *testing.T) {
	for _, n := range []int{8, 78} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, n, membership.Options{HeartbeatEvery: 500 * time.Millisecond})
			defer f.stop()
			var lost atomic.Bool
			f.options.StoreLost = lost.Load
			time.Sleep(time.Second)
			f.crash(1)
			f.start(1)
			f.until(20*time.Second, "all see all", func() bool { return f.agree(upTo(n)) })
			allInformed := func() bool {
				for i := range n {
					m, _ := f.instances[i].board.Members.Get(f.instances[1].id)
					if m.StoreLost != lost.Load() {
						return false
					}
				}
				return true
			}
			for range 3 {
				lost.Store(!lost.Load())
				f.instances[1].manager.RequestExchanges()
				f.until(3*time.Second, "all are informed", allInformed)
			}
		})
	}
}
