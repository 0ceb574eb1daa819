package ingress

import (
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"lynxhill.example/lynxhill/internal/errkind"
)

// Bounds limit the memory and the connections that callers can occupy. A field that
// is 0 means no limit.
type Bounds struct {
	// Held is the number of bytes that the requests in flight may occupy. Each
	// counts with requestCost, its body, and a long head.
	Held int64
	// Connections is the maximum number of callers' connections.
	Connections int
	// QueryConnections is the maximum number of connections at the readiness
	// listener and at the address listener, each.
	QueryConnections int
}

// Shares of a process's resources, and the cost of one request.
const (
	// heldShare is the share of the memory for requests in flight. The rest is for
	// the program itself, its state, responses in progress, kernel buffers, and
	// garbage that is not collected yet.
	heldShare = 0.4
	// requestCost is a high estimate of the memory, in bytes, of a request besides
	// its body: two connections with their buffers, goroutines, heads, a response.
	// In a trial 2,000 requests that waited for a target took 29 KiB each, without
	// responses.
	requestCost = 64 << 10
	// filesReserve is the number of file descriptors that are not used for sockets.
	filesReserve = 200
	// connectionShare is the share of the descriptors for callers. A request needs a
	// second one for its target, so targets get the same share; the rest is for the
	// store and other instances.
	connectionShare = 0.4
	// queryShare is the share for the readiness listener and for the address
	// listener, each.
	queryShare = 0.05
)

// BoundsOf returns the bounds of a process with the given memory, in MiB, and number
// of file descriptors; 0 = no limit.
func BoundsOf(memoryMB, descriptors int) Bounds {
	b := Bounds{Held: int64(heldShare * float64(memoryMB) * (1 << 20))}
	if descriptors > 0 {
		sockets := float64(max(descriptors-filesReserve, 0))
		b.Connections = max(int(connectionShare*sockets), 1)
		b.QueryConnections = max(int(queryShare*sockets), 1)
	}
	return b
}

// memoryLimit limits the bytes that requests in flight occupy.
//
// Without it, bodies accumulate during a burst, or if callers send slowly, until the
// process exceeds its memory and is killed; everything in flight is lost with it. The
// symptom is an instance that disappears without a last log line. A request above
// the limit is refused before it has run, so its caller may retry.
//
// Bytes count when they have arrived, not when they are declared: otherwise a few
// callers that declare long bodies and send nothing would use up the limit for all.
type memoryLimit struct{ limit, held atomic.Int64 }

// reserve adds n bytes, unless that exceeds the limit.
func (a *memoryLimit) reserve(n int64) bool {
	limit := a.limit.Load()
	if held := a.held.Add(n); limit > 0 && held > limit {
		a.held.Add(-n)
		return false
	}
	return true
}

func (a *memoryLimit) release(n int64) { a.held.Add(-n) }

// reservation is the number of bytes that one request has reserved of a memoryLimit.
type reservation struct {
	*memoryLimit
	bytes int64
}

// errFull is the error for a request that exceeds the memory limit.
var errFull = errkind.WithRetryAfter(errkind.New(errkind.Overloaded, "this instance holds as many requests as it may"), fullRetryAfter)

// fullRetryAfter is the retry delay given to a caller when this instance is full.
const fullRetryAfter = 250 * time.Millisecond

func (h *reservation) add(n int64) error {
	if !h.reserve(n) {
		return errFull
	}
	h.bytes += n
	return nil
}

// end releases the reserved bytes.
func (h *reservation) end() { h.release(h.bytes) }

// countedBody is a request body whose bytes are reserved as they arrive.
type countedBody struct {
	io.ReadCloser
	reserved *reservation
}

// Read implements io.Reader.
func (c countedBody) Read(p []byte) (int, error) {
	n, err := c.ReadCloser.Read(p)
	if full := c.reserved.add(int64(n)); full != nil {
		return 0, full
	}
	return n, err
}

const (
	// smallBody is the maximum length, in bytes, of a body that is read and discarded
	// so that its connection can be reused.
	smallBody = 16 << 10
	// discardTimeout is the timeout of reading it.
	discardTimeout = 500 * time.Millisecond
)

// skipBody handles the body of a refused request that was not read completely. A
// short one of known length is discarded by net/http, and the connection stays open.
// Any other would occupy the connection with bytes that are of no use, so the
// connection is closed after the response.
func skipBody(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength < 0 || r.ContentLength > smallBody {
		w.Header().Set("Connection", "close")
		return
	}
	if r.ContentLength > 0 {
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(discardTimeout))
	}
}
