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

// Causes with which a call's context ends before its caller's.
var (
	errSilentFirst    = errors.New("no first byte in time")
	errSilentProgress = errors.New("no progress in time")
	errSilentConn     = errors.New("the connection is silent, a new one is not")
)

// call is one HTTP exchange with a target.
type call struct {
	client *Client
	target stagecall.Target
	line   *line
	parent context.Context
	ctx    context.Context
	cancel context.CancelCauseFunc
	sent   atomic.Bool // a connection was had, so bytes may have been sent
	watch  watchdog
}

// begin prepares an exchange. end must be called once.
func (c *Client) begin(parent context.Context, target stagecall.Target, opts stagecall.Options) *call {
	ctx, cancel := context.WithCancelCause(parent)
	x := &call{client: c, target: target, parent: parent, cancel: cancel}
	x.ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { x.sent.Store(true) },
	})
	x.line = c.pool.take(target.Address, opts.NewConnection)
	x.watch = watchdog{clock: c.opts.Clock, cancel: cancel}
	x.watch.arm(opts.FirstByte, errSilentFirst)
	if opts.FirstByte > 0 {
		c.watchSilence(x)
	}
	return x
}

func (x *call) end() {
	x.watch.stop()
	x.cancel(nil)
	x.client.pool.put(x.line, x)
}

// retire keeps later calls off this call's connection.
func (x *call) retire() { x.client.pool.retire(x.target.Address, x.line) }

// send makes the exchange. The body cannot be read a second time, so that
// net/http cannot repeat the call on another connection.
func (x *call) send(method, path string, body any) (*http.Response, error) {
	req, err := newRequest(x.ctx, method, "http://"+x.target.Address+path, body)
	if err != nil {
		return nil, &stagecall.Failure{Class: stagecall.ClassBadInput, NotRun: true, Err: err}
	}
	resp, err := x.line.transport.RoundTrip(req)
	if err != nil {
		return nil, x.failure(err)
	}
	return resp, nil
}

// onceBody hides the type of its reader: http.NewRequest would otherwise set
// GetBody, and net/http would send the body again on a new connection when a
// kept one breaks. A target would then run a call twice with one attempt id,
// seen only in its own record.
type onceBody struct{ io.Reader }

func (onceBody) Close() error { return nil }

func newRequest(ctx context.Context, method, url string, body any) (*http.Request, error) {
	if body == nil {
		return http.NewRequestWithContext(ctx, method, url, nil)
	}
	data, err := json.Marshal(body)
	if err != nil {
		return nil, fmt.Errorf("encode request: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, method, url, onceBody{bytes.NewReader(data)})
	if err != nil {
		return nil, err
	}
	req.ContentLength = int64(len(data))
	req.Header.Set("Content-Type", "application/json")
	return req, nil
}

// failure classifies an error of the exchange. It says NotRun only if no
// connection was had, since then no byte can have been sent.
func (x *call) failure(err error) *stagecall.Failure {
	var known *stagecall.Failure
	if errors.As(err, &known) {
		return known
	}
	f := &stagecall.Failure{Err: err, NotRun: !x.sent.Load()}
	cause := context.Cause(x.ctx)
	switch {
	case errors.Is(cause, errSilentConn):
		f.Class, f.Err, f.Connection = stagecall.ClassSilent, cause, true
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
		f.Connection = errors.Is(err, errConnLost) || errors.Is(cause, errConnLost)
		x.retire()
	}
	return f
}

// watchdog ends a call that makes no progress.
type watchdog struct {
	clock  quartz.Clock
	cancel context.CancelCauseFunc

	mu    sync.Mutex // guards timer and armed
	timer *quartz.Timer
	armed uint64 // number of the latest arming: a timer that fired late is ignored
}

// arm waits wait for the next sign of life; 0 waits without end.
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
