package intake

import (
	"bytes"
	"context"
	"errors"
)

const (
	// headSlack is added to the limit of a head, in bytes, since the limit may not include
	// the request line.
	headSlack = 4 << 10
	// shortHead is the size, in bytes, and fewFields the number of fields up to which a
	// head does not count for the memory limit. Bytes beyond it count headCost times: one
	// copy is stored here, one in net/http, and a list of short entries, such as the parts
	// of a prompt, takes several times its text when it is parsed.
	shortHead = 4 << 10
	fewFields = 64
	headCost  = 8
	// fieldCost is the memory, in bytes, of a header field besides its text: entries in
	// the maps of net/http, of the parsed request and of the call to a target.
	fieldCost = 400
)

var errHeadTooLarge = errors.New("the head of the request is too large")

var (
	headEnd     = []byte("\r\n\r\n")
	lengthField = []byte("\ncontent-length:")
	// Beginnings of connections whose heads can't be examined.
	tlsRecord   = []byte{0x16}
	http2Method = []byte("PRI * HTTP/2.0")
)

// headWatch examines the head of a request as it arrives: its size, the number of its
// fields, and whether it has a Content-Length field.
//
// The latter prevents request smuggling by requests with both Content-Length and chunked
// encoding. net/http correctly uses the chunks and drops the length without notice; what
// follows the chunks is then parsed as the next request, although an intermediary may have
// taken it for part of the body. Such a connection has to be closed after the response
// (RFC 9112, 6.1); other connections need not be.
//
// It also counts the memory of heads, since net/http stores each field in a map that takes
// many times the size of a short field.
type headWatch struct {
	bytes   []byte // the head, as far as it has arrived
	fields  int    // line ends in bytes
	done    bool   // the head is complete
	skipped bool   // the connection is encrypted or uses HTTP/2
	late    bool   // the head was not complete in time
	began   bool   // the first bytes of the connection were examined
}

// opaque reports whether the heads of the connection can't be examined. p are bytes that
// have arrived.
func (h *headWatch) opaque(p []byte) bool {
	if !h.began {
		h.began = true
		h.skipped = bytes.HasPrefix(p, tlsRecord) || bytes.HasPrefix(p, http2Method)
	}
	return h.skipped
}

// add examines bytes that have arrived. The error is errHeadTooLarge if the head exceeds
// the limit.
func (h *headWatch) add(p []byte, limit int) error {
	if h.done {
		return nil
	}
	from := max(len(h.bytes)-len(headEnd)+1, 0)
	h.bytes = append(h.bytes, p...)
	if end := bytes.Index(h.bytes[from:], headEnd); end >= 0 {
		p = p[:max(len(p)-(len(h.bytes)-from-end), 0)]
		h.bytes, h.done = h.bytes[:from+end], true
		h.skipped = h.skipped || bytes.HasPrefix(h.bytes, http2Method)
	}
	h.fields += bytes.Count(p, []byte{'\n'})
	if len(h.bytes) > limit {
		return errHeadTooLarge
	}
	return nil
}

// cost returns the memory, in bytes, that the head takes as far as it has arrived; 0 for
// one of an ordinary size.
func (h *headWatch) cost() int64 {
	return int64(headCost*max(len(h.bytes)-shortHead, 0) + fieldCost*max(h.fields-fewFields, 0))
}

// next starts to examine the next request.
func (h *headWatch) next() {
	h.bytes, h.fields, h.done = h.bytes[:0], 0, false
	if cap(h.bytes) > shortHead {
		h.bytes = nil
	}
}

// mayHaveLength reports whether the head of the request has a Content-Length field, or was
// not examined because it arrived in the same read as the request before.
func (h *headWatch) mayHaveLength() bool {
	return !h.done || len(h.bytes) == 0 || bytes.Contains(bytes.ToLower(h.bytes), lengthField)
}

// MayHaveBothLengths reports whether a request in chunks may have a Content-Length field
// too. On a connection whose heads are not examined any request in chunks may.
func MayHaveBothLengths(ctx context.Context, chunked bool) bool {
	if !chunked {
		return false
	}
	c := connOf(ctx)
	if c == nil {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.head.mayHaveLength()
}
