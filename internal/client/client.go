// Package client is a client for lynxhill's caller API and admin API. It is used
// by lynxctl, lynxbench and Go services.
//
// A Caller discovers which instances to use and caches the answer for as long as
// the answer states. It sends requests to them, verifies that each answer is
// complete and belongs to the request, and retries under the same idempotency
// key where the error's run state and resend advice allow it. An Admin is a
// client of the admin API.
package client

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	"github.com/zeromicro/go-zero/core/breaker"
	"github.com/zeromicro/go-zero/rest/httpc"

	"lynxhill.example/lynxhill/internal/defaults"
	"lynxhill.example/lynxhill/internal/errkind"
)

// Limits of the HTTP transport and of responses.
const (
	defaultDialTimeout = 2 * time.Second
	idleTimeout        = 30 * time.Second
	idlePerServer      = 64
	maxErrorBytes      = 64 << 10
	maxReplyBytes      = 64 << 20 // a burn report of a large fleet is the largest
)

// ErrNoServers is returned when no server address is known.
var ErrNoServers = errors.New("client: no server to ask")

// TransportError is the error of a call that ended without a valid answer of an
// instance.
type TransportError struct {
	Server string
	// Sent reports whether part of the call may have reached the server. If
	// it is false, the server certainly did not receive the call.
	Sent bool
	Err  error
}

// Error implements error.
func (e *TransportError) Error() string { return fmt.Sprintf("%s: %v", e.Server, e.Err) }

// Unwrap returns the cause.
func (e *TransportError) Unwrap() error { return e.Err }

// RunStateOf returns whether the request may have run, according to an error of
// this package; err must not be nil.
func RunStateOf(err error) errkind.RunState {
	if transport, ok := outermostTransportError(err); ok && transport.Sent {
		return errkind.MayHaveRun
	}
	if IsUnreachable(err) {
		return errkind.NotRun
	}
	return errkind.Of(err).RunState()
}

// IsUnreachable reports whether no attempt of the request was received by a
// server.
func IsUnreachable(err error) bool {
	if transport, ok := outermostTransportError(err); ok {
		return !transport.Sent
	}
	return errors.Is(err, ErrNoServers) && errkind.Of(err) == errkind.Internal
}

// outermostTransportError returns the *TransportError in err, unless err wraps
// it in an error with a different kind. The kind describes all attempts, the
// TransportError only the last one.
//
// Without this check, a request of which an attempt may have run and whose last
// attempt reached no server would be reported as not_run. The application would
// send it again under a new key, and it would run twice.
func outermostTransportError(err error) (*TransportError, bool) {
	var transport *TransportError
	if !errors.As(err, &transport) || errkind.Of(err) != errkind.Of(transport) {
		return nil, false
	}
	return transport, true
}

// newHTTPClient returns a client that uses HTTP/1.1 only. Cancelling a call then
// closes its connection, so the next attempt uses another one. With HTTP/2, all
// calls would share an unresponsive connection until its ping failed.
func newHTTPClient(config *tls.Config, dialTimeout time.Duration) *http.Client {
	defaults.Positive(&dialTimeout, defaultDialTimeout)
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			TLSClientConfig:     config,
			TLSHandshakeTimeout: dialTimeout,
			MaxIdleConnsPerHost: idlePerServer,
			IdleConnTimeout:     idleTimeout,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// baseURL converts "host:port" or a URL to the base URL of a server.
func baseURL(server string, secure bool) string {
	if strings.Contains(server, "://") {
		return strings.TrimRight(server, "/")
	}
	if secure {
		return "https://" + server
	}
	return "http://" + server
}

// doer sends one HTTP request. The methods (*http.Client).Do and
// httpc.Service.DoRequest are doers.
type doer func(*http.Request) (*http.Response, error)

// call describes one HTTP call.
type call struct {
	method string
	path   string
	query  url.Values
	body   any // nil for none
}

// send sends a call. A status other than 2xx becomes an error of the kind in the
// response body; a missing response becomes a *TransportError. The caller must
// close the body of the returned response.
func send(ctx context.Context, do doer, base, token string, c call) (*http.Response, error) {
	req, err := newRequest(ctx, base, token, c)
	if err != nil {
		return nil, err
	}
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{WroteHeaders: func() { sent.Store(true) }, GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	resp, err := do(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if err != nil {
		refused := errors.Is(err, breaker.ErrServiceUnavailable)
		return nil, &TransportError{Server: base, Sent: sent.Load() && !refused, Err: withoutURL(err)}
	}
	if resp.StatusCode/100 == 2 {
		return resp, nil
	}
	defer resp.Body.Close()
	return nil, errorOf(base, resp)
}

func newRequest(ctx context.Context, base, token string, c call) (*http.Request, error) {
	var body io.Reader
	if c.body != nil {
		raw, err := json.Marshal(c.body)
		if err != nil {
			return nil, fmt.Errorf("encode the call: %w", err)
		}
		body = bytes.NewReader(raw)
	}
	target := base + c.path
	if len(c.query) > 0 {
		target += "?" + c.query.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, c.method, target, body)
	if err != nil {
		return nil, fmt.Errorf("server %q: %w", base, err)
	}
	if c.body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	if token != "" {
		req.Header.Set("Authorization", "Bearer "+token)
	}
	return req, nil
}

// withoutURL removes the URL from an error, because the URL contains the
// idempotency key.
func withoutURL(err error) error {
	var wrapped *url.Error
	if errors.As(err, &wrapped) {
		return wrapped.Err
	}
	return err
}

// errorOf returns the error in the body of a response whose status is not 2xx.
func errorOf(base string, resp *http.Response) error {
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
	if err != nil {
		return &TransportError{Server: base, Sent: true, Err: err}
	}
	var body errkind.Body
	if json.Unmarshal(raw, &body) != nil || body.Kind == "" {
		return &TransportError{Server: base, Sent: true, Err: fmt.Errorf("status %d without an error body", resp.StatusCode)}
	}
	return body.Err()
}

// readReply reads a complete JSON response into reply.
func readReply(base string, resp *http.Response, reply any) error {
	defer resp.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	if err != nil {
		return &TransportError{Server: base, Sent: true, Err: err}
	}
	if err := json.Unmarshal(raw, reply); err != nil {
		return &TransportError{Server: base, Sent: true, Err: fmt.Errorf("malformed answer: %w", err)}
	}
	return nil
}

// serviceOf returns go-zero's client for one server. Each server has its own
// service name because the circuit breaker in the client counts by name: a
// failing server must not block calls to the others.
func serviceOf(httpClient *http.Client, base string) doer {
	return httpc.NewServiceWithClient("lynxhill "+base, httpClient).DoRequest
}
