package targetpath

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"os"
	"slices"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"lynxhill.example/lynxhill/internal/fleet"
	"lynxhill.example/lynxhill/internal/peer"
)

// state is how a dial to a target ends.
type dialState int

const (
	connects dialState = iota
	hangs
	refuses
)

// network is the ways from this instance (direct) and from relays to targets.
type network struct {
	mu       sync.Mutex
	direct   map[string]dialState // by address
	relays   map[string]map[string]dialState
	flagged  map[string]bool // relays that report lost targets
	absent   map[string]bool // relays that open no tunnels
	heard    time.Time
	dials    int // direct
	tunnels  map[string]int
	lost     int
	restored []string
}

// rig is a Manager on a network with targets t0 to t9 and relays r1 (in the zone of the
// Manager), r2 and r3.
type rig struct {
	*Manager
	*network
}

func targets() (all []string) {
	for n := range 10 {
		all = append(all, fmt.Sprint("t", n))
	}
	return all
}

// listed is the view of targets; the id of a target is its address with an x.
func listed() *fleet.View {
	var all []fleet.Target
	for _, address := range targets() {
		all = append(all, fleet.Target{ID: address + "x", Address: address})
	}
	return fleet.NewView(1, all)
}

func newRig(t *testing.T) *rig {
	n := &network{
		direct: make(map[string]dialState), relays: map[string]map[string]dialState{"r1": {}, "r2": {}, "r3": {}},
		flagged: make(map[string]bool), absent: make(map[string]bool), tunnels: make(map[string]int),
	}
	r := &rig{network: n}
	r.Manager = New(Options{
		Zone: "z1", Dial: n.dial, Open: n.open, Targets: listed, IsStopping: func() bool { return false },
		Relays:     n.listRelays,
		LastHeard:  func() time.Time { n.mu.Lock(); defer n.mu.Unlock(); return n.heard },
		OnLost:     func() { n.mu.Lock(); defer n.mu.Unlock(); n.lost++ },
		OnRestored: func(address string) { n.mu.Lock(); defer n.mu.Unlock(); n.restored = append(n.restored, address) },
		Rand:       rand.New(rand.NewPCG(1, 2)),
	})
	t.Cleanup(func() { r.Manager.Close(); time.Sleep(5 * time.Second) }) // lets goroutines end
	return r
}

func (n *network) listRelays() (all []Relay) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, id := range slices.Sorted(maps.Keys(n.relays)) {
		zone := map[bool]string{true: "z1", false: "z2"}[id == "r1"]
		all = append(all, Relay{Instance: id, Zone: zone, TargetsLost: n.flagged[id]})
	}
	return all
}

func end(ctx context.Context, s dialState) error {
	switch s {
	case hangs:
		<-ctx.Done()
		return ctx.Err()
	case refuses:
		return syscall.ECONNREFUSED
	}
	return nil
}

func (n *network) dial(ctx context.Context, _, address string) (net.Conn, error) {
	n.mu.Lock()
	n.dials++
	s := n.direct[address]
	n.mu.Unlock()
	if err := end(ctx, s); err != nil {
		return nil, err
	}
	near, _ := net.Pipe()
	return near, nil
}

// tunnel is a connection through a relay.
type tunnel struct {
	net.Conn
	relay string
}

func (tunnel) Usable() bool { return true }
func (tunnel) Unacked() int { return 0 }

func (n *network) open(ctx context.Context, instance string, target fleet.Target) (Conn, error) {
	address := target.Address
	n.mu.Lock()
	n.tunnels[instance]++
	s, absent := n.relays[instance][address], n.absent[instance]
	n.mu.Unlock()
	time.Sleep(2 * time.Millisecond)
	if absent {
		return nil, peer.ErrTunnelUnavailable
	}
	if err := end(ctx, s); err != nil {
		if errors.Is(err, context.DeadlineExceeded) {
			err = os.ErrDeadlineExceeded
		}
		return nil, err
	}
	near, _ := net.Pipe()
	return tunnel{near, instance}, nil
}

// all sets the state of the ways to all targets: of this instance ("") or a relay.
func (n *network) all(from string, s dialState) {
	n.mu.Lock()
	defer n.mu.Unlock()
	ways := n.direct
	if from != "" {
		ways = n.relays[from]
	}
	for _, address := range targets() {
		ways[address] = s
	}
}

// connect dials the target and returns through which relay it was reached, "" = directly.
func (r *rig) connect(address string) (relay string, took time.Duration, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	began := time.Now()
	conn, err := r.Dial(ctx, "tcp", address)
	if err == nil {
		defer conn.Close()
	}
	if c, ok := conn.(*relayedConn); ok {
		relay = c.Conn.(tunnel).relay
	}
	return relay, time.Since(began), err
}

// hear lets the Manager believe that bytes arrive from targets.
func (n *network) hear() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.heard = time.Now()
}

func run(t *testing.T, f func(t *testing.T, r *rig)) {
	synctest.Test(t, func(t *testing.T) { f(t, newRig(t)) })
}

