// Package logsink stands between the logger and the output. It takes lines
// without ever waiting for the output, within a bound of memory and a bound of
// bytes a second, and says in the log itself how many lines are missing.
//
// What can go wrong without it: the reader of the log stops reading (a full
// disk, a collector that hangs), and every request waits in the call that
// writes its line; or a fault repeats on every request, and the processor
// writes lines instead of serving. One notices the first by requests that all
// stop at once, the second by latencies that grow with the log. Here a line is
// copied into a ring and one goroutine alone waits for the output. When the
// ring is full lines are left out, so the log is incomplete, but never
// silently: event.LogLinesLeftOut counts them.
//
// A process that crashes loses the lines that it has taken and not yet
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
	// chunkBytes is about how much is handed to the output in one call.
	chunkBytes = 32 << 10
	// noteEvery is the least time between two notes of lines left out: a storm
	// would otherwise write one beside each line that passes.
	noteEvery = time.Second
)

// Options configure a Sink. Zero values mean the defaults.
type Options struct {
	Bytes int // bound of the lines that wait for the output
	Rate  int // bytes a second, on average, above which debug and info lines are left out
	Burst int // bytes that may come at once within the rate
	// Notes makes the logger of the lines that say how many are missing, in the
	// format of the log and without a filter of levels. Without it none is said.
	Notes func(io.Writer) *event.Logger
}

// leftOut counts lines that were left out, by reason.
type leftOut struct {
	full, rate, failed int
	first              time.Time
}

func (l *leftOut) any() bool { return l.full+l.rate+l.failed > 0 }

// count adds n lines to one of its own counters.
func (l *leftOut) count(reason *int, n int, now time.Time) {
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
	out   io.Writer
	wake  chan struct{} // holds one token when the drainer has something to look at
	ended chan struct{} // closed by Close
	end   sync.Once

	mu      sync.Mutex // guards all below
	ring    ring
	limiter *rate.Limiter // warnings over the rate make no debt: it would silence the rest for long
	left    leftOut
	noted   time.Time // when the last note was made
	failing bool      // the last write to the output failed
	flushes []chan struct{}
	notes   *event.Logger
	note    bytes.Buffer // what notes writes to
}

// New returns a sink that writes to out, and starts its goroutine.
func New(out io.Writer, o Options) *Sink {
	s := &Sink{
		out:     out,
		wake:    make(chan struct{}, 1),
		ended:   make(chan struct{}),
		ring:    newRing(orDefault(o.Bytes, DefaultBytes)),
		limiter: rate.NewLimiter(rate.Limit(orDefault(o.Rate, DefaultRate)), orDefault(o.Burst, DefaultBurst)),
	}
	if o.Notes != nil {
		s.notes = o.Notes(&s.note)
	}
	go s.drain()
	return s
}

func orDefault(n, otherwise int) int {
	if n == 0 {
		return otherwise
	}
	return n
}

// Write takes one whole line, which ends with a newline, or leaves it out. It
// never waits for the output and reports no error: a logger can do nothing
// about one.
func (s *Sink) Write(line []byte) (int, error) {
	if s.take(line) {
		s.signal()
	}
	return len(line), nil
}

// take reports whether the drainer must be told.
func (s *Sink) take(line []byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	idle := s.ring.size == 0 && !s.left.any()
	switch {
	case !s.limiter.AllowN(now, len(line)) && droppable(line):
		s.left.count(&s.left.rate, 1, now)
	case !s.ring.put(line):
		s.left.count(&s.left.full, 1, now)
	case s.ring.size == len(line):
		return true // the drainer may wait for the time of a note
	}
	return idle
}

// signal tells the drainer to look. It may find that nothing is left to do.
func (s *Sink) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Flush returns when all lines are with the output, or failed there, and a note
// has said what was left out, or with ctx's error. It is for the end of the process: while
// others go on writing it may find no end.
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

// Close ends the goroutine once the output has taken what it was given. Lines
// that wait, and lines that come later, are not written.
func (s *Sink) Close() { s.end.Do(func() { close(s.ended) }) }

// drain hands lines to the output until Close.
func (s *Sink) drain() {
	scratch := make([]byte, chunkBytes)
	for !s.closed() {
		chunk, pause := s.next(scratch)
		if len(chunk) == 0 {
			s.rest(pause)
			continue
		}
		n, err := s.out.Write(chunk)
		s.wrote(chunk[n:], err)
	}
}

func (s *Sink) closed() bool {
	select {
	case <-s.ended:
		return true
	default:
		return false
	}
}

// rest waits until there is something to look at. A pause of 0 has no end.
func (s *Sink) rest(pause time.Duration) {
	var due <-chan time.Time
	if pause > 0 {
		timer := time.NewTimer(pause)
		defer timer.Stop()
		due = timer.C
	}
	select {
	case <-s.wake:
	case <-due:
	case <-s.ended:
	}
}

// next takes whole lines out of the ring, as many as fit into scratch. The
// room that this makes is offered to a note first, so that the note stands
// where the lines are missing. Without lines it returns how long to rest.
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

// untilNote returns whether a note is due, and else how long until one is: 0
// if none is to come. While the output fails none is made: it would be lost,
// count as a lost line, and so call for another one for ever.
func (s *Sink) untilNote(now time.Time) (wait time.Duration, due bool) {
	if !s.left.any() || s.failing || s.notes == nil {
		return 0, false
	}
	since := s.noted
	if s.left.full+s.left.failed == 0 {
		since = s.left.first // a bound of bytes a second is passed for a while: count that while
	}
	wait = since.Add(noteEvery).Sub(now)
	if wait <= 0 || len(s.flushes) > 0 {
		return 0, true
	}
	return wait, false
}

// putNote says what was left out. A note that finds no room is made again
// when there is more.
func (s *Sink) putNote() {
	now := time.Now()
	s.note.Reset()
	s.notes.Log(event.LogLinesLeftOut, "full", s.left.full, "rate", s.left.rate, "failed", s.left.failed,
		"for_ms", now.Sub(s.left.first).Milliseconds())
	if s.ring.put(s.note.Bytes()) {
		s.left = leftOut{}
		s.noted = now
	}
}

// wrote takes in how a write ended and what of it is not out. That is not
// tried again: an output that fails would hold up the lines behind for ever.
func (s *Sink) wrote(rest []byte, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failing = err != nil
	s.left.count(&s.left.failed, bytes.Count(rest, newline), time.Now())
}

func (s *Sink) releaseFlushes() {
	for _, done := range s.flushes {
		close(done)
	}
	s.flushes = nil
}

var newline = []byte{'\n'}

// droppableMarks are what debug and info lines hold: at their beginning in
// logfmt, anywhere in JSON, whose quotes within values are escaped.
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
