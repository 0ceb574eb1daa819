package peer

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"sync"
	"time"

	"connectrpc.com/connect"

	"lynxhill.example/lynxhill/internal/errkind"
	"lynxhill.example/lynxhill/internal/peer/peerpb"
	"lynxhill.example/lynxhill/internal/pipeline"
)

// stageWire is a stage report whose error is encoded as an error body.
type stageWire struct {
	pipeline.StageReport
	Err *errkind.Body `json:"Err,omitempty"`
}

// outcomeWire is an outcome whose stage reports can be encoded.
type outcomeWire struct {
	pipeline.Outcome
	Stages []stageWire
}

func stageToWire(r pipeline.StageReport) stageWire {
	w := stageWire{StageReport: r}
	if r.Err != nil {
		body := errkind.BodyOf(r.Err, "")
		w.Err = &body
	}
	return w
}

func stageFromWire(w stageWire) pipeline.StageReport {
	r := w.StageReport
	r.Err = nil
	if w.Err != nil {
		r.Err = w.Err.Err()
	}
	return r
}

// Forward runs a request at the instance whose ticket it came with, and relays the
// response to sink. The call is made once and never retried. An error that the instance
// returned keeps its kind. If the call itself fails, its kind is NoTarget (not run) only
// if no byte was sent, with ErrNotSent in the chain, and StreamBroken otherwise.
func (c *Client) Forward(ctx context.Context, instance string, req pipeline.Request, sink pipeline.Sink) (pipeline.Outcome, error) {
	var out pipeline.Outcome
	l, err := c.linkTo(instance)
	if err == nil {
		err = c.call(ctx, "forward", l, func(ctx context.Context) error {
			var err error
			out, err = c.forward(ctx, l, req, sink)
			return err
		})
	}
	if err == nil {
		return out, nil
	}
	var remote remoteError
	switch {
	case errors.As(err, &remote):
		return pipeline.Outcome{}, remote.error
	case errors.Is(err, ErrNotSent):
		return pipeline.Outcome{}, errkind.Wrap(err, errkind.NoTarget, "instance %s could not be reached", instance)
	case context.Cause(ctx) == context.Canceled:
		return pipeline.Outcome{}, errkind.Wrap(err, errkind.Cancelled, "forwarded to %s", instance)
	default:
		return pipeline.Outcome{}, errkind.Wrap(err, errkind.StreamBroken, "forwarded to %s", instance)
	}
}

// remoteError is an error that the instance returned, as opposed to one of the call.
type remoteError struct{ error }

var (
	errTruncated = errors.New("peer: the answer ended without its end mark")
	errSilent    = errors.New("peer: the answer went silent")
	errGap       = errors.New("peer: the answer has a gap")
)

