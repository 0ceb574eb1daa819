// Package ingress serves callers' plain HTTP requests: it reads a request
// completely, finds its route and the organisation that holds its API key, and
// passes it to package forwarding. It also serves the readiness check and the query
// for the addresses that callers may connect to.
package ingress

import (
	"context"
	"errors"
	"expvar"
	"io"
	"log"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"lynxhill.example/lynxhill/internal/clock"
	"lynxhill.example/lynxhill/internal/errkind"
	"lynxhill.example/lynxhill/internal/event"
	"lynxhill.example/lynxhill/internal/forwarding"
	"lynxhill.example/lynxhill/internal/metrics"
	"lynxhill.example/lynxhill/internal/relay"
	"lynxhill.example/lynxhill/internal/route"
)

// Defaults that apply until a configuration is known, and timeouts of the servers.
const (
	defaultMaxHeader  = 64 << 10
	defaultMaxBody    = 4 << 20
	defaultHeaderTime = 5 * time.Second
	defaultIdle       = 20 * time.Second
	// idleMargin is added to the configured idle timeout, which callers know: a
	// caller that reuses a connection just before that timeout must not find the
	// connection closed.
	idleMargin  = 2 * time.Second
	bodyTimeout = 10 * time.Second
	// responseTimeout limits the time of a request including its response, so that
	// a caller that does not read its response does not occupy memory forever. It
	// exceeds the longest time that a request may take, so it affects only such
	// callers.
	responseTimeout = 70 * time.Second
	// unknownRetryAfter is the retry delay given to a caller while this instance
	// does not know its configuration or can't be certain that it is current.
	unknownRetryAfter = 200 * time.Millisecond
)

// Forwarder forwards requests; forwarding.Forwarder implements it.
type Forwarder interface {
	Serve(ctx context.Context, w http.ResponseWriter, in forwarding.Inbound)
}

// Options configure an Ingress.
type Options struct {
	Codec     relay.Codec
	Forwarder Forwarder
	// Table returns the routes in force, nil until some are known.
	Table func() *route.Table
	// Confirm returns whether the routes in force are confirmed to be current. It is
	// called before a request is refused because its route or key is unknown. It may
	// take a short time to get a confirmation, after which Table may return a newer
	// table.
	Confirm func(ctx context.Context) Confirmation
	// Serving reports whether the instance serves requests at all.
	Serving func() bool
	// Addresses returns the addresses for a caller in the availability zone.
	Addresses func(zone string) []string
	// AddressTTL returns how long a caller may cache the addresses.
	AddressTTL func() time.Duration
	// AcceptAfterStop is how long new requests are still accepted after Stop.
	AcceptAfterStop time.Duration
	Bounds          Bounds            // see SetBounds
	Metrics         *metrics.Registry // nil = no metrics
	Clock           clock.Clock
	Logger          *event.Logger
}

// Confirmation is the confirmation state of the routes in force. It decides whether a
// request may be refused because its route or key is unknown.
type Confirmation struct {
	// Current reports whether the routes in force include every change that has to be
	// in force by now.
	Current bool
	// Age is the age of the newest confirmation by the store that the routes are in
	// force. Source is the source from which this instance got it.
	Age    time.Duration
	Source string
}

// Ingress serves callers. It is safe for concurrent use.
type Ingress struct {
	o              Options
	inFlight       atomic.Int64
	held           memoryLimit
	times          histograms
	refusals       *expvar.Map
	callers        *connectionLimiter
	readyQueries   *connectionLimiter        // of the readiness listener
	addressQueries *connectionLimiter        // of the address listener
	stopping       atomic.Pointer[time.Time] // time of Stop, by the monotonic clock; nil = not stopping
	cancel         context.CancelFunc
	base           context.Context
}

// New returns an ingress that accepts requests.
func New(o Options) *Ingress {
	base, cancel := context.WithCancel(context.Background())
	g := &Ingress{o: o, base: base, cancel: cancel}
	g.callers = g.newLimiter("callers")
	g.readyQueries = g.newLimiter("readiness")
	g.addressQueries = g.newLimiter("addresses")
	g.SetBounds(o.Bounds)
	g.publish()
	return g
}

func (g *Ingress) newLimiter(name string) *connectionLimiter {
	return &connectionLimiter{name: name, clock: g.o.Clock, logger: g.o.Logger, fullResponse: g.encodeFullResponse()}
}

// SetBounds changes the limits on memory and connections. Requests and connections
// above a new limit are not ended at once.
func (g *Ingress) SetBounds(b Bounds) {
	g.held.limit.Store(b.Held)
	g.callers.setLimit(b.Connections)
	g.readyQueries.setLimit(b.QueryConnections)
	g.addressQueries.setLimit(b.QueryConnections)
}

