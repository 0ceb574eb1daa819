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

// maxEventBytes is the maximum size of one event. The last event contains the
// whole answer if the answer was not streamed.
const maxEventBytes = 16 << 20

// ErrIdleTimeout is the cause of the error of a stream that was abandoned because it
// sent nothing for too long, not even a heartbeat.
var ErrIdleTimeout = errors.New("the stream was silent too long")

// errReceiverStopped is wrapped by the error of a request whose FrameFunc
// returned an error.
var errReceiverStopped = errors.New("the receiver of the answer stopped")

// FrameFunc receives the next frame of a streamed answer. If it returns an
// error, the request is stopped.
type FrameFunc func(frame lynxapi.Frame) error

// splice joins the streams of several attempts into one answer. Text that was
// already delivered is not delivered again. A later attempt must repeat that
// text exactly; otherwise its remainder does not continue the same answer.
type splice struct {
	deliver   FrameFunc
	delivered strings.Builder
	seen      int // bytes of the answer received in the current attempt
}

// begin starts the next attempt.
func (s *splice) begin() { s.seen = 0 }

// add processes a frame of the current attempt and delivers the text that is new.
func (s *splice) add(frame lynxapi.Frame) error {
	if frame.Offset != s.seen {
		return streamBroken("a frame at offset %d follows %d bytes", frame.Offset, s.seen)
	}
	have := s.delivered.String()
	old := min(len(frame.Text), max(len(have)-s.seen, 0))
	if old > 0 && have[s.seen:s.seen+old] != frame.Text[:old] {
		return streamBroken("the answer differs from what was delivered before")
	}
	s.seen += len(frame.Text)
	unseen := frame.Text[old:]
	if unseen == "" {
		return nil
	}
	offset := len(have)
	s.delivered.WriteString(unseen)
	if s.deliver == nil {
		return nil
	}
	if err := s.deliver(lynxapi.Frame{Offset: offset, Text: unseen}); err != nil {
		return errkind.Wrap(fmt.Errorf("%w: %w", errReceiverStopped, err), errkind.Cancelled, "stream")
	}
	return nil
}

// end checks the attempt's answer against its end event.
func (s *splice) end(reply lynxapi.SendReply) error {
	if !reply.Streamed {
		return s.deliverWhole(reply.Output)
	}
	if reply.Length != s.seen {
		return streamBroken("the answer has %d bytes, its end mark says %d", s.seen, reply.Length)
	}
	return s.complete()
}

// deliverWhole processes an answer that arrived in one piece, such as the
// recorded answer of an earlier attempt. A JSON string is delivered like a
// frame. Any other JSON value is available only in the reply, and cannot
// continue text that was delivered before.
func (s *splice) deliverWhole(output json.RawMessage) error {
	var text string
	if json.Unmarshal(output, &text) != nil {
		if s.delivered.Len() > 0 {
			return streamBroken("the recorded answer is no text, unlike what was delivered before")
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
		return streamBroken("the answer ends at byte %d, after %d were delivered before", s.seen, s.delivered.Len())
	}
	return nil
}

func streamBroken(format string, args ...any) error {
	return errkind.New(errkind.StreamBroken, "%s", fmt.Sprintf(format, args...))
}

// readStream reads the events of one attempt until its last event. A stream that
// ends without an end or error event is always an error, so that a truncated
// answer is not mistaken for a complete one.
func (c *Caller) readStream(base string, body io.ReadCloser, req lynxapi.SendRequest, s *splice) (lynxapi.SendReply, error) {
	defer body.Close()
	watch := watchSilence(body, c.opts.IdleTimeout)
	defer watch.stop()
	s.begin()
	for event, err := range sse.Read(watch, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
		if err != nil {
			return lynxapi.SendReply{}, &TransportError{Server: base, Sent: true, Err: watch.explain(err)}
		}
		reply, done, err := handleEvent(event, req, s)
		if err != nil || done {
			return reply, err
		}
	}
	return lynxapi.SendReply{}, &TransportError{Server: base, Sent: true, Err: watch.explain(io.ErrUnexpectedEOF)}
}

// handleEvent processes one event; done reports whether it was the last one.
func handleEvent(event sse.Event, req lynxapi.SendRequest, s *splice) (reply lynxapi.SendReply, done bool, err error) {
	switch event.Type {
	case lynxapi.EventAccepted:
		var accepted lynxapi.Accepted
		if err := decodeEvent(event, &accepted); err != nil {
			return reply, false, err
		}
		return reply, false, checkKey(accepted.Key, req.Key)
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
		if err := checkKey(reply.Key, req.Key); err != nil {
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
	return reply, false, nil // a heartbeat, or an event type of a later version
}

func decodeEvent(event sse.Event, message any) error {
	if err := json.Unmarshal([]byte(event.Data), message); err != nil {
		return streamBroken("malformed %s event", event.Type)
	}
	return nil
}

// checkKey returns an error if the answer's key is not that of the request.
func checkKey(got, want string) error {
	if got != want {
		return streamBroken("the answer belongs to another request")
	}
	return nil
}

// silenceWatch closes a response body that has sent nothing for too long. A
// connection that was lost on the network path without being closed neither ends
// nor fails; the answer just stops arriving. Instances send a heartbeat every
// second, so silence indicates such a connection.
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

// explain returns ErrIdleTimeout if the watch closed the body, otherwise err.
func (w *silenceWatch) explain(err error) error {
	if w.expired.Load() {
		return ErrIdleTimeout
	}
	return err
}
