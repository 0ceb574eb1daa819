package edge

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"lynxhill.example/lynxhill/internal/clock"
	"lynxhill.example/lynxhill/internal/config"
	"lynxhill.example/lynxhill/internal/control/routesync"
	"lynxhill.example/lynxhill/internal/exchange"
	"lynxhill.example/lynxhill/internal/fleet"
	"lynxhill.example/lynxhill/internal/memnet"
	"lynxhill.example/lynxhill/internal/relay"
	"lynxhill.example/lynxhill/internal/route"
	"lynxhill.example/lynxhill/internal/store/memstore"
)

// fakePlatform is a platform with a store in memory and a trivial message format.
type fakePlatform struct {
	relay.Codec
	relay.StageClient
	*memstore.Store
}

func (fakePlatform) Deregister(context.Context, string) error { return nil }

func (fakePlatform) Table([]byte) (*route.Table, error) {
	service := []route.WeightedService{{Name: "s", Weight: 1}}
	table := route.Table{Version: 1, Organisations: []route.Organisation{{Name: "o", Keys: []string{"k"}}}}
	table.Routes = append(table.Routes, route.Route{Host: "h", PathPrefix: "/", Kind: route.Idempotent, Services: service, MaxAttempts: 9})
	table.Routes = append(table.Routes, route.Route{Host: "h", PathPrefix: "/slow/", Services: service})
	return table.Build(), nil
}

func (fakePlatform) Target(id string, value []byte) (fleet.Target, error) {
	text, draining := strings.CutPrefix(string(value), "-")
	address, place, _ := strings.Cut(text, "@")
	zone, build, _ := strings.Cut(place, "@")
	return fleet.Target{ID: id, Service: "s", Build: build, Address: address, Zone: zone, Slots: 9, Draining: draining}, nil
}

func (fakePlatform) ParseRequest(r *http.Request) (*relay.Request, error) {
	return &relay.Request{Key: r.Header.Get("Key"), Method: r.Method, Host: r.Host, URI: r.URL.Path, Path: r.URL.Path}, nil
}

func (fakePlatform) OutgoingHeader(*relay.Request, relay.Call) http.Header   { return http.Header{} }
func (fakePlatform) SetOwnHeader(http.Header, *relay.Request, time.Duration) {}
func (fakePlatform) ResponseHeader(h http.Header) http.Header                { return h }
func (fakePlatform) ParseNotice(status int, h http.Header) (n fleet.Notice) {
	n.Leaving = h.Get("Leaving") != ""
	if rate, err := strconv.ParseFloat(h.Get("Limit"), 64); err == nil {
		n.Limit = &rate
	}
	if pause, err := time.ParseDuration(h.Get("Pause")); err == nil {
		n.Pause = pause
	}
	return n
}
func (fakePlatform) ParseResponse(r *http.Response) relay.ResponseHead {
	head := relay.ResponseHead{Signed: true, NotRun: r.StatusCode == 503}
	if pace, err := strconv.ParseFloat(r.Header.Get("Pace"), 64); err == nil {
		head.Load = &relay.Load{Slots: 9, Pace: pace}
	}
	return head
}

// testInstance is an instance in virtual time with a store and two targets.
type testInstance struct {
	*Instance
	t         *testing.T
	store     *memstore.Store
	suspended atomic.Int64  // how long the host was suspended in total, ns
	hold      chan struct{} // targets respond to /slow/x when it is closed
	refuse    atomic.Bool   // targets refuse all requests
	received  atomic.Int64  // requests that targets received
}

// ServeHTTP implements a target.
func (w *testInstance) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	w.received.Add(1)
	if r.URL.Path == "/slow/x" {
		<-w.hold
	}
	if w.refuse.Load() {
		rw.WriteHeader(http.StatusServiceUnavailable)
	}
}

// settings returns the settings with which the tests begin.
func settings() config.Config {
	cfg := config.Default()
	cfg.Instance.ID, cfg.Listen.Peer, cfg.Ingress.Listen, cfg.Ingress.Metrics = "i", "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"
	return cfg
}

