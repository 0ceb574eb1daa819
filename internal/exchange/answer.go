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
	maxForeign      = 3       // responses to other attempts that are skipped on one connection
	maxForeignBytes = 1 << 20 // size of the body of one such response
)

var (
	errForeign     = errors.New("the target answers another attempt")
	errUnframed    = errors.New("the target answers another attempt and the end of that answer can't be told")
	errSwitched    = errors.New("the target switched the protocol")
	errBadStatus   = errors.New("the answer's status is below 100")
	errNothingSent = errors.New("the answer was complete before a byte of the request was sent")
	errBodyClosed  = errors.New("read after Close of the answer's body")
)

// exchange is one request on one connection, from its first byte to the end of
// its response.
type exchange struct {
	pool    *Pool
	conn    *conn
	ctx     context.Context
	request Request
	use     Use
	stop    func() bool // detaches conn from ctx; false: ctx has ended and closes conn
	foreign bool        // a response to another attempt was read
	ended   atomic.Bool // conn was returned to the pool or closed
	acks    *ackMonitor

	written  chan struct{} // closed once write has returned
	sent     int64         // number of bytes written; valid after written
	writeErr error         // nil = the whole request was written; valid after written
}

// begin starts to write the request in a goroutine. The goroutine does not outlive
// the exchange: the end of the exchange closes the connection or waits for written.
func (p *Pool) begin(ctx context.Context, c *conn, r Request, head []byte) *exchange {
	x := &exchange{pool: p, conn: c, ctx: ctx, request: r, use: c.use(r), written: make(chan struct{})}
	if x.use.Repeated {
		p.repeated.Add(1)
	}
	if r.Method == http.MethodHead {
		c.usedHead = true
	}
	x.stop = context.AfterFunc(ctx, func() { c.Close() })
	go x.write(head)
	x.acks = x.monitorAcks()
	return x
}

// write writes the request while the response is read: a target may respond, and
// stop reading, before it has read a long body. Waiting for the end of the write
// first would then block forever.
func (x *exchange) write(head []byte) {
	defer close(x.written)
	buffers := net.Buffers{head}
	if len(x.request.Body) > 0 {
		buffers = append(buffers, x.request.Body)
	}
	x.sent, x.writeErr = buffers.WriteTo(x.conn.Conn)
}

// answer returns the response to this request. If the target responded to an earlier
// attempt twice, or late, that response is still on the connection; it is recognised
// by its ID, skipped and counted.
func (x *exchange) answer() (*http.Response, error) {
	defer x.acks.stop()
	defer x.monitorSilence()()
	for n := 0; ; n++ {
		resp, err := x.readHead()
		if err != nil {
			return nil, err
		}
		id := x.pool.opts.AttemptID(resp.Header)
		if id == "" || id == x.request.ID || x.request.ResponseUnused {
			return resp, x.identify(id)
		}
		x.foreign = true
		x.use.Skipped++
		x.pool.mismatched.Add(1)
		if n == maxForeign {
			return nil, errForeign
		}
		if err := x.skipForeign(resp); err != nil {
			return nil, err
		}
	}
}

// identify records whether the response states the ID of the request. A response without
// one is an error on a connection that was used before, on which it may belong to an
// earlier request or to none.
func (x *exchange) identify(id string) error {
	x.use.Identified = id != "" && id == x.request.ID
	if !x.pool.identifies || x.use.Identified || x.use.Before == 0 || x.request.ResponseUnused {
		return nil
	}
	x.pool.unidentified.Add(1)
	return ErrUnidentified
}

// readHead reads response heads until one that isn't 1xx. 101 is an error, since
// the bytes that follow it aren't HTTP.
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

// skipForeign reads a response to another attempt to its end. It fails if that end
// isn't certain: with a wrong end, bytes of that response's body would be parsed as
// the head of ours. The end is uncertain after a HEAD request on the connection,
// since responses to HEAD declare a length but have no body, and the method of the
// other attempt isn't known.
func (x *exchange) skipForeign(resp *http.Response) error {
	if x.conn.usedHead || !delimited(resp) {
		return errUnframed
	}
	_, err := io.CopyN(io.Discard, resp.Body, maxForeignBytes+1)
	switch err {
	case io.EOF:
		return nil
	case nil:
		return errForeign // exceeds maxForeignBytes
	}
	return err
}

// framingOf returns what determines the end of the response.
func framingOf(resp *http.Response) Framing {
	switch {
	case slices.Contains(resp.TransferEncoding, "chunked"):
		return FramedByChunks
	case resp.Body == http.NoBody:
		return NoBody
	case resp.ContentLength >= 0:
		return FramedByLength
	}
	return FramedByConnection
}

