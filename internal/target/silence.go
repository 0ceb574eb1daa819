package target

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"lynxhill.example/lynxhill/internal/stagecall"
	"lynxhill.example/lynxhill/internal/wire/targetapi"
)

// A connection with calls on which nothing is received for a while is compared
// with a new one: the target's load report is requested on both. If only the new
// connection answers, the old one has gone silent and its calls end at once.
// Otherwise each of them would wait for its own timeout or for the connection's
// ping, up to two seconds, although the first wait shows that the connection is
// silent.

// silenceBackoff is the factor by which the wait is lengthened after a comparison
// that found no fault, so that a target is probed less often during long calls.
const silenceBackoff = 4

type dialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// monitoredDial returns a dial function whose connections count the bytes that
// they read, and close themselves when they are lost.
func (t *transport) monitoredDial(opts Options) dialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := opts.Dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		c := &monitoredConn{Conn: conn, transport: t, interval: (opts.PingInterval + opts.PingTimeout) / lostIntervals}
		c.scheduleCheck(0, 0)
		return c, nil
	}
}

// watchSilence schedules checks of the call's transport for silence while the call
// runs. It is used only for calls that may be retried. A call that may not be
// retried relies on the pings, which show reliably that the connection is lost.
func (c *Client) watchSilence(x *call) {
	c.pool.mu.Lock()
	x.transport.retryable[x] = struct{}{}
	first := !x.transport.checkScheduled
	x.transport.checkScheduled = true
	c.pool.mu.Unlock()
	if first {
		c.scheduleSilenceCheck(x.target, x.transport, c.opts.SilenceWait)
	}
}

// scheduleSilenceCheck schedules a check for silence after the wait.
func (c *Client) scheduleSilenceCheck(target stagecall.Target, t *transport, wait time.Duration) {
	bytesRead := t.bytesRead.Load()
	c.opts.Clock.AfterFunc(wait, func() { c.checkSilence(target, t, bytesRead) })
}

// checkSilence compares the transport with a new connection if its number of bytes
// read is still bytesRead. It abandons a silent transport; otherwise it schedules
// the next check while the transport has calls that may be retried.
func (c *Client) checkSilence(target stagecall.Target, t *transport, bytesRead int64) {
	c.pool.mu.Lock()
	t.checkScheduled = len(t.retryable) > 0
	over := !t.checkScheduled
	c.pool.mu.Unlock()
	if over {
		return
	}
	wait := c.opts.SilenceWait
	if t.bytesRead.Load() == bytesRead {
		if c.isSilent(target, t, bytesRead) {
			t.abandon(errSilentConn)
			c.opts.Metrics.Counter(metricSilent).Add(1)
			return
		}
		wait *= silenceBackoff
	}
	c.scheduleSilenceCheck(target, t, wait)
}

// isSilent reports whether a new connection answers while nothing is received on
// the transport.
func (c *Client) isSilent(target stagecall.Target, t *transport, bytesRead int64) bool {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	timer := c.opts.Clock.AfterFunc(c.opts.ProbeTimeout, cancel)
	defer timer.Stop()
	fresh := &transport{pool: c.pool, address: target.Address}
	fresh.http = newTransport(c.opts, fresh)
	defer fresh.http.CloseIdleConnections()
	answered := make(chan bool, 1)
	go func() { answered <- probe(ctx, fresh, target) }()
	if probe(ctx, t, target) {
		return false
	}
	return <-answered && t.bytesRead.Load() == bytesRead
}

// probe requests the load report and reports whether any response was received.
func probe(ctx context.Context, t *transport, target stagecall.Target) bool {
	req, err := newRequest(ctx, http.MethodGet, "http://"+target.Address+targetapi.PathLoad, nil)
	if err != nil {
		return false
	}
	resp, err := t.http.RoundTrip(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return err == nil
}