func (c *Client) forward(ctx context.Context, l *link, req pipeline.Request, sink pipeline.Sink) (pipeline.Outcome, error) {
	text, err := json.Marshal(req)
	if err != nil {
		return pipeline.Outcome{}, err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watchdog := time.AfterFunc(forwardSilenceTimeout, func() { cancel(errSilent) })
	defer watchdog.Stop()
	stream, err := l.client.Forward(ctx, &peerpb.ForwardRequest{
		Request:        text,
		From:           c.o.Self,
		DeadlineLeftMs: time.Until(req.Deadline).Milliseconds(),
	})
	if err != nil {
		return pipeline.Outcome{}, silenceError(ctx, err)
	}
	defer stream.Close()
	offset := 0
	for stream.Receive() {
		watchdog.Reset(forwardSilenceTimeout)
		out, done, err := receive(stream.Msg(), sink, &offset)
		if done || err != nil {
			return out, err
		}
	}
	if err := stream.Err(); err != nil {
		return pipeline.Outcome{}, silenceError(ctx, err)
	}
	return pipeline.Outcome{}, errTruncated
}

func silenceError(ctx context.Context, err error) error {
	if context.Cause(ctx) == errSilent {
		return errSilent
	}
	return err
}

// receive handles one event; done reports that it was the end of the response.
func receive(msg *peerpb.ForwardEvent, sink pipeline.Sink, offset *int) (out pipeline.Outcome, done bool, err error) {
	switch e := msg.GetEvent().(type) {
	case *peerpb.ForwardEvent_Frame:
		if int(e.Frame.GetOffset()) != *offset {
			return out, false, errGap
		}
		*offset += len(e.Frame.GetText())
		return out, false, sink.Frame(int(e.Frame.GetOffset()), e.Frame.GetText())
	case *peerpb.ForwardEvent_Stage:
		var w stageWire
		if err := json.Unmarshal(e.Stage, &w); err != nil {
			return out, false, err
		}
		sink.StageDone(stageFromWire(w))
	case *peerpb.ForwardEvent_End:
		out, err = outcomeFromWire(e.End)
		return out, true, err
	case *peerpb.ForwardEvent_Error:
		if restored, ok := fromBody(e.Error); ok {
			return out, true, remoteError{restored}
		}
		return out, true, io.ErrUnexpectedEOF
	}
	return out, false, nil // a heartbeat, or an event of a later version
}

func outcomeFromWire(text []byte) (pipeline.Outcome, error) {
	var w outcomeWire
	if err := json.Unmarshal(text, &w); err != nil {
		return pipeline.Outcome{}, err
	}
	out := w.Outcome
	out.Stages = convertAll(w.Stages, stageFromWire)
	return out, nil
}

// streamSink sends the output of a pipeline. Heartbeats are sent by another goroutine, so
// a lock serialises sends. A send that blocks is ended by the caller's watchdog, which
// cancels the call.
type streamSink struct {
	mu     sync.Mutex // guards stream
	stream *connect.ServerStream[peerpb.ForwardEvent]
}

func (s *streamSink) send(msg *peerpb.ForwardEvent) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stream.Send(msg)
}

// Frame implements pipeline.Sink.
func (s *streamSink) Frame(offset int, text string) error {
	frame := &peerpb.Frame{Offset: int64(offset), Text: text}
	return s.send(&peerpb.ForwardEvent{Event: &peerpb.ForwardEvent_Frame{Frame: frame}})
}

// StageDone implements pipeline.Sink.
func (s *streamSink) StageDone(report pipeline.StageReport) {
	text, err := json.Marshal(stageToWire(report))
	if err != nil {
		return // a report that cannot be encoded is missing, which does not affect the response
	}
	_ = s.send(&peerpb.ForwardEvent{Event: &peerpb.ForwardEvent_Stage{Stage: text}})
}

func (s *streamSink) heartbeats(ctx context.Context) {
	ticker := time.NewTicker(forwardHeartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if s.send(&peerpb.ForwardEvent{Event: &peerpb.ForwardEvent_Heartbeat{Heartbeat: true}}) != nil {
				return
			}
		}
	}
}

// Forward serves a forwarded request.
func (h *service) Forward(ctx context.Context, in *peerpb.ForwardRequest, stream *connect.ServerStream[peerpb.ForwardEvent]) error {
	h.count("forward")
	sink := &streamSink{stream: stream}
	out, err := h.runForward(ctx, in, sink)
	if err != nil {
		return sink.send(&peerpb.ForwardEvent{Event: &peerpb.ForwardEvent_Error{Error: bodyJSON(err, out.RequestID)}})
	}
	w := outcomeWire{Outcome: out, Stages: convertAll(out.Stages, stageToWire)}
	text, err := json.Marshal(w)
	if err != nil {
		return toConnect(err)
	}
	return sink.send(&peerpb.ForwardEvent{Event: &peerpb.ForwardEvent_End{End: text}})
}

func (h *service) runForward(ctx context.Context, in *peerpb.ForwardRequest, sink *streamSink) (pipeline.Outcome, error) {
	var req pipeline.Request
	if err := json.Unmarshal(in.GetRequest(), &req); err != nil || h.o.Forward == nil {
		return pipeline.Outcome{}, errkind.New(errkind.BadRequest, "the forwarded request cannot be read")
	}
	req.Received = time.Now()
	req.Deadline = req.Received.Add(time.Duration(in.GetDeadlineLeftMs()) * time.Millisecond)
	heartbeatCtx, stop := context.WithCancel(ctx)
	var wg sync.WaitGroup
	wg.Go(func() { sink.heartbeats(heartbeatCtx) })
	defer wg.Wait()
	defer stop()
	return h.o.Forward(ctx, in.GetFrom(), req, sink)
}
