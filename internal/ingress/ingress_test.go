package ingress

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/coder/quartz"
	"github.com/go-kit/log"

	"lynxhill.example/lynxhill/internal/event"
	"lynxhill.example/lynxhill/internal/forwarding"
	"lynxhill.example/lynxhill/internal/relay"
	"lynxhill.example/lynxhill/internal/route"
)

// fakeCodec is a codec with X-* headers.
type fakeCodec struct{ relay.Codec }

func (fakeCodec) ParseRequest(r *http.Request) (*relay.Request, error) {
	return &relay.Request{ID: r.Header.Get("X-Id"), Key: r.Header.Get("X-Key"), Method: r.Method, Host: r.Host, URI: r.RequestURI, Path: r.URL.Path}, nil
}

func (fakeCodec) SetOwnHeader(h http.Header, _ *relay.Request, after time.Duration) {
	h.Set("X-After", after.String())
}

// admissionRig is an ingress with settable instance state. It is also the forwarder, and stores the requests it gets.
type admissionRig struct {
	*Ingress
	got                []forwarding.Inbound
	table              *route.Table
	confirmed, serving bool
	clock              *quartz.Mock
}

func (r *admissionRig) Serve(_ context.Context, w http.ResponseWriter, in forwarding.Inbound) {
	r.got = append(r.got, in)
	w.WriteHeader(http.StatusOK)
}

func (r *admissionRig) stop(ago time.Duration) { r.Stop(); r.clock.Set(r.clock.Now().Add(ago)) }

// TestAdmission checks which requests the ingress answers itself, and which it passes to the forwarder.
func TestAdmission(t *testing.T) {
	cases := []struct {
		name, path, body, key string
		change                func(*admissionRig)
		status                int
	}{
		{"route and key", "/a/x", "body", "k", nil, 200},
		{"as large as allowed", "/a/x", "0123456789", "k", nil, 200},
		{"too large", "/a/x", "0123456789+", "k", nil, 413},
		{"no route", "/b/x", "", "k", nil, 404},
		{"prefix without its slash", "/a", "", "k", nil, 404},
		{"no key", "/a/x", "", "", nil, 401},
		{"wrong key", "/a/x", "", "kk", nil, 401},
		{"anonymous", "/open/x", "", "", nil, 200},
		{"anonymous with a wrong key", "/open/x", "", "kk", nil, 200},
		{"no route, not confirmed", "/b/x", "", "k", func(r *admissionRig) { r.confirmed = false }, 503},
		{"wrong key, not confirmed", "/a/x", "", "kk", func(r *admissionRig) { r.confirmed = false }, 503},
		{"known, not confirmed", "/a/x", "", "k", func(r *admissionRig) { r.confirmed = false }, 200},
		{"no configuration", "/b/x", "", "kk", func(r *admissionRig) { r.table = nil }, 503},
		{"not serving", "/b/x", "", "kk", func(r *admissionRig) { r.serving = false }, 503},
		{"stopping", "/a/x", "", "k", func(r *admissionRig) { r.stop(time.Second) }, 200},
		{"stopped", "/a/x", "", "k", func(r *admissionRig) { r.stop(3 * time.Second) }, 503},
		{"stopped, no route", "/b/x", "", "k", func(r *admissionRig) { r.stop(3 * time.Second) }, 503},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			clock := quartz.NewMock(t).WithLogger(quartz.NoOpLogger)
			r := &admissionRig{confirmed: true, serving: true, clock: clock, table: (&route.Table{
				Routes:        []route.Route{{Host: "h", PathPrefix: "/a/"}, {Host: "h", PathPrefix: "/open/", Anonymous: true}},
				Organisations: []route.Organisation{{Name: "o", Keys: []string{"k"}}}, Limits: route.Limits{MaxBodyBytes: 10},
			}).Build()}
			r.Ingress = New(Options{
				Codec: fakeCodec{}, Forwarder: r, Table: func() *route.Table { return r.table }, Clock: clock,
				Confirm: func(context.Context) Confirmation {
					return Confirmation{Current: r.confirmed, Age: time.Second, Source: "store"}
				}, Serving: func() bool { return r.serving }, AcceptAfterStop: 2 * time.Second,
			})
			if c.change != nil {
				c.change(r)
			}
			request, w, ready := httptest.NewRequest("POST", "http://h"+c.path, strings.NewReader(c.body)), httptest.NewRecorder(), httptest.NewRecorder()
			request.Header.Set("X-Key", c.key)
			r.Server().Handler.ServeHTTP(w, request)
			r.ReadyServer("/ready").Handler.ServeHTTP(ready, httptest.NewRequest("GET", "/ready", nil))
			if w.Code != c.status || (c.status == 200) != (len(r.got) == 1) || len(r.got) == 1 && string(r.got[0].Request.Body) != c.body {
				t.Fatalf("status %d, forwarded: %+v", w.Code, r.got)
			}
			well := r.table != nil && r.serving && !r.Stopping()
			if c.status == 200 && (r.got[0].Organisation != nil) != (c.key == "k") || well != (ready.Code == 200) {
				t.Errorf("status of the readiness check: %d, forwarded: %+v", ready.Code, r.got)
			}
			if after := w.Header().Get("X-After"); c.status == 503 && !r.Stopping() && (after == "" || after[0] == '-') {
				t.Errorf("retry delay %q", after)
			}
			if closes := w.Header().Get("Connection") == "close"; closes != r.Stopping() || r.InFlight() != 0 {
				t.Errorf("Connection: close is %v, %d in flight", closes, r.InFlight())
			}
		})
	}
}