// runInstance runs the test in virtual time with an instance that serves requests.
func runInstance(t *testing.T, cfg config.Config, test func(*testInstance)) {
	synctest.Test(t, func(t *testing.T) {
		w := &testInstance{t: t, store: memstore.New(memstore.Options{WatchWait: time.Hour}), hold: make(chan struct{})}
		began, targets := time.Now(), memnet.Listen()
		server := &http.Server{Handler: w}
		go func() { _ = server.Serve(targets) }()
		for key, value := range map[string]string{routesync.TableKey: "x", "targets/a": "10.0.0.1:1", "targets/b": "10.0.0.2:1"} {
			if _, err := w.store.Put(t.Context(), key, []byte(value), 0); err != nil {
				t.Fatal(err)
			}
		}
		p := fakePlatform{Store: w.store}
		stages, noID := func(*exchange.Pool) relay.StageClient { return p }, func(http.Header) string { return "" }
		var err error
		w.Instance, err = New(cfg, Adapter{Platform: p, Codec: p, Decoder: p, NewStageClient: stages, ResponseAttemptID: noID, ReadyPath: "/ready", AddressPath: "/where"}, Options{
			Seed: 1, Dial: targets.Dial, Listen: func(_, _ string) (net.Listener, error) { return memnet.Listen(), nil },
			Boot: clock.BootFunc(func() time.Duration { return time.Since(began) + time.Duration(w.suspended.Load()) }),
		})
		if err != nil {
			t.Fatal(err)
		}
		ctx, stop := context.WithCancel(t.Context())
		ended := make(chan error)
		go func() { ended <- w.Run(ctx) }()
		time.Sleep(time.Second)
		test(w)
		stop()
		if err := errors.Join(<-ended, server.Close()); err != nil {
			t.Error(err)
		}
	})
}

// statusOf sends a request and returns the status of the response.
func (w *testInstance) statusOf(path, key string) int {
	r, answer := httptest.NewRequest("GET", "http://h"+path, nil), httptest.NewRecorder()
	r.Header.Set("Key", key)
	w.ingress.Server().Handler.ServeHTTP(answer, r)
	return answer.Code
}

// expectStatus checks that a valid request and the readiness check get the status and, for 503, that requests without a
// valid key get it too; with a configuration in force those get another status.
func (w *testInstance) expectStatus(when string, status int) {
	w.t.Helper()
	ready := httptest.NewRecorder()
	w.ingress.ReadyServer("/ready").Handler.ServeHTTP(ready, httptest.NewRequest("GET", "/ready", nil))
	got := []int{w.statusOf("/", "k"), ready.Code}
	want := []int{status, status}
	if status == 503 {
		got, want = append(got, w.statusOf("/", "unknown"), w.statusOf("/", "")), []int{503, 503, 503, 503}
	}
	if !slices.Equal(got, want) {
		w.t.Errorf("%s: %v, want %v", when, got, want)
	}
}

// TestNothingIsServedAfterASuspensionUntilConfirmed guards against an instance that serves a removed route: its host is
// suspended, the route is removed, and the host resumes. Requests that arrive before the clock and the store are checked
// must not be served with the old configuration.
func TestNothingIsServedAfterASuspensionUntilConfirmed(t *testing.T) {
	const slow = 300 * time.Millisecond
	for faults, after := range map[memstore.Faults]time.Duration{{Delay: slow}: slow, {Outage: true}: maxConfirmationWait} {
		runInstance(t, settings(), func(w *testInstance) {
			w.expectStatus("before", 200)
			w.store.SetFaults(faults)
			w.suspended.Add(int64(minSuspension) - int64(suspensionPollInterval) - 1)
			w.expectStatus("after a pause too short for a suspension", 200)
			time.Sleep(2 * suspensionPollInterval)
			w.suspended.Add(int64(time.Minute))
			w.expectStatus("woken", 503)
			time.Sleep(after - time.Millisecond)
			w.expectStatus("not confirmed yet", 503)
			time.Sleep(50 * time.Millisecond)
			w.expectStatus("confirmed or timed out", 200)
		})
	}
}

