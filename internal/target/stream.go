package target

import (
	"encoding/json"
	"errors"
	"io"

	"lynxhill.example/lynxhill/internal/stagecall"
	"lynxhill.example/lynxhill/internal/wire/targetapi"
)

// stream reads the events of one streamed attempt.
type stream struct {
	call    *call
	req     targetapi.RunRequest
	opts    stagecall.Options
	onFrame func(targetapi.Frame) error
	offset  int  // expected offset of the next frame
	begun   bool // at least one frame was received
}

// read delivers frames until the end mark. A stream that ends without an end mark
// is broken, even if its text looks complete.
func (s *stream) read(body io.Reader) (stagecall.Result, error) {
	events := newEventReader(body, s.call.client.opts.MaxReplyBytes)
	for {
		ev, err := events.next()
		if err != nil {
			return stagecall.Result{}, s.readError(err)
		}
		s.call.watch.arm(s.opts.Progress, errSilentProgress)
		switch ev.name {
		case targetapi.EventFrame:
			if err := s.frame(ev.data); err != nil {
				return stagecall.Result{}, err
			}
		case targetapi.EventEnd:
			return s.end(ev.data)
		case targetapi.EventError:
			return stagecall.Result{}, s.call.refusalOf(ev.data, s.req, "error event", s.begun)
		}
	}
}

func (s *stream) readError(err error) error {
	if errors.Is(err, errEventTooLong) {
		return s.call.protocol("%v", err)
	}
	return s.call.failure(err)
}

func (s *stream) frame(data []byte) error {
	var frame targetapi.Frame
	if err := json.Unmarshal(data, &frame); err != nil {
		return s.call.protocol("malformed frame: %v", err)
	}
	if frame.RequestID != s.req.RequestID || frame.AttemptID != s.req.AttemptID {
		return s.call.foreignReply()
	}
	if frame.Offset != s.offset {
		return s.call.protocol("frame at offset %d, expected %d", frame.Offset, s.offset)
	}
	s.offset += len(frame.Text)
	s.begun = true
	// The time that the receiver takes must not count as silence of the target.
	s.call.watch.stop()
	err := s.onFrame(frame)
	s.call.watch.arm(s.opts.Progress, errSilentProgress)
	return err
}

func (s *stream) end(data []byte) (stagecall.Result, error) {
	var end targetapi.End
	if err := json.Unmarshal(data, &end); err != nil {
		return stagecall.Result{}, s.call.protocol("malformed end mark: %v", err)
	}
	if end.RequestID != s.req.RequestID || end.AttemptID != s.req.AttemptID {
		return stagecall.Result{}, s.call.foreignReply()
	}
	if end.Length != s.offset {
		return stagecall.Result{}, s.call.protocol("end mark says %d bytes, %d came", end.Length, s.offset)
	}
	return stagecall.Result{
		Length:  end.Length,
		Tokens:  end.Tokens,
		Cost:    end.Cost,
		Service: milliseconds(end.ServiceMS),
		Load:    end.Load,
	}, nil
}
