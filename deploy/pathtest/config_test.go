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
	r.Helper()
	if _, err := r.world.Change(change); err != nil {
		r.Fatal(err)
	}
	return time.Now()
}

func addRoute(prefix string) func(*emulator.Config) {
	return func(c *emulator.Config) { c.Routes = append(c.Routes, routeOf(prefix, emulator.Idempotent, "plain")) }
}

func setKeys(tenant string, keys ...string) func(*emulator.Config) {
	return func(c *emulator.Config) {
		for i := range c.Tenants {
			if c.Tenants[i].Name == tenant {
				c.Tenants[i].APIKeys = keys
			}
		}
	}
}

// inForce waits until an instance has a configuration in force, at most for the bound from its acknowledgement on.
func (r *rig) inForce(acknowledged time.Time, bound time.Duration, what string, holds func() bool) {
	r.Helper()
	r.until(time.Until(acknowledged.Add(bound)), what, holds)
}

// TestKeyRevoked.
//
// Symptom: a customer that was locked out goes on. Events: a key is taken out of the configuration under load, and
// comes back later. Cause: an instance keeps the old keys in force, or refuses a key that all versions have.
func TestKeyRevoked(t *testing.T) {
	r := start(t, plan{instances: 3})
	revoked, stays := ask(emulator.Idempotent, "/idem/revoked"), ask(emulator.NonIdempotent, "/once/stays")
	revoked.Key, stays.Key = "k2", "k3"
	stop := r.load(6, emulator.ClientOptions{}, revoked, stays, talk("/talk/x"))
	time.Sleep(500 * time.Millisecond)
	began := time.Now()
	done := r.write(setKeys("u", "k3"))
	time.Sleep(applyTime)
	limit := time.Now()
	time.Sleep(500 * time.Millisecond)
	again := r.write(setKeys("u", "k3", "k2"))
	for _, i := range r.instances {
		r.inForce(again, applyTime, "the key is good again", func() bool { return i.status(t, "/idem/x", "k2") == 200 })
	}
	refused := 0
	for _, a := range stop() {
		switch {
		case a.Ask.Key != "k2" && !served(a):
			t.Errorf("%s with a key of all versions: %d, %v", a.Ask.Path, a.Status, a.Err)
		case a.Ask.Key == "k2" && a.Sent.Before(began.Add(-100*time.Millisecond)) && !served(a):
			t.Errorf("before it was revoked: %d, %v", a.Status, a.Err)
		case a.Ask.Key == "k2" && a.Sent.After(limit) && a.Sent.Before(again.Add(-600*time.Millisecond)) && a.Status != 401:
			t.Errorf("sent %v after it was revoked: %d", a.Sent.Sub(done), a.Status)
		case a.Status == 401:
			refused++
		}
	}
	if refused == 0 {
		t.Error("the key was never refused")
	}
	r.check()
}

// TestStoreRejectsOneInstance.
//
// Symptom: one instance serves a revoked key, and knows no new routes, for as long as it lasts. Events: the store
// rejects its calls, or is silent, while it serves all others. Cause: what peers tell isn't put in force.
func TestStoreRejectsOneInstance(t *testing.T) {
	r := start(t, plan{instances: 3})
	cut := r.instances[1]
	for n, down := range []emulator.Down{emulator.Down503, emulator.Down429, emulator.DownSilent, emulator.DownReset} {
		t.Run(string(down), func(t *testing.T) {
			r.world.Store.SetFault(cut.ip+":", emulator.StoreFault{Down: down})
			defer r.world.Store.ClearFaults()
			key, next, path := fmt.Sprintf("key%d", n), fmt.Sprintf("key%d", n+1), fmt.Sprintf("/new%d/", n)
			at := r.write(func(c *emulator.Config) { setKeys("u", key, next)(c); addRoute(path)(c) })
			for _, i := range r.instances {
				r.inForce(at, applyTime, path+" at "+i.id, func() bool { return i.status(t, path+"x", key) == 200 })
			}
			at = r.write(setKeys("u", next))
			for _, i := range r.instances {
				r.inForce(at, applyTime, "revoked at "+i.id, func() bool { return i.status(t, path+"x", key) != 200 })
				for range 5 {
					if got := i.status(t, path+"x", key); got == 200 {
						t.Errorf("%s went back to the revoked key", i.id)
					}
					if got := i.status(t, path+"x", next); got != 200 {
						t.Errorf("%s answers %d to a key in force", i.id, got)
					}
				}
			}
		})
	}
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
	mutes, began := f.mutes.Load(), time.Now()
	recorded := httptest.NewRecorder()
	f.world.Store.ServeHTTP(recorded, r)
	if f.mutes.Load() == mutes {
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(recorded.Code)
		_, _ = w.Write(recorded.Body.Bytes())
		return
	}
	ms, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	select {
	case <-time.After(time.Until(began.Add(time.Duration(ms) * time.Millisecond))):
		fmt.Fprintf(w, `{"events":[],"at":%s}`, from)
	case <-r.Context().Done():
	}
}

