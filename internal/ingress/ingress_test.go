package ingress

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/coder/quartz"

	"lynxhill.example/lynxhill/internal/forwarding"
	"lynxhill.example/lynxhill/internal/relay"
	"lynxhill.example/lynxhill/internal/route"
)

// fakeCodec has headers of its own.
type fakeCodec struct{ relay.Codec }

func (fakeCodec) Request(r *http.Request) (*relay.Request, error) {
	if r.Header.Get("X-Bad") != "" {
		return nil, errors.New("bad")
	}
	return &relay.Request{ID: r.Header.Get("X-Id"), Key: r.Header.Get("X-Key"), Method: r.Method, Host: r.Host, URI: r.RequestURI, Path: r.URL.Path}, nil
}

func (fakeCodec) Own(h http.Header, _ *relay.Request, after time.Duration) {
	if after >= 0 {
		h.Set("X-After", after.String())
	}
}

func (fakeCodec) Addresses(list []string, _ time.Duration) (string, []byte) {
	return "text/plain", []byte(strings.Join(list, " "))
}

// fakeForwarder keeps what it gets and waits as long as wait says.
type fakeForwarder struct {
	got  []forwarding.Inbound
	wait func(ctx context.Context)
}

func (f *fakeForwarder) Serve(ctx context.Context, w http.ResponseWriter, in forwarding.Inbound) {
	f.got = append(f.got, in)
	if f.wait != nil {
		f.wait(ctx)
	}
	w.WriteHeader(http.StatusOK)
}

type rig struct {
	*Ingress
	forwarder          fakeForwarder
	clock              *quartz.Mock
	table              *route.Table
	confirmed, serving bool
	addresses          []string
}

func newRig(t *testing.T) *rig {
	r := &rig{clock: quartz.NewMock(t).WithLogger(quartz.NoOpLogger), confirmed: true, serving: true, addresses: []string{"1.2.3.4:5"}}
	r.clock.Set(time.Unix(1000, 0))
	r.table = (&route.Table{
		Routes:        []route.Route{{Host: "h", PathPrefix: "/a/"}, {Host: "h", PathPrefix: "/open/", Anonymous: true}, {Host: "h", PathPrefix: "/a/b/", Name: "longer"}},
		Organisations: []route.Organisation{{Name: "o", Keys: []string{"k"}}}, Limits: route.Limits{MaxBodyBytes: 10},
	}).Build()
	r.Ingress = New(Options{
		Codec: fakeCodec{}, Forwarder: &r.forwarder, Table: func() *route.Table { return r.table },
		Confirmed: func() bool { return r.confirmed }, Serving: func() bool { return r.serving },
		Addresses:     func(string) []string { return r.addresses },
		TakeAfterStop: 2 * time.Second, Clock: r.clock,
	})
	return r
}

// ask makes a request; name and value of headers follow the body.
func (r *rig) ask(path, body string, header ...string) *httptest.ResponseRecorder {
	request := httptest.NewRequest("POST", "http://h"+path, strings.NewReader(body))
	for i := 0; i < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
	}
	w := httptest.NewRecorder()
	r.Server().Handler.ServeHTTP(w, request)
	return w
}

func (r *rig) control(path string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	r.ControlServer("/ready", "/where").Handler.ServeHTTP(w, httptest.NewRequest("GET", path, nil))
	return w
}

