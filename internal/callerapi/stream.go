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

// pendingFrame is a frame passed from the handler's goroutine to the goroutine
// that writes the stream, which reports the result of the write on written.
type pendingFrame struct {
	frame   lynxapi.Frame
	written chan<- error
}

// handlerResult is what the handler's Serve method returned.
type handlerResult struct {
	result pipeline.Outcome
	err    error
}

// errCallerGone is the cause of the error that Frame returns to the handler
// after the caller has disconnected.
var errCallerGone = errors.New("the caller is gone")

// stream runs the request and answers with server-sent events. The handler runs
// in a separate goroutine. Only the calling goroutine writes to w, so frames
// and heartbeats need no lock. A caller that reads slowly blocks only the
// handler of its own request.
func (a *api) stream(w http.ResponseWriter, r *http.Request, req pipeline.Request) {
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	frames := make(chan pendingFrame)
	ended := make(chan handlerResult, 1)
	gone := make(chan struct{})
	sink := &streamSink{frames: frames, gone: gone, limit: a.opts.Limits.MaxAnswer}
	go func() {
		result, err := a.serve(ctx, req, sink)
		ended <- handlerResult{result: result, err: err}
	}()
	s := &streamWriter{api: a, w: w, control: http.NewResponseController(w), req: req}
	end, alive := s.pump(ctx, frames, ended)
	if !alive {
		// Wait for the handler before returning: it still uses the request,
		// and its result is logged and counted for this request.
		a.opts.Metrics.Counter(metricGone).Add(1)
		close(gone)
		cancel()
		end := <-ended
		a.recordAfterDisconnect(end, req)
		return
	}
	s.finish(end, sink)
}

// recordAfterDisconnect logs and counts the result of a request whose caller
// has disconnected.
func (a *api) recordAfterDisconnect(end handlerResult, req pipeline.Request) {
	if end.err != nil {
		a.recordError(end.err, req)
		return
	}
	a.recordAnswer(req, end.result)
}

// streamSink passes frames to the goroutine that writes the stream and waits
// until each one is written.
type streamSink struct {
	frames chan<- pendingFrame
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
	case s.frames <- pendingFrame{frame: lynxapi.Frame{Offset: offset, Text: text}, written: written}:
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

// streamStartDelay is the time after which the stream starts at the latest. A
// request that fails earlier is answered with the HTTP status of its error. A
// caller that receives nothing for much longer than this can conclude that the
// instance or the connection is unresponsive, without waiting for a heartbeat
// or for its deadline.
const streamStartDelay = 100 * time.Millisecond

// streamWriter writes the events of one stream.
type streamWriter struct {
	api     *api
	w       http.ResponseWriter
	control *http.ResponseController
	req     pipeline.Request
	begun   bool
}

// pump writes frames and heartbeats until the handler has returned. alive is
// false if the caller disconnected, or a write failed, before that.
func (s *streamWriter) pump(ctx context.Context, frames <-chan pendingFrame, ended <-chan handlerResult) (end handlerResult, alive bool) {
	ticker := s.api.opts.Clock.NewTicker(s.api.opts.HeartbeatEvery)
	defer ticker.Stop()
	startTimer := s.api.opts.Clock.NewTimer(streamStartDelay)
	defer startTimer.Stop()
	for {
		select {
		case <-startTimer.C:
			if err := s.begin(); err != nil {
				return handlerResult{}, false
			}
		case f := <-frames:
			err := s.event(lynxapi.EventFrame, f.frame)
			f.written <- err
			if err != nil {
				return handlerResult{}, false
			}
			s.api.opts.Metrics.Counter(metricFrames).Add(1)
		case <-ticker.C:
			if err := s.event(lynxapi.EventHeartbeat, struct{}{}); err != nil {
				return handlerResult{}, false
			}
			s.api.opts.Metrics.Counter(metricHeartbeats).Add(1)
		case end = <-ended:
			return end, true
		case <-ctx.Done():
			return handlerResult{}, false
		}
	}
}

// finish writes the last event of the stream. If the handler failed before any
// event was written, finish answers with the HTTP status of the error instead.
func (s *streamWriter) finish(end handlerResult, sink *streamSink) {
	if end.err != nil && !s.begun {
		s.extendWriteDeadline()
		s.api.fail(s.w, end.err, s.req)
		return
	}
	if end.err == nil && int64(len(end.result.Output)) > s.api.opts.Limits.MaxAnswer {
		end.err = answerTooLarge(s.api.opts.Limits.MaxAnswer)
	}
	if end.err != nil {
		s.api.recordError(end.err, s.req)
		_ = s.event(lynxapi.EventError, httpserver.ErrorBody(end.err, s.req.ID))
		return
	}
	reply := s.api.reply(s.req, end.result)
	reply.Streamed = end.result.Streamed
	reply.Length = int(sink.size)
	if !end.result.Streamed {
		reply.Output = end.result.Output
	}
	s.api.recordAnswer(s.req, end.result)
	_ = s.event(lynxapi.EventEnd, reply) // a caller that does not receive the end event looks up the outcome
}

// event writes one server-sent event and starts the stream if necessary.
func (s *streamWriter) event(name string, data any) error {
	if err := s.begin(); err != nil {
		return err
	}
	return s.write(name, data)
}

// begin starts the stream with the response header and the accepted event.
// Calls after the first do nothing.
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
	line.Write(raw) // encoded JSON contains no newline, so one data line is enough
	line.WriteString("\n\n")
	s.extendWriteDeadline()
	if _, err := s.w.Write(line.Bytes()); err != nil {
		return err
	}
	return s.control.Flush()
}

// extendWriteDeadline sets the deadline of the next write to WriteTimeout from
// now. Without a deadline, a caller that has stopped reading, or whose
// connection was lost on the network path, would block its handler forever.
// With it, the write fails and the request ends.
func (s *streamWriter) extendWriteDeadline() {
	_ = s.control.SetWriteDeadline(time.Now().Add(s.api.opts.Limits.WriteTimeout))
}
