package callerapi

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"lynxhill.example/lynxhill/internal/errkind"
	"lynxhill.example/lynxhill/internal/httpserver"
	"lynxhill.example/lynxhill/internal/pipeline"
	"lynxhill.example/lynxhill/internal/wire/lynxapi"
)

// frameOut is a piece of an answer on its way from the handler to the writer.
type frameOut struct {
	frame   lynxapi.Frame
	written chan<- error
}

// ending is how the handler ended.
type ending struct {
	result pipeline.Outcome
	err    error
}

// errCallerGone is returned to the handler by Frame.
var errCallerGone = errors.New("the caller is gone")

// stream answers with server-sent events. The handler runs in a goroutine of
// its own; this one alone writes, so that frames and heartbeats need no lock.
// A caller that takes its answer slowly blocks its own handler only.
func (a *api) stream(w http.ResponseWriter, r *http.Request, req pipeline.Request) {
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	frames := make(chan frameOut)
	ended := make(chan ending, 1)
	gone := make(chan struct{})
	sink := &streamSink{frames: frames, gone: gone, limit: a.opts.Limits.MaxAnswer}
	go func() {
		result, err := a.serve(ctx, req, sink)
		ended <- ending{result: result, err: err}
	}()
	s := &streamWriter{api: a, w: w, control: http.NewResponseController(w), req: req}
	end, alive := s.pump(ctx, frames, ended)
	if !alive {
		// The handler has to end before this function does: it holds the
		// request, and what it reports belongs to this request.
		a.opts.Metrics.Counter(metricGone).Add(1)
		close(gone)
		cancel()
		end := <-ended
		a.noteUnheard(end, req)
		return
	}
	s.finish(end, sink)
}

// noteUnheard logs how a request ended whose caller is gone.
func (a *api) noteUnheard(end ending, req pipeline.Request) {
	if end.err != nil {
		a.note(end.err, req)
		return
	}
	a.answered(req, end.result)
}

// streamSink hands frames to the writer and waits until each is written.
type streamSink struct {
	frames chan<- frameOut
	gone   <-chan struct{}
	limit  int64
	size   int64
}

// Frame implements pipeline.Sink.
func (s *streamSink) Frame(offset int, text string) error {
	if s.size+int64(len(text)) > s.limit {
		return answerTooLarge(s.limit)
	}
	written := make(chan error, 1)
	select {
	case s.frames <- frameOut{frame: lynxapi.Frame{Offset: offset, Text: text}, written: written}:
	case <-s.gone:
		return errkind.Wrap(errCallerGone, errkind.Cancelled, "stream")
	}
	if err := <-written; err != nil {
		return errkind.Wrap(err, errkind.Cancelled, "stream")
	}
	s.size += int64(len(text))
	return nil
}

// StageDone implements pipeline.Sink.
func (s *streamSink) StageDone(pipeline.StageReport) {}

// acceptWithin is when a stream begins at the latest. A request that is refused
// sooner gets the HTTP status of its error; a caller that hears nothing for
// much longer than this knows that the instance or the connection is silent,
// without waiting for a heartbeat or its deadline.
const acceptWithin = 100 * time.Millisecond

// streamWriter writes the events of one stream.
type streamWriter struct {
	api     *api
	w       http.ResponseWriter
	control *http.ResponseController
	req     pipeline.Request
	begun   bool
}

// pump writes frames and heartbeats until the handler has ended; alive is
// false if the caller is gone first.
func (s *streamWriter) pump(ctx context.Context, frames <-chan frameOut, ended <-chan ending) (end ending, alive bool) {
	ticker := s.api.opts.Clock.NewTicker(s.api.opts.HeartbeatEvery)
	defer ticker.Stop()
	first := s.api.opts.Clock.NewTimer(acceptWithin)
	defer first.Stop()
	for {
		select {
		case <-first.C:
			if err := s.begin(); err != nil {
				return ending{}, false
			}
		case f := <-frames:
			err := s.event(lynxapi.EventFrame, f.frame)
			f.written <- err
			if err != nil {
				return ending{}, false
			}
			s.api.opts.Metrics.Counter(metricFrames).Add(1)
		case <-ticker.C:
			if err := s.event(lynxapi.EventHeartbeat, struct{}{}); err != nil {
				return ending{}, false
			}
			s.api.opts.Metrics.Counter(metricHeartbeats).Add(1)
		case end = <-ended:
			return end, true
		case <-ctx.Done():
			return ending{}, false
		}
	}
}

// finish writes the last event. An error before the first event is answered
// with its HTTP status.
func (s *streamWriter) finish(end ending, sink *streamSink) {
	if end.err != nil && !s.begun {
		s.deadline()
		s.api.fail(s.w, end.err, s.req)
		return
	}
	if end.err == nil && int64(len(end.result.Output)) > s.api.opts.Limits.MaxAnswer {
		end.err = answerTooLarge(s.api.opts.Limits.MaxAnswer)
	}
	if end.err != nil {
		s.api.note(end.err, s.req)
		_ = s.event(lynxapi.EventError, httpserver.ErrorBody(end.err, s.req.ID))
		return
	}
	reply := s.api.reply(s.req, end.result)
	reply.Streamed = end.result.Streamed
	reply.Length = int(sink.size)
	if !end.result.Streamed {
		reply.Output = end.result.Output
	}
	s.api.answered(s.req, end.result)
	_ = s.event(lynxapi.EventEnd, reply) // a caller that misses the end mark asks for the outcome
}

// event writes one server-sent event.
func (s *streamWriter) event(name string, data any) error {
	if err := s.begin(); err != nil {
		return err
	}
	return s.write(name, data)
}

// begin writes the header and the event accepted, once.
func (s *streamWriter) begin() error {
	if s.begun {
		return nil
	}
	s.begun = true
	header := s.w.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-store")
	s.w.WriteHeader(http.StatusOK)
	return s.write(lynxapi.EventAccepted, lynxapi.Accepted{RequestID: s.req.ID, Key: s.req.Key, Instance: s.api.opts.Self})
}

func (s *streamWriter) write(name string, data any) error {
	raw, err := json.Marshal(data)
	if err != nil {
		return err
	}
	var line bytes.Buffer
	line.Grow(len(name) + len(raw) + len("event: \ndata: \n\n"))
	line.WriteString("event: ")
	line.WriteString(name)
	line.WriteString("\ndata: ")
	line.Write(raw) // JSON holds no newline, so that one data line is enough
	line.WriteString("\n\n")
	s.deadline()
	if _, err := s.w.Write(line.Bytes()); err != nil {
		return err
	}
	return s.control.Flush()
}

// deadline gives the caller time for the next piece. Without it a caller that
// stopped reading, or whose connection something between the ends has lost,
// would hold its handler for good; here the write fails and the request ends.
func (s *streamWriter) deadline() {
	_ = s.control.SetWriteDeadline(time.Now().Add(s.api.opts.Limits.WriteTimeout))
}
