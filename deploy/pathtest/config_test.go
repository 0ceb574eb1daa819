package pathtest

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"lynxhill.example/lynxhill/deploy/emulator"
)

// status is what an instance answers.
func (i *instance) status(t *testing.T, path, key string) int {
	t.Helper()
	a := ask(emulator.Idempotent, path)
	a.Key, a.Deadline = key, time.Second
	return i.direct.Do(t.Context(), a).Status
}

// write changes the configuration and returns when that was acknowledged.
func (r *rig) write(change func(*emulator.Config)) time.Time {
	_, err := r.world.Change(change)
	r.must(err)
	return time.Now()
}

func addRoute(prefix string) func(*emulator.Config) {
	return func(c *emulator.Config) { c.Routes = append(c.Routes, routeOf(prefix, emulator.Idempotent, "plain")) }
}

// TestKeysAndRoutes. Symptom: a customer that was locked out goes on, at one instance or at all. Events: a key is
// revoked and a route added; the store serves all instances, or rejects one of them or is silent to it. Cause: an old
// version stays in force, comes back, or what peers tell isn't put in force.
func TestKeysAndRoutes(t *testing.T) {
	r := start(t, 3, nil)
	stop := r.load(3, emulator.ClientOptions{}, ask(emulator.NonIdempotent, "/once/stays"), talk("/talk/x"))
	for n, down := range []emulator.Down{emulator.Up, emulator.Down503, emulator.Down429, emulator.DownSilent, emulator.DownReset} {
		r.world.Store.SetFault(r.instances[1].ip+":", emulator.StoreFault{Down: down})
		key, next, path := fmt.Sprintf("key%d", n), fmt.Sprintf("key%d", n+1), fmt.Sprintf("/new%d/", n)
		at := r.write(func(c *emulator.Config) { c.Tenants[1].APIKeys = []string{key, next}; addRoute(path)(c) })
		r.everywhere(at, applyTime, fmt.Sprintf("%q: %s", down, path), func(i *instance) bool { return i.status(t, path+"x", key) == 200 })
		at = r.write(func(c *emulator.Config) { c.Tenants[1].APIKeys = []string{next} })
		r.everywhere(at, applyTime, fmt.Sprintf("%q: revoked", down), func(i *instance) bool { return i.status(t, path+"x", key) != 200 })
		for n := range 15 {
			i := r.instances[n%3]
			old, now := i.status(t, path+"x", key), i.status(t, path+"x", next)
			if old == 200 || down == emulator.Up && old != 401 || now != 200 {
				t.Errorf("%q: %s answers %d to the revoked key, %d to the other", down, i.id, old, now)
			}
		}
		r.world.Store.ClearFaults()
	}
	r.allServed("with a key of all versions", stop())
	r.check()
}

// forgetful is a store in front of the World's whose watches that wait can be made deaf: they end at their time,
// without a word of what changed.
type forgetful struct {
	world *emulator.World
	mutes atomic.Int64 // how often watches were made deaf
}

func (f *forgetful) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	from := r.URL.Query().Get("watch")
	if from == "" {
		f.world.Store.ServeHTTP(w, r)
		return
	}
	mutes, recorded := f.mutes.Load(), httptest.NewRecorder()
	ms, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	end := time.After(time.Duration(ms) * time.Millisecond)
	f.world.Store.ServeHTTP(recorded, r)
	if f.mutes.Load() != mutes {
		<-end
		recorded = httptest.NewRecorder()
		fmt.Fprintf(recorded, `{"events":[],"at":%s}`, from)
	}
	w.WriteHeader(recorded.Code)
	_, _ = w.Write(recorded.Body.Bytes())
}

