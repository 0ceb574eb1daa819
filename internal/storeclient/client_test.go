package storeclient

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"lynxhill.example/lynxhill/internal/store"
	"lynxhill.example/lynxhill/internal/wire/platformapi"
)

func clientOf(endpoints ...string) *Client {
	return New(Options{Endpoints: endpoints, Token: "secret"})
}

func reply(w http.ResponseWriter, status int, body any) {
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func TestCallsAndAnswers(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Authorization") != "Bearer secret" {
			t.Error("no token")
		}
		switch r.Method + " " + r.URL.RequestURI() {
		case "GET /v1/objects/a/b%20c":
			reply(w, 200, store.Object{Key: "a/b c", Version: 7, Value: []byte("v")})
		case "PUT /v1/objects/a?if_version=3":
			body, _ := io.ReadAll(r.Body)
			if string(body) != "new" {
				t.Errorf("body %q", body)
			}
			reply(w, 200, store.Object{Key: "a", Version: 8})
		case "PUT /v1/objects/a?if_version=4":
			current := store.Object{Key: "a", Version: 9, Value: []byte("theirs")}
			reply(w, 409, platformapi.Error{Code: platformapi.CodeConflict, Current: &current})
		case "DELETE /v1/objects/a?if_version=3":
			reply(w, 404, platformapi.Error{Code: platformapi.CodeNotFound})
		case "GET /v1/objects/?prefix=p%2F":
			reply(w, 200, platformapi.ObjectList{Version: 5, Objects: []store.Object{{Key: "p/1"}}})
		case "GET /v1/watch?after=5&prefix=p%2F&wait_ms=25000":
			reply(w, 200, platformapi.ObjectList{Version: 6, Compacted: true})
		case "POST /v1/instances":
			reply(w, 200, struct{}{})
		case "GET /v1/instances":
			reply(w, 200, platformapi.InstanceList{Instances: []store.Instance{{ID: "i"}}})
		default:
			t.Errorf("unexpected call %s %s", r.Method, r.URL.RequestURI())
		}
	}))
	defer server.Close()
	c, ctx := clientOf(server.URL), t.Context()
	if obj, err := c.Get(ctx, "a/b c"); err != nil || string(obj.Value) != "v" || obj.Version != 7 {
		t.Errorf("get: %+v, %v", obj, err)
	}
	if obj, err := c.Put(ctx, "a", []byte("new"), 3); err != nil || obj.Version != 8 || string(obj.Value) != "new" {
		t.Errorf("put: %+v, %v", obj, err)
	}
	if obj, err := c.Put(ctx, "a", []byte("new"), 4); !errors.Is(err, store.ErrConflict) || string(obj.Value) != "theirs" {
		t.Errorf("conflict: %+v, %v", obj, err)
	}
	if err := c.Delete(ctx, "a", 3); !errors.Is(err, store.ErrNotFound) {
		t.Errorf("delete: %v", err)
	}
	if objs, version, err := c.List(ctx, "p/"); err != nil || len(objs) != 1 || version != 5 {
		t.Errorf("list: %v, %d, %v", objs, version, err)
	}
	if _, version, compacted, err := c.Watch(ctx, "p/", 5); err != nil || !compacted || version != 6 {
		t.Errorf("watch: %d, %v, %v", version, compacted, err)
	}
	if err := c.Register(ctx, store.Instance{ID: "i"}); err != nil {
		t.Errorf("register: %v", err)
	}
	if list, err := c.Instances(ctx); err != nil || len(list) != 1 {
		t.Errorf("instances: %v, %v", list, err)
	}
	if c.Calls() != 8 || !c.Up() {
		t.Errorf("%d calls, up %v", c.Calls(), c.Up())
	}
}

// brokenServer answers the first call, and closes the connection of each further one once
// it has read the call, as a platform instance that crashes does.
func brokenServer(t *testing.T, puts *atomic.Int64) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var calls atomic.Int64
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPut {
			puts.Add(1)
			_, _ = io.Copy(io.Discard, r.Body)
		}
		if calls.Add(1) > 1 {
			panic(http.ErrAbortHandler)
		}
		reply(w, 200, store.Object{Version: 1})
	})}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

// Guards against a claim being refused as held by its own writer, and against a
// profile change that appears twice. A connection breaks while a PUT is in flight, and
// net/http's transport retries on a new connection what it considers replayable.
func TestPutIsNeverRepeated(t *testing.T) {
	var puts atomic.Int64
	c := clientOf(brokenServer(t, &puts))
	if _, err := c.Put(t.Context(), "a", []byte("x"), 0); err != nil {
		t.Fatal(err)
	}
	_, err := c.Put(t.Context(), "a", []byte("x"), 1)
	if !errors.Is(err, store.ErrUnknown) || errors.Is(err, store.ErrUnavailable) {
		t.Errorf("broken PUT: %v", err)
	}
	if puts.Load() != 2 {
		t.Errorf("the platform saw %d PUTs of 2", puts.Load())
	}
}

// Guards against reporting a write as not carried out that takes effect later, because
// a lost reply was classified as a refusal.
func TestClassification(t *testing.T) {
	hang := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/v1/objects/hang":
			_, _ = io.Copy(io.Discard, r.Body)
			<-hang
		case "/v1/objects/down":
			reply(w, 503, platformapi.Error{Code: platformapi.CodeUnavailable})
		case "/v1/objects/limit":
			reply(w, 429, platformapi.Error{Code: platformapi.CodeThrottled})
		case "/v1/objects/large":
			reply(w, 413, platformapi.Error{Code: platformapi.CodeTooLarge})
		case "/v1/objects/between":
			http.Error(w, "bad gateway", http.StatusBadGateway)
		case "/v1/objects/moved":
			http.Redirect(w, r, "/v1/objects/hang", http.StatusTemporaryRedirect)
		case "/v1/objects/cut":
			w.Header().Set("Content-Length", "100")
			_, _ = w.Write([]byte(`{"key":`))
		}
	}))
	defer server.Close()
	defer close(hang)
	cases := map[string]error{
		"hang": store.ErrUnknown, "down": store.ErrUnavailable, "limit": store.ErrThrottled,
		"large": store.ErrTooLarge, "between": store.ErrUnknown, "cut": store.ErrUnknown, "moved": store.ErrUnknown,
	}
	for key, want := range cases {
		ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
		if _, err := clientOf(server.URL).Put(ctx, key, []byte("x"), 0); !errors.Is(err, want) {
			t.Errorf("%s: %v, want %v", key, err, want)
		}
		cancel()
	}
	dead, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = dead.Close()
	c := clientOf(dead.Addr().String())
	if _, err := c.Put(t.Context(), "a", nil, 0); !errors.Is(err, store.ErrUnavailable) || errors.Is(err, store.ErrUnknown) {
		t.Errorf("no listener: %v", err)
	}
	both := clientOf(dead.Addr().String(), server.URL)
	if _, err := both.Put(t.Context(), "down", nil, 0); both.Calls() != 2 || !errors.Is(err, store.ErrUnavailable) {
		t.Errorf("second endpoint not tried: %d calls, %v", both.Calls(), err)
	}
}
