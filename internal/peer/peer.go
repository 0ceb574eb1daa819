// Package peer implements the calls between instances: Connect over HTTP/2, in clear
// text or with mutual TLS. The messages are defined in peerpb.
//
// HTTP/2 pings detect dead connections. The transport retries no call. Calls that are
// safe to repeat are hedged on a second connection if the first one is silent; all
// other retries are up to the callers.
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

// Limits and timeouts of the calls.
const (
	// maxMessageBytes is the maximum size of a message, both sent and received.
	maxMessageBytes = 8 << 20
	// headerTimeout is the time limit for reading the header of a call.
	headerTimeout = 5 * time.Second
	// pingIdleTime is how long a connection receives nothing until it is pinged,
	// pingTimeout how long the reply may take before the connection is closed.
	pingIdleTime = 15 * time.Second
	pingTimeout  = 3 * time.Second
	// forwardHeartbeatInterval is the interval of the heartbeats of a forwarded request.
	forwardHeartbeatInterval = 2 * time.Second
	// forwardSilenceTimeout is how long a forwarded request may receive nothing before
	// it is abandoned.
	forwardSilenceTimeout = 4 * forwardHeartbeatInterval
	// maxHandoverBytes is the approximate maximum size of one Handover call.
	maxHandoverBytes = 1 << 20
	idleTimeout      = 5 * time.Minute
)

// ErrNotSent is in the chain of an error if no byte of the call was sent.
var ErrNotSent = errors.New("peer: not sent")

var (
	metricCalls  = metrics.Define("peer_calls", "calls", "Calls to other instances, by method and result.")
	metricServed = metrics.Define("peer_calls_served", "calls", "Calls from other instances, by method.")
	metricBytes  = metrics.Define("peer_digest_bytes", "bytes", "Digests sent and received, as encoded, without framing.")
)

// protocols returns HTTP/2 only, in clear text if there are no TLS settings.
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
	return &http.HTTP2Config{SendPingTimeout: pingIdleTime, PingTimeout: pingTimeout}
}

// NewServer returns a server for the handler with the protocols and pings that clients
// expect. The caller provides the listener, wrapped for TLS if needed.
func NewServer(handler http.Handler, config *tls.Config, logger *event.Logger) *http.Server {
	return &http.Server{
		Handler:           handler,
		TLSConfig:         config,
		Protocols:         protocols(config),
		HTTP2:             http2Config(),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		ErrorLog:          log.New(errorLog{logger}, "", 0),
	}
}

// errorLog logs the messages of net/http as events.
type errorLog struct{ logger *event.Logger }

func (e errorLog) Write(p []byte) (int, error) {
	e.logger.Log(event.PeerServerWarning, "text", strings.TrimSpace(string(p)))
	return len(p), nil
}
