// Package peer carries the calls between instances: connect over HTTP/2, in
// clear or with mutual TLS. The messages are in peerpb.
//
// A connection that went silent is found by HTTP/2 pings. No call is repeated
// here: those that may be repeated are repeated by their callers, who know.
package peer

import (
	"crypto/tls"
	"errors"
	"log"
	"net/http"
	"strings"
	"time"

	"lynxhill.example/lynxhill/internal/event"
	"lynxhill.example/lynxhill/internal/metrics"
)

// Limits and times of the calls.
const (
	// maxMessageBytes bounds any one message, both sent and received.
	maxMessageBytes = 8 << 20
	// headerWait is how long a caller may take for its header.
	headerWait = 5 * time.Second
	// pingAfter is the silence after which a connection is pinged, pingWait
	// how long the answer may take before the connection is given up.
	pingAfter = 15 * time.Second
	pingWait  = 3 * time.Second
	// heartbeatEvery is how often a forwarded request shows that it lives.
	heartbeatEvery = 2 * time.Second
	// silentAfter is the silence after which a forwarded request is given up.
	silentAfter = 4 * heartbeatEvery
	// handoverBytes is about the size of one Handover call.
	handoverBytes = 1 << 20
	idleTimeout   = 5 * time.Minute
)

// ErrNotSent is in the chain of an error if no byte of the call was sent.
var ErrNotSent = errors.New("peer: not sent")

var (
	metricCalls  = metrics.Define("peer_calls", "calls", "Calls to other instances, by method and result.")
	metricServed = metrics.Define("peer_calls_served", "calls", "Calls from other instances, by method.")
	metricBytes  = metrics.Define("peer_digest_bytes", "bytes", "Digests sent and received, as encoded, without framing.")
)

// protocols is HTTP/2 only: in clear without TLS settings.
func protocols(config *tls.Config) *http.Protocols {
	p := new(http.Protocols)
	if config == nil {
		p.SetUnencryptedHTTP2(true)
	} else {
		p.SetHTTP2(true)
	}
	return p
}

func http2Config() *http.HTTP2Config {
	return &http.HTTP2Config{SendPingTimeout: pingAfter, PingTimeout: pingWait}
}

// NewServer returns a server for the handler with the protocols and pings that
// clients expect. The caller listens, wrapping the listener for TLS.
func NewServer(handler http.Handler, config *tls.Config, logger *event.Logger) *http.Server {
	return &http.Server{
		Handler:           handler,
		TLSConfig:         config,
		Protocols:         protocols(config),
		HTTP2:             http2Config(),
		ReadHeaderTimeout: headerWait,
		IdleTimeout:       idleTimeout,
		ErrorLog:          log.New(errorLog{logger}, "", 0),
	}
}

// errorLog writes what net/http reports as events.
type errorLog struct{ logger *event.Logger }

func (e errorLog) Write(p []byte) (int, error) {
	e.logger.Log(event.PeerServerWarning, "text", strings.TrimSpace(string(p)))
	return len(p), nil
}
