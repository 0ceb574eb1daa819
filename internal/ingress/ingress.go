// Package ingress serves callers' plain HTTP requests: it reads a request
// completely, finds its route and the organisation that holds its API key, and
// passes it to package forwarding. It also serves the readiness check and the query
// for the addresses that callers may connect to.
package ingress

import (
	"bytes"
	"context"
	"expvar"
	"fmt"
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
	"lynxhill.example/lynxhill/internal/intake"
	"lynxhill.example/lynxhill/internal/metrics"
	"lynxhill.example/lynxhill/internal/relay"
	"lynxhill.example/lynxhill/internal/route"
)

// Limits that apply until a configuration is known, and timeouts of the servers.
const (
	defaultMaxHead    = 64 << 10
	defaultMaxBody    = 4 << 20
	defaultHeaderTime = 5 * time.Second
	defaultIdle       = 20 * time.Second
	// largestHead is the largest limit on heads, in bytes, that a configuration can set.
	largestHead = 1 << 20
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
	// queryGrace is how long a client may take to send a query, if others want its
	// connection. Queries are short and sent at once.
	queryGrace = 200 * time.Millisecond
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
	Bounds          intake.Bounds     // see SetBounds
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
	held           intake.Memory
	times          histograms
	refusals       *expvar.Map
	callers        *intake.Limiter
	readyQueries   *intake.Limiter           // of the readiness listener
	addressQueries *intake.Limiter           // of the address listener
	stopping       atomic.Pointer[time.Time] // time of Stop, by the monotonic clock; nil = not stopping
	cancel         context.CancelFunc
	base           context.Context
}

// New returns an ingress that accepts requests.
func New(o Options) *Ingress {
	base, cancel := context.WithCancel(context.Background())
	g := &Ingress{o: o, base: base, cancel: cancel}
	meter := intake.NewMeter(o.Metrics)
	g.callers = g.newLimiter("callers", intake.DefaultGrace, meter)
	g.readyQueries = g.newLimiter("readiness", queryGrace, meter)
	g.addressQueries = g.newLimiter("addresses", queryGrace, meter)
	g.SetBounds(o.Bounds)
	g.publish()
	return g
}

func (g *Ingress) newLimiter(name string, grace time.Duration, meter *intake.Meter) *intake.Limiter {
	return intake.NewLimiter(intake.Options{
		Name: name, Memory: &g.held, Limits: g.limits, Grace: grace, Meter: meter, Clock: g.o.Clock, Logger: g.o.Logger,
		FullResponse: g.encodeResponse(http.StatusServiceUnavailable, intake.FullRetryAfter),
		HeadResponse: g.encodeResponse(http.StatusRequestHeaderFieldsTooLarge, -1),
	})
}

// limits returns the limits on heads and times in force.
func (g *Ingress) limits() intake.Limits {
	limits := intake.Limits{MaxHeadBytes: defaultMaxHead, HeaderTimeout: defaultHeaderTime, IdleTimeout: defaultIdle}
	table := g.o.Table()
	if table == nil {
		return limits
	}
	if n := table.Limits.MaxHeaderBytes; n > 0 {
		limits.MaxHeadBytes = min(n, largestHead)
	}
	if t := table.Limits.HeaderTimeout; t > 0 {
		limits.HeaderTimeout = t
	}
	if t := table.Limits.IdleTimeout; t > 0 {
		limits.IdleTimeout = t + idleMargin
	}
	return limits
}

// maxBody returns the largest body, in bytes, that a table allows. table may be nil.
func maxBody(table *route.Table) int64 {
	if table != nil && table.Limits.MaxBodyBytes > 0 {
		return table.Limits.MaxBodyBytes
	}
	return defaultMaxBody
}

// SetBounds changes the limits on memory and connections. Requests and connections
// above a new limit are not ended at once.
func (g *Ingress) SetBounds(b intake.Bounds) {
	g.held.SetLimit(b.Held)
	g.callers.SetLimit(b.Connections)
	g.readyQueries.SetLimit(b.QueryConnections)
	g.addressQueries.SetLimit(b.QueryConnections)
	for _, l := range g.limiters() {
		l.SetBuffers(b.BufferBytes())
	}
}

// LimitsChanged applies the limits of changed routes to the connections that are open.
func (g *Ingress) LimitsChanged() {
	for _, l := range g.limiters() {
		l.LimitsChanged()
	}
}

func (g *Ingress) limiters() []*intake.Limiter {
	return []*intake.Limiter{g.callers, g.readyQueries, g.addressQueries}
}

// Server returns the server of callers' requests, to be used with CallerListener.
func (g *Ingress) Server() *http.Server {
	s := g.server(http.HandlerFunc(g.serve), g.callers)
	s.WriteTimeout = responseTimeout
	return s
}

// CallerListener wraps l for Server: it limits the connections and the heads of requests.
func (g *Ingress) CallerListener(l net.Listener) net.Listener { return g.callers.Listener(l) }

// ReadyServer returns the server of the readiness check on the path, to be used with
// ReadyListener.
func (g *Ingress) ReadyServer(path string) *http.Server {
	return g.queryServer(path, g.serveReady, g.readyQueries)
}

