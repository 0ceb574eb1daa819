package ingress

import (
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"lynxhill.example/lynxhill/internal/errkind"
)

// Bounds limit what callers can make this instance hold. A field that is 0 is
// not bounded.
type Bounds struct {
	// Held is how many bytes the requests in flight may take, each counted
	// with requestCost, its body and a long head.
	Held int64
	// Connections is how many callers may be connected at once.
	Connections int
	// Questions is the same at each listener of readiness and addresses.
	Questions int
}

// Shares of what a process may use, and what one request takes.
const (
	// heldShare is the part of the memory for requests in flight. The rest is
	// for the program itself, what it knows, answers on their way, bytes that
	// the kernel holds, and garbage that is not collected yet.
	heldShare = 0.4
	// requestCost is an allowance, in bytes, for what a request takes beside its
	// body: two connections with their buffers, goroutines, heads, an answer. In a
	// trial 2,000 requests that waited for a target took 29 KiB each, answers not
	// counted.
	requestCost = 64 << 10
	// filesReserve is how many descriptors are kept from sockets.
	filesReserve = 200
	// connectionShare is the callers' part of the descriptors. A request needs
	// a second one towards its target, so targets have as many; the rest is for
	// the store and other instances.
	connectionShare = 0.4
	questionShare   = 0.05
)

// BoundsOf returns the bounds of a process with that much memory, in MiB, and
// that many open files; 0 = not bounded.
func BoundsOf(memoryMB, descriptors int) Bounds {
	b := Bounds{Held: int64(heldShare * float64(memoryMB) * (1 << 20))}
	if descriptors > 0 {
		sockets := float64(max(descriptors-filesReserve, 0))
		b.Connections = max(int(connectionShare*sockets), 1)
		b.Questions = max(int(questionShare*sockets), 1)
	}
	return b
}

// allowance bounds the bytes that requests in flight hold.
//
// What goes wrong without it: a burst, or callers that send slowly, pile up
// bodies until the process is over its memory. It is killed then, which one
// notices by an instance that is gone without a last line, and everything in
// flight is lost with it. A request beyond the bound is refused before it has
// run, so its caller may come again.
//
// Bytes count when they have come, not when they are announced: otherwise a few
// callers who announce much and send nothing would use up the bound for all.
type allowance struct{ limit, held atomic.Int64 }

// take counts n bytes more, unless that is beyond the bound.
func (a *allowance) take(n int64) bool {
	limit := a.limit.Load()
	if held := a.held.Add(n); limit > 0 && held > limit {
		a.held.Add(-n)
		return false
	}
	return true
}

func (a *allowance) give(n int64) { a.held.Add(-n) }

// hold is what one request has taken of an allowance.
type hold struct {
	*allowance
	bytes int64
}

// errFull says that this instance holds as much as it may.
var errFull = errkind.WithRetryAfter(errkind.New(errkind.Overloaded, "this instance holds as many requests as it may"), fullPause)

// fullPause is when a caller may come back to an instance that is full.
const fullPause = 250 * time.Millisecond

func (h *hold) add(n int64) error {
	if !h.take(n) {
		return errFull
	}
	h.bytes += n
	return nil
}

// end gives everything back.
func (h *hold) end() { h.give(h.bytes) }

// counted is a body whose bytes are counted as they come.
type counted struct {
	io.ReadCloser
	hold *hold
}

// Read implements io.Reader.
func (c counted) Read(p []byte) (int, error) {
	n, err := c.ReadCloser.Read(p)
	if full := c.hold.add(int64(n)); full != nil {
		return 0, full
	}
	return n, err
}

const (
	// smallBody is how long a body may be, in bytes, to be read over for the
	// sake of its connection.
	smallBody = 16 << 10
	// overTime is how long that may take.
	overTime = 500 * time.Millisecond
)

// leaveBody decides what becomes of a refused request's body that was not read
// whole. A short one of known length is read over by the library, and the
// connection goes on. Any other would hold the connection for the sake of
// bytes that nobody wants, so it ends with the answer.
func leaveBody(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength < 0 || r.ContentLength > smallBody {
		w.Header().Set("Connection", "close")
		return
	}
	if r.ContentLength > 0 {
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(overTime))
	}
}