// TestHistoryCompacted.
//
// Symptom: a change isn't in force anywhere for half a minute. Events: the store discards its history; the watches
// that wait hear nothing of what was changed meanwhile. Cause: a watch waits longer than an instance may be out of
// touch, or the 410 of the next one isn't answered by a new listing.
func TestHistoryCompacted(t *testing.T) {
	front := &forgetful{}
	r := start(t, plan{instances: 3, store: func(w *emulator.World) string {
		front.world = w
		return serve(t, front)
	}})
	for n := range 3 {
		path := fmt.Sprintf("/new%d/", n)
		front.mutes.Add(1)
		at := r.write(addRoute(path))
		s := r.world.Servers("plain")[0]
		if err := r.world.Drain(s.ID); err != nil {
			t.Fatal(err)
		}
		if _, err := r.world.Add("plain", "z1", ""); err != nil {
			t.Fatal(err)
		}
		r.world.Store.Compact()
		for _, i := range r.instances {
			r.inForce(at, applyTime+touchTime, path+" at "+i.id, func() bool { return i.status(t, path+"x", "k") == 200 })
		}
		for _, run := range r.world.Journal.Runs() {
			if run.Server == s.ID && run.Began.After(at.Add(drainTime+touchTime)) {
				t.Errorf("%s run %v after its server left", run.Path, run.Began.Sub(at))
			}
		}
	}
	r.check()
}

// TestStoreLosesAnswers.
//
// Symptom: instances don't find one another, or one is named to clients after it left. Events: writes are done, at
// once or later, but their answers are lost, from the first start on. Cause: a write without an answer is taken
// for done or for not done.
func TestStoreLosesAnswers(t *testing.T) {
	r := start(t, plan{notReady: true})
	r.world.Store.SetFault("", emulator.StoreFault{LoseShare: 0.6, LoseLate: 300 * time.Millisecond})
	for range 3 {
		r.add()
	}
	r.until(8*time.Second, "all instances are ready and know each other", func() bool {
		return !slices.ContainsFunc(r.instances, func(i *instance) bool { return !i.ready() || i.known() != 3 })
	})
	stop := r.load(6, emulator.ClientOptions{}, mixed()...)
	at := r.write(addRoute("/new/"))
	for _, i := range r.instances {
		r.inForce(at, applyTime, "/new/ at "+i.id, func() bool { return i.status(t, "/new/x", "k") == 200 })
	}
	r.allServed("while the store loses answers", stop())
	r.check()
}

// prober asks one instance about the routes of a storm, and finds it if that handles a request as only an older
// version than one that it had in force. Version n adds the route /vN/ and takes away that of version n-4.
type prober struct {
	i      *instance
	newest *atomic.Int64
	floor  int64 // the version in force is at least this
	seen   int
}

func (p *prober) probe(t *testing.T, n int64) {
	got := p.i.status(t, fmt.Sprintf("/v%d/x", n), "k")
	written := p.newest.Load() + 1 // one may be on its way
	switch {
	case got == 200:
		if p.floor > n+3 {
			t.Errorf("%s serves /v%d/ though it had version %d in force", p.i.id, n, p.floor)
		}
		p.floor = max(p.floor, n)
		p.seen++
	case got == 404 && n <= p.floor:
		if written < n+4 {
			t.Errorf("%s knows no /v%d/ though it had version %d in force", p.i.id, n, p.floor)
		}
		p.floor = max(p.floor, n+4)
	case got != 404 && got != 503:
		t.Errorf("%s answers %d to /v%d/", p.i.id, got, n)
	}
}

