package intake

import (
	"context"
	"sync"
	"time"

	"lynxhill.example/lynxhill/internal/errkind"
)

const (
	// RequestCost is a high estimate of the memory, in bytes, of a whole request besides
	// its head and body: two connections with their buffers, goroutines, a response.
	RequestCost = 64 << 10
	// smallRequest is the size, in bytes, up to which an unfinished request may use all
	// of the memory. What it holds beyond counts as unfinished.
	smallRequest = 16 << 10
	// unfinishedShare is the share of the memory for what unfinished requests hold
	// beyond smallRequest.
	unfinishedShare = 0.5
)

// FullRetryAfter is the retry delay given to a caller when this instance is full.
const FullRetryAfter = 250 * time.Millisecond

// ErrFull is the error for a request for which there is no memory.
var ErrFull = errkind.WithRetryAfter(errkind.New(errkind.Overloaded, "this instance holds as many requests as it may"), FullRetryAfter)

// Memory limits the bytes that requests occupy.
//
// Without it, bodies accumulate during a burst, or if callers send slowly, until the
// process exceeds its memory and is killed; everything in flight is lost with it. The
// symptom is an instance that disappears without a last log line. A request above the
// limit is refused before it has run, so its caller may retry.
//
// Bytes count when they are allocated, not when they are declared: otherwise a few callers
// that declare long bodies and send nothing would use up the limit for all. Unfinished
// requests together may hold only a part of the memory, except for the first bytes of
// each, so that requests of an ordinary size are served beside callers who never finish
// large ones.
//
// The zero value has no limit.
type Memory struct {
	mu         sync.Mutex // guards all below
	limit      int64      // 0 = no limit
	held       int64
	unfinished int64         // the part of held that unfinished requests hold beyond smallRequest
	released   chan struct{} // closed by the next release; nil = nobody waits
	limiters   []*Limiter    // those whose connections hold the bytes
}

// SetLimit changes the limit, in bytes; 0 = no limit. What is held stays.
func (m *Memory) SetLimit(limit int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.limit = limit
}

// Held returns the number of bytes that are reserved.
func (m *Memory) Held() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.held
}

// tryReserve reserves n bytes for r, unless a limit is exceeded.
func (m *Memory) tryReserve(r *Reservation, n int64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.limit > 0 && m.exceeds(r, n) {
		return false
	}
	m.held += n
	m.unfinished += r.excess(r.bytes+n) - r.excess(r.bytes)
	return true
}

// exceeds reports whether n more bytes for r exceed a limit. The caller must hold m.mu.
func (m *Memory) exceeds(r *Reservation, n int64) bool {
	if r.finished {
		return m.held+n > m.limit
	}
	if m.held+n+RequestCost > m.limit {
		return true // it could not be served when it is whole
	}
	others := m.unfinished - r.excess(r.bytes)
	more := r.excess(r.bytes+n) - r.excess(r.bytes)
	return more > 0 && others > 0 && m.unfinished+more > int64(unfinishedShare*float64(m.limit))
}

// release returns n bytes, and excess bytes of what unfinished requests hold.
func (m *Memory) release(n, excess int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.held -= n
	m.unfinished -= excess
	if m.released != nil && n+excess > 0 {
		close(m.released)
		m.released = nil
	}
}

// nextRelease returns a channel that is closed by the next release.
func (m *Memory) nextRelease() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.released == nil {
		m.released = make(chan struct{})
	}
	return m.released
}

// evict closes the connection of a client that has fallen behind and holds memory. It
// reports whether there was one.
func (m *Memory) evict() bool {
	m.mu.Lock()
	limiters := m.limiters
	m.mu.Unlock()
	for _, l := range limiters {
		if l.evictHolder() {
			return true
		}
	}
	return false
}

// Reservation is what one request has reserved of a Memory. It must not be used
// concurrently.
type Reservation struct {
	memory   *Memory
	conn     *Conn // nil = not on a limited connection
	bytes    int64
	finished bool // the request is whole
}

// Reserve returns an empty reservation for the request whose context is ctx.
func (m *Memory) Reserve(ctx context.Context) *Reservation {
	return &Reservation{memory: m, conn: connOf(ctx)}
}

// excess returns the part of held bytes that count as unfinished.
func (r *Reservation) excess(bytes int64) int64 {
	if r.finished {
		return 0
	}
	return max(bytes-smallRequest, 0)
}

// evictionWait is how long a reservation waits for the memory of a connection that was
// closed for it, and the interval at which one that waits looks for such connections.
const evictionWait = 100 * time.Millisecond

// Add reserves n more bytes. If there are none, connections of clients that have fallen
// behind are closed; if that does not help, the error is ErrFull.
func (r *Reservation) Add(n int64) error { return r.add(context.Background(), n, 0) }

// AddWaiting is like Add, but waits for up to the given time until other requests end.
func (r *Reservation) AddWaiting(ctx context.Context, n int64, wait time.Duration) error {
	if r.conn != nil {
		defer r.conn.grantGrace() // nothing was read meanwhile
	}
	return r.add(ctx, n, wait)
}

func (r *Reservation) add(ctx context.Context, n int64, wait time.Duration) error {
	if r.memory.tryReserve(r, n) {
		r.count(n)
		return nil
	}
	if r.conn != nil {
		if !r.conn.pause() {
			return errEvicted
		}
		defer r.conn.resume()
	}
	for end := time.Now().Add(wait); ; {
		released := r.memory.nextRelease()
		if r.memory.tryReserve(r, n) {
			r.count(n)
			return nil
		}
		left := time.Until(end)
		if r.memory.evict() {
			left = max(left, evictionWait)
		}
		if left <= 0 || ctx.Err() != nil {
			return ErrFull
		}
		waitFor(ctx, released, min(left, evictionWait)) // clients fall behind meanwhile
	}
}

// waitFor waits until the channel is closed, ctx ends or the time is over.
func waitFor(ctx context.Context, closed <-chan struct{}, limit time.Duration) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-closed:
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (r *Reservation) count(n int64) {
	r.bytes += n
	if r.conn != nil {
		r.conn.holds.Add(n)
	}
}

// fits reports whether an unfinished request with n more bytes could be served now.
func (r *Reservation) fits(n int64) bool {
	m := r.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.limit == 0 || m.held+n+RequestCost <= m.limit
}

// finish records that the request is whole: its bytes no longer count as unfinished.
func (r *Reservation) finish() {
	excess := r.excess(r.bytes)
	r.finished = true
	r.memory.release(0, excess)
}

// AddWhole records that the request is whole, and reserves RequestCost and n more bytes.
func (r *Reservation) AddWhole(n int64) error {
	r.finish()
	err := r.Add(RequestCost + n)
	if err != nil && r.conn != nil {
		r.conn.count(limitMemory)
	}
	return err
}

// End releases the reserved bytes.
func (r *Reservation) End() {
	bytes, excess := r.bytes, r.excess(r.bytes)
	r.count(-bytes)
	r.finished = false
	r.memory.release(bytes, excess)
}
