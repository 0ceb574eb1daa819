// Package httpserver serves HTTP/1.1 and HTTP/2, with TLS or in clear text,
// for the caller and admin listeners. It runs the router of go-zero's rest
// package in its own net/http server, which stops gracefully and only on request.
package httpserver

import (
	"context"
	"crypto/tls"
	"errors"
	"log"
	"net"
	"net/http"
	"time"

	"lynxhill.example/lynxhill/internal/event"
	"lynxhill.example/lynxhill/internal/intake"
)

// Defaults of Options.
const (
	defaultReadHeaderTimeout = 5 * time.Second
	defaultIdleTimeout       = 2 * time.Minute
	defaultMaxHeaderBytes    = 64 << 10
	// pingAfter and pingTimeout detect dead HTTP/2 connections, such as those
	// whose state was lost by an intermediary between the two ends. Without
	// pings their requests would occupy memory until their deadline.
	pingAfter   = 10 * time.Second
	pingTimeout = 5 * time.Second
	// maxStreams is the maximum number of requests at once on an HTTP/2 connection, and
	// receiveBuffer the number of bytes that may wait to be read of each and of all of
	// them: the least that HTTP/2 allows.
	maxStreams    = 100
	receiveBuffer = 64<<10 - 1
)

// Options of a Server.
type Options struct {
	Name     string       // of the listener, for the log
	Listener net.Listener // owned by the server: closed by Shutdown or Close
	Handler  http.Handler
	TLS      *tls.Config // nil = clear text
	// ReadHeaderTimeout limits how long a client may take to send its header;
	// handlers limit the body themselves with SetReadDeadline. 0 = 5 s.
	ReadHeaderTimeout time.Duration
	IdleTimeout       time.Duration // of a keep-alive connection; 0 = 2 min
	MaxHeaderBytes    int           // 0 = 64 KiB
	// Limiter limits the connections; nil = no limit.
	Limiter *intake.Limiter
	Logger  *event.Logger
}

// Server is one HTTP listener.
type Server struct {
	opts   Options
	server *http.Server
}

// New returns a server that does not accept connections yet.
func New(opts Options) *Server {
	if opts.ReadHeaderTimeout <= 0 {
		opts.ReadHeaderTimeout = defaultReadHeaderTimeout
	}
	if opts.IdleTimeout <= 0 {
		opts.IdleTimeout = defaultIdleTimeout
	}
	if opts.MaxHeaderBytes <= 0 {
		opts.MaxHeaderBytes = defaultMaxHeaderBytes
	}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(true)
	server := &http.Server{
		Handler:           opts.Handler,
		TLSConfig:         opts.TLS,
		ReadHeaderTimeout: opts.ReadHeaderTimeout,
		IdleTimeout:       opts.IdleTimeout,
		MaxHeaderBytes:    opts.MaxHeaderBytes,
		Protocols:         protocols,
		HTTP2: &http.HTTP2Config{
			SendPingTimeout: pingAfter, PingTimeout: pingTimeout, MaxConcurrentStreams: maxStreams,
			MaxReceiveBufferPerConnection: receiveBuffer, MaxReceiveBufferPerStream: receiveBuffer,
		},
		ErrorLog: log.New(errorLog{opts}, "", 0),
	}
	if opts.Limiter != nil {
		opts.Listener = opts.Limiter.Listener(opts.Listener)
		server.ConnContext = intake.ConnContext
		server.ConnState = opts.Limiter.ConnState
	}
	return &Server{opts: opts, server: server}
}

// Addr returns the address of the listener.
func (s *Server) Addr() net.Addr { return s.opts.Listener.Addr() }

// Serve accepts connections until Shutdown or Close, then returns nil. If it
// ends for any other reason, it returns an error.
func (s *Server) Serve() error {
	s.opts.Logger.Log(event.ServerListening, "listener", s.opts.Name, "address", s.Addr().String(), "tls", s.opts.TLS != nil)
	err := s.serve()
	if err == nil || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	s.opts.Logger.Log(event.ServerFailed, "listener", s.opts.Name, "error", err)
	return err
}

func (s *Server) serve() error {
	if s.opts.TLS == nil {
		return s.server.Serve(s.opts.Listener)
	}
	return s.server.ServeTLS(s.opts.Listener, "", "")
}

// Run serves until ctx ends, then stops gracefully without a time limit. Use
// Serve, Shutdown and Close where a limit is needed.
func (s *Server) Run(ctx context.Context) {
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = s.Serve() // logged
	}()
	select {
	case <-ctx.Done():
		_ = s.Shutdown(context.WithoutCancel(ctx))
	case <-served:
	}
	<-served
}

// Shutdown stops accepting connections and tells clients to close keep-alive
// connections. It returns nil when the last request has been answered, or ctx's
// error if requests are still in flight when ctx ends. It aborts no request.
func (s *Server) Shutdown(ctx context.Context) error {
	s.server.SetKeepAlivesEnabled(false)
	return s.server.Shutdown(ctx)
}

// Close closes the listener and every connection at once, as a crash of the
// process would.
func (s *Server) Close() { _ = s.server.Close() }

// errorLog logs the messages of the net/http server as events.
type errorLog struct{ opts Options }

func (e errorLog) Write(p []byte) (int, error) {
	e.opts.Logger.Log(event.ServerWarning, "listener", e.opts.Name, "text", string(p))
	return len(p), nil
}
