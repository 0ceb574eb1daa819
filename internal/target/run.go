package target

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"lynxhill.example/lynxhill/internal/stagecall"
	"lynxhill.example/lynxhill/internal/wire/targetapi"
)

const eventStreamType = "text/event-stream"

// Run implements stagecall.Caller.
func (c *Client) Run(ctx context.Context, target stagecall.Target, req targetapi.RunRequest, opts stagecall.Options, onFrame func(targetapi.Frame) error) (stagecall.Result, error) {
	x := c.begin(ctx, target, opts)
	defer x.end()
	result, err := x.run(req, opts, onFrame)
	c.count(err)
	if err != nil {
		x.cancelIfNeeded(req, err)
		return stagecall.Result{}, err
	}
	c.recordLoad(target.Address, result.Load)
	return result, nil
}

// cancelIfNeeded asks the target to stop an attempt that has failed on this side
// and may still be running there.
func (x *call) cancelIfNeeded(req targetapi.RunRequest, err error) {
	if !x.sent.Load() {
		return
	}
	f := stagecall.FailureOf(err)
	var own *stagecall.Failure
	if errors.As(err, &own) && f.Class != stagecall.ClassCancelled && f.Class != stagecall.ClassSilent && f.Class != stagecall.ClassProtocol {
		return
	}
	x.client.cancelLater(x.target, req.AttemptID)
}

func (x *call) run(req targetapi.RunRequest, opts stagecall.Options, onFrame func(targetapi.Frame) error) (stagecall.Result, error) {
	resp, err := x.send(http.MethodPost, targetapi.PathRun, req)
	if err != nil {
		return stagecall.Result{}, err
	}
	defer resp.Body.Close()
	if resp.StatusCode/100 != 2 {
		return stagecall.Result{}, x.refusal(resp, req)
	}
	if !req.Stream {
		return x.reply(resp, req)
	}
	if !strings.HasPrefix(resp.Header.Get("Content-Type"), eventStreamType) {
		return stagecall.Result{}, x.protocol("reply to a stream is %q", resp.Header.Get("Content-Type"))
	}
	s := stream{call: x, req: req, opts: opts, onFrame: onFrame, offset: req.ResumeOffset}
	return s.read(resp.Body)
}

// reply reads the answer of a call that does not stream.
func (x *call) reply(resp *http.Response, req targetapi.RunRequest) (stagecall.Result, error) {
	data, err := x.readAll(resp.Body)
	if err != nil {
		return stagecall.Result{}, err
	}
	var reply targetapi.RunReply
	if err := json.Unmarshal(data, &reply); err != nil {
		return stagecall.Result{}, x.protocol("malformed reply: %v", err)
	}
	if reply.RequestID != req.RequestID || reply.AttemptID != req.AttemptID {
		return stagecall.Result{}, x.foreignReply()
	}
	if len(reply.Output) == 0 {
		return stagecall.Result{}, x.protocol("reply without output")
	}
	return stagecall.Result{
		Output:  reply.Output,
		Length:  len(reply.Output),
		Cost:    reply.Cost,
		Service: milliseconds(reply.ServiceMS),
		Load:    reply.Load,
	}, nil
}

func (x *call) readAll(body io.Reader) ([]byte, error) {
	limit := x.client.opts.MaxReplyBytes
	data, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err != nil {
		return nil, x.failure(err)
	}
	if int64(len(data)) > limit {
		return nil, &stagecall.Failure{Class: stagecall.ClassFailed, Code: stagecall.CodeTooLarge, Err: errors.New("reply exceeds the limit")}
	}
	return data, nil
}

// refusal reads the body of a response whose status is not 2xx and returns it as
// an error.
func (x *call) refusal(resp *http.Response, req targetapi.RunRequest) error {
	data, err := x.readAll(resp.Body)
	if err != nil {
		return err
	}
	return x.refusalOf(data, req, fmt.Sprintf("status %d", resp.StatusCode), false)
}

// refusalBody is targetapi.Refusal with Ran as a pointer, because a body without
// the field must not be read as "nothing ran".
type refusalBody struct {
	targetapi.Refusal
	Ran *bool `json:"ran"`
}

// refusalOf returns the error for a refusal. begun reports that frames have
// already been received.
func (x *call) refusalOf(data []byte, req targetapi.RunRequest, where string, begun bool) error {
	var body refusalBody
	if err := json.Unmarshal(data, &body); err != nil || body.Code == "" {
		return &stagecall.Failure{Class: stagecall.ClassFailed, Err: fmt.Errorf("%s without a refusal", where)}
	}
	if isForeign(body.RequestID, req.RequestID) || isForeign(body.AttemptID, req.AttemptID) {
		return x.foreignReply()
	}
	notRun := body.Ran != nil && !*body.Ran && !begun
	return &stagecall.Failure{
		Class:  classOf(body.Code, notRun),
		Code:   body.Code,
		NotRun: notRun,
		Err:    fmt.Errorf("%s: %s", where, body.Message),
	}
}

func isForeign(got, want string) bool { return got != "" && got != want }

func classOf(code string, notRun bool) stagecall.FailureClass {
	switch {
	case code == targetapi.CodeBadInput:
		return stagecall.ClassBadInput
	case code == targetapi.CodeFailed || !notRun:
		return stagecall.ClassFailed
	default:
		return stagecall.ClassRefused
	}
}

// foreignReply counts a frame or reply of another attempt and retires the
// connection, because what mixed up two answers once may do so again.
func (x *call) foreignReply() error {
	x.client.opts.Metrics.Counter(metricForeign).Add(1)
	x.client.opts.Logger.Log(eventForeign, "target", x.target.ID)
	return x.protocol("ids of another attempt")
}

// protocol returns a protocol error and retires the connection.
func (x *call) protocol(format string, args ...any) error {
	x.retire()
	return &stagecall.Failure{Class: stagecall.ClassProtocol, Err: fmt.Errorf(format, args...)}
}

func milliseconds(ms float64) time.Duration {
	return time.Duration(ms * float64(time.Millisecond))
}
