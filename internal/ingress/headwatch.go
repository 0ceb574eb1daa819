package ingress

import (
	"bytes"
	"context"
	"net"
	"sync"
)

// headWatch is a caller's connection that notices whether a request said a
// length in its head.
//
// What goes wrong without it: a request says a length and comes in chunks as
// well. The library takes the chunks, as it should, and drops the length
// unseen; what lies within that length is then read as the next request,
// though whoever passed the bytes on may have taken it for the body. Such a
// connection has to end with the answer (RFC 9112, 6.1), others need not.
type headWatch struct {
	net.Conn

	mu    sync.Mutex // guards all below
	head  []byte     // of the request that is being read, as far as it has come
	done  bool       // its end has come
	taken hold       // for a long head
}

const (
	// headWatched bounds the head that is looked at.
	headWatched = defaultMaxHeader
	// shortHead is how long a head may be before it counts as held. It is kept
	// twice, here and by the library.
	shortHead  = 4 << 10
	headCopies = 2
)

var (
	headEnd     = []byte("\r\n\r\n")
	lengthField = []byte("\ncontent-length:")
)

// Read implements net.Conn.
func (h *headWatch) Read(p []byte) (int, error) {
	n, err := h.Conn.Read(p)
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.done || n <= 0 {
		return n, err
	}
	h.head = append(h.head, p[:n]...)
	if full := h.countHead(); full != nil {
		return 0, full
	}
	if end := bytes.Index(h.head, headEnd); end >= 0 {
		h.head, h.done = h.head[:end], true
	}
	if len(h.head) > headWatched {
		h.head, h.done = h.head[:0], true
	}
	return n, err
}

// countHead counts a long head as held. One beyond the bound ends the
// connection, since there is no request yet that could be refused. The error is
// a failed read, to which the library gives no answer: for any other it says
// that the request is malformed, and the caller would not come again. The lock
// is held.
func (h *headWatch) countHead() error {
	want := headCopies * int64(len(h.head)-shortHead)
	if h.taken.allowance == nil || want <= h.taken.bytes {
		return nil
	}
	if full := h.taken.add(want - h.taken.bytes); full != nil {
		return &net.OpError{Op: "read", Err: full}
	}
	return nil
}

// release gives back what a long head took. The lock is held.
func (h *headWatch) release() {
	if h.taken.bytes > 0 {
		h.taken.end()
		h.taken.bytes = 0
		h.head = nil
	}
}

// Close implements net.Conn.
func (h *headWatch) Close() error {
	h.mu.Lock()
	h.release()
	h.taken.allowance = nil
	h.mu.Unlock()
	return h.Conn.Close()
}

// CloseWrite ends what is sent, see boundConn.
func (h *headWatch) CloseWrite() error {
	if half, ok := h.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// saysLength reports whether the head of the request says a length, or was not
// seen: it came in one piece with the request before.
func (h *headWatch) saysLength() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.done || len(h.head) == 0 || bytes.Contains(bytes.ToLower(h.head), lengthField)
}

// next begins to look at the next request.
func (h *headWatch) next() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.release()
	h.head, h.done = h.head[:0], false
}

// watchedListener hands out connections that notice lengths.
type watchedListener struct {
	net.Listener
	held *allowance
}

// Accept implements net.Listener.
func (l watchedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &headWatch{Conn: conn, taken: hold{allowance: l.held}}, nil
}

type connKey struct{}

// withConn keeps the connection for the handler.
func withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// bothLengths reports whether a request in chunks may have said a length too.
// On a connection that is not watched it may.
func bothLengths(ctx context.Context, chunked bool) bool {
	watch, ok := ctx.Value(connKey{}).(*headWatch)
	return chunked && (!ok || watch.saysLength())
}

// nextHead is called when a request was answered.
func nextHead(ctx context.Context) {
	if watch, ok := ctx.Value(connKey{}).(*headWatch); ok {
		watch.next()
	}
}
