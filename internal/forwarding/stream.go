package forwarding

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"lynxhill.example/lynxhill/internal/eventstream"
	"lynxhill.example/lynxhill/internal/exchange"
	"lynxhill.example/lynxhill/internal/fleet"
	"lynxhill.example/lynxhill/internal/route"
)

// errCallerLeft marks a failed write to the caller.
var errCallerLeft = errors.New("the caller left")

// streamBuffer is the size of the read buffer of a stream, in bytes.
const streamBuffer = 16 << 10

// maxEvent is the maximum size of an event of a resumable stream, in bytes.
const maxEvent = 1 << 20

// writeTimeout is the timeout of one write to the caller.
const writeTimeout = 10 * time.Second

// stream is a response that is sent to the caller as a stream of events. The
// events come from one target or, if the stream is resumable, from several
// targets in sequence.
type stream struct {
	fl      *flight
	control *http.ResponseController
	started bool   // the head was sent
	last    string // id of the last event that was forwarded
	events  int    // number of events that were forwarded

	// Of the response that is or was forwarded last.
	target  fleet.Target
	framing exchange.Framing
	reader  *eventstream.Reader // nil = it is no stream of events
}

func newStream(fl *flight) stream {
	return stream{fl: fl, control: http.NewResponseController(fl.w), last: fl.Request.LastEventID}
}

// begun reports whether the response head was sent to the caller.
func (s *stream) begun() bool { return s.started }

// resumeAt returns the id of the event after which the next target has to resume.
// It returns "" before the first event: the caller's own header then says where to
// start.
func (s *stream) resumeAt() string {
	if !s.started || s.events == 0 {
		return ""
	}
	return s.last
}

// forward forwards the target's response to the caller as it arrives. It returns nil
// if the response is complete.
func (s *stream) forward(ctx context.Context, resp *exchange.Response, target fleet.Target) error {
	defer resp.Body.Close()
	s.target = target
	s.head(resp)
	s.framing, s.reader = resp.Framing, nil
	var body io.Reader = resp.Body
	if s.fl.sendsEvents(resp.Header) {
		s.reader = eventstream.NewReader(body, resp.Framing != exchange.FramedByConnection)
		body = s.reader
	}
	var err error
	if s.fl.Route.Resumable {
		err = s.forwardEvents(body)
	} else {
		err = s.forwardBytes(body)
	}
	if err != nil && ctx.Err() != nil && !errors.Is(err, errCallerLeft) {
		return fmt.Errorf("%w: %w", ctx.Err(), err)
	}
	return err
}

// unfinished returns the number of bytes after the last complete event.
func (s *stream) unfinished() int {
	if s.reader == nil {
		return 0
	}
	return s.reader.Unfinished()
}

// sendsEvents reports whether the response with the header is a stream of events.
func (fl *flight) sendsEvents(h http.Header) bool {
	if h.Get("Content-Type") == "" {
		return fl.Route.Kind == route.Streaming
	}
	return eventstream.Is(h)
}

// head forwards the response head of the first target; it does nothing for
// further targets.
func (s *stream) head(resp *exchange.Response) {
	if s.started {
		return
	}
	h := s.fl.w.Header()
	for name, values := range s.fl.o.Codec.ResponseHeader(resp.Header) {
		h[name] = values
	}
	if s.fl.Route.Resumable {
		h.Del("Content-Length") // parts of the response may come from several targets
	}
	s.started = true
	s.fl.headSent = true
	s.fl.status = resp.Status
	s.fl.w.WriteHeader(resp.Status)
}

// forwardBytes forwards the body unchanged.
func (s *stream) forwardBytes(body io.Reader) error {
	buffer := make([]byte, streamBuffer)
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			s.noteEvent()
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

// noteEvent records that the target has brought its first event.
func (s *stream) noteEvent() {
	if s.fl.firstEvent || s.reader != nil && s.reader.Events() == 0 {
		return
	}
	s.fl.firstEvent = true
	s.fl.o.CrashGuard.RecordFirstEvent(s.fl.partKeys())
}

// forwardEvents forwards complete events only: an event that is cut off in the
// middle is sent again by the target that resumes the stream.
func (s *stream) forwardEvents(body io.Reader) error {
	var pending heldBytes // start of an event that is not complete
	var scanner eventstream.Scanner
	buffer := make([]byte, streamBuffer)
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			s.noteEvent()
		}
		var out []byte
		for data := buffer[:n]; len(data) > 0; {
			size, ended := scanner.Scan(data)
			if !pending.append(s.fl, data[:size]) {
				return errNoMemory
			}
			data = data[size:]
			if ended {
				out = s.appendNew(out, pending.bytes)
				pending.bytes = pending.bytes[:0]
			}
		}
		if werr := s.write(out); werr != nil {
			return werr
		}
		switch {
		case errors.Is(err, io.EOF):
			return s.write(pending.bytes)
		case err != nil:
			return err
		case len(pending.bytes) > maxEvent:
			return fmt.Errorf("an event of more than %d bytes", maxEvent)
		}
	}
}

// appendNew appends a complete event to out unless it was forwarded already.
func (s *stream) appendNew(out, block []byte) []byte {
	id, ok := s.fl.o.Codec.EventID(block)
	if ok && !after(id, s.last) {
		return out
	}
	if ok {
		s.last = id
	}
	s.events++
	s.fl.bindTo(s.target)
	return append(out, block...)
}

// after reports whether the event with the id follows the last one. It is true
// if one of the ids is not a number.
func after(id, last string) bool {
	a, err := strconv.ParseInt(id, 10, 64)
	b, err2 := strconv.ParseInt(last, 10, 64)
	return err != nil || err2 != nil || a > b
}

// write writes data to the caller and flushes it.
func (s *stream) write(data []byte) error {
	if len(data) == 0 {
		return nil
	}
	s.fl.noteFirstByte()
	_ = s.control.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := s.fl.w.Write(data); err != nil {
		return fmt.Errorf("%w: %w", errCallerLeft, err)
	}
	if err := s.control.Flush(); err != nil {
		return fmt.Errorf("%w: %w", errCallerLeft, err)
	}
	return nil
}