func TestDialsDirectly(t *testing.T) {
	run(t, func(t *testing.T, r *rig) {
		if relay, took, err := r.connect("t1"); relay != "" || took != 0 || err != nil || len(r.tunnels) > 0 {
			t.Errorf("through %q after %v: %v, tunnels %v", relay, took, err, r.tunnels)
		}
	})
}

// Guards against an instance that goes on waiting for its own way to all targets, and against one that stays with its
// relays when the way is back.
func TestLostTargetsAreReachedThroughRelays(t *testing.T) {
	for name, s := range map[string]dialState{"hang": hangs, "refuse": refuses} {
		t.Run(name, func(t *testing.T) {
			run(t, func(t *testing.T, r *rig) {
				r.hear()
				r.all("", s)
				for n := range 3 {
					time.Sleep(600 * time.Millisecond)
					if relay, took, err := r.connect(fmt.Sprint("t", n)); relay == "" || err != nil || took > 300*time.Millisecond {
						t.Fatalf("dial %d: through %q after %v, %v", n, relay, took, err)
					}
				}
				if !r.Lost() || r.network.lost != 1 || !r.Reachable() {
					t.Fatalf("lost %v, reported %d times, reachable %v", r.Lost(), r.network.lost, r.Reachable())
				}
				dials := r.dials
				if relay, took, err := r.connect("t9"); relay == "" || took > 10*time.Millisecond || r.dials != dials || err != nil {
					t.Errorf("t9 through %q after %v, %d direct dials: %v", relay, took, r.dials-dials, err)
				}
				r.all("", connects)
				time.Sleep(3 * probeInterval)
				if relay, _, err := r.connect("t9"); relay != "" || r.Lost() || err != nil {
					t.Errorf("after the way is back: through %q, lost %v, %v", relay, r.Lost(), err)
				}
				if !slices.Contains(r.restored, "") {
					t.Errorf("restored %q", r.restored)
				}
			})
		})
	}
}

// Guards against an instance that counts as partitioned for targets that are dead for all.
func TestDeadTargetsAreNoPartition(t *testing.T) {
	for name, s := range map[string]dialState{"dark": hangs, "refuses": refuses} {
		t.Run(name, func(t *testing.T) {
			run(t, func(t *testing.T, r *rig) {
				for _, address := range targets()[:2] {
					r.direct[address] = s
					for _, ways := range r.network.relays {
						ways[address] = s
					}
				}
				for range 10 {
					for n, address := range targets() {
						if relay, _, err := r.connect(address); (err == nil) != (n >= 2) || relay != "" {
							t.Errorf("%s through %q: %v", address, relay, err)
						}
					}
				}
				if r.Lost() {
					t.Error("lost")
				}
			})
		})
	}
}

// Guards against targets that have left being taken for a sign that this instance may be partitioned.
func TestTargetsThatLeftAreNoPartition(t *testing.T) {
	run(t, func(t *testing.T, r *rig) {
		var dials sync.WaitGroup
		for n := range 5 {
			address := fmt.Sprint("left", n)
			r.network.mu.Lock()
			r.direct[address] = hangs
			r.network.mu.Unlock()
			dials.Go(func() {
				if _, _, err := r.connect(address); err == nil {
					t.Error("connected to " + address)
				}
			})
		}
		dials.Wait()
		if r.Lost() || len(r.tunnels) > 0 || r.dials != 5 {
			t.Errorf("lost %v, tunnels %v, %d dials", r.Lost(), r.tunnels, r.dials)
		}
	})
}

// Guards against a single unreachable target being taken for the loss of all while others answer.
func TestOnlyTheLostTargetLeadsThroughARelay(t *testing.T) {
	run(t, func(t *testing.T, r *rig) {
		r.direct["t0"], r.direct["t1"], r.direct["t2"] = hangs, hangs, refuses
		for range 20 {
			r.hear()
			for n, address := range targets() {
				if relay, _, err := r.connect(address); (relay != "") != (n < 3) || err != nil {
					t.Errorf("%s through %q: %v", address, relay, err)
				}
			}
			time.Sleep(50 * time.Millisecond)
		}
		if r.Lost() || r.network.lost > 0 {
			t.Error("lost")
		}
	})
}

// Guards against requests that wait while neither this instance nor another one reaches targets.
func TestNothingIsReachable(t *testing.T) {
	run(t, func(t *testing.T, r *rig) {
		for _, from := range []string{"", "r1", "r2", "r3"} {
			r.all(from, hangs)
		}
		began := time.Now()
		for n := 0; !r.Lost() && time.Since(began) < 5*time.Second; n++ {
			_, _, _ = r.connect(fmt.Sprint("t", n%10))
		}
		if took := time.Since(began); took > 3*time.Second {
			t.Fatalf("lost %v after %v", r.Lost(), took)
		}
		for id := range r.network.relays {
			r.flagged[id] = true
		}
		if _, took, err := r.connect("t9"); !errors.Is(err, ErrNoPath) || took > 0 || r.Reachable() {
			t.Errorf("%v after %v, reachable %v", err, took, r.Reachable())
		}
		for _, from := range []string{"", "r1", "r2", "r3"} {
			r.all(from, connects)
		}
		clear(r.flagged)
		time.Sleep(3 * probeInterval)
		if relay, _, err := r.connect("t9"); relay != "" || err != nil {
			t.Errorf("after the way is back: through %q, %v", relay, err)
		}
	})
}