// TestFailClosed guards against an organisation whose key was revoked being served during a store outage although the
// settings say to fail closed, because only the age of the routes is checked. It also guards against responses that valid
// keys are unknown, after which callers do not retry. The store is unavailable for longer than keys may go unconfirmed.
func TestFailClosed(t *testing.T) {
	cfg := settings()
	cfg.Ingress.FailClosed = true
	runInstance(t, cfg, func(w *testInstance) {
		time.Sleep(time.Minute)
		w.expectStatus("a store without changes", 200)
		w.store.SetFaults(memstore.Faults{Outage: true})
		time.Sleep(cfg.Ingress.Revocation.Duration - w.times().WatchWait - time.Millisecond)
		if got := w.statusOf("/", "k"); got != 200 {
			t.Errorf("unavailable for less than the limit: %d", got)
		}
		time.Sleep(w.times().WatchWait + 2*time.Millisecond)
		w.expectStatus("unavailable for longer", 503)
		time.Sleep(time.Minute)
		w.expectStatus("unavailable for a long time", 503)
		w.store.SetFaults(memstore.Faults{})
		time.Sleep(2 * time.Second)
		w.expectStatus("back", 200)
		cfg.Ingress.FailClosed = false
		w.Reload(cfg)
		w.store.SetFaults(memstore.Faults{Outage: true})
		time.Sleep(time.Minute)
		w.expectStatus("no longer failing closed", 200)
	})
}

// Guards against a restarted instance that uses more extra retries than its previous process and the other instances have
// left over.
func TestAnInstanceThatStartsGainsExtraRepeatsOverAWindow(t *testing.T) {
	cfg := settings()
	cfg.Ingress.RetryRatio, cfg.Ingress.RetryExtra = 0, 100
	cfg.Peers.Seeds = []string{cfg.Listen.Peer, "10.0.0.2:1", "10.0.0.3:1", "10.0.0.4:1", "10.0.0.5:1"}
	runInstance(t, cfg, func(w *testInstance) {
		w.refuse.Store(true)
		repeats := func() int64 {
			before := w.received.Load()
			for range 9 {
				w.statusOf("/", "k")
			}
			return w.received.Load() - before - 9
		}
		atStart, sharersAtStart := repeats(), w.sharers()
		time.Sleep(cfg.Ingress.RetryWindow.Duration / 2)
		halfway := repeats()
		maxHalfway := int64(cfg.Ingress.RetryExtra / 5 * w.uptime().Seconds() / cfg.Ingress.RetryWindow.Seconds())
		time.Sleep(cfg.Ingress.RetryWindow.Duration - w.uptime())
		firstWindow := halfway + repeats()
		time.Sleep(time.Minute) // the store lists no other instance
		later := repeats()
		if atStart != 0 || sharersAtStart != 0 || halfway == 0 || halfway > maxHalfway || firstWindow > int64(cfg.Ingress.RetryExtra/5) || later <= halfway || w.sharers() != 1 {
			t.Errorf("retries: %d at the start with %d sharers, %d after half a window, want 1 to %d, %d in the first window, %d later with %d sharers", atStart, sharersAtStart, halfway, maxHalfway, firstWindow, later, w.sharers())
		}
	})
}