// ReadyListener wraps l for ReadyServer, see CallerListener.
func (g *Ingress) ReadyListener(l net.Listener) net.Listener { return g.readyQueries.Listener(l) }

// AddressServer returns the server of address queries on the path, to be used with
// AddressListener.
func (g *Ingress) AddressServer(path string) *http.Server {
	return g.queryServer(path, g.serveAddresses, g.addressQueries)
}

// AddressListener wraps l for AddressServer, see CallerListener.
func (g *Ingress) AddressListener(l net.Listener) net.Listener { return g.addressQueries.Listener(l) }

func (g *Ingress) queryServer(path string, h http.HandlerFunc, limiter *intake.Limiter) *http.Server {
	mux := http.NewServeMux()
	mux.HandleFunc(path, h)
	s := g.server(withoutBody(mux), limiter)
	s.WriteTimeout = defaultIdle
	return s
}

// withoutBody handles requests whose body nobody reads. net/http would otherwise wait for
// the body without a time limit after the response.
func withoutBody(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength != 0 {
			intake.SkipBody(w, r)
			next.ServeHTTP(w, r)
			return
		}
		done, err := intake.Serving(r.Context())
		if err != nil {
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		defer done()
		next.ServeHTTP(w, r)
	})
}

// server returns a server whose limiter limits heads and times.
func (g *Ingress) server(h http.Handler, limiter *intake.Limiter) *http.Server {
	return &http.Server{
		Handler:        h,
		MaxHeaderBytes: largestHead,
		ConnContext:    intake.ConnContext,
		ConnState:      limiter.ConnState,
		BaseContext:    func(net.Listener) context.Context { return g.base },
		ErrorLog:       log.New(io.Discard, "", 0),
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
	if !r.ProtoAtLeast(1, 1) {
		defer resetAborted(r.Context())
	}
	reserved := g.held.Reserve(r.Context())
	defer reserved.End()
	arrived := g.o.Clock.Now()
	if intake.MayHaveBothLengths(r.Context(), len(r.TransferEncoding) > 0) || g.Stopping() {
		w.Header().Set("Connection", "close")
	}
	in, err := g.admit(w, r, reserved)
	if err != nil {
		g.refuse(w, in.Request, err)
		return
	}
	done, err := intake.Serving(r.Context())
	if err != nil {
		w.Header().Set("Connection", "close")
		g.refuse(w, in.Request, err)
		return
	}
	defer done()
	in.Arrived = arrived
	in.Reserve = func(bytes int) bool { return reserved.Add(int64(bytes)) == nil }
	defer g.countTime(in.Route.Kind, arrived)
	g.o.Forwarder.Serve(r.Context(), w, in)
}

// admit reads the request and finds the configuration that applies to it. The head is
// checked first, so that the body of a request that can't be served is not kept in memory;
// and once more after the body, which may take so long that the configuration has changed.
func (g *Ingress) admit(w http.ResponseWriter, r *http.Request, reserved *intake.Reservation) (forwarding.Inbound, error) {
	var in forwarding.Inbound
	req, err := g.o.Codec.ParseRequest(r)
	if err != nil {
		intake.SkipBody(w, r)
		return in, errkind.Wrap(err, errkind.BadRequest, "request")
	}
	in.Request = req
	if err = g.check(r.Context(), &in); err != nil {
		intake.SkipBody(w, r)
		return in, err
	}
	req.Body, err = intake.ReadBody(w, r, intake.BodyOptions{MaxBytes: maxBody(in.Table), Timeout: bodyTimeout, Reserved: reserved})
	if err != nil {
		return in, err
	}
	if err = reserved.AddWhole(0); err != nil {
		return in, err
	}
	return in, g.check(r.Context(), &in)
}

// check finds the configuration that applies to the request.
func (g *Ingress) check(ctx context.Context, in *forwarding.Inbound) error {
	table := g.o.Table()
	switch {
	case g.closed():
		return errkind.New(errkind.Stopping, "this instance is stopping")
	case table == nil || !g.o.Serving():
		return errkind.WithRetryAfter(errkind.New(errkind.Isolated, "the configuration is not known yet"), unknownRetryAfter)
	case table == in.Table:
		return nil // checked before
	}
	in.Table = table
	err := match(in)
	if err == nil {
		return nil
	}
	known := g.o.Confirm(ctx)
	if newer := g.o.Table(); newer != table {
		in.Table = newer
		err = match(in)
	}
	if err == nil {
		return nil
	}
	return g.unknown(*in, known, err)
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

// encodeResponse returns a response without a body, after which the connection is closed, as
// bytes. A negative retry delay is not stated.
func (g *Ingress) encodeResponse(status int, after time.Duration) []byte {
	header := make(http.Header)
	g.o.Codec.SetOwnHeader(header, nil, after)
	header.Set("Connection", "close")
	header.Set("Content-Length", "0")
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	_ = header.Write(&b)
	b.WriteString("\r\n")
	return b.Bytes()
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
