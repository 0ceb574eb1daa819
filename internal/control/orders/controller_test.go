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
	"lynxhill.example/lynxhill/internal/profile"
	"lynxhill.example/lynxhill/internal/store/memstore"
)

const pool = "lynx-pool"

// always is a lease that never ends.
type always struct{}

func (always) Check(string, time.Duration, bool) (lease.Grant, bool) {
	return lease.Grant{Fence: 1, Until: 1 << 62}, true
}

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
		b.Targets.Put(id, board.Target{ID: id, Service: pool, Kind: profile.KindGenerate, ChecksFence: e.checksFence, Place: "lac-a"})
	}
	return b
}

// run starts a controller that holds the lease all the time.
func run(f *fakeEngines, b *board.Board, change func(*Options)) (stop func()) {
	began := time.Now()
	b.Leases.Put(pool, board.Lease{Service: pool, Mine: true})
	o := Options{
		Caller: f, Store: memstore.New(memstore.Options{}), Board: b, Lease: always{}, Clock: quartz.NewReal(),
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

// Symptom: requests for a model find no target during a roll-out.
// Events: engines have room for one version only; the profile moves to v2.
// Cause: the old version was unloaded everywhere to make room.
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