// TestReload checks that reloadable settings take effect at once, that requests in flight continue, and that Reload
// returns the keys that need a restart.
func TestReload(t *testing.T) {
	cfg := settings()
	cfg.Ingress.RetryRatio, cfg.Ingress.RetryExtra = 0, 20
	runInstance(t, cfg, func(w *testInstance) {
		time.Sleep(time.Minute)
		inFlight := make(chan int)
		go func() { inFlight <- w.statusOf("/slow/x", "k") }()
		synctest.Wait()
		w.refuse.Store(true)
		repeats := func() int64 {
			before := w.received.Load()
			for range 40 {
				w.statusOf("/", "k")
			}
			return w.received.Load() - before - 40
		}
		spent := repeats()
		next := cfg
		next.Ingress.RetryExtra, next.Ingress.MemoryMB, next.Ingress.OutOfTouchAfter = 0, 1, config.DurationOf(time.Minute)
		next.Ingress.ReuseWindow, next.Ingress.ApplyWithin = config.DurationOf(time.Second), config.DurationOf(time.Minute)
		next.Log.Level, next.Peers.Seeds = "debug", []string{"127.0.0.1:9"}
		changed, restart := w.Reload(next)
		got := strings.Join(changed, " ") + "; " + strings.Join(restart, " ")
		if want := "peers.seeds ingress.touch ingress.apply ingress.retry_extra ingress.reuse_window ingress.memory_mb; log.level"; got != want {
			t.Errorf("%s, want %s", got, want)
		}
		none := repeats()
		changed, restart = w.Reload(cfg)
		restored := repeats()
		time.Sleep(cfg.Ingress.RetryWindow.Duration * 11 / 10)
		if more := repeats(); spent == 0 || none != 0 || restored != 0 || more != spent || spent > 20 || len(changed) != 6 || len(restart) != 0 {
			t.Errorf("retries: %d before the change, %d without extra retries, %d after changing back, %d a window later; changed back: %v, %v", spent, none, restored, more, changed, restart)
		}
		w.refuse.Store(false)
		close(w.hold)
		if status := <-inFlight; status != 200 {
			t.Errorf("in flight during the changes: %d", status)
		}
		w.Reload(next)
		time.Sleep(20 * time.Second)
		if age := w.routes.ConfirmedAge(); age < 10*time.Second || !slices.Equal(w.seeds(), next.Peers.Seeds) {
			t.Errorf("the store was called %v ago, seeds %v", age, w.seeds())
		}
	})
}

// TestMetricsPage checks the metrics page of an instance that has served requests.
func TestMetricsPage(t *testing.T) {
	runInstance(t, settings(), func(w *testInstance) {
		w.expectStatus("at first", 200)
		w.statusOf("/", "unknown")
		page := httptest.NewRecorder()
		w.metricsServer().Handler.ServeHTTP(page, httptest.NewRequest("GET", MetricsPath, nil))
		for _, line := range []string{
			"ingress_request_ms_total{idempotent,le=5} 1", "ingress_request_ms_total{streaming,le=all} 0", "ingress_refused_total{unauthenticated} 1",
			"ingress_in_flight 0", "ingress_held_bytes 0", "ingress_connections{callers} 0", "edge_stage_call_ms_total{ok,le=all} 0",
			"edge_target_connections_total{dialed} 1", "edge_routes_version 1", "edge_stage_work_total{jobs} 0", "membership_members{alive} 1",
		} {
			if !strings.Contains(page.Body.String(), line+"\n") {
				t.Errorf("no line %s", line)
			}
		}
	})
}

// Guards against instances that announce listen.peer although listen.advertise_peer is set.
func TestAdvertisedPeerAddress(t *testing.T) {
	for _, c := range []struct{ advertised, want string }{{"", "127.0.0.1:1"}, {"127.0.0.9:9", "127.0.0.9:9"}} {
		cfg := settings()
		cfg.Listen.AdvertisePeer = c.advertised
		runInstance(t, cfg, func(w *testInstance) {
			if m, _ := w.board.Members.Get("i"); m.PeerAddr != c.want {
				t.Errorf("advertise_peer %q: member has peer address %q, want %q", c.advertised, m.PeerAddr, c.want)
			}
			listed, err := w.store.Instances(t.Context())
			if err != nil || len(listed) != 1 || listed[0].Peer != c.want {
				t.Errorf("advertise_peer %q: platform lists %+v, %v, want peer %q", c.advertised, listed, err, c.want)
			}
		})
	}
}
