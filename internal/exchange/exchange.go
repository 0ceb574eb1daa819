// Package exchange sends HTTP/1.1 requests to targets over pooled connections and
// reads the responses.
//
// It is used instead of http.Transport for three guarantees that http.Transport
// does not give:
//
//   - It reports exactly whether any byte of a request was written (Error.Sent),
//     so that a non-idempotent request is retried only if no target can have
//     seen it.
//   - It never retries a request by itself. http.Transport does if a reused
//     connection turns out to be closed; a request that isn't idempotent could
//     then run twice unnoticed.
//   - It never returns bytes that belong to another request: a connection is
//     reused only if the end of the last response on it is certain and a late
//     response to an earlier request would be recognised (see lane), it is checked
//     for unexpected bytes before each reuse, and a response that carries the ID
//     of another attempt is skipped.
//
// Messages are parsed by net/http (http.ReadResponse); only the connection
// handling is implemented here.
package exchange

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Defaults of Options.
const (
	DefaultDialTimeout    = time.Second
	DefaultMaxIdle        = 64
	DefaultIdleTimeout    = 10 * time.Second
	DefaultMaxHeaderBytes = 64 << 10
)

// Options configure a Pool. A field with the zero value has its default.
type Options struct {
	// Dial opens a connection and must return when its context ends. The default is
	// DialTCP. A connection that is not a socket should implement Checked.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)

	// DialTimeout is the timeout of a dial.
	DialTimeout time.Duration

	// MaxIdle is the maximum number of idle connections per address; the one that
	// has been idle for longest is closed first. Negative = no idle connections.
	MaxIdle int

	// IdleTimeout is the time after which an idle connection is closed. A target
	// that sends Keep-Alive: timeout=N shortens it to N-1 s (N/2 s if N <= 2):
	// otherwise the target might close the connection just as a request is sent
	// on it.
	IdleTimeout time.Duration

	// MaxHeaderBytes limits the size of a response head including the 1xx heads
	// before it, with a tolerance of 4 KiB of read-ahead. Without the limit a
	// target could exhaust the memory.
	MaxHeaderBytes int

	// AttemptID returns the ID of the attempt that a response's header states, ""
	// if none. Only this detects a late response to an earlier request that arrives
	// on a reused connection after the check for unexpected bytes. Nil = targets
	// send no such responses, and connections are reused for all requests.
	AttemptID func(http.Header) string

	// OnSend is called with each request that is about to be sent. The function
	// that it returns is called with the status and header of the response to this
	// request, if one arrives. Nil = no callback.
	OnSend func(Request) (onAnswer func(status int, h http.Header))

	// TakesWork reports whether the target of a request with NewWork may get it. It is asked
	// when the connection is open, right before the first byte is written: connecting may
	// take as long as a target that leaves goes on serving. Nil = each may.
	TakesWork func(Request) bool

	// OnUnacked is called with the address of a target whose host has not acknowledged a
	// request for suspectAfter; nil = no callback. Connections that implement Checked
	// don't count.
	OnUnacked func(address string)

	// Unacked returns how many bytes written to the connection the remote host has
	// not acknowledged, 0 if that isn't known. The default asks the kernel.
	Unacked func(net.Conn) int
}

// ErrTargetLeft is the error of a request with NewWork to a target that takes no work any more.
var ErrTargetLeft = errors.New("the target takes no more work")

// Pool makes exchanges and keeps idle connections for reuse. It is safe for
// concurrent use. Create one with New.
type Pool struct {
	opts       Options
	identifies bool // responses state IDs

	mu   sync.Mutex
	idle map[lane][]*conn // the most recently used one is last

	dialed, reused, stale, mismatched, passedOver, repeated, unidentified atomic.Uint64

	heard atomic.Int64 // when a byte was last received, Unix ns
}

// Stats holds the counters of a Pool since its creation.
type Stats struct {
	Dialed       uint64 // connections opened
	Reused       uint64 // requests sent on a reused connection
	Stale        uint64 // idle connections dropped because the target had closed them or sent unexpected bytes
	Mismatched   uint64 // responses skipped because they belong to another attempt
	PassedOver   uint64 // idle connections not used for a request since they had carried its ID
	Repeated     uint64 // requests sent on a connection on which their ID had been sent before
	Unidentified uint64 // responses without an ID on a reused connection
}

// Request is one request. Its Body and Header must not be changed until Do has
// failed, or until the response's Body has been read to its end or closed: a
// target may respond while the request body is still being written.
type Request struct {
	Address       string // host:port to connect to
	Target        string // id of the intended target, for OnSend; "" = not known
	Method        string // any but CONNECT
	URI           string // request target, sent byte for byte
	Host          string // Host header, sent byte for byte; "" = Address
	ID            string // ID of the attempt, compared with the result of Options.AttemptID; "" = a connection of its own
	Header        http.Header
	Body          []byte
	NewConnection bool // do not reuse an idle connection
	NewWork       bool // not to be sent to a target that takes no work, see Options.TakesWork

	// ResponseUnused says that nothing in the response is used, so that a response to
	// another such request does as well. These requests share connections.
	ResponseUnused bool

	// AckTimeout is how long the target's host may leave the request, once it is
	// written, without any TCP acknowledgement before the exchange fails with
	// ErrUnacknowledged. 0 = no timeout. It does not limit the time to the
	// response: the host of a slow target acknowledges at once.
	AckTimeout time.Duration
}