// Guards against relays that are themselves partitioned, without knowing or saying so, hiding those that are not.
func TestRelaysThatAreLostThemselves(t *testing.T) {
	for name, lose := range map[string]func(n *network, id string){
		"flagged": func(n *network, id string) { n.flagged[id] = true; n.relays[id]["t1"] = hangs },
		"absent":  func(n *network, id string) { n.absent[id] = true },
		"hang":    func(n *network, id string) { n.relays[id]["t1"] = hangs },
	} {
		t.Run(name, func(t *testing.T) {
			run(t, func(t *testing.T, r *rig) {
				r.all("", hangs)
				for _, id := range []string{"r1", "r2"} {
					lose(r.network, id)
				}
				if relay, took, err := r.connect("t1"); relay != "r3" || took > 700*time.Millisecond || err != nil {
					t.Errorf("through %q after %v: %v", relay, took, err)
				}
			})
		})
	}
	t.Run("many absent", func(t *testing.T) {
		run(t, func(t *testing.T, r *rig) {
			r.all("", hangs)
			for n := range 20 {
				id := fmt.Sprint("absent", n)
				r.network.relays[id], r.absent[id] = map[string]dialState{}, true
			}
			if relay, took, err := r.connect("t1"); relay == "" || took > 400*time.Millisecond || err != nil {
				t.Errorf("through %q after %v: %v", relay, took, err)
			}
		})
	})
	t.Run("one refuses", func(t *testing.T) {
		run(t, func(t *testing.T, r *rig) {
			r.all("", refuses)
			r.network.relays["r1"]["t1"] = refuses
			if relay, _, err := r.connect("t1"); relay == "" || err != nil {
				t.Errorf("through %q: %v", relay, err)
			}
		})
	})
}

// Guards against bytes that cross zones although a relay in the zone reaches the target.
func TestRelayInTheZoneIsPreferred(t *testing.T) {
	run(t, func(t *testing.T, r *rig) {
		r.direct["t1"] = refuses
		for range 20 {
			if relay, _, err := r.connect("t1"); relay != "r1" || err != nil {
				t.Errorf("through %q: %v", relay, err)
			}
		}
	})
}

// Guards against a way that comes and goes being used each time it is there.
func TestAFlappingWayIsNotUsed(t *testing.T) {
	run(t, func(t *testing.T, r *rig) {
		r.all("", hangs)
		for n := range 4 {
			_, _, _ = r.connect(fmt.Sprint("t", n))
			time.Sleep(200 * time.Millisecond)
		}
		if !r.Lost() {
			t.Fatal("not lost")
		}
		for range 10 {
			r.all("", connects)
			time.Sleep(probeInterval)
			r.all("", hangs)
			time.Sleep(probeInterval)
		}
		if !r.Lost() || len(r.restored) > 0 || r.network.lost != 1 {
			t.Errorf("lost %v, %d times, restored %q", r.Lost(), r.network.lost, r.restored)
		}
	})
}

// Guards against targets that count as crashed because nobody reaches any of them.
func TestReachesOther(t *testing.T) {
	run(t, func(t *testing.T, r *rig) {
		if r.direct["t1"] = refuses; !r.ReachesOther(t.Context(), "t1") {
			t.Error("reaches no other target though only t1 refuses")
		}
		for _, from := range []string{"", "r1", "r2", "r3"} {
			r.all(from, refuses)
		}
		if r.ReachesOther(t.Context(), "t1") {
			t.Error("reaches another target though all refuse")
		}
		if r.all("r1", connects); !r.ReachesOther(t.Context(), "t1") {
			t.Error("reaches no other target though a relay does")
		}
	})
}

// Guards against a connection that leads through two relays, and against tunnels to what is no target.
func TestServerUsesItsOwnWayOnly(t *testing.T) {
	run(t, func(t *testing.T, r *rig) {
		open := func(address string) error {
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			conn, err := r.Server().Open(ctx, address)
			if err == nil {
				if r.Served() != 1 {
					t.Errorf("%d served", r.Served())
				}
				_ = conn.Close()
			}
			return err
		}
		if err := open("t1x"); err != nil || r.Served() != 0 {
			t.Errorf("t1: %v, %d served", err, r.Served())
		}
		if err := open("elsewhere"); !errors.Is(err, peer.ErrTunnelUnavailable) {
			t.Errorf("elsewhere: %v", err)
		}
		r.direct["t1"] = hangs
		if err := open("t1x"); err == nil || len(r.tunnels) > 0 {
			t.Errorf("t1: %v, tunnels %v", err, r.tunnels)
		}
		_, _, _ = r.connect("t1")
		if err := open("t1x"); !errors.Is(err, peer.ErrTunnelUnavailable) {
			t.Errorf("t1, known to be lost: %v", err)
		}
	})
}