// Server returns the server of callers' requests, to be used with CallerListener.
func (g *Ingress) Server() *http.Server {
	s := g.server(http.HandlerFunc(g.serve))
	s.ConnContext = withConn
	s.ConnState = g.callers.stateChanged
	s.WriteTimeout = responseTimeout
	s.IdleTimeout = defaultIdle
	if t := g.o.Table(); t != nil && t.Limits.IdleTimeout > 0 {
		s.IdleTimeout = t.Limits.IdleTimeout + idleMargin
	}
	return s
}

// CallerListener wraps l for Server: it limits the number of connections and watches
// request heads, see headWatch.
func (g *Ingress) CallerListener(l net.Listener) net.Listener {
	return watchedListener{limitedListener{l, g.callers}, &g.held}
}

// ReadyServer returns the server of the readiness check on the path, to be used with
// ReadyListener.
func (g *Ingress) ReadyServer(path string) *http.Server {
	return g.queryServer(path, g.serveReady, g.readyQueries)
}

// ReadyListener wraps l for ReadyServer: it limits the number of connections.
func (g *Ingress) ReadyListener(l net.Listener) net.Listener {
	return limitedListener{l, g.readyQueries}
}

// AddressServer returns the server of address queries on the path, to be used with
// AddressListener.
func (g *Ingress) AddressServer(path string) *http.Server {
	return g.queryServer(path, g.serveAddresses, g.addressQueries)
}

// AddressListener wraps l for AddressServer: it limits the number of connections.
func (g *Ingress) AddressListener(l net.Listener) net.Listener {
	return limitedListener{l, g.addressQueries}
}

func (g *Ingress) queryServer(path string, h http.HandlerFunc, limiter *connectionLimiter) *http.Server {
	mux := http.NewServeMux()
	mux.HandleFunc(path, h)
	s := g.server(mux)
	s.ConnState = limiter.stateChanged
	s.WriteTimeout = defaultIdle
	return s
}

func (g *Ingress) server(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: defaultHeaderTime,
		IdleTimeout:       defaultIdle,
		MaxHeaderBytes:    defaultMaxHeader,
		BaseContext:       func(net.Listener) context.Context { return g.base },
		ErrorLog:          log.New(io.Discard, "", 0),
	}
}

// Stop starts a graceful shutdown: the instance is no longer ready, and responses
// tell callers that the connection will be closed.
func (g *Ingress) Stop() {
	began := g.o.Clock.Now()
	g.stopping.CompareAndSwap(nil, &began)
}

// CancelRequests cancels the requests in flight.
func (g *Ingress) CancelRequests() { g.cancel() }

// InFlight returns the number of requests whose response is not complete.
func (g *Ingress) InFlight() int { return int(g.inFlight.Load()) }

// Stopping reports whether Stop was called.
func (g *Ingress) Stopping() bool { return g.stopping.Load() != nil }

// closed reports whether new requests are refused because the instance is stopping.
func (g *Ingress) closed() bool {
	since := g.stopping.Load()
	return since != nil && g.o.Clock.Now().Sub(*since) > g.o.AcceptAfterStop
}

