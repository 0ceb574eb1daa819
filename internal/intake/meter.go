package intake

import (
	"context"
	"expvar"
	"net"
	"sync"
	"time"

	"lynxhill.example/lynxhill/internal/event"
	"lynxhill.example/lynxhill/internal/metrics"
)

// limit is a limit that a client can meet.
type limit int

const (
	limitConnections limit = iota
	limitBehind
	limitUnread
	limitAhead
	limitMemory
	limitHeadBytes
	limitHeadTime
	limitBodyBytes
	limitBodyTime
	limitCount
)

var limitNames = [limitCount]string{
	limitConnections: "connections", limitBehind: "behind", limitUnread: "unread", limitAhead: "ahead", limitMemory: "memory",
	limitHeadBytes: "head_bytes", limitHeadTime: "head_time", limitBodyBytes: "body_bytes", limitBodyTime: "body_time",
}

// String returns the limit's name in logs and metrics.
func (l limit) String() string { return limitNames[l] }

var metricLimits = metrics.Define("client_limits_total", "times", "Limits that clients met, by listener and limit: connections = a new connection was rejected; behind = a connection was closed for another since its request did not arrive; unread = the same since its answer was not read; ahead = a request was sent before the answer to the one before, while connections were rejected; memory = no memory for a head or body; head_bytes, body_bytes = too large; head_time, body_time = too slow.")

// logInterval is the minimum time between two log lines about the same limit of a listener.
const logInterval = 10 * time.Second

// Meter counts which limits clients meet, and logs them at a bounded rate. A nil Meter does
// nothing.
type Meter struct {
	total *expvar.Map

	mu    sync.Mutex
	lines map[limitAt]limitLine
}

// limitAt is a limit of a listener.
type limitAt struct {
	listener string
	limit    limit
}

// limitLine is what the next log line about a limit says.
type limitLine struct {
	logged time.Time // time of the last line
	count  int       // since then
}

// NewMeter returns a Meter that publishes its counts in the registry.
func NewMeter(r *metrics.Registry) *Meter {
	return &Meter{total: r.Labelled(metricLimits), lines: make(map[limitAt]limitLine)}
}

// count records that a client of the listener met a limit.
func (m *Meter) count(l *Limiter, met limit, client net.Addr) {
	if m == nil {
		return
	}
	at := limitAt{l.o.Name, met}
	m.total.Add(at.listener+","+met.String(), 1)
	now := l.o.Clock.Now()
	m.mu.Lock()
	line := m.lines[at]
	line.count++
	due := line.logged.IsZero() || now.Sub(line.logged) >= logInterval
	if due {
		m.lines[at] = limitLine{logged: now}
	} else {
		m.lines[at] = line
	}
	m.mu.Unlock()
	if due {
		l.o.Logger.Log(event.ClientLimitMet, "listener", at.listener, "limit", met, "count", line.count, "client", client)
	}
}

// countLimit records that the client whose request's context is ctx met a limit.
func countLimit(ctx context.Context, met limit) {
	if c := connOf(ctx); c != nil {
		c.count(met)
	}
}