// delimited reports whether the response itself determines its end, rather than the
// end of the connection.
func delimited(resp *http.Response) bool { return framingOf(resp) != FramedByConnection }

// fail closes the connection and returns the error of Do.
func (x *exchange) fail(err error) *Error {
	x.end(0)
	<-x.written
	if x.acks.expired() {
		x.pool.CloseIdle(x.conn.lane.address) // the host does not acknowledge data on these either
	}
	if resetByTarget(x.writeErr) && !errors.Is(err, x.writeErr) {
		err = fmt.Errorf("%w (writing the request: %w)", err, x.writeErr)
	}
	return &Error{Sent: x.sent > 0, Err: x.explain(err), Use: x.use}
}

// explain replaces the error of a connection that this side closed by the reason
// for closing it: the end of the context, or ErrUnacknowledged.
func (x *exchange) explain(err error) error {
	if x.ctx.Err() != nil {
		return contextError(x.ctx)
	}
	if x.acks.expired() {
		return ErrUnacknowledged
	}
	return err
}

// contextError returns the error of a context that ended, including its cause.
func contextError(ctx context.Context) error {
	if cause := context.Cause(ctx); cause != ctx.Err() {
		return fmt.Errorf("%w: %w", ctx.Err(), cause)
	}
	return ctx.Err()
}

// end returns the connection to the pool, where it may stay idle for the given time,
// or closes it if that is 0. Only the first call has an effect. A connection that
// ctx is about to close isn't returned to the pool: it would be closed during the
// next request.
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

// finish ends an exchange whose response was read to its end. It returns io.EOF, or
// the reason why the response isn't complete.
func (x *exchange) finish(resp *http.Response) error {
	x.end(x.keepTime(resp))
	<-x.written
	if x.sent == 0 {
		return errNothingSent
	}
	// The kernel reports a reset only once, either to the reader or to the writer
	// of the connection; the other one sees a regular end. So a response that ends
	// with the connection is complete only if no write failed with the reset.
	if !delimited(resp) && resetByTarget(x.writeErr) {
		return fmt.Errorf("%w: %w", io.ErrUnexpectedEOF, x.writeErr)
	}
	return io.EOF
}

// keepTime returns how long the connection may stay idle after the response, 0
// unless it is certain that the next bytes on it belong to the next request, or are
// recognised if they do not.
func (x *exchange) keepTime(resp *http.Response) time.Duration {
	if resp.Close || !resp.ProtoAtLeast(1, 1) || x.foreign || !x.recognises() ||
		wantsClose(x.request.Header) ||
		x.conn.br.Buffered() > 0 || !x.stopWrite() {
		return 0
	}
	return idleTime(resp.Header, x.pool.opts.IdleTimeout)
}

// stopWrite stops the writing of a request whose response is complete and reports
// whether the request was written completely. The write deadline ends a write that
// still blocks, so that the target gets no more of the request. A write that the
// kernel has accepted completely still succeeds even if its goroutine has not run
// since; otherwise connections would be closed at random while the CPU is busy.
func (x *exchange) stopWrite() bool {
	select {
	case <-x.written:
		return x.writeErr == nil
	default:
	}
	_ = x.conn.SetWriteDeadline(time.Unix(1, 0))
	<-x.written
	return x.writeErr == nil && x.conn.SetWriteDeadline(time.Time{}) == nil
}

// resetByTarget reports whether a write failed for another reason than that this
// side closed the connection or stopped the write.
func resetByTarget(err error) bool {
	return err != nil && !errors.Is(err, net.ErrClosed) &&
		!errors.Is(err, io.ErrClosedPipe) && !errors.Is(err, os.ErrDeadlineExceeded)
}

// wantsClose reports whether the request has the header Connection: close.
func wantsClose(h http.Header) bool {
	for name, values := range h {
		if strings.EqualFold(name, "Connection") && httpguts.HeaderValuesContainsToken(values, "close") {
			return true
		}
	}
	return false
}

// body returns the reader of the response body. A response without a body is
// complete, which ends the exchange.
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

	mu  sync.Mutex // held during Read; Close doesn't lock it
	err error      // returned by all further reads
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

// interrupted returns the reason why nothing more may be read, even if bytes are
// buffered; nil if there is none.
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

// Close implements io.Closer. It closes the connection unless the response has been
// read to its end: the unread rest may be endless.
func (b *body) Close() error {
	b.x.end(0)
	return nil
}
