// Package exchange sends one HTTP/1.1 request to a target over a kept
// connection and reads its answer.
//
// It exists beside http.Transport for three promises which that doesn't make:
//
//   - It says exactly whether any byte of a request was written (Error.Sent),
//     so that a caller repeats only what no target can have seen.
//   - It never repeats a request by itself. http.Transport does when a kept
//     connection turns out dead; a request that isn't idempotent could then be
//     carried out twice without anybody's knowledge.
//   - It never hands out bytes that belong to another request: a connection is
//     kept only if it is certain that the last answer ended on it, it is
//     checked for stray bytes before its next use, and an answer which names
//     another attempt is read over.
//
// Messages are parsed by net/http (http.ReadResponse); only the connections
// are this package's own.
package exchange

import (
	"context"
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

// Options of New. The zero value of a field stands for its default.
type Options struct {
	// Dial makes a connection and must end with its context. Default is a
	// net.Dialer whose keep-alive probes find a silent machine in 5 s.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)

	// DialTimeout is the time a dial may take.
	DialTimeout time.Duration

	// MaxIdle is the number of idle connections kept per address; the one
	// idle for longest goes first. Negative = keep none.
	MaxIdle int

	// IdleTimeout is the time after which an idle connection is closed. A
	// target that says Keep-Alive: timeout=N shortens it to N-1 s (N/2 s if
	// N <= 2): else the target would close it while a request is on its way.
	IdleTimeout time.Duration

	// MaxHeaderBytes bounds the head of an answer with the 1xx heads before it,
	// give or take 4 KiB read ahead. Without it a target fills the memory.
	MaxHeaderBytes int

	// AnswerID returns the ID of the attempt that an answer's header names, ""
	// if none. Nil = no answer names one. An answer that comes late on a kept
	// connection, between its check and the request, is told only by this.
	AnswerID func(http.Header) string

	// OnSend is called with each request that is about to be sent. What it
	// returns is given the status and header of the request's own answer, if one
	// comes. Nil = nobody listens.
	OnSend func(Request) (onAnswer func(status int, h http.Header))

	// Unacked returns how many bytes written to the connection the machine at its
	// other end has not acknowledged, 0 if that isn't known. Default asks the
	// kernel.
	Unacked func(net.Conn) int
}

// Pool makes exchanges and keeps idle connections. Use New. Its methods may
// be called by several goroutines at once.
type Pool struct {
	opts Options

	mu   sync.Mutex
	idle map[string][]*conn // by address; the last one was used last

	dialed, reused, stale, mismatched atomic.Uint64
}

// Stats counts since New.
type Stats struct {
	Dialed     uint64 // connections made
	Reused     uint64 // requests begun on a kept connection
	Stale      uint64 // kept connections dropped since the target closed them or sent stray bytes
	Mismatched uint64 // answers read over since they named another attempt
}

// Request is one request. Its Body and Header must stay unchanged until Do
// has failed, or the answer's Body has ended or been closed: a target may
// answer while the body is still being written.
type Request struct {
	Address string // host:port to connect to
	Target  string // id of the target that is meant, for OnSend; "" = not known
	Method  string // any but CONNECT
	URI     string // request target, sent byte for byte
	Host    string // Host header, sent byte for byte; "" = Address
	ID      string // what AnswerID returns for this request's answer; "" = any
	Header  http.Header
	Body    []byte
	Fresh   bool // use a new connection

	// SilentAfter is how long the machine of the target may acknowledge nothing of
	// the request, once that is written, before the exchange fails with ErrSilent.
	// 0 = no bound of its own. A target that is slow to answer is not silent.
	SilentAfter time.Duration
}

// Response is an answer whose head has come.
type Response struct {
	Status        int
	Header        http.Header
	ContentLength int64 // as declared; -1 = not declared

	// Body returns io.EOF only if the answer is complete: the declared length
	// or the last chunk was read or, with neither, the target ended the
	// connection in order. An early end is io.ErrUnexpectedEOF or the
	// connection's error, the end of the context has the context's error in
	// its chain. Read to the end it frees the connection; Close before the end
	// closes the connection at once. One of both must happen, else the
	// connection lives until the context ends. Close may be called during a
	// Read.
	Body io.ReadCloser
}

// Error is the type of every error of Do.
type Error struct {
	// Sent is false if not one byte of the request was written to a
	// connection: only then no target can have seen the request. Bytes that
	// the kernel took count as sent, also if the target was dead by then.
	Sent bool

	// Err is the reason. The context's error is in its chain if and only if
	// the context given to Do ended; a dial that took longer than DialTimeout
	// is os.ErrDeadlineExceeded.
	Err error
}

// Error implements error.
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
	if opts.Dial == nil {
		opts.Dial = defaultDialer().DialContext
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
	if opts.AnswerID == nil {
		opts.AnswerID = func(http.Header) string { return "" }
	}
	if opts.OnSend == nil {
		opts.OnSend = func(Request) func(int, http.Header) { return func(int, http.Header) {} }
	}
	return &Pool{opts: opts, idle: make(map[string][]*conn)}
}

// Stats returns the counts so far.
func (p *Pool) Stats() Stats {
	return Stats{
		Dialed:     p.dialed.Load(),
		Reused:     p.reused.Load(),
		Stale:      p.stale.Load(),
		Mismatched: p.mismatched.Load(),
	}
}

// Do sends r and returns once the head of its answer has come. It sends r at
// most once, on one connection. The end of ctx closes that connection at once,
// also while the body is read. Every error is an *Error; a status is none.
func (p *Pool) Do(ctx context.Context, r Request) (*Response, error) {
	head, err := encodeHead(r)
	if err != nil {
		return nil, &Error{Err: err}
	}
	c, err := p.connect(ctx, r)
	if err != nil {
		return nil, &Error{Err: err}
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
		Status:        resp.StatusCode,
		Header:        resp.Header,
		ContentLength: resp.ContentLength,
		Body:          body,
	}, nil
}
