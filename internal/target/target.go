// Package target calls model engines, pools and plain services over HTTP/2. It
// never retries a call, so that the pipeline alone decides what may run again.
package target

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/coder/quartz"

	"lynxhill.example/lynxhill/internal/clock"
	"lynxhill.example/lynxhill/internal/defaults"
	"lynxhill.example/lynxhill/internal/event"
	"lynxhill.example/lynxhill/internal/metrics"
	"lynxhill.example/lynxhill/internal/stagecall"
	"lynxhill.example/lynxhill/internal/wire/targetapi"
)

// Defaults of Options.
const (
	DefaultPingInterval  = time.Second
	DefaultPingTimeout   = time.Second
	DefaultSilenceWait   = 300 * time.Millisecond
	DefaultProbeTimeout  = 300 * time.Millisecond
	DefaultMaxReplyBytes = 8 << 20
	dialTimeout          = 2 * time.Second
	cancelTimeout        = 2 * time.Second
	// maxCancels is the maximum number of concurrent background calls that cancel
	// attempts. Calls beyond it are dropped: the reset of the stream also informs
	// the target.
	maxCancels = 64
	// restartWindow is the time after a detected restart during which Alive
	// reports false.
	restartWindow = 5 * time.Second
)

// Options holds the settings of a Client.
type Options struct {
	// Dial opens connections; nil dials TCP.
	Dial          func(ctx context.Context, network, addr string) (net.Conn, error)
	Clock         clock.Clock
	PingInterval  time.Duration // time without data received after which a connection is pinged
	PingTimeout   time.Duration // wait for the response to a ping before the connection is closed
	SilenceWait   time.Duration // silence of a connection with calls after which it is compared with a new one
	ProbeTimeout  time.Duration // time limit of the probes of that comparison
	MaxReplyBytes int64         // maximum size of a reply and of an event of a stream
	Logger        *event.Logger
	Metrics       *metrics.Registry
}

func (o Options) withDefaults() Options {
	if o.Dial == nil {
		dialer := &net.Dialer{Timeout: dialTimeout}
		o.Dial = dialer.DialContext
	}
	if o.Clock == nil {
		o.Clock = quartz.NewReal()
	}
	defaults.Positive(&o.PingInterval, DefaultPingInterval)
	defaults.Positive(&o.PingTimeout, DefaultPingTimeout)
	defaults.Positive(&o.SilenceWait, DefaultSilenceWait)
	defaults.Positive(&o.ProbeTimeout, DefaultProbeTimeout)
	defaults.Positive(&o.MaxReplyBytes, DefaultMaxReplyBytes)
	return o
}

// Client implements stagecall.Caller. It is safe for concurrent use.
type Client struct {
	opts    Options
	pool    *pool
	cancels chan struct{} // semaphore of the background cancel calls

	mu        sync.Mutex // guards processes
	processes map[string]processState
}

// processState is what load reports have shown about a target's process.
type processState struct {
	seq       uint64    // sequence number of its latest load report
	restarted time.Time // when its latest restart was detected; zero if never
}

var _ stagecall.Caller = (*Client)(nil)

// New returns a client without connections.
func New(opts Options) *Client {
	opts = opts.withDefaults()
	return &Client{
		opts:      opts,
		pool:      newPool(opts),
		cancels:   make(chan struct{}, maxCancels),
		processes: make(map[string]processState),
	}
}

// Close closes the connections that carry no call. The others are closed at the
// end of their last call.
func (c *Client) Close() { c.pool.close() }

// Alive reports whether the target's process is still the same one. It returns
// false if the target's host refuses a new connection, or if the sequence numbers
// of the load reports have restarted within restartWindow. A broken connection or
// an unreachable host does not count as a crash, because a request cannot cause
// either.
func (c *Client) Alive(ctx context.Context, target stagecall.Target) bool {
	if c.refusesConnections(ctx, target) {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	restarted := c.processes[target.Address].restarted
	return restarted.IsZero() || c.opts.Clock.Since(restarted) > restartWindow
}

// maxAliveProbes is the maximum number of probes of a target's process. The first
// probe may use a pooled connection that the crash is just breaking; that error
// does not show whether the host accepts connections now. Without a second probe
// such a crash would not be detected, and the request that caused it would be sent
// to more targets than its limit.
const maxAliveProbes = 2

// refusesConnections requests the load report and reports whether the connection
// is refused because no process listens.
func (c *Client) refusesConnections(ctx context.Context, target stagecall.Target) bool {
	for range maxAliveProbes {
		_, err := c.Load(ctx, target)
		if errors.Is(err, syscall.ECONNREFUSED) {
			return true
		}
		if err == nil || stagecall.FailureOf(err).Class != stagecall.ClassBroken {
			return false
		}
	}
	return false
}

// recordLoad records the sequence number of a load report. A number that is lower
// than the last one by more than the reordering of reports can explain counts as a
// restart of the target.
func (c *Client) recordLoad(address string, report *targetapi.LoadReport) {
	if report == nil {
		return
	}
	const reordering = 16
	c.mu.Lock()
	defer c.mu.Unlock()
	state := c.processes[address]
	if report.Seq+reordering < state.seq || (report.Seq < state.seq && report.Seq <= 1) {
		state.restarted = c.opts.Clock.Now()
		state.seq = report.Seq
	}
	state.seq = max(state.seq, report.Seq)
	c.processes[address] = state
}