// Guards against a stopping instance that refuses callers that still have its address cached, or accepts requests until it
// exits, because the wall clock steps by seconds in the meantime: the time of Stop has to be measured by the monotonic clock.
func TestAStopIsTimedByTheSteadyClock(t *testing.T) {
	g := New(Options{Codec: fakeCodec{}, Clock: quartz.NewReal()})
	g.Stop()
	if began := g.stopping.Load(); !strings.Contains(began.String(), "m=") {
		t.Errorf("%v has no reading of the monotonic clock", began)
	}
}

// A refusal because the route is unknown logs the confirmation state that it is based on.
func TestRefusalAsUnknownLogsConfirmation(t *testing.T) {
	var lines bytes.Buffer
	table := (&route.Table{Version: 7}).Build()
	for _, sure := range []bool{true, false} {
		lines.Reset()
		g := New(Options{
			Codec: fakeCodec{}, Clock: quartz.NewReal(), Table: func() *route.Table { return table }, Serving: func() bool { return true },
			Confirm: func(context.Context) Confirmation {
				return Confirmation{Current: sure, Age: 1500 * time.Millisecond, Source: "i-3"}
			},
			Logger: event.NewLogger(log.NewLogfmtLogger(&lines)),
		})
		g.Server().Handler.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest("GET", "http://h/new/x", nil))
		kind := map[bool]string{true: "kind=not_found", false: "kind=isolated"}[sure]
		for _, part := range []string{"ingress_unknown", kind, "path=/new/x", "version=7", "confirmed_age=1.5s", "source=i-3"} {
			if !strings.Contains(lines.String(), part) {
				t.Errorf("no %s in the log:\n%s", part, lines.String())
			}
		}
	}
}

// A request whose route arrives while the instance waits for a confirmation of its routes is served.
func TestRouteThatArrivesDuringConfirmationIsServed(t *testing.T) {
	r := &admissionRig{serving: true, clock: quartz.NewMock(t).WithLogger(quartz.NoOpLogger), table: (&route.Table{Version: 1}).Build()}
	r.Ingress = New(Options{
		Codec: fakeCodec{}, Forwarder: r, Table: func() *route.Table { return r.table }, Clock: r.clock, Serving: func() bool { return true },
		Confirm: func(context.Context) Confirmation {
			r.table = (&route.Table{Version: 2, Routes: []route.Route{{Host: "h", PathPrefix: "/new/"}}}).Build()
			return Confirmation{Current: true}
		},
	})
	w := httptest.NewRecorder()
	r.Server().Handler.ServeHTTP(w, httptest.NewRequest("GET", "http://h/new/x", nil))
	if w.Code != 200 || len(r.got) != 1 || r.got[0].Table.Version != 2 {
		t.Errorf("status %d, forwarded: %+v", w.Code, r.got)
	}
}
