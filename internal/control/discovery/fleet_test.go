package discovery

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/coder/quartz"

	"lynxhill.example/lynxhill/internal/board"
	"lynxhill.example/lynxhill/internal/gossip"
	"lynxhill.example/lynxhill/internal/store/memstore"
	"lynxhill.example/lynxhill/internal/wire/platformapi"
	"lynxhill.example/lynxhill/internal/wire/targetapi"
)

// fullSize runs the measurement with 370 instances and 600 targets:
// go test -run Fleet -trial -v.
var fullSize = flag.Bool("trial", false, "measure discovery at full size")

// grace is how long after the first sign a leaving target may still get new work.
const grace = 3 * time.Second

// eagerFanout is the number of instances that an instance exchanges digests with
// at once when exchanges are requested.
const eagerFanout = 3

type fleet struct {
	store   *memstore.Store
	nodes   []*Controller
	targets []string
	eager   atomic.Bool
	mu      sync.Mutex // guards rng
	rng     *rand.Rand
	running sync.WaitGroup
	stop    context.CancelFunc
}

func startFleet(instances, targets int, listLag time.Duration) *fleet {
	f := &fleet{store: memstore.New(memstore.Options{InstanceLag: listLag}), rng: rand.New(rand.NewPCG(5, 5))}
	for i := range targets {
		id := fmt.Sprintf("lynx-pool-%03d", i)
		f.targets = append(f.targets, id)
		f.store.SetInstance(engine(id, platformapi.StateLive))
	}
	time.Sleep(listLag + time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	f.stop = cancel
	for i := range instances {
		f.nodes = append(f.nodes, f.startNode(ctx, i, instances))
	}
	return f
}

func (f *fleet) startNode(ctx context.Context, i, instances int) *Controller {
	b := board.New()
	for j := range instances {
		id := fmt.Sprintf("i-%03d", j)
		b.Members.Put(id, board.Member{ID: id, State: board.MemberAlive, Zone: fmt.Sprint("place-", j%7)})
	}
	c := New(Options{
		Store: f.store, Board: b, Clock: quartz.NewReal(), Rand: rand.New(rand.NewPCG(uint64(i), 6)),
		Self: fmt.Sprintf("i-%03d", i), Zone: fmt.Sprint("place-", i%7),
		RequestExchanges: func() { go f.spread(i) },
	})
	f.running.Go(func() { c.Run(ctx) })
	return c
}

// spread does what membership does when exchanges are requested: it exchanges
// digests with a few instances at once.
func (f *fleet) spread(i int) {
	if !f.eager.Load() {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for range eagerFanout {
		f.exchange(i, (i+1+f.rng.IntN(len(f.nodes)-1))%len(f.nodes), "")
	}
}

func (f *fleet) exchange(i, j int, polled string) {
	for _, pair := range [][2]*Controller{{f.nodes[i], f.nodes[j]}, {f.nodes[j], f.nodes[i]}} {
		d := gossip.Digest{Transit: time.Millisecond}
		pair[0].Fill(&d, "", 500)
		if polled != "" {
			d.Loads = append(d.Loads, gossip.Load{Target: polled, Seq: 1})
		}
		pair[1].Absorb(d)
	}
}

func (f *fleet) finish() {
	f.stop()
	f.running.Wait()
}

// heartbeat exchanges digests between random pairs and waits a second. The digests
// also carry the loads of all targets, as the rows of the load view do.
func (f *fleet) heartbeat(polled string) {
	f.mu.Lock()
	for i := range f.nodes {
		f.exchange(i, (i+1+f.rng.IntN(len(f.nodes)-1))%len(f.nodes), polled)
	}
	f.mu.Unlock()
	time.Sleep(time.Second)
}

// roundsUntil runs heartbeats of a second until the condition holds on all nodes,
// and returns their number, or -1 after 300.
func (f *fleet) roundsUntil(polled string, holds func(*Controller) bool) int {
	for second := range 300 {
		all := true
		for _, n := range f.nodes {
			all = all && holds(n)
		}
		if all {
			return second
		}
		f.heartbeat(polled)
	}
	return -1
}

func (f *fleet) reads() uint64 { return f.store.Counts().Reads }

// Guards against sending work to a target seconds after it said that it is leaving.
// One instance of many sees the first sign; the list lags by 10 s, and most
// instances read it once a minute. The sign must reach all instances.
func TestFleetMarksWithinTheGrace(t *testing.T) {
	instances, targets := 50, 40
	if *fullSize {
		instances, targets = 370, 600
	}
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(instances, targets, 10*time.Second)
		defer f.finish()
		time.Sleep(3 * time.Minute)
		before := f.reads()
		time.Sleep(2 * time.Minute)
		t.Logf("%d instances, %d targets: %.1f reads/s", instances, targets, float64(f.reads()-before)/120)
		for i, eager := range []bool{false, true} {
			f.eager.Store(eager)
			id := f.targets[i]
			f.nodes[1].Refused(id)
			took := f.roundsUntil("", func(n *Controller) bool { return leaving(n.opts.Board, id) })
			t.Logf("with requested exchanges %v: a rejection seen by one instance was known to all after %d heartbeats of a second", eager, took)
			if took < 0 || eager && time.Duration(took)*time.Second > grace {
				t.Errorf("the mark took %d s to reach all", took)
			}
		}
		f.store.SetInstance(engine("new", platformapi.StateLive))
		time.Sleep(10 * time.Second)
		before, began := f.reads(), time.Now()
		took := f.roundsUntil("new", func(n *Controller) bool { _, there := n.opts.Board.Targets.Get("new"); return there })
		t.Logf("a target new in the list was known to all after %d s, by %.1f reads/s", took, float64(f.reads()-before)/time.Since(began).Seconds())
		if took < 0 || took > 40 {
			t.Errorf("a new target took %d s to be known to all", took)
		}
	})
}

