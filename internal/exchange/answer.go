package exchange

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/net/http/httpguts"
)

const (
	maxForeign      = 3       // answers to others that are read over
	maxForeignBytes = 1 << 20 // body of one such answer
)

var (
	errForeign    = errors.New("the target answers another attempt")
	errUnframed   = errors.New("the target answers another attempt and the end of that answer can't be told")
	errSwitched   = errors.New("the target switched the protocol")
	errBadStatus  = errors.New("the answer's status is below 100")
	errUnasked    = errors.New("the answer was complete before a byte of the request was sent")
	errBodyClosed = errors.New("read after Close of the answer's body")
)

// exchange is one request on one connection, from its first byte to the end
// of its answer.
type exchange struct {
	pool    *Pool
	conn    *conn
	ctx     context.Context
	request Request
	stop    func() bool // detaches conn from ctx; false: ctx closes conn
	foreign bool        // an answer to another attempt came
	ended   atomic.Bool // conn was given back or closed
	silence *silence

	written  chan struct{} // closed when the writing has ended
	sent     int64         // bytes written; after written
	writeErr error         // nil: the whole request; after written
}

// begin starts to write the request. Its goroutine ends with the exchange:
// whoever ends that closes the connection, or has seen the writing end.
func (p *Pool) begin(ctx context.Context, c *conn, r Request, head []byte) *exchange {
	x := &exchange{pool: p, conn: c, ctx: ctx, request: r, written: make(chan struct{})}
	if r.Method == http.MethodHead {
		c.usedHead = true
	}
	x.stop = context.AfterFunc(ctx, func() { c.Close() })
	go x.write(head)
	x.silence = x.watchSilence()
	return x
}

// write writes the request, beside the reading of the answer: a target may
// answer, and stop reading, before it has taken a long body. Waiting for the
// end of the write first would then wait for ever.
func (x *exchange) write(head []byte) {
	defer close(x.written)
	buffers := net.Buffers{head}
	if len(x.request.Body) > 0 {
		buffers = append(buffers, x.request.Body)
	}
	x.sent, x.writeErr = buffers.WriteTo(x.conn.Conn)
}

// answer returns the answer to this request. A target that answered an
// earlier attempt twice, or late, has that answer still on the connection;
// it is known by its ID, read over and counted.
func (x *exchange) answer() (*http.Response, error) {
	defer x.silence.stop()
	for n := 0; ; n++ {
		resp, err := x.readHead()
		if err != nil {
			return nil, err
		}
		id := x.pool.opts.AnswerID(resp.Header)
		if id == "" || x.request.ID == "" || id == x.request.ID {
			return resp, nil
		}
		x.foreign = true
		x.pool.mismatched.Add(1)
		if n == maxForeign {
			return nil, errForeign
		}
		if err := x.readOver(resp); err != nil {
			return nil, err
		}
	}
}

// readHead reads heads until one that isn't 1xx. 101 is refused, since what
// follows it isn't HTTP.
func (x *exchange) readHead() (*http.Response, error) {
	x.conn.headLeft = int64(x.pool.opts.MaxHeaderBytes)
	defer func() { x.conn.headLeft = -1 }()
	for {
		resp, err := http.ReadResponse(x.conn.br, &http.Request{Method: x.request.Method})
		switch {
		case err != nil:
			return nil, err
		case resp.StatusCode < 100:
			return nil, errBadStatus
		case resp.StatusCode == http.StatusSwitchingProtocols:
			return nil, errSwitched
		case resp.StatusCode >= 200:
			return resp, nil
		}
	}
}

// readOver reads an answer to another attempt to its end. It refuses where
// that end isn't certain: a wrong one would make bytes of that answer's body
// the head of ours. So it is after HEAD, whose answers declare a length but
// have no body; it isn't said which method the other attempt had.
func (x *exchange) readOver(resp *http.Response) error {
	if x.conn.usedHead || !delimited(resp) {
		return errUnframed
	}
	_, err := io.CopyN(io.Discard, resp.Body, maxForeignBytes+1)
	switch err {
	case io.EOF:
		return nil
	case nil:
		return errForeign // longer than we read for somebody else
	}
	return err
}

// delimited reports whether the answer's end is told by the answer itself
// and not by the end of the connection.
func delimited(resp *http.Response) bool {
	return resp.Body == http.NoBody || resp.ContentLength >= 0 || slices.Contains(resp.TransferEncoding, "chunked")
}

// fail closes the connection and returns the error of Do.
func (x *exchange) fail(err error) *Error {
	x.end(0)
	<-x.written
	if x.silence.met() {
		x.pool.CloseIdle(x.conn.address) // the machine is as silent on these
	}
	if resetByTarget(x.writeErr) && !errors.Is(err, x.writeErr) {
		err = fmt.Errorf("%w (writing the request: %w)", err, x.writeErr)
	}
	return &Error{Sent: x.sent > 0, Err: x.explain(err)}
}

