package memtarget

import (
	"context"
	"errors"
	"time"

	"lynxhill.example/lynxhill/internal/stagecall"
	"lynxhill.example/lynxhill/internal/wire/targetapi"
)

// call is one call in progress.
type call struct {
	fleet   *Fleet
	run     *Run
	process *process
	plan    Plan
	ctx     context.Context
	opts    stagecall.Options
	req     targetapi.RunRequest
	onFrame func(targetapi.Frame) error
}

var (
	errBroken = &stagecall.Failure{Class: stagecall.ClassBroken, Err: errors.New("connection reset")}
	errSilent = &stagecall.Failure{Class: stagecall.ClassSilent, Err: errors.New("silent")}
)

func (c *call) serve() (stagecall.Result, error) {
	switch c.plan.Fault {
	case Silent:
		return stagecall.Result{}, c.waitSilently()
	case Crash:
		if err := c.wait(c.service()/2, c.opts.FirstByte); err != nil {
			return stagecall.Result{}, err
		}
		c.fleet.crash(c.process)
		return stagecall.Result{}, errBroken
	}
	if c.req.Stream {
		return c.stream()
	}
	return c.reply()
}

// waitSilently waits until the first-byte timeout, or until the caller cancels
// if there is none.
func (c *call) waitSilently() error {
	if c.opts.FirstByte <= 0 {
		<-c.ctx.Done()
		return c.cancelled()
	}
	if err := c.wait(c.opts.FirstByte, 0); err != nil {
		return err
	}
	return errSilent
}

func (c *call) service() time.Duration {
	service := c.fleet.opts.Service
	if c.plan.Service > 0 {
		service = c.plan.Service
	}
	if c.plan.Fault != Straggle {
		return service
	}
	slowdown := c.plan.Slowdown
	if slowdown <= 0 {
		slowdown = defaultSlowdown
	}
	return time.Duration(float64(service) * slowdown)
}

// wait waits for d of virtual time. limit is the caller's timeout for this
// wait; 0 means none.
func (c *call) wait(d, limit time.Duration) error {
	timesOut := limit > 0 && d > limit
	if timesOut {
		d = limit
	}
	timer := c.fleet.opts.Clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-c.ctx.Done():
		return c.cancelled()
	case <-c.fleet.crashOf(c.process):
		return errBroken
	case <-timer.C:
	}
	if timesOut {
		return errSilent
	}
	return nil
}

func (c *call) cancelled() error {
	return &stagecall.Failure{Class: stagecall.ClassCancelled, Err: c.ctx.Err()}
}

func (c *call) reply() (stagecall.Result, error) {
	if err := c.wait(c.service(), c.opts.FirstByte); err != nil {
		return stagecall.Result{}, err
	}
	switch c.plan.Fault {
	case Break, LostReply, NoEnd, Truncated:
		return stagecall.Result{}, errBroken
	case Fail:
		return stagecall.Result{}, failureReply()
	case WrongIDs, Gap:
		return stagecall.Result{}, &stagecall.Failure{Class: stagecall.ClassProtocol, Err: errors.New("ids of another attempt")}
	}
	return stagecall.Result{Output: Output(c.req), Cost: 1, Service: c.service()}, nil
}

func failureReply() error {
	return &stagecall.Failure{Class: stagecall.ClassFailed, Code: targetapi.CodeFailed, Err: errors.New("failed")}
}

func (c *call) stream() (stagecall.Result, error) {
	text := Text(c.req)
	offset := min(c.req.ResumeOffset, len(text))
	size := max(1, len(text)/c.fleet.opts.Frames)
	limit := c.opts.FirstByte
	for sent := 0; offset < len(text); {
		if err := c.wait(c.service()/time.Duration(c.fleet.opts.Frames), limit); err != nil {
			return stagecall.Result{}, err
		}
		limit = c.opts.Progress
		if err, stop := c.faultAt(sent); stop {
			if err != nil {
				return stagecall.Result{}, err
			}
			return stagecall.Result{Length: len(text), Tokens: 1, Cost: 1}, nil
		}
		chunk := text[offset:min(offset+size, len(text))]
		if err := c.onFrame(c.frame(offset, chunk, sent)); err != nil {
			return stagecall.Result{}, err
		}
		offset += len(chunk)
		sent += len(chunk)
	}
	if c.plan.Fault == NoEnd {
		return stagecall.Result{}, errBroken
	}
	return stagecall.Result{Length: offset, Tokens: c.fleet.opts.Frames, Cost: 1, Service: c.service()}, nil
}

// faultAt reports whether the stream stops at this position. A nil error with
// stop set means that the end marker is sent before the last frame.
func (c *call) faultAt(sent int) (err error, stop bool) {
	switch c.plan.Fault {
	case LostReply:
		return errBroken, true
	case Break:
		return errBroken, sent >= c.plan.AfterBytes
	case Truncated:
		return nil, sent >= c.plan.AfterBytes
	case Fail:
		return failureReply(), sent >= c.plan.AfterBytes
	}
	return nil, false
}

func (c *call) frame(offset int, chunk string, sent int) targetapi.Frame {
	frame := targetapi.Frame{
		RequestID: c.req.RequestID,
		AttemptID: c.req.AttemptID,
		Offset:    offset,
		Text:      chunk,
		Tokens:    1,
	}
	if c.plan.Fault == WrongIDs && sent >= c.plan.AfterBytes {
		frame.AttemptID = "another"
		frame.Text = "stray"
	}
	if c.plan.Fault == Gap && sent >= c.plan.AfterBytes {
		frame.Offset += len(chunk)
	}
	return frame
}