// Guards against a target flapping between leaving and live. The signs of eight
// instances cross: load reports, which lag, say live; the list lags; digests are
// delayed; the platform becomes unavailable. Then the target comes back. Signs must
// not be applied in the order of their arrival.
func TestRandomSignsNeverClearEarly(t *testing.T) {
	for seed := range uint64(10) {
		synctest.Test(t, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 1))
			f := startFleet(8, 2, time.Duration(rng.Int64N(int64(20*time.Second))))
			defer f.finish()
			time.Sleep(10 * time.Second)
			id := f.targets[0]
			stopped := make(chan struct{})
			reportsLag := time.Duration(rng.Int64N(int64(20 * time.Second)))
			var leavingFrom atomic.Int64 // Unix seconds; 0: not leaving yet
			go f.reportAll(id, stopped, func(at time.Time) bool {
				from := leavingFrom.Load()
				return from != 0 && at.Unix() > from
			}, reportsLag)
			time.Sleep(10 * time.Second)
			saysLeaving := time.Now()
			leavingFrom.Store(saysLeaving.Unix())
			f.nodes[rng.IntN(8)].Refused(id)
			f.store.SetInstance(engine(id, platformapi.StateLeaving))
			f.heartbeat("")
			for range 120 {
				f.heartbeat("")
				f.store.SetFaults(memstore.Faults{Outage: rng.Float64() < 0.3, Jitter: time.Second})
				for i, n := range f.nodes {
					if time.Since(saysLeaving) > 2*grace && !leaving(n.opts.Board, id) {
						t.Fatalf("seed %d: instance %d takes the leaving target for live", seed, i)
					}
				}
			}
			f.store.SetFaults(memstore.Faults{})
			f.store.SetInstance(engine(id, platformapi.StateLive))
			leavingFrom.Store(time.Now().Add(time.Hour).Unix())
			if took := f.roundsUntil("", func(n *Controller) bool { return !leaving(n.opts.Board, id) }); took < 0 {
				t.Errorf("seed %d: the target is live again and still marked after 300 s", seed)
			}
			close(stopped)
		})
	}
}

// reportAll puts a lagging load report of the target on every board each second.
func (f *fleet) reportAll(id string, stop chan struct{}, leavingAt func(time.Time) bool, lag time.Duration) {
	for seq := uint64(1); ; seq++ {
		at := time.Now().Add(-lag)
		for _, n := range f.nodes {
			n.opts.Board.Loads.Put(id, board.Load{At: at, Received: time.Now(), Report: targetapi.LoadReport{Target: id, Seq: seq, Leaving: leavingAt(at)}})
		}
		select {
		case <-stop:
			return
		case <-time.After(time.Second):
		}
	}
}
