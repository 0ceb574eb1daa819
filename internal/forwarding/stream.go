package forwarding

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"lynxhill.example/lynxhill/internal/exchange"
)

// errCallerLeft marks a failure to write to the caller.
var errCallerLeft = errors.New("the caller left")

// streamBuffer is how much of a stream is read at once.
const streamBuffer = 16 << 10

// maxEvent bounds one event of a stream that may be resumed.
const maxEvent = 1 << 20

// writeTime is how long a caller may take for a piece of the answer.
const writeTime = 10 * time.Second

// stream is a caller's answer that comes in events, from one target or, if it
// may be resumed, from several in turn.
type stream struct {
	fl      *flight
	control *http.ResponseController
	started bool   // the head was sent
	last    string // id of the last event that was passed on
	events  int
}

func newStream(fl *flight) stream {
	return stream{fl: fl, control: http.NewResponseController(fl.w), last: fl.Request.ResumedAt}
}

// begun reports whether the caller has the head of an answer.
func (s *stream) begun() bool { return s.started }

// resumeAt is the event after which a further target goes on; "" at first,
// when the caller's own header says where to begin.
func (s *stream) resumeAt() string {
	if !s.started || s.events == 0 {
		return ""
	}
	return s.last
}

// pass passes the answer on as it comes. nil means that it came to its end.
func (s *stream) pass(ctx context.Context, resp *exchange.Response) error {
	defer resp.Body.Close()
	s.head(resp)
	var err error
	if s.fl.Route.Resumable {
		err = s.passEvents(resp.Body)
	} else {
		err = s.passBytes(resp.Body)
	}
	if err != nil && ctx.Err() != nil && !errors.Is(err, errCallerLeft) {
		return fmt.Errorf("%w: %w", ctx.Err(), err)
	}
	return err
}

// head sends the head of the first target's answer.
func (s *stream) head(resp *exchange.Response) {
	if s.started {
		return
	}
	h := s.fl.w.Header()
	for name, values := range s.fl.o.Codec.AnswerHeader(resp.Header) {
		h[name] = values
	}
	if s.fl.Route.Resumable {
		h.Del("Content-Length") // several targets may share the answer
	}
	s.started = true
	s.fl.headSent = true
	s.fl.status = resp.Status
	s.fl.w.WriteHeader(resp.Status)
}

// passBytes passes on what comes, byte by byte.
func (s *stream) passBytes(body io.Reader) error {
	buffer := make([]byte, streamBuffer)
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			if werr := s.write(buffer[:n]); werr != nil {
				return werr
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// passEvents passes on whole events only: one that breaks off in its middle is
// given whole by the target that goes on.
func (s *stream) passEvents(body io.Reader) error {
	var pending []byte
	buffer := make([]byte, streamBuffer)
	for {
		n, err := body.Read(buffer)
		pending = append(pending, buffer[:n]...)
		whole, werr := s.passWhole(pending)
		if werr != nil {
			return werr
		}
		pending = append(pending[:0], pending[whole:]...)
		switch {
		case errors.Is(err, io.EOF):
			return s.write(pending)
		case err != nil:
			return err
		case len(pending) > maxEvent:
			return fmt.Errorf("an event of more than %d bytes", maxEvent)
		}
	}
}

// eventEnds are what ends an event of a stream.
var eventEnds = [][]byte{[]byte("\n\n"), []byte("\r\n\r\n")}

// passWhole passes on the whole events at the start of pending and returns how
// many bytes they take.
func (s *stream) passWhole(pending []byte) (int, error) {
	taken := 0
	var out []byte
	for {
		size := eventSize(pending[taken:])
		if size == 0 {
			break
		}
		block := pending[taken : taken+size]
		taken += size
		id, ok := s.fl.o.Codec.EventID(block)
		if ok && !after(id, s.last) {
			continue // the caller has it
		}
		if ok {
			s.last = id
		}
		s.events++
		out = append(out, block...)
	}
	return taken, s.write(out)
}

// eventSize is the length of the event at the start of data with its end, 0 if
// the end has not come.
func eventSize(data []byte) int {
	size := 0
	for _, end := range eventEnds {
		if at := bytes.Index(data, end); at >= 0 && (size == 0 || at+len(end) < size) {
			size = at + len(end)
		}
	}
	return size
}

// after reports whether the event comes after the last one; ids that are not
// numbers always do.
func after(id, last string) bool {
	a, err := strconv.ParseInt(id, 10, 64)
	b, err2 := strconv.ParseInt(last, 10, 64)
	return err != nil || err2 != nil || a > b
}

// write passes bytes on at once.
func (s *stream) write(data []byte) error {
	if len(data) == 0 {
		return nil
	}
	s.fl.noteFirst()
	_ = s.control.SetWriteDeadline(time.Now().Add(writeTime))
	if _, err := s.fl.w.Write(data); err != nil {
		return fmt.Errorf("%w: %w", errCallerLeft, err)
	}
	if err := s.control.Flush(); err != nil {
		return fmt.Errorf("%w: %w", errCallerLeft, err)
	}
	return nil
}
