// Package logsink buffers log lines between the logger and the output. It
// accepts lines without ever waiting for the output, limits the memory and the
// bytes per second that they use, and reports in the log itself how many lines
// were dropped.
//
// It prevents two faults. If the reader of the log stops reading (a full disk, a
// collector that hangs), every request would block in the call that writes its
// line; the symptom is that all requests stop at once. If an error repeats on
// every request, the processor would write lines instead of serving requests;
// the symptom is latencies that grow with the log. Here a line is copied into a
// ring buffer, and only one goroutine waits for the output. When the ring is
// full, lines are dropped, so the log is incomplete, but never silently:
// event.LogLinesLeftOut counts them.
//
// A process that crashes loses the lines that it has accepted and not yet
// written, usually those of the last millisecond.
package logsink

import (
	"bytes"
	"context"
	"io"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"lynxhill.example/lynxhill/internal/event"
)

// Defaults of Options.
const (
	DefaultBytes = 1 << 20
	DefaultRate  = 64 << 10
	DefaultBurst = 512 << 10
)

const (
	// chunkBytes is about how much is written to the output in one call.
	chunkBytes = 32 << 10
	// noteInterval is the minimum time between two notes, the lines that report
	// how many lines were dropped. Without it a burst of lines would produce one
	// note for each line that is not dropped.
	noteInterval = time.Second
)

// Options configure a Sink. Zero values mean the defaults.
type Options struct {
	Bytes int // maximum size of the buffered lines
	Rate  int // average bytes per second above which debug and info lines are dropped
	Burst int // bytes that may arrive at once without exceeding the rate
	// DropReports returns the logger for the lines that report how many lines were
	// dropped; it uses the format of the log and does not filter levels. If
	// DropReports is nil, dropped lines are not reported.
	DropReports func(io.Writer) *event.Logger
}

// dropCounts counts dropped lines by reason. first is the time of the first.
type dropCounts struct {
	full, rate, failed int
	first              time.Time
}

func (l *dropCounts) any() bool { return l.full+l.rate+l.failed > 0 }

// count adds n lines to reason, which points to one of the counters of l.
func (l *dropCounts) count(reason *int, n int, now time.Time) {
	if n == 0 {
		return
	}
	if !l.any() {
		l.first = now
	}
	*reason += n
}

// Sink is an io.Writer that never waits for its output.
type Sink struct {
	out       io.Writer
	wake      chan struct{} // holds one token when the drain goroutine has something to check
	done      chan struct{} // closed by Close
	closeOnce sync.Once

	mu      sync.Mutex // guards all below
	ring    ring
	limiter *rate.Limiter // warnings over the rate consume no tokens: a debt would suppress other lines for long
	dropped dropCounts
	noted   time.Time // when the last note was enqueued
	failing bool      // the last write to the output failed
	flushes []chan struct{}
	notes   *event.Logger
	note    bytes.Buffer // buffer that notes writes to
}

// New returns a sink that writes to out, and starts its drain goroutine.
func New(out io.Writer, o Options) *Sink {
	s := &Sink{
		out:     out,
		wake:    make(chan struct{}, 1),
		done:    make(chan struct{}),
		ring:    newRing(orDefault(o.Bytes, DefaultBytes)),
		limiter: rate.NewLimiter(rate.Limit(orDefault(o.Rate, DefaultRate)), orDefault(o.Burst, DefaultBurst)),
	}
	if o.DropReports != nil {
		s.notes = o.DropReports(&s.note)
	}
	go s.drain()
	return s
}

func orDefault(n, fallback int) int {
	if n == 0 {
		return fallback
	}
	return n
}

// Write buffers or drops one whole line, which ends with a newline. It never
// waits for the output and always returns len(line) and nil, since a logger
// cannot handle an error.
func (s *Sink) Write(line []byte) (int, error) {
	if s.enqueue(line) {
		s.signal()
	}
	return len(line), nil
}

// enqueue buffers or drops the line and reports whether the drain goroutine must
// be woken.
func (s *Sink) enqueue(line []byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	idle := s.ring.size == 0 && !s.dropped.any()
	switch {
	case !s.limiter.AllowN(now, len(line)) && droppable(line):
		s.dropped.count(&s.dropped.rate, 1, now)
	case !s.ring.put(line):
		s.dropped.count(&s.dropped.full, 1, now)
	case s.ring.size == len(line):
		return true // the drain goroutine may be waiting until a note is due
	}
	return idle
}