// serveReady answers the readiness check.
func (g *Ingress) serveReady(w http.ResponseWriter, _ *http.Request) {
	if g.Stopping() || g.o.Table() == nil || !g.o.Serving() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// serveAddresses answers an address query.
func (g *Ingress) serveAddresses(w http.ResponseWriter, r *http.Request) {
	addresses := g.o.Addresses(r.URL.Query().Get("zone"))
	if len(addresses) == 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	kind, body := g.o.Codec.EncodeAddresses(addresses, g.o.AddressTTL())
	w.Header().Set("Content-Type", kind)
	_, _ = w.Write(body)
}

// serve handles one request of a caller.
func (g *Ingress) serve(w http.ResponseWriter, r *http.Request) {
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	defer nextHead(r.Context())
	if !r.ProtoAtLeast(1, 1) {
		defer resetAborted(r.Context())
	}
	abortIfEvicted(r.Context())
	reserved := reservation{memoryLimit: &g.held}
	defer reserved.end()
	arrived := g.o.Clock.Now()
	if mayHaveBothLengths(r.Context(), len(r.TransferEncoding) > 0) || g.Stopping() {
		w.Header().Set("Connection", "close")
	}
	in, err := g.admit(w, r, &reserved)
	if err != nil {
		g.refuse(w, in.Request, err)
		return
	}
	in.Arrived = arrived
	in.Reserve = func(bytes int) bool { return reserved.add(int64(bytes)) == nil }
	defer g.countTime(in.Route.Kind, arrived)
	g.o.Forwarder.Serve(r.Context(), w, in)
}

// admit reads the request and finds the configuration that applies to it. The body
// is read completely first: a response before that would leave bytes on the
// connection that belong to no request. Only a body that exceeds the memory limit is
// not read, see skipBody.
func (g *Ingress) admit(w http.ResponseWriter, r *http.Request, reserved *reservation) (forwarding.Inbound, error) {
	var in forwarding.Inbound
	table := g.o.Table()
	req, err := g.o.Codec.ParseRequest(r)
	if err != nil {
		return in, errkind.Wrap(err, errkind.BadRequest, "request")
	}
	in.Request = req
	if err = reserved.add(requestCost); err == nil {
		req.Body, err = readBody(w, r, table, reserved)
	}
	if errors.Is(err, errFull) {
		skipBody(w, r)
	}
	if err != nil {
		return in, err
	}
	switch {
	case g.closed():
		return in, errkind.New(errkind.Stopping, "this instance is stopping")
	case table == nil || !g.o.Serving():
		return in, errkind.WithRetryAfter(errkind.New(errkind.Isolated, "the configuration is not known yet"), unknownRetryAfter)
	}
	in.Table = table
	if err = match(&in); err == nil {
		return in, nil
	}
	known := g.o.Confirm(r.Context())
	if newer := g.o.Table(); newer != table {
		in.Table = newer
		err = match(&in)
	}
	if err == nil {
		return in, nil
	}
	return in, g.unknown(in, known, err)
}

// match finds the request's route and the organisation that holds its key.
func match(in *forwarding.Inbound) error {
	if in.Route = in.Table.Match(in.Request.Host, in.Request.Path); in.Route == nil {
		return errNoRoute
	}
	if !in.Table.KeysRequired() {
		return nil
	}
	in.Organisation = in.Table.OrganisationByKey(in.Request.Key)
	if in.Organisation == nil && !in.Route.Anonymous {
		return errNoKey
	}
	return nil
}

// Errors for routes and keys that the routes in force do not contain.
var (
	errNoRoute = errkind.New(errkind.NotFound, "no such route")
	errNoKey   = errkind.New(errkind.Unauthenticated, "no such key")
)

// unknown returns the error for a route or key that the routes in force do not
// contain. If the instance may have missed a change, the error is not final but asks
// the caller to retry: after a final one the caller would not come again.
func (g *Ingress) unknown(in forwarding.Inbound, known Confirmation, err error) error {
	if !known.Current {
		err = errkind.WithRetryAfter(errkind.New(errkind.Isolated, "%v here, but the configuration may be old", err), unknownRetryAfter)
	}
	g.o.Logger.Log(event.IngressUnknown, "request", in.Request.ID, "kind", errkind.Of(err), "host", in.Request.Host,
		"path", in.Request.Path[:min(len(in.Request.Path), maxLoggedPath)], "version", in.Table.Version,
		"confirmed_age", known.Age, "source", known.Source)
	return err
}

// maxLoggedPath is the maximum length of a path in a log line, in bytes.
const maxLoggedPath = 64

// readBody reads the whole body, subject to the limits in force.
func readBody(w http.ResponseWriter, r *http.Request, table *route.Table, reserved *reservation) ([]byte, error) {
	if r.Body == nil || r.ContentLength == 0 {
		return nil, nil
	}
	limit := int64(defaultMaxBody)
	if table != nil && table.Limits.MaxBodyBytes > 0 {
		limit = table.Limits.MaxBodyBytes
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(bodyTimeout))
	defer control.SetReadDeadline(time.Time{})
	body, err := io.ReadAll(http.MaxBytesReader(w, countedBody{r.Body, reserved}, limit))
	var large *http.MaxBytesError
	switch {
	case errors.Is(err, errFull):
		return nil, err
	case errors.As(err, &large):
		return nil, errkind.New(errkind.TooLarge, "the body exceeds %d bytes", limit)
	case err != nil:
		return nil, errkind.Wrap(err, errkind.BadRequest, "body")
	}
	return body, nil
}

// refuse writes an error response of this instance.
func (g *Ingress) refuse(w http.ResponseWriter, req *relay.Request, err error) {
	after := errkind.RetryAfter(err)
	if after == 0 {
		after = -1
	}
	id := ""
	if req != nil {
		id = req.ID
	}
	g.countRefused(err)
	status := forwarding.WriteError(w, g.o.Codec, req, err, after)
	g.o.Logger.Log(event.IngressRefused, "request", id, "status", status, "reason", err)
}