// explain puts the context's error in place of that of the connection which
// it closed.
func (x *exchange) explain(err error) error {
	if x.ctx.Err() != nil {
		return contextError(x.ctx)
	}
	if x.silence.met() {
		return ErrSilent
	}
	return err
}

// contextError returns the error of a context that ended, with its cause.
func contextError(ctx context.Context) error {
	if cause := context.Cause(ctx); cause != ctx.Err() {
		return fmt.Errorf("%w: %w", ctx.Err(), cause)
	}
	return ctx.Err()
}

// end gives the connection back, to be kept for the given time, or closes it
// if that is 0. Only the first call does anything. A connection that ctx is
// about to close isn't kept: it would be closed under the next request.
func (x *exchange) end(keep time.Duration) {
	if !x.ended.CompareAndSwap(false, true) {
		return
	}
	if x.stop() && keep > 0 {
		x.pool.put(x.conn, keep)
		return
	}
	x.conn.Close()
	<-x.written
}

// finish ends an exchange whose answer was read to its end and returns
// io.EOF, or the reason why that end isn't one.
func (x *exchange) finish(resp *http.Response) error {
	x.end(x.keepTime(resp))
	<-x.written
	if x.sent == 0 {
		return errUnasked
	}
	// A reset is reported once by the kernel, to the reader or to the writer
	// of the connection; the other one sees a clean end. So an answer that
	// ends with the connection is complete only if no write met the reset.
	if !delimited(resp) && resetByTarget(x.writeErr) {
		return fmt.Errorf("%w: %w", io.ErrUnexpectedEOF, x.writeErr)
	}
	return io.EOF
}

// keepTime returns how long the connection may be kept after the answer, 0
// unless it is certain that the next bytes on it belong to the next request.
func (x *exchange) keepTime(resp *http.Response) time.Duration {
	if resp.Close || !resp.ProtoAtLeast(1, 1) || x.foreign ||
		wantsClose(x.request.Header) ||
		x.conn.br.Buffered() > 0 || !x.settle() {
		return 0
	}
	return idleTime(resp.Header, x.pool.opts.IdleTimeout)
}

// settle stops the writing of a request whose answer is complete and reports
// whether it was written whole. The write deadline ends a write that still
// waits, so that the target gets no more of it, and lets one that the kernel
// has taken whole succeed though its goroutine hasn't run again yet: without
// it a connection would be closed by chance when the machine is busy.
func (x *exchange) settle() bool {
	select {
	case <-x.written:
		return x.writeErr == nil
	default:
	}
	_ = x.conn.SetWriteDeadline(time.Unix(1, 0))
	<-x.written
	return x.writeErr == nil && x.conn.SetWriteDeadline(time.Time{}) == nil
}

// resetByTarget reports whether a write failed otherwise than by our own
// closing or stopping.
func resetByTarget(err error) bool {
	return err != nil && !errors.Is(err, net.ErrClosed) &&
		!errors.Is(err, io.ErrClosedPipe) && !errors.Is(err, os.ErrDeadlineExceeded)
}

// wantsClose reports whether the request asks for the end of the connection.
func wantsClose(h http.Header) bool {
	for name, values := range h {
		if strings.EqualFold(name, "Connection") && httpguts.HeaderValuesContainsToken(values, "close") {
			return true
		}
	}
	return false
}

// body returns the reader of the answer's body. An answer without one has
// ended by now, and so has its exchange.
func (x *exchange) body(resp *http.Response) (io.ReadCloser, error) {
	if resp.Body != http.NoBody {
		return &body{x: x, resp: resp}, nil
	}
	if err := x.finish(resp); err != io.EOF {
		return nil, err
	}
	return http.NoBody, nil
}

// body is Response.Body.
type body struct {
	x    *exchange
	resp *http.Response

	mu  sync.Mutex // held during Read; Close doesn't take it
	err error      // of all further reads
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.err != nil {
		return 0, b.err
	}
	if err := b.interrupted(); err != nil {
		b.err = err
		return 0, err
	}
	n, err := b.resp.Body.Read(p)
	switch err {
	case nil:
	case io.EOF:
		b.err = b.x.finish(b.resp)
	default:
		b.x.end(0)
		b.err = b.x.explain(err)
	}
	return n, b.err
}

// interrupted returns why no more is read although bytes may be buffered.
func (b *body) interrupted() error {
	if b.x.ctx.Err() != nil {
		b.x.end(0)
		return contextError(b.x.ctx)
	}
	if b.x.ended.Load() {
		return errBodyClosed
	}
	return nil
}

// Close implements io.Closer. It closes the connection unless the answer has
// been read to its end: what is left of an answer nobody wants may be endless.
func (b *body) Close() error {
	b.x.end(0)
	return nil
}