// TestHistoryCompacted. Symptom: a change isn't in force anywhere for half a minute. Events: the store discards its
// history; the watches that wait hear nothing of what was changed meanwhile. Cause: a watch waits longer than an
// instance may be out of touch, or the 410 of the next one isn't answered by a new listing.
func TestHistoryCompacted(t *testing.T) {
	front := &forgetful{}
	r := start(t, 3, func(w *emulator.World) string {
		front.world = w
		return serve(t, front)
	})
	for n := range 3 {
		path := fmt.Sprintf("/new%d/", n)
		front.mutes.Add(1)
		at := r.write(addRoute(path))
		s := r.world.Servers("plain")[0]
		r.must(r.world.Drain(s.ID))
		_, err := r.world.Add("plain", "z1", "")
		r.must(err)
		r.world.Store.Compact()
		r.everywhere(at, applyTime+touchTime, path, func(i *instance) bool { return i.status(t, path+"x", "k") == 200 })
		for _, run := range r.world.Journal.Runs() {
			if run.Server == s.ID && run.Began.After(at.Add(drainTime+touchTime)) {
				t.Errorf("%s run %v after its server left", run.Path, run.Began.Sub(at))
			}
		}
	}
	r.check()
}

// TestConfigurationStorm. Symptom: a route that was taken away comes back for a moment. Events: versions follow one
// another quickly while the store rejects one instance after the other, compacts its history, and servers come and go.
// Cause: an old listing, an old watch or a peer's word replaces something newer.
func TestConfigurationStorm(t *testing.T) {
	r := start(t, 3, nil)
	var newest atomic.Int64
	var working sync.WaitGroup
	var over atomic.Bool
	// Version n adds the route /vN/ and takes away that of version n-4. Whoever had a version in force must not handle
	// a later request as only an older one does.
	probe := func(i *instance, source *rand.Rand) {
		floor, seen := int64(0), 0 // the version in force is at least floor
		for !over.Load() {
			n := max(newest.Load()-source.Int64N(6), 1)
			got := i.status(t, fmt.Sprintf("/v%d/x", n), "k")
			written := newest.Load() + 1 // one may be on its way
			if got == 200 && floor > n+3 || got == 404 && n <= floor && written < n+4 || got != 200 && got != 404 && got != 503 {
				t.Errorf("%s answers %d to /v%d/, had version %d in force", i.id, got, n, floor)
			}
			if got == 200 {
				floor = max(floor, n)
				seen++
			} else if got == 404 && n <= floor {
				floor = max(floor, n+4)
			}
		}
		if seen < 20 {
			t.Errorf("%s served only %d probes", i.id, seen)
		}
	}
	for n, i := range r.instances {
		working.Go(func() { probe(i, rand.New(rand.NewPCG(23, uint64(n)))) })
	}
	downs := []emulator.Down{emulator.Down503, emulator.Up, emulator.DownReset, emulator.DownSilent, emulator.Up}
	for n := int64(1); n <= 80; n++ {
		r.write(func(c *emulator.Config) {
			addRoute(fmt.Sprintf("/v%d/", n))(c)
			c.Routes = slices.DeleteFunc(c.Routes, func(route emulator.Route) bool { return route.PathPrefix == fmt.Sprintf("/v%d/", n-4) })
		})
		newest.Store(n)
		if n%6 == 0 {
			r.world.Store.ClearFaults()
			r.world.Store.SetFault(r.instances[n/6%3].ip+":", emulator.StoreFault{Down: downs[n/6%5]})
		}
		if n%11 == 0 {
			r.world.Store.Compact()
		}
		s := r.world.Servers("plain")[0].ID
		r.world.Expire(s)
		r.must(r.world.Register(s))
		time.Sleep(40 * time.Millisecond)
	}
	r.everywhere(time.Now(), applyTime, "the last version", func(i *instance) bool { return i.status(t, "/v80/x", "k") == 200 })
	over.Store(true)
	working.Wait()
	r.world.Store.ClearFaults()
	r.check()
}

