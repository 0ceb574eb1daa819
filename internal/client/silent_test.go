package client

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"lynxhill.example/lynxhill/internal/errkind"
	"lynxhill.example/lynxhill/internal/wire/lynxapi"
)

// silentInstance starts a server that accepts every call and answers none. held
// is the number of calls that are open now.
func silentInstance(t *testing.T) (addr string, held *atomic.Int32) {
	t.Helper()
	held = new(atomic.Int32)
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		held.Add(1)
		_, _ = io.Copy(io.Discard, r.Body) // the server detects a disconnect only after the body has been read
		<-r.Context().Done()
		held.Add(-1)
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://"), held
}

// Guards against the loss of requests with a deadline of one second while one
// instance is frozen. The caller's address answer expired, and the caller waited
// for the whole timeout of an address request to the frozen instance, because
// the next instance was asked only after that request had failed.
func TestSilentInstanceDoesNotDelayAddressRequests(t *testing.T) {
	silent, held := silentInstance(t)
	i := newInstance(t, whole)
	c := newTestCaller(silent, i.addr())
	c.addresses.avoid(i.addr(), time.Now()) // so that the silent instance is asked first
	answer, err := c.Address(t.Context())
	if err != nil || len(answer.Addresses) == 0 || answer.Addresses[0].Address != i.addr() {
		t.Fatalf("%+v %v", answer, err)
	}
	if held.Load() != 1 {
		t.Fatal("the request to the silent instance ended before the next instance was asked")
	}
}

// Guards against the same loss when the address answer is fresh and the request
// itself goes to the frozen instance. A stream was abandoned only after two and a
// half heartbeats, which is longer than the deadline.
func TestStreamThatDoesNotStartIsRetriedElsewhereWithinItsDeadline(t *testing.T) {
	silent, _ := silentInstance(t)
	i := newInstance(t, whole)
	c := newTestCaller(i.addr())
	c.opts.IdleTimeout = time.Hour
	c.addresses.store(lynxapi.AddressAnswer{KeepMS: 60000, Addresses: []lynxapi.Address{
		{Address: silent, Weight: 1e9}, {Address: i.addr(), Weight: 1e-9},
	}}, time.Now())
	req := lynxapi.SendRequest{Organisation: "agency", Input: json.RawMessage(`{}`), Stream: true, DeadlineMS: 8000}
	result, err := c.Send(t.Context(), "check", req, nil)
	if err != nil || result.Server != i.addr() || result.Attempts != 2 {
		t.Fatalf("%+v %v", result, err)
	}
	if !c.addresses.isAvoided(silent, time.Now()) {
		t.Fatal("the next request would go to the silent instance again")
	}
}

type roundTrip func(*http.Request) (*http.Response, error)

func (f roundTrip) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

// Guards against requests that take a quarter of their deadline longer after a
// connection to an instance became unresponsive. The next request reused that
// connection and waited as long as on a new one, whose stream may start late.
func TestKeptConnectionThatIsSilentIsGivenUpSoon(t *testing.T) {
	for _, c := range []struct {
		deadlineMS int64
		want       time.Duration
		reused     []bool // for each connection that the transport gets, in order
	}{
		{8000, 2 * time.Second, []bool{false}},
		{8000, minHeaderWait, []bool{true}},
		{0, minHeaderWait, []bool{true}},
		{8000, 2 * time.Second, []bool{true, false}}, // the first connection was found closed
	} {
		synctest.Test(t, func(t *testing.T) {
			caller, start := NewCaller(CallerOptions{}), time.Now()
			caller.http.Transport = roundTrip(func(r *http.Request) (*http.Response, error) {
				for _, reused := range c.reused {
					httptrace.ContextClientTrace(r.Context()).GotConn(httptrace.GotConnInfo{Reused: reused})
				}
				<-r.Context().Done()
				return nil, r.Context().Err()
			})
			_, err := caller.sendTo(t.Context(), "a", "check", lynxapi.SendRequest{Stream: true, DeadlineMS: c.deadlineMS}, &splice{})
			if took := time.Since(start); !errors.Is(err, ErrIdleTimeout) || took != c.want {
				t.Errorf("%+v: %v after %v", c, err, took)
			}
		})
	}
}

// Guards against abandoning requests to a busy instance on a connection that
// has answered very recently.
func TestConnectionThatJustAnsweredIsNotTakenForSilent(t *testing.T) {
	for _, c := range []struct {
		idle time.Duration
		want time.Duration
	}{
		{provenIdle - time.Millisecond, 2 * time.Second},
		{provenIdle, minHeaderWait},
	} {
		synctest.Test(t, func(t *testing.T) {
			caller, start := NewCaller(CallerOptions{}), time.Now()
			caller.http.Transport = roundTrip(func(r *http.Request) (*http.Response, error) {
				httptrace.ContextClientTrace(r.Context()).GotConn(httptrace.GotConnInfo{Reused: true, WasIdle: true, IdleTime: c.idle})
				<-r.Context().Done()
				return nil, r.Context().Err()
			})
			_, err := caller.sendTo(t.Context(), "a", "check", lynxapi.SendRequest{Stream: true, DeadlineMS: 8000}, &splice{})
			if took := time.Since(start); !errors.Is(err, ErrIdleTimeout) || took != c.want {
				t.Errorf("idle for %v: %v after %v, want %v", c.idle, err, took, c.want)
			}
		})
	}
}

// Guards against reporting a broken connection although an instance has answered
// every outcome request. The stream broke, and the instance reported the request
// as running until the deadline; the error from before the outcome requests was
// returned.
func TestRequestStillRunningAtTheDeadlineIsReportedAsRunning(t *testing.T) {
	i := newInstance(t, func(w *eventWriter, _ lynxapi.SendRequest) { w.begin() }) // no end event
	i.outcome.State = lynxapi.OutcomeRunning
	req := lynxapi.SendRequest{Organisation: "agency", Input: json.RawMessage(`{}`), Stream: true, DeadlineMS: 50}
	_, err := newTestCaller(i.addr()).Send(t.Context(), "check", req, nil)
	if !errkind.Is(err, errkind.KeyInProgress) {
		t.Fatalf("%v", err)
	}
}

// Guards against requests that fail after two seconds of a deadline of five while
// all instances are replaced. Eight connections were refused, and an attempt that
// reached no instance counted like one that was answered.
func TestRefusedConnectionsDoNotUseTheAttemptsUp(t *testing.T) {
	dead := closedAddress(t)
	c := newTestCaller(dead)
	c.opts.MaxAttempts = 2
	req := lynxapi.SendRequest{Organisation: "agency", Input: json.RawMessage(`{}`), Stream: true, DeadlineMS: 100}
	result, err := c.Send(t.Context(), "check", req, nil)
	if !IsUnreachable(err) || result.Attempts <= 2 {
		t.Fatalf("%d attempts: %v", result.Attempts, err)
	}
	c.opts.MaxAttempts = 3
	req.DeadlineMS = 0 // the deadline is the profile's, not known here
	result, err = c.Send(t.Context(), "check", req, nil)
	if !IsUnreachable(err) || result.Attempts != 3 {
		t.Fatalf("without a deadline %d attempts: %v", result.Attempts, err)
	}
}
