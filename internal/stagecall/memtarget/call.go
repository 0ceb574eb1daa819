package memtarget

import (
	"context"
	"errors"
	"time"

	"lynxhill.example/lynxhill/internal/stagecall"
	"lynxhill.example/lynxhill/internal/wire/targetapi"
)

// call is one call under way.
type call struct {
	fleet   *Fleet
	run     *Run
	host    *host
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
		return stagecall.Result{}, c.silent()
	case Die:
		if err := c.pause(c.service()/2, c.opts.FirstByte); err != nil {
			return stagecall.Result{}, err
		}
		c.fleet.kill(c.host)
		return stagecall.Result{}, errBroken
	}
	if c.req.Stream {
		return c.stream()
	}
	return c.reply()
}

// silent waits for the first-byte timeout.
func (c *call) silent() error {
	if c.opts.FirstByte <= 0 {
		<-c.ctx.Done()
		return c.cancelled()
	}
	if err := c.pause(c.opts.FirstByte, 0); err != nil {
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
	slow := c.plan.Slow
	if slow <= 0 {
		slow = defaultSlow
	}
	return time.Duration(float64(service) * slow)
}

// pause lets time pass; limit is the caller's timeout for this wait, 0 = none.
func (c *call) pause(d, limit time.Duration) error {
	silent := limit > 0 && d > limit
	if silent {
		d = limit
	}
	timer := c.fleet.opts.Clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-c.ctx.Done():
		return c.cancelled()
	case <-c.fleet.diedOf(c.host):
		return errBroken
	case <-timer.C:
	}
	if silent {
		return errSilent
	}
	return nil
}

func (c *call) cancelled() error {
	return &stagecall.Failure{Class: stagecall.ClassCancelled, Err: c.ctx.Err()}
}

func (c *call) reply() (stagecall.Result, error) {
	if err := c.pause(c.service(), c.opts.FirstByte); err != nil {
		return stagecall.Result{}, err
	}
	switch c.plan.Fault {
	case Break, LostReply, NoEnd, Truncated:
		return stagecall.Result{}, errBroken
	case Fail:
		return stagecall.Result{}, failed()
	case WrongIDs, Gap:
		return stagecall.Result{}, &stagecall.Failure{Class: stagecall.ClassProtocol, Err: errors.New("ids of another attempt")}
	}
	return stagecall.Result{Output: Output(c.req), Cost: 1, Service: c.service()}, nil
}

func failed() error {
	return &stagecall.Failure{Class: stagecall.ClassFailed, Code: targetapi.CodeFailed, Err: errors.New("failed")}
}

func (c *call) stream() (stagecall.Result, error) {
	text := Text(c.req)
	offset := min(c.req.ResumeOffset, len(text))
	size := max(1, len(text)/c.fleet.opts.Frames)
	limit := c.opts.FirstByte
	for sent := 0; offset < len(text); {
		if err := c.pause(c.service()/time.Duration(c.fleet.opts.Frames), limit); err != nil {
			return stagecall.Result{}, err
		}
		limit = c.opts.Progress
		if err, stop := c.faultAt(sent); stop {
			if err != nil {
				return stagecall.Result{}, err
			}
			return stagecall.Result{Length: len(text), Tokens: 1, Cost: 1}, nil
		}
		piece := text[offset:min(offset+size, len(text))]
		if err := c.onFrame(c.frame(offset, piece, sent)); err != nil {
			return stagecall.Result{}, err
		}
		offset += len(piece)
		sent += len(piece)
	}
	if c.plan.Fault == NoEnd {
		return stagecall.Result{}, errBroken
	}
	return stagecall.Result{Length: offset, Tokens: c.fleet.opts.Frames, Cost: 1, Service: c.service()}, nil
}

// faultAt says whether the stream stops here; a nil error with stop is an end
// mark before the last frame.
func (c *call) faultAt(sent int) (err error, stop bool) {
	switch c.plan.Fault {
	case LostReply:
		return errBroken, true
	case Break:
		return errBroken, sent >= c.plan.AfterBytes
	case Truncated:
		return nil, sent >= c.plan.AfterBytes
	case Fail:
		return failed(), sent >= c.plan.AfterBytes
	}
	return nil, false
}

func (c *call) frame(offset int, piece string, sent int) targetapi.Frame {
	frame := targetapi.Frame{
		RequestID: c.req.RequestID,
		AttemptID: c.req.AttemptID,
		Offset:    offset,
		Text:      piece,
		Tokens:    1,
	}
	if c.plan.Fault == WrongIDs && sent >= c.plan.AfterBytes {
		frame.AttemptID = "another"
		frame.Text = "stray"
	}
	if c.plan.Fault == Gap && sent >= c.plan.AfterBytes {
		frame.Offset += len(piece)
	}
	return frame
}