// Response is a response whose head has been read.
type Response struct {
	Use           Use
	Status        int
	Header        http.Header
	ContentLength int64 // as declared; -1 = not declared
	Framing       Framing

	// Body returns io.EOF only if the response is complete: the declared length
	// or the last chunk was read or, with neither, the target closed the
	// connection without a reset. A truncated response gives io.ErrUnexpectedEOF
	// or the connection's error; if the context ended, its error is in the chain.
	// Reading to the end releases the connection; Close before the end closes the
	// connection at once. The caller must do one of both, otherwise the connection
	// stays open until the context ends. Close may be called during a Read.
	Body io.ReadCloser
}

// Framing says what determines the end of a response.
type Framing int

// The values of Framing.
const (
	FramedByConnection Framing = iota // the end of the connection, also if the response broke off
	FramedByLength
	FramedByChunks
	NoBody // the response has no body
)

// String returns the framing as it is written to logs.
func (f Framing) String() string {
	return [...]string{"connection", "length", "chunks", "none"}[f]
}

// Error is the type of every error of Do.
type Error struct {
	// Sent is false if no byte of the request was written to a connection: only
	// then is it certain that no target has seen the request. Bytes accepted by
	// the kernel count as sent, even if the target was dead by then.
	Sent bool

	// Err is the reason. The context's error is in its chain if and only if the
	// context given to Do ended; a dial that exceeded DialTimeout has
	// os.ErrDeadlineExceeded instead.
	Err error

	Use Use
}

// Error implements the error interface.
func (e *Error) Error() string {
	if e.Sent {
		return "exchange: after sending: " + e.Err.Error()
	}
	return "exchange: not sent: " + e.Err.Error()
}

// Unwrap returns the reason.
func (e *Error) Unwrap() error { return e.Err }

// New returns a pool without connections.
func New(opts Options) *Pool {
	identifies := opts.AttemptID != nil
	if opts.Dial == nil {
		opts.Dial = DialTCP
	}
	if opts.DialTimeout <= 0 {
		opts.DialTimeout = DefaultDialTimeout
	}
	if opts.MaxIdle == 0 {
		opts.MaxIdle = DefaultMaxIdle
	}
	if opts.IdleTimeout <= 0 {
		opts.IdleTimeout = DefaultIdleTimeout
	}
	if opts.MaxHeaderBytes <= 0 {
		opts.MaxHeaderBytes = DefaultMaxHeaderBytes
	}
	if opts.Unacked == nil {
		opts.Unacked = unacked
	}
	if opts.AttemptID == nil {
		opts.AttemptID = func(http.Header) string { return "" }
	}
	if opts.TakesWork == nil {
		opts.TakesWork = func(Request) bool { return true }
	}
	if opts.OnSend == nil {
		opts.OnSend = func(Request) func(int, http.Header) { return func(int, http.Header) {} }
	}
	return &Pool{opts: opts, identifies: identifies, idle: make(map[lane][]*conn)}
}

// LastHeard returns when a byte was last received on a connection that is not Checked; the
// zero time = never.
func (p *Pool) LastHeard() time.Time {
	at := p.heard.Load()
	if at == 0 {
		return time.Time{}
	}
	return time.Unix(0, at)
}

// Stats returns a snapshot of the counters.
func (p *Pool) Stats() Stats {
	return Stats{
		Dialed:       p.dialed.Load(),
		Reused:       p.reused.Load(),
		Stale:        p.stale.Load(),
		Mismatched:   p.mismatched.Load(),
		PassedOver:   p.passedOver.Load(),
		Repeated:     p.repeated.Load(),
		Unidentified: p.unidentified.Load(),
	}
}

// Do sends r and returns once the head of its response has been read. It sends r
// at most once, on one connection. When ctx ends, that connection is closed at
// once, even while the body is being read. Every error is an *Error; no status is
// an error.
func (p *Pool) Do(ctx context.Context, r Request) (*Response, error) {
	head, err := encodeHead(r, p.singleUse(r))
	if err != nil {
		return nil, &Error{Err: err}
	}
	c, err := p.connect(ctx, r)
	if err != nil {
		return nil, &Error{Err: err}
	}
	if r.NewWork && !p.opts.TakesWork(r) {
		c.Close()
		return nil, &Error{Err: ErrTargetLeft}
	}
	onAnswer := p.opts.OnSend(r)
	x := p.begin(ctx, c, r, head)
	resp, err := x.answer()
	if err != nil {
		return nil, x.fail(err)
	}
	onAnswer(resp.StatusCode, resp.Header)
	body, err := x.body(resp)
	if err != nil {
		return nil, x.fail(err)
	}
	return &Response{
		Use:           x.use,
		Status:        resp.StatusCode,
		Header:        resp.Header,
		ContentLength: resp.ContentLength,
		Framing:       framingOf(resp),
		Body:          body,
	}, nil
}
