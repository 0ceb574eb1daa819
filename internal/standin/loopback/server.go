// Package loopback runs the HTTP servers of the stand-ins on ports that the
// kernel chooses, and lets a test crash them, restart them on the same
// address, or make their open connections go silent.
package loopback

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"sync"
	"time"

	"lynxhill.example/lynxhill/internal/defaults"
)

// Defaults of Options.
const (
	DefaultMaxConns = 4096
	maxStreams      = 1024 // of one HTTP/2 connection
	headerTimeout   = 10 * time.Second
)

// ErrClosed is returned by Restart after Close.
var ErrClosed = errors.New("loopback: server closed")

// ListenFunc opens a listener. A fault layer supplies its own.
type ListenFunc func(addr string) (net.Listener, error)

// Options of a Server.
type Options struct {
	// Handler answers the calls. It must return soon after the context of
	// the request or the one given by Server.Context ends.
	Handler http.Handler
	// Listen opens the listener; nil listens on TCP.
	Listen ListenFunc
	// MaxConns bounds the open connections; more are closed at once.
	MaxConns int
}

// Server is an HTTP server that can crash and come back.
type Server struct {
	opts Options
	port *Port

	mu     sync.Mutex // guards the fields below
	run    *run       // nil while crashed
	closed bool
}

// run is the life of a server from a start to a crash or to Close.
type run struct {
	ctx      context.Context
	cancel   context.CancelFunc
	listener net.Listener
	http     *http.Server
	conns    *connSet
	served   chan struct{}

	mu       sync.Mutex // guards stopping and each Add of handlers against its Wait
	stopping bool
	handlers sync.WaitGroup
}

// New starts a server on a port of the loopback interface.
func New(opts Options) (*Server, error) {
	if opts.Listen == nil {
		opts.Listen = func(addr string) (net.Listener, error) { return net.Listen("tcp", addr) }
	}
	defaults.Positive(&opts.MaxConns, DefaultMaxConns)
	port, err := ReservePort()
	if err != nil {
		return nil, err
	}
	s := &Server{opts: opts, port: port}
	if err := s.Restart(); err != nil {
		port.Release()
		return nil, err
	}
	return s, nil
}

// Addr returns the address (IP:port), which stays the same over restarts.
func (s *Server) Addr() string { return s.port.Addr() }

// Running reports whether the server is up.
func (s *Server) Running() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.run != nil
}

// Crash closes the listener and resets all connections, like a process that
// dies. It waits for the handlers, whose contexts end.
func (s *Server) Crash() {
	if r := s.takeRun(); r != nil {
		r.stop()
	}
}

// Restart listens again on the address that the server had. A running server
// is left alone.
func (s *Server) Restart() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return ErrClosed
	}
	if s.run != nil {
		return nil
	}
	listener, err := s.opts.Listen(s.port.Addr())
	if err != nil {
		return fmt.Errorf("loopback: %w", err)
	}
	s.run = s.start(listener)
	return nil
}

// Silence makes all connections open now go silent for good: nothing that
// either end sends arrives. New connections work.
func (s *Server) Silence() {
	s.mu.Lock()
	r := s.run
	s.mu.Unlock()
	if r != nil {
		r.conns.silence()
	}
}

// Close stops the server and waits for its handlers.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.Crash()
	s.port.Release()
}

func (s *Server) takeRun() *run {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.run
	s.run = nil
	return r
}

func (s *Server) start(listener net.Listener) *run {
	r := &run{listener: listener, conns: newConnSet(s.opts.MaxConns), served: make(chan struct{})}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	r.http = &http.Server{
		Handler:           r.counted(s.opts.Handler),
		Protocols:         protocols,
		HTTP2:             &http.HTTP2Config{MaxConcurrentStreams: maxStreams},
		ReadHeaderTimeout: headerTimeout,
		ErrorLog:          log.New(io.Discard, "", 0),
		BaseContext:       func(net.Listener) context.Context { return context.WithValue(r.ctx, runKey{}, r.ctx) },
	}
	go func() {
		defer close(r.served)
		_ = r.http.Serve(&listenerSet{Listener: listener, conns: r.conns})
	}()
	return r
}

type runKey struct{}

// LifeContext returns the context that ends when the server crashes or
// closes, but not when the caller of this request goes away.
func LifeContext(ctx context.Context) context.Context {
	if life, ok := ctx.Value(runKey{}).(context.Context); ok {
		return life
	}
	return ctx
}

func (r *run) counted(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if !r.enter() {
			panic(http.ErrAbortHandler)
		}
		defer r.handlers.Done()
		next.ServeHTTP(w, req)
	})
}

func (r *run) enter() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stopping {
		return false
	}
	r.handlers.Add(1)
	return true
}

func (r *run) stop() {
	r.mu.Lock()
	r.stopping = true
	r.mu.Unlock()
	_ = r.listener.Close()
	// Connections go before the contexts end: otherwise a handler could still
	// answer that it was cancelled, which a dead process doesn't do.
	r.conns.reset()
	r.cancel()
	_ = r.http.Close()
	<-r.served
	r.handlers.Wait()
}
