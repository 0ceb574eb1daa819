package orders

import (
	"context"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/coder/quartz"

	"lynxhill.example/lynxhill/internal/board"
	"lynxhill.example/lynxhill/internal/clock"
	"lynxhill.example/lynxhill/internal/control/lease"
	"lynxhill.example/lynxhill/internal/errkind"
	"lynxhill.example/lynxhill/internal/profile"
	"lynxhill.example/lynxhill/internal/store/memstore"
	"lynxhill.example/lynxhill/internal/wire/lynxapi"
	"lynxhill.example/lynxhill/internal/wire/targetapi"
)

const pool = "lynx-pool"

// permanentLease is a lease that never ends.
type permanentLease struct{}

func (permanentLease) Check(string, time.Duration, bool) (lease.Grant, bool) {
	return lease.Grant{Fence: 1, Until: 1 << 62}, true
}

func (permanentLease) OrderTimeout() time.Duration { return 5 * time.Second }

func profileOf(name string, providers ...profile.Provider) profile.Versioned {
	return profile.Versioned{Version: 1, Profile: profile.Profile{Name: name, Stages: []profile.Stage{
		{Name: "draft", Kind: profile.KindGenerate, Providers: providers},
	}}}
}

func provider(version, adapter string) profile.Provider {
	return profile.Provider{Name: "p-" + version, Service: pool, Model: "lynx", Version: version, Adapter: adapter, Weight: 1}
}

func boardWith(f *fakeEngines) *board.Board {
	b := board.New()
	for id, e := range f.engines {
		b.Targets.Put(id, board.Target{ID: id, Service: pool, Kind: profile.KindGenerate, ChecksFence: e.checksFence, Zone: "lac-a"})
	}
	return b
}

// run starts a controller that always holds the lease.
func run(f *fakeEngines, b *board.Board, change func(*Options)) (stop func()) {
	began := time.Now()
	b.Leases.Put(pool, board.Lease{Service: pool, Mine: true})
	o := Options{
		Caller: f, Store: memstore.New(memstore.Options{}), Board: b, Lease: permanentLease{}, Clock: quartz.NewReal(),
		Boot: clock.BootFunc(func() time.Duration { return time.Since(began) }),
		Rand: rand.New(rand.NewPCG(1, 1)), Self: "i-00", WeightRate: 1,
	}
	if change != nil {
		change(&o)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	c := New(o)
	go func() {
		defer close(ended)
		c.Run(ctx)
	}()
	return func() {
		cancel()
		<-ended
	}
}

func TestLoadsWhatProfilesName(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newEngines(4, true)
		b := boardWith(f)
		b.Profiles.Put("report", profileOf("report", provider("v1", "fitting")))
		stop := run(f, b, nil)
		defer stop()
		time.Sleep(time.Minute)
		v1 := ModelVersion{"lynx", "v1"}
		if n := f.ready(v1); n != DefaultMinReady {
			t.Fatalf("%d engines have v1 ready, want %d", n, DefaultMinReady)
		}
		for id, e := range f.engines {
			for _, m := range e.models {
				if len(m.Adapters) != 1 || m.Adapters[0] != "fitting" {
					t.Errorf("engine %s has adapters %v, want fitting", id, m.Adapters)
				}
			}
		}
	})
}

// Guards against requests for a model finding no target during a roll-out: engines
// have room for one version only, the profile moves to v2, and the old version is
// unloaded everywhere to free room.
func TestRollOutKeepsTheLastReadyEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newEngines(3, false)
		b := boardWith(f)
		b.Profiles.Put("report", profileOf("report", provider("v1", "")))
		stop := run(f, b, func(o *Options) { o.ModelsPerEngine = 1 })
		defer stop()
		time.Sleep(time.Minute)
		v1, v2 := ModelVersion{"lynx", "v1"}, ModelVersion{"lynx", "v2"}
		b.Profiles.Put("report", profileOf("report", provider("v1", ""), provider("v2", "")))
		for range 240 {
			time.Sleep(time.Second)
			if f.ready(v1) == 0 {
				t.Fatal("v1 is in force and ready nowhere")
			}
		}
		if f.ready(v2) == 0 {
			t.Fatal("v2 was not rolled out")
		}
		b.Profiles.Put("report", profileOf("report", provider("v2", "")))
		time.Sleep(10 * time.Minute)
		if f.ready(v1) != 0 || f.ready(v2) != DefaultMinReady {
			t.Fatalf("after the end of v1: %d engines have v1, %d have v2", f.ready(v1), f.ready(v2))
		}
	})
}

// newHolderLease is the lease of a new holder while orders of the previous holder
// may still be in transit.
type newHolderLease struct{}

func (newHolderLease) Check(_ string, _ time.Duration, checksFence bool) (lease.Grant, bool) {
	return lease.Grant{Fence: 2, Until: 1 << 62, UncheckedFrom: 1 << 61}, checksFence
}

func (newHolderLease) OrderTimeout() time.Duration { return 5 * time.Second }

// Guards against a model being ready on no engine after a change of the lease
// holder: the old holder's unload on one engine is still in transit when the new
// holder, which saw the model ready on that engine, unloads it from the other. An
// engine that checks fencing tokens accepts the old order until it has seen the new
// token.
func TestUnloadsWaitUntilOldOrdersHaveExpired(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newEngines(4, true)
		old := targetapi.LoadedModel{Model: "lynx", Version: "v0", Ready: true}
		f.engines[engineID(0)].models = []targetapi.LoadedModel{old}
		b := boardWith(f)
		b.Profiles.Put("report", profileOf("report", provider("v1", "")))
		stop := run(f, b, func(o *Options) { o.Lease = newHolderLease{} })
		time.Sleep(10 * time.Minute)
		stop()
		kinds := make(map[string]int)
		for _, d := range f.executed() {
			kinds[d.order.Kind]++
		}
		if kinds[targetapi.OrderLoad] == 0 || kinds[targetapi.OrderUnload] != 0 {
			t.Errorf("orders %v, want loads and no unload", kinds)
		}
	})
}

func TestLoadsStayWithinTheWeightRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newEngines(40, true)
		b := boardWith(f)
		b.Profiles.Put("report", profileOf("report", provider("v1", "a")))
		const rate, burst = 0.2, 3
		stop := run(f, b, func(o *Options) {
			o.WeightRate, o.WeightBurst, o.MinReady, o.MaxLoadingShare = rate, burst, 40, 1
		})
		time.Sleep(10 * time.Minute)
		stop()
		all := f.executed()
		if len(all) < 80 {
			t.Fatalf("%d loads in ten minutes, want all 80 of models and adapters", len(all))
		}
		for i := range all {
			if i+10 < len(all) {
				if took := all[i+10].at.Sub(all[i].at).Seconds(); took < (11-burst)/rate-1 {
					t.Fatalf("11 loads within %.0f s at a rate of %v and a burst of %d", took, rate, burst)
				}
			}
		}
	})
}

func TestPlanObjectAndRoles(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newEngines(6, true)
		b := boardWith(f)
		s := memstore.New(memstore.Options{})
		c := New(Options{Store: s, Board: b, Clock: quartz.NewReal()})
		plan := lynxapi.ModelPlan{
			Service: pool,
			Models:  []lynxapi.ModelWant{{Model: "lynx", Version: "v1", Min: 4, Max: 4}},
			Roles:   []lynxapi.RoleWant{{Role: "prefill", Engines: 2}},
		}
		if _, err := c.SetPlan(t.Context(), plan); err != nil {
			t.Fatal(err)
		}
		if _, err := c.SetPlan(t.Context(), plan); !errkind.Is(err, errkind.Conflict) {
			t.Fatalf("SetPlan with an outdated version: %v, want conflict", err)
		}
		if plans, _ := c.Plans(t.Context()); len(plans) != 1 || plans[0].IfVersion == 0 {
			t.Errorf("plans in force: %+v", plans)
		}
		stop := run(f, b, nil)
		time.Sleep(5 * time.Minute)
		stop()
		if n := f.ready(ModelVersion{"lynx", "v1"}); n != 4 {
			t.Errorf("%d engines have the planned model ready, want 4", n)
		}
		prefill := 0
		for _, e := range f.engines {
			if e.role == "prefill" {
				prefill++
			}
		}
		if prefill != 2 {
			t.Errorf("%d engines have the role, want 2", prefill)
		}
	})
}

// Guards against an engine staying without its model after its process was
// replaced: the engine restarts empty without notice to the lease holder, which
// assumes that an order sent once stays carried out.
func TestLostModelsAreLoadedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newEngines(2, true)
		b := boardWith(f)
		b.Profiles.Put("report", profileOf("report", provider("v1", "")))
		stop := run(f, b, nil)
		defer stop()
		time.Sleep(time.Minute)
		f.mu.Lock()
		f.engines[engineID(0)].models = nil
		f.engines[engineID(0)].highFence = 0
		f.mu.Unlock()
		time.Sleep(time.Minute)
		if n := f.ready(ModelVersion{"lynx", "v1"}); n != 2 {
			t.Errorf("%d engines have the model ready after one restarted, want 2", n)
		}
	})
}

func TestScalingIsDamped(t *testing.T) {
	v := ModelVersion{"lynx", "v1"}
	engines := func(n, running int) []Engine {
		all := make([]Engine, n)
		for i := range all {
			all[i] = Engine{ID: engineID(i), Usable: true, Slots: 10, Running: running,
				Models: []targetapi.LoadedModel{{Model: "lynx", Version: "v1", Ready: true}}}
		}
		return all
	}
	now := time.Unix(0, 0)
	s := newScaler(Scaling{}.withDefaults())
	drive := func(seconds, n int, load func(second int) int) int {
		count := 0
		for i := range seconds {
			now = now.Add(time.Second)
			count = s.count(now, v, engines(n, load(i)), 1, 20)
		}
		return count
	}
	swing := func(i int) int { return []int{1, 10}[i/10%2] }
	if count := drive(3600, 4, swing); count != 4 {
		t.Errorf("a load that alternates every 10 s changed the count from 4 to %d", count)
	}
	if count := drive(25, 4, func(int) int { return 10 }); count != 7 {
		t.Errorf("25 s of full load: count %d, want 7", count)
	}
	if count := drive(250, 7, func(int) int { return 1 }); count != 7 {
		t.Errorf("250 s of low load: count %d, want still 7", count)
	}
	if count := drive(60, 7, func(int) int { return 1 }); count != 6 {
		t.Errorf("310 s of low load: count %d, want 6", count)
	}
}

// Guards against a model staying unloaded while the log fills with failed orders:
// the best engine for the model answers every order with an error, and the same
// order is sent to it every second indefinitely.
func TestEngineThatRejectsOrdersIsNotRetriedEverySecond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newEngines(3, true)
		f.engines[engineID(0)].refuses = true
		b := boardWith(f)
		b.Profiles.Put("report", profileOf("report", provider("v1", "")))
		stop := run(f, b, nil)
		time.Sleep(10 * time.Minute)
		stop()
		if n := f.ready(ModelVersion{"lynx", "v1"}); n != 2 {
			t.Errorf("%d engines have the model ready, want 2", n)
		}
		if n := f.engines[engineID(0)].received; n == 0 || n > 20 {
			t.Errorf("the engine that rejects all orders received %d, want 1 to 20", n)
		}
	})
}
