package ingress

import (
	"bytes"
	"context"
	"net"
	"sync"
)

// headWatch is a caller's connection that detects whether the head of a request has
// a Content-Length field.
//
// It prevents request smuggling by requests with both Content-Length and chunked
// encoding. net/http correctly uses the chunks and drops the length without notice;
// what follows the chunks is then parsed as the next request, although an
// intermediary may have taken it for part of the body. Such a connection has to be
// closed after the response (RFC 9112, 6.1); other connections need not be.
type headWatch struct {
	net.Conn

	mu       sync.Mutex  // guards all below
	head     []byte      // head of the request that is being read, as far as it has arrived
	done     bool        // the head is complete, or exceeds maxWatchedHead
	reserved reservation // memory of a long head
}

const (
	// maxWatchedHead is the maximum size of a head that is examined.
	maxWatchedHead = defaultMaxHeader
	// shortHead is the size up to which a head does not count for the memory limit.
	// Bytes beyond it count headCopies times: one copy is stored here, one in
	// net/http.
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
	if full := h.reserveHead(); full != nil {
		return 0, full
	}
	if end := bytes.Index(h.head, headEnd); end >= 0 {
		h.head, h.done = h.head[:end], true
	}
	if len(h.head) > maxWatchedHead {
		h.head, h.done = h.head[:0], true
	}
	return n, err
}

// reserveHead reserves memory for a long head. If that exceeds the memory limit, the
// connection is closed, since there is no request yet that could be refused. The
// error is a net.OpError of a read, to which net/http sends no response: for any
// other error it responds that the request is malformed, and the caller would not
// retry. The caller must hold h.mu.
func (h *headWatch) reserveHead() error {
	want := headCopies * int64(len(h.head)-shortHead)
	if h.reserved.memoryLimit == nil || want <= h.reserved.bytes {
		return nil
	}
	if full := h.reserved.add(want - h.reserved.bytes); full != nil {
		return &net.OpError{Op: "read", Err: full}
	}
	return nil
}

// release releases the memory of a long head. The caller must hold h.mu.
func (h *headWatch) release() {
	if h.reserved.bytes > 0 {
		h.reserved.end()
		h.reserved.bytes = 0
		h.head = nil
	}
}

// Close implements net.Conn.
func (h *headWatch) Close() error {
	h.mu.Lock()
	h.release()
	h.reserved.memoryLimit = nil
	h.mu.Unlock()
	return h.Conn.Close()
}

// CloseWrite closes the sending side, see limitedConn.CloseWrite.
func (h *headWatch) CloseWrite() error {
	if half, ok := h.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// mayHaveLength reports whether the head of the request has a Content-Length field,
// or was not examined because it arrived in the same read as the request before or is
// too long.
func (h *headWatch) mayHaveLength() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.done || len(h.head) == 0 || bytes.Contains(bytes.ToLower(h.head), lengthField)
}

// next starts to examine the next request.
func (h *headWatch) next() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.release()
	h.head, h.done = h.head[:0], false
}

// watchedListener wraps accepted connections in a headWatch.
type watchedListener struct {
	net.Listener
	held *memoryLimit
}

// Accept implements net.Listener.
func (l watchedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &headWatch{Conn: conn, reserved: reservation{memoryLimit: l.held}}, nil
}

type connKey struct{}

// withConn stores the connection in the context of its requests.
func withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// mayHaveBothLengths reports whether a request in chunks may have a Content-Length
// field too. On a connection that is not a headWatch any request in chunks may.
func mayHaveBothLengths(ctx context.Context, chunked bool) bool {
	watch, ok := ctx.Value(connKey{}).(*headWatch)
	return chunked && (!ok || watch.mayHaveLength())
}

// nextHead is called when the response to a request is complete.
func nextHead(ctx context.Context) {
	if watch, ok := ctx.Value(connKey{}).(*headWatch); ok {
		watch.next()
	}
}
