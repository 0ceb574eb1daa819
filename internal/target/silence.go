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

// A connection with calls that says nothing for a while is compared with a new
// one: both are asked for the target's load report. If only the new one answers,
// the connection has gone silent and its calls end at once. Without this each
// of them waits for its own timeout or the connection's ping, up to two seconds,
// although the first one's wait tells enough.

// silenceBackoff lengthens the wait after a comparison that found nothing: a
// target whose calls are long would be asked twice in each of them.
const silenceBackoff = 4

type dialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// hearing returns dial with its connections counting what they read, and closing
// when they are lost.
func (l *line) hearing(opts Options) dialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := opts.Dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		c := &hearingConn{Conn: conn, line: l, every: (opts.PingInterval + opts.PingTimeout) / lostLooks}
		c.lookLater(0, 0)
		return c, nil
	}
}

// watchSilence has the call's line looked at while the call lasts. It is for
// calls that may be repeated: one that may not is left to the ping, which says
// for sure that the connection is lost.
func (c *Client) watchSilence(x *call) {
	c.pool.mu.Lock()
	x.line.live[x] = struct{}{}
	first := !x.line.watched
	x.line.watched = true
	c.pool.mu.Unlock()
	if first {
		c.lookLater(x.target, x.line, c.opts.SilenceWait)
	}
}

func (c *Client) lookLater(target stagecall.Target, l *line, wait time.Duration) {
	heard := l.heard.Load()
	c.opts.Clock.AfterFunc(wait, func() { c.look(target, l, heard) })
}

// look compares the line with a new connection if it has said nothing since.
func (c *Client) look(target stagecall.Target, l *line, heard int64) {
	c.pool.mu.Lock()
	l.watched = len(l.live) > 0
	over := !l.watched
	c.pool.mu.Unlock()
	if over {
		return
	}
	wait := c.opts.SilenceWait
	if l.heard.Load() == heard {
		if c.isSilent(target, l, heard) {
			l.giveUp(errSilentConn)
			c.opts.Metrics.Counter(metricSilent).Add(1)
			return
		}
		wait *= silenceBackoff
	}
	c.lookLater(target, l, wait)
}

// isSilent reports whether a new connection answers and the line says nothing.
func (c *Client) isSilent(target stagecall.Target, l *line, heard int64) bool {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	timer := c.opts.Clock.AfterFunc(c.opts.ProbeTimeout, cancel)
	defer timer.Stop()
	fresh := &line{pool: c.pool, address: target.Address}
	fresh.transport = newTransport(c.opts, fresh)
	defer fresh.transport.CloseIdleConnections()
	answered := make(chan bool, 1)
	go func() { answered <- probe(ctx, fresh, target) }()
	if probe(ctx, l, target) {
		return false
	}
	return <-answered && l.heard.Load() == heard
}

// probe asks for the load report and reports whether any answer came.
func probe(ctx context.Context, l *line, target stagecall.Target) bool {
	req, err := newRequest(ctx, http.MethodGet, "http://"+target.Address+targetapi.PathLoad, nil)
	if err != nil {
		return false
	}
	resp, err := l.transport.RoundTrip(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return err == nil
}
