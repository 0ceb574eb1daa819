// Package client speaks lynxhill's caller API and admin API, for lynxctl,
// lynxbench and Go services.
//
// A Caller asks which instances to use, keeps the answer for as long as it
// says, sends requests there, checks that what comes back is the whole answer
// to its own request, and sends again under the same idempotency key where the
// error's run state and advice allow it. An Admin drives the admin API.
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

// Bounds of the transport.
const (
	defaultDialTimeout = 2 * time.Second
	idleTimeout        = 30 * time.Second
	idlePerServer      = 64
	maxErrorBytes      = 64 << 10
	maxReplyBytes      = 64 << 20 // a burn report of a large fleet is the largest
)

// ErrNoServers is returned when no address is known to send to.
var ErrNoServers = errors.New("client: no server to ask")

// TransportError is a call that ended without an answer of an instance.
type TransportError struct {
	Server string
	// Sent says that a part of the call may have reached the server. If it is
	// false the call was certainly not received.
	Sent bool
	Err  error
}

// Error implements error.
func (e *TransportError) Error() string { return fmt.Sprintf("%s: %v", e.Server, e.Err) }

// Unwrap returns the cause.
func (e *TransportError) Unwrap() error { return e.Err }

// RunStateOf says what an error of this package tells about the request; err
// must not be nil.
func RunStateOf(err error) errkind.RunState {
	if transport, ok := bare(err); ok && transport.Sent {
		return errkind.MayHaveRun
	}
	if IsUnreachable(err) {
		return errkind.NotRun
	}
	return errkind.Of(err).RunState()
}

// IsUnreachable reports whether the request was never received by a server, in
// none of its attempts.
func IsUnreachable(err error) bool {
	if transport, ok := bare(err); ok {
		return !transport.Sent
	}
	return errors.Is(err, ErrNoServers) && errkind.Of(err) == errkind.Internal
}

// bare returns the broken call that err reports, unless a kind was put around
// it: that speaks for all attempts, the call for the last one.
//
// What goes wrong without it: an attempt may have run, the last one reached
// nobody, and the caller is told not_run. It sends its booking under a new key,
// and one finds it booked twice.
func bare(err error) (*TransportError, bool) {
	var transport *TransportError
	if !errors.As(err, &transport) || errkind.Of(err) != errkind.Of(transport) {
		return nil, false
	}
	return transport, true
}

// newHTTPClient returns a client that speaks HTTP/1.1 only: cancelling a call
// then closes its connection, so that the next attempt is on a new one. With
// HTTP/2 a connection that went silent would be shared by all calls until its
// ping failed.
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

// baseURL turns "host:port" or a URL into the start of a URL.
func baseURL(server string, secure bool) string {
	if strings.Contains(server, "://") {
		return strings.TrimRight(server, "/")
	}
	if secure {
		return "https://" + server
	}
	return "http://" + server
}

// doer sends one HTTP request; *http.Client and httpc.Service fit.
type doer func(*http.Request) (*http.Response, error)

// call is one HTTP call.
type call struct {
	method string
	path   string
	query  url.Values
	body   any // nil for none
}

// send sends the call. An answer that is not 2xx becomes an error of the kind
// in its body; no answer becomes a *TransportError. The caller closes the
// response's body.
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

// withoutURL drops the URL from an error: it names the idempotency key.
func withoutURL(err error) error {
	var wrapped *url.Error
	if errors.As(err, &wrapped) {
		return wrapped.Err
	}
	return err
}

// errorOf reads the error of an answer that is not 2xx.
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

// readReply reads a JSON answer whole.
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

// serviceOf returns go-zero's client for one server. Each server has a name of
// its own, because the breaker inside counts by name: a broken server must not
// close the way to the others.
func serviceOf(httpClient *http.Client, base string) doer {
	return httpc.NewServiceWithClient("lynxhill "+base, httpClient).DoRequest
}
