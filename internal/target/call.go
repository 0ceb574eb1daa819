package target

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/quartz"

	"lynxhill.example/lynxhill/internal/stagecall"
)

// Causes for which the context of a call is cancelled while its parent is not.
var (
	errSilentFirst    = errors.New("no first byte in time")
	errSilentProgress = errors.New("no progress in time")
	errSilentConn     = errors.New("the connection is silent, a new one is not")
)

// call is one HTTP exchange with a target.
type call struct {
	client    *Client
	target    stagecall.Target
	transport *transport
	parent    context.Context
	ctx       context.Context
	cancel    context.CancelCauseFunc
	sent      atomic.Bool // the call got a connection, so bytes may have been sent
	watch     watchdog
}

// begin starts an exchange. The caller must call end exactly once.
func (c *Client) begin(parent context.Context, target stagecall.Target, opts stagecall.Options) *call {
	ctx, cancel := context.WithCancelCause(parent)
	x := &call{client: c, target: target, parent: parent, cancel: cancel}
	x.ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { x.sent.Store(true) },
	})
	x.transport = c.pool.acquire(target.Address, opts.NewConnection)
	x.watch = watchdog{clock: c.opts.Clock, cancel: cancel}
	x.watch.arm(opts.FirstByte, errSilentFirst)
	if opts.FirstByte > 0 {
		c.watchSilence(x)
	}
	return x
}

// end releases the resources of the call.
func (x *call) end() {
	x.watch.stop()
	x.cancel(nil)
	x.client.pool.release(x.transport, x)
}

// retire prevents new calls on this call's connection.
func (x *call) retire() { x.client.pool.retire(x.target.Address, x.transport) }

// send sends the request and returns the response. The body can be read only once,
// so that net/http cannot retry the call on another connection.
func (x *call) send(method, path string, body any) (*http.Response, error) {
	req, err := newRequest(x.ctx, method, "http://"+x.target.Address+path, body)
	if err != nil {
		return nil, &stagecall.Failure{Class: stagecall.ClassBadInput, NotRun: true, Err: err}
	}
	resp, err := x.transport.http.RoundTrip(req)
	if err != nil {
		return nil, x.failure(err)
	}
	return resp, nil
}

// unreplayableBody hides the type of its reader. Otherwise http.NewRequest would
// set GetBody, and net/http would resend the body on a new connection if a pooled
// connection breaks. A target would then run a call twice with the same attempt
// ID, and only the target could detect it.
type unreplayableBody struct{ io.Reader }

func (unreplayableBody) Close() error { return nil }

func newRequest(ctx context.Context, method, url string, body any) (*http.Request, error) {
	if body == nil {
		return http.NewRequestWithContext(ctx, method, url, nil)
	}
	data, err := json.Marshal(body)
	if err != nil {
		return nil, fmt.Errorf("encode request: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, method, url, unreplayableBody{bytes.NewReader(data)})
	if err != nil {
		return nil, err
	}
	req.ContentLength = int64(len(data))
	req.Header.Set("Content-Type", "application/json")
	return req, nil
}

// failure classifies an error of the exchange. It sets NotRun only if the call did
// not get a connection, because then no byte can have been sent.
func (x *call) failure(err error) *stagecall.Failure {
	var known *stagecall.Failure
	if errors.As(err, &known) {
		return known
	}
	f := &stagecall.Failure{Err: err, NotRun: !x.sent.Load()}
	cause := context.Cause(x.ctx)
	switch {
	case errors.Is(cause, errSilentConn):
		f.Class, f.Err, f.ConnectionLost = stagecall.ClassSilent, cause, true
		x.retire()
	case errors.Is(cause, errSilentFirst), errors.Is(cause, errSilentProgress):
		f.Class, f.Err = stagecall.ClassSilent, cause
		x.retire()
	case x.parent.Err() != nil:
		f.Class, f.Err = stagecall.ClassCancelled, x.parent.Err()
	case f.NotRun:
		f.Class = stagecall.ClassConnect
	default:
		f.Class = stagecall.ClassBroken
		f.ConnectionLost = errors.Is(err, errConnLost) || errors.Is(cause, errConnLost)
		x.retire()
	}
	return f
}

// watchdog cancels a call that makes no progress.
type watchdog struct {
	clock  quartz.Clock
	cancel context.CancelCauseFunc

	mu    sync.Mutex // guards timer and armed
	timer *quartz.Timer
	armed uint64 // number of calls of arm; a timer of an earlier call is ignored if it fires late
}

// arm restarts the watchdog: it cancels the call with the cause unless arm is
// called again within the wait. A wait of 0 disarms it.
func (w *watchdog) arm(wait time.Duration, cause error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.armed++
	if w.timer != nil {
		w.timer.Stop()
	}
	if wait <= 0 {
		return
	}
	number := w.armed
	w.timer = w.clock.AfterFunc(wait, func() { w.fire(number, cause) })
}

func (w *watchdog) fire(number uint64, cause error) {
	w.mu.Lock()
	current := w.armed == number
	w.mu.Unlock()
	if current {
		w.cancel(cause)
	}
}

func (w *watchdog) stop() { w.arm(0, nil) }