// TestAdmission: what is answered without a target, and what is handed on.
func TestAdmission(t *testing.T) {
	cases := []struct {
		name, path, body, key string
		change                func(*rig)
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
		{"no route, perhaps", "/b/x", "", "k", func(r *rig) { r.confirmed = false }, 503},
		{"wrong key, perhaps", "/a/x", "", "kk", func(r *rig) { r.confirmed = false }, 503},
		{"known though old", "/a/x", "", "k", func(r *rig) { r.confirmed = false }, 200},
		{"no configuration", "/b/x", "", "kk", func(r *rig) { r.table = nil }, 503},
		{"not serving", "/b/x", "", "kk", func(r *rig) { r.serving = false }, 503},
		{"stopping", "/a/x", "", "k", func(r *rig) { r.Stop(); r.clock.Set(r.clock.Now().Add(time.Second)) }, 200},
		{"stopped", "/a/x", "", "k", func(r *rig) { r.Stop(); r.clock.Set(r.clock.Now().Add(3 * time.Second)) }, 503},
		{"stopped, no route", "/b/x", "", "k", func(r *rig) { r.Stop(); r.clock.Set(r.clock.Now().Add(3 * time.Second)) }, 503},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := newRig(t)
			if c.change != nil {
				c.change(r)
			}
			w := r.ask(c.path, c.body, "X-Key", c.key)
			if w.Code != c.status || (c.status == 200) != (len(r.forwarder.got) == 1) {
				t.Fatalf("status %d, %d handed on", w.Code, len(r.forwarder.got))
			}
			if c.status == 503 && w.Header().Get("X-After") == "" && !r.Stopping() {
				t.Error("no word of when to come back")
			}
			if closes := w.Header().Get("Connection") == "close"; closes != r.Stopping() {
				t.Errorf("Connection: close is %v", closes)
			}
			if r.InFlight() != 0 {
				t.Errorf("%d in flight afterwards", r.InFlight())
			}
		})
	}
}

func TestInbound(t *testing.T) {
	r := newRig(t)
	r.ask("/a/b/x?q", "body", "X-Key", "k", "X-Id", "1")
	r.ask("/open/x", "", "X-Id", "2")
	first, second := r.forwarder.got[0], r.forwarder.got[1]
	if first.Route.Name != "longer" || first.Organisation.Name != "o" || string(first.Request.Body) != "body" || first.Table != r.table || !first.Arrived.Equal(r.clock.Now()) {
		t.Errorf("%+v", first)
	}
	if second.Organisation != nil || second.Request.ID != "2" {
		t.Errorf("%+v", second)
	}
	if w := r.ask("/a/x", "", "X-Bad", "1"); w.Code != 400 || len(r.forwarder.got) != 2 {
		t.Errorf("malformed: %d", w.Code)
	}
}

func TestControl(t *testing.T) {
	r := newRig(t)
	if w := r.control("/ready"); w.Code != 200 {
		t.Errorf("ready: %d", w.Code)
	}
	if w := r.control("/where"); w.Code != 200 || w.Body.String() != "1.2.3.4:5" {
		t.Errorf("where: %d %q", w.Code, w.Body)
	}
	r.addresses = nil
	if w := r.control("/where"); w.Code != 503 {
		t.Errorf("no address is known: %d", w.Code)
	}
	r.serving = false
	if w := r.control("/ready"); w.Code != 503 {
		t.Errorf("not serving, yet ready: %d", w.Code)
	}
	r.serving, r.table = true, nil
	if w := r.control("/ready"); w.Code != 503 {
		t.Errorf("no configuration, yet ready: %d", w.Code)
	}
	r = newRig(t)
	r.Stop()
	if w := r.control("/ready"); w.Code != 503 || !r.Stopping() {
		t.Errorf("stopping, yet ready: %d", w.Code)
	}
}

// TestCut.
//
// Symptom: a process outlives its time to stop. Events: requests are in flight
// at its end. Cause: their contexts don't end with the instance.
func TestCut(t *testing.T) {
	r := newRig(t)
	began := make(chan struct{})
	r.forwarder.wait = func(ctx context.Context) { close(began); <-ctx.Done() }
	server := httptest.NewUnstartedServer(nil)
	server.Config = r.Server()
	server.Start()
	defer server.Close()
	done := make(chan error, 1)
	go func() { // ends with the server at the latest
		request, _ := http.NewRequest("POST", server.URL+"/a/x", nil)
		request.Host = "h"
		request.Header.Set("X-Key", "k")
		response, err := http.DefaultClient.Do(request)
		if err == nil {
			err = response.Body.Close()
		}
		done <- err
	}()
	<-began
	if r.InFlight() != 1 {
		t.Errorf("%d in flight", r.InFlight())
	}
	r.Cut()
	select {
	case err := <-done:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(5 * time.Second):
		t.Fatal("it goes on")
	}
}