// TestConfigurationStorm.
//
// Symptom: a route that was taken away comes back for a moment. Events: versions follow one another quickly while
// the store rejects one instance after the other, compacts its history, and servers come and go. Cause: an old
// listing, an old watch or a peer's word replaces something newer.
func TestConfigurationStorm(t *testing.T) {
	r := start(t, plan{instances: 3})
	var newest atomic.Int64
	var working sync.WaitGroup
	over := make(chan struct{})
	for n, i := range r.instances {
		p, source := &prober{i: i, newest: &newest}, rand.New(rand.NewPCG(23, uint64(n)))
		working.Go(func() {
			for {
				select {
				case <-over:
					if p.seen < 20 {
						t.Errorf("%s served only %d probes", i.id, p.seen)
					}
					return
				default:
				}
				p.probe(t, max(newest.Load()-source.Int64N(6), 1))
			}
		})
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
		if s := r.world.Servers("plain")[0]; n%4 == 0 {
			r.world.Expire(s.ID)
		} else if err := r.world.Register(s.ID); err != nil {
			t.Fatal(err)
		}
		time.Sleep(40 * time.Millisecond)
	}
	at := time.Now()
	for _, i := range r.instances {
		r.inForce(at, applyTime, "the last version at "+i.id, func() bool { return i.status(t, "/v80/x", "k") == 200 })
	}
	close(over)
	working.Wait()
	r.world.Store.ClearFaults()
	r.check()
}

// TestUnknownBeforeConfiguration.
//
// Symptom: clients give up for good, with 401 or 404, at a machine that has just started. Events: the store
// doesn't answer an instance from its start on. Cause: no configuration is taken for an empty one.
func TestUnknownBeforeConfiguration(t *testing.T) {
	for _, down := range []emulator.Down{emulator.Down503, emulator.Down429, emulator.DownSilent, emulator.DownReset} {
		t.Run(string(down), func(t *testing.T) {
			t.Parallel()
			r := start(t, plan{notReady: true})
			r.world.Store.SetFault("", emulator.StoreFault{Down: down})
			i := r.add()
			for end := time.Now().Add(1200 * time.Millisecond); time.Now().Before(end); {
				for _, c := range []struct{ path, key string }{{"/idem/x", "k"}, {"/unknown/x", "k"}, {"/idem/x", "unknown"}, {"/idem/x", ""}} {
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
			for _, c := range []struct {
				path, key string
				want      int
			}{{"/idem/x", "k", 200}, {"/open/x", "", 200}, {"/unknown/x", "k", 404}, {"/idem/x", "unknown", 401}, {"/idem/x", "", 401}} {
				if got := i.status(t, c.path, c.key); got != c.want {
					t.Errorf("%s with the key %q: %d instead of %d", c.path, c.key, got, c.want)
				}
			}
			r.check()
		})
	}
}

// TestReadyMeansServing.
//
// Symptom: an instance that has just started refuses all that it gets. Events: the store gives it the
// configuration, but the list of servers comes a second later; it counts as ready meanwhile and is named to
// clients. Cause: readiness asks for the routes only.
func TestReadyMeansServing(t *testing.T) {
	r := start(t, plan{instances: 1, notReady: true, store: func(w *emulator.World) string {
		began := time.Now()
		return serve(t, http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
			if strings.HasSuffix(r.URL.Path, "/servers") {
				time.Sleep(time.Until(began.Add(1500 * time.Millisecond)))
			}
			w.Store.ServeHTTP(rw, r)
		}))
	}})
	i := r.instances[0]
	r.until(5*time.Second, "ready", i.ready)
	if got := i.status(t, "/idem/x", "k"); got != 200 {
		t.Errorf("ready, but answers %d", got)
	}
	r.check()
}

// serve serves a handler until the end of the test.
func serve(t *testing.T, h http.Handler) string {
	t.Helper()
	l, err := emulator.Loopback{}.Listen("")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: h}
	go func() { _ = server.Serve(l) }() // ends by Close
	t.Cleanup(func() { _ = server.Close() })
	return l.Addr().String()
}