// signal wakes the drain goroutine, which may find that there is nothing to do.
func (s *Sink) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Flush returns nil when all lines have been written to the output, or have
// failed there, and a note has reported the dropped ones; it returns ctx's error
// if ctx ends first. It is meant for the end of the process: while others
// continue to write, it may not finish.
func (s *Sink) Flush(ctx context.Context) error {
	done := make(chan struct{})
	s.mu.Lock()
	s.flushes = append(s.flushes, done)
	s.mu.Unlock()
	s.signal()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Close stops the drain goroutine once the current write to the output has
// returned. Lines still buffered, and lines that arrive later, are not written.
func (s *Sink) Close() { s.closeOnce.Do(func() { close(s.done) }) }

// drain writes lines to the output until Close.
func (s *Sink) drain() {
	scratch := make([]byte, chunkBytes)
	for !s.closed() {
		chunk, pause := s.next(scratch)
		if len(chunk) == 0 {
			s.waitForWork(pause)
			continue
		}
		n, err := s.out.Write(chunk)
		s.recordWrite(chunk[n:], err)
	}
}

func (s *Sink) closed() bool {
	select {
	case <-s.done:
		return true
	default:
		return false
	}
}

// waitForWork waits for a signal, for Close, or until the pause has passed. A
// pause of 0 is unlimited.
func (s *Sink) waitForWork(pause time.Duration) {
	var due <-chan time.Time
	if pause > 0 {
		timer := time.NewTimer(pause)
		defer timer.Stop()
		due = timer.C
	}
	select {
	case <-s.wake:
	case <-due:
	case <-s.done:
	}
}

// next removes whole lines from the ring, as many as fit into scratch. A note
// that is due gets the freed space first, so that it appears where the lines are
// missing. If there are no lines, next returns how long to wait.
func (s *Sink) next(scratch []byte) ([]byte, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	chunk := s.ring.take(scratch)
	wait, due := s.untilNote(time.Now())
	if due {
		s.putNote()
	}
	if len(chunk) == 0 {
		chunk = s.ring.take(scratch)
	}
	if len(chunk) == 0 {
		s.releaseFlushes()
	}
	return chunk, wait
}

// untilNote returns whether a note is due, and otherwise how long until one is:
// 0 if none is pending. No note is written while the output fails: it would be
// lost, be counted as a lost line, and so cause the next note, endlessly.
func (s *Sink) untilNote(now time.Time) (wait time.Duration, due bool) {
	if !s.dropped.any() || s.failing || s.notes == nil {
		return 0, false
	}
	since := s.noted
	if s.dropped.full+s.dropped.failed == 0 {
		since = s.dropped.first // the rate is usually exceeded for a while: count over a whole interval
	}
	wait = since.Add(noteInterval).Sub(now)
	if wait <= 0 || len(s.flushes) > 0 {
		return 0, true
	}
	return wait, false
}

// putNote enqueues a note with the counts of dropped lines. If the ring has no
// room for it, the counts stay for a later attempt.
func (s *Sink) putNote() {
	now := time.Now()
	s.note.Reset()
	s.notes.Log(event.LogLinesLeftOut, "full", s.dropped.full, "rate", s.dropped.rate, "failed", s.dropped.failed,
		"for_ms", now.Sub(s.dropped.first).Milliseconds())
	if s.ring.put(s.note.Bytes()) {
		s.dropped = dropCounts{}
		s.noted = now
	}
}

// recordWrite records the result of a write and counts the lines in rest, which
// were not written. They are not retried: an output that keeps failing would
// block the lines behind them for ever.
func (s *Sink) recordWrite(rest []byte, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failing = err != nil
	s.dropped.count(&s.dropped.failed, bytes.Count(rest, newline), time.Now())
}

func (s *Sink) releaseFlushes() {
	for _, done := range s.flushes {
		close(done)
	}
	s.flushes = nil
}

var newline = []byte{'\n'}

// droppablePrefixes and droppablePairs identify debug and info lines: by their
// beginning in logfmt, and by a pair anywhere in a JSON line, since quotes within
// JSON values are escaped.
var (
	droppablePrefixes = [][]byte{[]byte("level=info "), []byte("level=debug ")}
	droppablePairs    = [][]byte{[]byte(`"level":"info"`), []byte(`"level":"debug"`)}
)

// droppable reports whether the line is of level debug or info.
func droppable(line []byte) bool {
	for _, prefix := range droppablePrefixes {
		if bytes.HasPrefix(line, prefix) {
			return true
		}
	}
	if len(line) == 0 || line[0] != '{' {
		return false
	}
	for _, pair := range droppablePairs {
		if bytes.Contains(line, pair) {
			return true
		}
	}
	return false
}
