// Package target calls model engines, pools and plain services over HTTP/2. It
// never repeats a call by itself, so that the pipeline alone decides what may
// run again.
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
	// maxCancels bounds the background calls that tell targets to stop. A call
	// over the bound is left out: the reset of the stream tells the target too.
	maxCancels = 64
	// restartMemory is for how long a restart that was noticed counts against
	// "is the same process still alive".
	restartMemory = 5 * time.Second
)

// Options of a Client.
type Options struct {
	// Dial opens connections; nil dials TCP.
	Dial          func(ctx context.Context, network, addr string) (net.Conn, error)
	Clock         clock.Clock
	PingInterval  time.Duration // silence after which a connection is pinged
	PingTimeout   time.Duration // wait for the ping's answer before the connection is closed
	SilenceWait   time.Duration // silence of a connection with calls after which it is compared with a new one
	ProbeTimeout  time.Duration // wait for the answers of that comparison
	MaxReplyBytes int64         // longest reply, and longest event of a stream
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
	cancels chan struct{} // a place for each background cancel

	mu   sync.Mutex // guards seen
	seen map[string]lifeSign
}

// lifeSign is what replies have told of a target's process.
type lifeSign struct {
	seq       uint64 // sequence number of its latest load report
	restarted time.Time
}

var _ stagecall.Caller = (*Client)(nil)

// New returns a client without connections.
func New(opts Options) *Client {
	opts = opts.withDefaults()
	return &Client{
		opts:    opts,
		pool:    newPool(opts),
		cancels: make(chan struct{}, maxCancels),
		seen:    make(map[string]lifeSign),
	}
}

// Close closes the connections that carry no call.
func (c *Client) Close() { c.pool.close() }

// Alive reports whether the process behind target is the one that was there
// before. It is not if the machine refuses a new connection, or if the load
// reports have begun to count anew within the last seconds. A connection that
// broke is no death, nor is a machine that cannot be reached: a request does
// not cut cables.
func (c *Client) Alive(ctx context.Context, target stagecall.Target) bool {
	if c.refusesConnections(ctx, target) {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	restarted := c.seen[target.Address].restarted
	return restarted.IsZero() || c.opts.Clock.Since(restarted) > restartMemory
}

// lifeQuestions bounds how often a target is asked whether it is there. A kept
// connection may be the next that the crash breaks: that error tells of the
// crash's beginning, not of what the machine does now. Without the second
// question such a crash counts as no death, and the request that caused it is
// sent to more targets than its limit.
const lifeQuestions = 2

// refusesConnections asks for the load and reports whether nobody listens.
func (c *Client) refusesConnections(ctx context.Context, target stagecall.Target) bool {
	for range lifeQuestions {
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

// noteLoad notes a restart: a sequence number that fell back by more than
// reports that overtook one another can explain.
func (c *Client) noteLoad(address string, report *targetapi.LoadReport) {
	if report == nil {
		return
	}
	const reordering = 16
	c.mu.Lock()
	defer c.mu.Unlock()
	sign := c.seen[address]
	if report.Seq+reordering < sign.seq || (report.Seq < sign.seq && report.Seq <= 1) {
		sign.restarted = c.opts.Clock.Now()
		sign.seq = report.Seq
	}
	sign.seq = max(sign.seq, report.Seq)
	c.seen[address] = sign
}
