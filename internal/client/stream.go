package client

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"sync/atomic"
	"time"

	"github.com/tmaxmax/go-sse"

	"lynxhill.example/lynxhill/internal/errkind"
	"lynxhill.example/lynxhill/internal/wire/lynxapi"
)

// maxEventBytes bounds one event; an answer that was not streamed comes whole
// in the last one.
const maxEventBytes = 16 << 20

// ErrIdleTimeout is the cause of a stream that was given up because it sent nothing,
// not even a heartbeat.
var ErrIdleTimeout = errors.New("the stream was silent too long")

// errReceiverStopped says that a FrameFunc returned an error.
var errReceiverStopped = errors.New("the receiver of the answer stopped")

// FrameFunc takes the next piece of a streamed answer. An error stops the
// request.
type FrameFunc func(frame lynxapi.Frame) error

// splice joins the streams of several attempts into one answer. What the
// caller already has is not delivered again; a later attempt must repeat it
// exactly, or its rest does not belong behind it.
type splice struct {
	deliver   FrameFunc
	delivered strings.Builder
	seen      int // bytes of the attempt's answer so far
}

// begin starts the next attempt.
func (s *splice) begin() { s.seen = 0 }

// add takes a frame of the current attempt.
func (s *splice) add(frame lynxapi.Frame) error {
	if frame.Offset != s.seen {
		return broken("a frame at offset %d follows %d bytes", frame.Offset, s.seen)
	}
	have := s.delivered.String()
	old := min(len(frame.Text), max(len(have)-s.seen, 0))
	if old > 0 && have[s.seen:s.seen+old] != frame.Text[:old] {
		return broken("the answer differs from what was delivered before")
	}
	s.seen += len(frame.Text)
	fresh := frame.Text[old:]
	if fresh == "" {
		return nil
	}
	offset := len(have)
	s.delivered.WriteString(fresh)
	if s.deliver == nil {
		return nil
	}
	if err := s.deliver(lynxapi.Frame{Offset: offset, Text: fresh}); err != nil {
		return errkind.Wrap(fmt.Errorf("%w: %w", errReceiverStopped, err), errkind.Cancelled, "stream")
	}
	return nil
}

// end checks the attempt's answer against its end mark.
func (s *splice) end(reply lynxapi.SendReply) error {
	if !reply.Streamed {
		return s.whole(reply.Output)
	}
	if reply.Length != s.seen {
		return broken("the answer has %d bytes, its end mark says %d", s.seen, reply.Length)
	}
	return s.complete()
}

// whole takes an answer that came in one piece, such as the recorded one of a
// request that was sent before. Text is delivered like a frame; any other JSON
// only stands in the reply, and can't continue a text.
func (s *splice) whole(output json.RawMessage) error {
	var text string
	if json.Unmarshal(output, &text) != nil {
		if s.delivered.Len() > 0 {
			return broken("the recorded answer is no text, unlike what was delivered before")
		}
		return nil
	}
	s.seen = 0
	if err := s.add(lynxapi.Frame{Text: text}); err != nil {
		return err
	}
	return s.complete()
}

func (s *splice) complete() error {
	if s.seen < s.delivered.Len() {
		return broken("the answer ends at byte %d, after %d were delivered before", s.seen, s.delivered.Len())
	}
	return nil
}

func broken(format string, args ...any) error {
	return errkind.New(errkind.StreamBroken, "%s", fmt.Sprintf(format, args...))
}

// readStream reads the events of one attempt until its end. Every way of
// ending without an end mark or an error event is an error: a truncated answer
// must not pass for whole.
func (c *Caller) readStream(base string, body io.ReadCloser, req lynxapi.SendRequest, s *splice) (lynxapi.SendReply, error) {
	defer body.Close()
	watch := watchSilence(body, c.opts.IdleTimeout)
	defer watch.stop()
	s.begin()
	for event, err := range sse.Read(watch, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
		if err != nil {
			return lynxapi.SendReply{}, &TransportError{Server: base, Sent: true, Err: watch.explain(err)}
		}
		reply, done, err := take(event, req, s)
		if err != nil || done {
			return reply, err
		}
	}
	return lynxapi.SendReply{}, &TransportError{Server: base, Sent: true, Err: watch.explain(io.ErrUnexpectedEOF)}
}

// take handles one event; done says that it was the last.
func take(event sse.Event, req lynxapi.SendRequest, s *splice) (reply lynxapi.SendReply, done bool, err error) {
	switch event.Type {
	case lynxapi.EventAccepted:
		var accepted lynxapi.Accepted
		if err := decodeEvent(event, &accepted); err != nil {
			return reply, false, err
		}
		return reply, false, checkOwn(accepted.Key, req.Key)
	case lynxapi.EventFrame:
		var frame lynxapi.Frame
		if err := decodeEvent(event, &frame); err != nil {
			return reply, false, err
		}
		return reply, false, s.add(frame)
	case lynxapi.EventEnd:
		if err := decodeEvent(event, &reply); err != nil {
			return reply, false, err
		}
		if err := checkOwn(reply.Key, req.Key); err != nil {
			return reply, false, err
		}
		return reply, true, s.end(reply)
	case lynxapi.EventError:
		var body errkind.Body
		if err := decodeEvent(event, &body); err != nil {
			return reply, false, err
		}
		return reply, false, body.Err()
	}
	return reply, false, nil // a heartbeat, or an event of a later version
}

func decodeEvent(event sse.Event, message any) error {
	if err := json.Unmarshal([]byte(event.Data), message); err != nil {
		return broken("malformed %s event", event.Type)
	}
	return nil
}

// checkOwn refuses an answer to another request.
func checkOwn(got, want string) error {
	if got != want {
		return broken("the answer belongs to another request")
	}
	return nil
}

// silenceWatch closes a body that has been silent too long. An open connection
// that something between the two ends has lost track of never ends and never
// fails; one would notice only that the answer stops coming. Instances send a
// heartbeat every second, so silence means such a connection.
type silenceWatch struct {
	body    io.ReadCloser
	limit   time.Duration
	timer   *time.Timer
	expired atomic.Bool
}

func watchSilence(body io.ReadCloser, limit time.Duration) *silenceWatch {
	w := &silenceWatch{body: body, limit: limit}
	w.timer = time.AfterFunc(limit, func() {
		w.expired.Store(true)
		_ = body.Close()
	})
	return w
}

// Read implements io.Reader.
func (w *silenceWatch) Read(p []byte) (int, error) {
	n, err := w.body.Read(p)
	if n > 0 {
		w.timer.Reset(w.limit)
	}
	return n, err
}

func (w *silenceWatch) stop() { w.timer.Stop() }

// explain replaces the error of the closed body by its cause.
func (w *silenceWatch) explain(err error) error {
	if w.expired.Load() {
		return ErrIdleTimeout
	}
	return err
}
