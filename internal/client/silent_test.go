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

// silentInstance takes every call and answers none; held counts the calls that
// it holds now.
func silentInstance(t *testing.T) (addr string, held *atomic.Int32) {
	t.Helper()
	held = new(atomic.Int32)
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		held.Add(1)
		_, _ = io.Copy(io.Discard, r.Body) // only then is a caller noticed that goes away
		<-r.Context().Done()
		held.Add(-1)
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://"), held
}

// Symptom: requests with a deadline of one second were lost while one instance
// was frozen. Events: the caller's address answer ran out, it asked the frozen
// instance for a new one and waited out the limit for that. Cause: the next
// instance was asked only after the one before had failed.
func TestSilentInstanceDoesNotDelayTheQuestionForAddresses(t *testing.T) {
	silent, held := silentInstance(t)
	i := newInstance(t, whole)
	c := newTestCaller(silent, i.addr())
	c.book.avoid(i.addr(), time.Now()) // so that the silent one is asked first
	answer, err := c.Address(t.Context())
	if err != nil || len(answer.Addresses) == 0 || answer.Addresses[0].Address != i.addr() {
		t.Fatalf("%+v %v", answer, err)
	}
	if held.Load() != 1 {
		t.Fatal("the silent instance was given up before the next one was asked")
	}
}

// Symptom: as above, with a fresh address answer. Events: the request itself
// went to the frozen instance. Cause: a stream was given up only after two
// and a half heartbeats, longer than the deadline.
func TestStreamThatDoesNotBeginGoesElsewhereWithinItsDeadline(t *testing.T) {
	silent, _ := silentInstance(t)
	i := newInstance(t, whole)
	c := newTestCaller(i.addr())
	c.opts.IdleTimeout = time.Hour
	c.book.keep(lynxapi.AddressAnswer{KeepMS: 60000, Addresses: []lynxapi.Address{
		{Address: silent, Weight: 1e9}, {Address: i.addr(), Weight: 1e-9},
	}}, time.Now())
	req := lynxapi.SendRequest{Organisation: "agency", Input: json.RawMessage(`{}`), Stream: true, DeadlineMS: 8000}
	result, err := c.Send(t.Context(), "check", req, nil)
	if err != nil || result.Server != i.addr() || result.Attempts != 2 {
		t.Fatalf("%+v %v", result, err)
	}
	if !c.book.isAvoided(silent, time.Now()) {
		t.Fatal("the next request would go to the silent instance again")
	}
}

type roundTrip func(*http.Request) (*http.Response, error)

func (f roundTrip) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

// Symptom: after a connection of an instance went silent, the slowest requests
// took a quarter of their deadline longer. Events: the next request went out on
// it. Cause: it was waited on like a new one, whose stream may begin late.
func TestKeptConnectionThatIsSilentIsGivenUpSoon(t *testing.T) {
	for _, c := range []struct {
		deadlineMS int64
		want       time.Duration
		reused     []bool // of the connections that the transport takes
	}{
		{8000, 2 * time.Second, []bool{false}},
		{8000, leastHeaderWait, []bool{true}},
		{0, leastHeaderWait, []bool{true}},
		{8000, 2 * time.Second, []bool{true, false}}, // the first was found closed
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

// Guards against requests that are given up at a busy instance on a connection
// that has answered just before.
func TestConnectionThatJustAnsweredIsNotTakenForSilent(t *testing.T) {
	for _, c := range []struct {
		idle time.Duration
		want time.Duration
	}{
		{provenFor - time.Millisecond, 2 * time.Second},
		{provenFor, leastHeaderWait},
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

// Symptom: a caller ended with a broken connection although an instance had
// answered every question about its request. Events: the stream broke; asked
// for the outcome, the instance said "running" until the deadline. Cause: the
// error from before the questions was returned.
func TestRunningToTheEndIsTheLastWord(t *testing.T) {
	i := newInstance(t, func(w *eventWriter, _ lynxapi.SendRequest) { w.begin() }) // no end mark
	i.outcome.State = lynxapi.OutcomeRunning
	req := lynxapi.SendRequest{Organisation: "agency", Input: json.RawMessage(`{}`), Stream: true, DeadlineMS: 50}
	_, err := newTestCaller(i.addr()).Send(t.Context(), "check", req, nil)
	if !errkind.Is(err, errkind.KeyInProgress) {
		t.Fatalf("%v", err)
	}
}

// Symptom: while all instances were replaced, callers ended after two seconds
// of a deadline of five. Events: eight connections were refused. Cause: an
// attempt that reached nobody counted like one that was answered.
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