// TestUnknownBeforeConfiguration. Symptom: clients give up for good, with 401 or 404, at a machine that has just
// started. Events: the store doesn't answer an instance from its start on. Cause: no configuration is taken for an
// empty one.
func TestUnknownBeforeConfiguration(t *testing.T) {
	asked := []struct{ path, key string }{{"/idem/x", "k"}, {"/unknown/x", "k"}, {"/idem/x", "unknown"}, {"/idem/x", ""}}
	for _, down := range []emulator.Down{emulator.Down503, emulator.Down429, emulator.DownSilent, emulator.DownReset} {
		t.Run(string(down), func(t *testing.T) {
			t.Parallel()
			r := start(t, 0, nil)
			r.world.Store.SetFault("", emulator.StoreFault{Down: down})
			i := r.add()
			for end := time.Now().Add(1200 * time.Millisecond); time.Now().Before(end); {
				for _, c := range asked {
					if got := i.status(t, c.path, c.key); got != 503 {
						t.Fatalf("%s with the key %q: %d", c.path, c.key, got)
					}
				}
				if i.ready() {
					t.Fatal("ready without a configuration")
				}
			}
			r.world.Store.ClearFaults()
			r.until(5*time.Second, "ready and serving", func() bool { return i.ready() && i.status(t, "/open/x", "") == 200 })
			for n, c := range asked {
				if got, want := i.status(t, c.path, c.key), []int{200, 404, 401, 401}[n]; got != want {
					t.Errorf("%s with the key %q: %d instead of %d", c.path, c.key, got, want)
				}
			}
			r.check()
		})
	}
}

// TestReadyMeansServing. Symptom: an instance that has just started refuses all that it gets. Events: the store gives
// it the configuration, but the list of servers comes a second later; it counts as ready meanwhile and is named to
// clients. Cause: readiness asks for the routes only.
func TestReadyMeansServing(t *testing.T) {
	r := start(t, 0, func(w *emulator.World) string {
		began := time.Now()
		return serve(t, http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
			if strings.HasSuffix(r.URL.Path, "/servers") {
				time.Sleep(time.Until(began.Add(1500 * time.Millisecond)))
			}
			w.Store.ServeHTTP(rw, r)
		}))
	})
	i := r.add()
	r.until(5*time.Second, "ready", i.ready)
	if got := i.status(t, "/idem/x", "k"); got != 200 {
		t.Errorf("ready, but answers %d", got)
	}
	r.check()
}

// serve serves a handler until the end of the test.
func serve(t *testing.T, h http.Handler) string {
	server := httptest.NewServer(h)
	t.Cleanup(server.CloseClientConnections)
	return server.Listener.Addr().String()
}

// TestAllKilledWhileTheStoreIsAway. Symptom: after a loss of power of everything, callers are told that their key or
// route is unknown, or nobody serves for long after the store has returned. Events: all instances are killed at one
// moment, in flight requests among them, and start again while the store is silent. Cause: nobody is left to be asked,
// and what is not known is taken for empty; or the store is asked ever less often.
func TestAllKilledWhileTheStoreIsAway(t *testing.T) {
	r := start(t, 3, nil)
	before := slices.Clone(r.instances)
	var inFlight sync.WaitGroup
	for _, i := range before {
		for _, a := range mixed() {
			inFlight.Go(func() { i.direct.Do(t.Context(), a) })
		}
	}
	time.Sleep(20 * time.Millisecond)
	r.world.Store.SetFault("", emulator.StoreFault{Down: emulator.DownSilent})
	for _, i := range before {
		i.kill()
	}
	inFlight.Wait()
	again := []*instance{r.add(), r.add(), r.add()}
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for _, i := range again {
			if got := i.status(t, "/idem/x", "k"); got != 503 || i.ready() {
				t.Fatalf("%s answers %d while nobody knows a configuration", i.id, got)
			}
		}
	}
	r.world.Store.ClearFaults()
	r.until(recoverTime, "all serve again", func() bool {
		return !slices.ContainsFunc(again, func(i *instance) bool { return !i.ready() || i.status(t, "/idem/x", "k") != 200 })
	})
	attempts := r.load(2, emulator.ClientOptions{Addresses: []string{again[0].address, again[2].address}}, mixed()...)
	time.Sleep(500 * time.Millisecond)
	r.allServed("after the return", attempts())
	r.check()
}

// recoverTime is the time for all to serve again once the store is back.
const recoverTime = 5 * time.Second
