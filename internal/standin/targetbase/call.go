package targetbase

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"lynxhill.example/lynxhill/internal/sleep"
	"lynxhill.example/lynxhill/internal/wire/targetapi"
)

const contentJSON = "application/json"

// statusOf is the HTTP status of each refusal code.
var statusOf = map[string]int{
	targetapi.CodeBadInput:  http.StatusBadRequest,
	targetapi.CodeBusy:      http.StatusTooManyRequests,
	targetapi.CodeLeaving:   http.StatusServiceUnavailable,
	targetapi.CodeNotLoaded: http.StatusConflict,
	targetapi.CodeOldFence:  http.StatusPreconditionFailed,
	targetapi.CodeFailed:    http.StatusInternalServerError,
}

// Call is one run that holds a slot.
type Call struct {
	// Ctx ends when the attempt is cancelled, the target crashes or, for
	// runners that aren't Detached, the caller goes away.
	Ctx   context.Context
	Req   *targetapi.RunRequest
	Plan  Plan
	Began time.Time

	target *Target
	w      http.ResponseWriter
	record int
}

// ServiceMS returns how long the run has taken so far.
func (c *Call) ServiceMS() float64 {
	return float64(time.Since(c.Began)) / float64(time.Millisecond)
}

// Sleep waits for the duration times the straggle factor. It returns false
// when the run must stop.
func (c *Call) Sleep(d time.Duration) bool {
	return sleep.For(c.Ctx, time.Duration(float64(d)*c.Plan.Slow)) == nil
}

// Finish marks the run as done in the ledger.
func (c *Call) Finish() {
	c.target.ledger.finish(c.record)
	c.target.load.served(time.Since(c.Began))
}

// Cancelled marks the run as cut short and answers so, if anybody is left to
// hear it.
func (c *Call) Cancelled() {
	c.target.ledger.cancel(c.record)
	c.Refuse(targetapi.CodeFailed, "cancelled", true)
}

// Refuse answers with an error.
func (c *Call) Refuse(code, message string, ran bool) {
	writeRefusal(c.w, c.refusal(code, message, ran))
}

func (c *Call) refusal(code, message string, ran bool) targetapi.Refusal {
	return targetapi.Refusal{
		RequestID: c.Req.RequestID,
		AttemptID: c.Req.AttemptID,
		Code:      code,
		Message:   message,
		Ran:       ran,
	}
}

// Reply answers a run that doesn't stream, spoilt as the plan has it.
func (c *Call) Reply(output json.RawMessage, cost float64) {
	if c.Plan.LoseReply {
		panic(http.ErrAbortHandler)
	}
	report := c.target.LoadReport()
	reply := targetapi.RunReply{
		RequestID: c.Req.RequestID,
		AttemptID: c.Req.AttemptID,
		Output:    output,
		Cost:      cost,
		ServiceMS: c.ServiceMS(),
		Load:      &report,
	}
	if c.Plan.Mix == MixIDs {
		reply.RequestID, reply.AttemptID = otherID(reply.RequestID), otherID(reply.AttemptID)
	}
	body, err := json.Marshal(reply)
	if err != nil {
		c.Refuse(targetapi.CodeFailed, "output unusable", true)
		return
	}
	if c.Plan.Mix == MixGap || c.Plan.Mix == MixTruncate {
		body = body[:len(body)/2]
	}
	c.w.Header().Set("Content-Type", contentJSON)
	_, _ = c.w.Write(body)
}

// otherID stands for the id of another request.
func otherID(id string) string { return "other-" + id }

// Stream writes the server-sent events of one run.
type Stream struct {
	call    *Call
	frames  int
	started bool
	broken  bool
}

// Stream starts an answer by server-sent events. Nothing is sent before the
// first event.
func (c *Call) Stream() *Stream { return &Stream{call: c} }

// Frame sends a piece of the answer. It returns false when the stream is over.
func (s *Stream) Frame(offset int, text string, tokens int) bool {
	if s.call.Plan.LoseReply {
		return true
	}
	frame := targetapi.Frame{
		RequestID: s.call.Req.RequestID,
		AttemptID: s.call.Req.AttemptID,
		Offset:    offset,
		Text:      text,
		Tokens:    tokens,
	}
	index := s.frames
	s.frames++
	if index == s.call.Plan.MixAt {
		switch s.call.Plan.Mix {
		case MixIDs:
			frame.RequestID, frame.AttemptID = otherID(frame.RequestID), otherID(frame.AttemptID)
		case MixGap:
			return true
		case MixTruncate:
			s.broken = true
			return false
		}
	}
	return s.send(targetapi.EventFrame, frame)
}

// End closes the answer with its whole length in bytes.
func (s *Stream) End(length, tokens int, cost float64) {
	if s.broken {
		return
	}
	if s.call.Plan.LoseReply {
		panic(http.ErrAbortHandler)
	}
	report := s.call.target.LoadReport()
	s.send(targetapi.EventEnd, targetapi.End{
		RequestID: s.call.Req.RequestID,
		AttemptID: s.call.Req.AttemptID,
		Length:    length,
		Tokens:    tokens,
		Cost:      cost,
		ServiceMS: s.call.ServiceMS(),
		Load:      &report,
	})
}

// Fail ends the stream with an error: an HTTP status if nothing was sent yet,
// an error event otherwise.
func (s *Stream) Fail(code, message string) {
	if !s.started {
		s.call.Refuse(code, message, true)
		return
	}
	s.send(targetapi.EventError, s.call.refusal(code, message, true))
}

// Cancelled notes the cut and ends the stream.
func (s *Stream) Cancelled() {
	s.call.target.ledger.cancel(s.call.record)
	if !s.broken {
		s.Fail(targetapi.CodeFailed, "cancelled")
	}
}

func (s *Stream) send(event string, data any) bool {
	body, err := json.Marshal(data)
	if err != nil {
		return false
	}
	if !s.started {
		s.started = true
		s.call.w.Header().Set("Content-Type", "text/event-stream")
		s.call.w.Header().Set("Cache-Control", "no-store")
	}
	var buf bytes.Buffer
	buf.WriteString("event: " + event + "\ndata: ")
	buf.Write(body)
	buf.WriteString("\n\n")
	if _, err := s.call.w.Write(buf.Bytes()); err != nil {
		return false
	}
	return http.NewResponseController(s.call.w).Flush() == nil
}

func writeRefusal(w http.ResponseWriter, refusal targetapi.Refusal) {
	status, ok := statusOf[refusal.Code]
	if !ok {
		status = http.StatusInternalServerError
	}
	WriteJSON(w, status, refusal)
}

// WriteRefusal answers a call other than a run with an error. Nothing ran.
func WriteRefusal(w http.ResponseWriter, code, message string) {
	writeRefusal(w, targetapi.Refusal{Code: code, Message: message})
}

// WriteJSON writes a JSON answer.
func WriteJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", contentJSON)
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
