package reach

import (
	"context"

	"lynxhill.example/lynxhill/internal/stagecall"
	"lynxhill.example/lynxhill/internal/wire/targetapi"
)

// observing is a Caller whose calls are observed.
type observing struct {
	stagecall.Caller
	observe func(target string, err error)
}

// Observing returns caller with the end of each run and load question told to
// the controller. Frames count as answers as soon as they come.
func Observing(caller stagecall.Caller, c *Controller) stagecall.Caller {
	return &observing{Caller: caller, observe: c.Observe}
}

// Run implements stagecall.Caller.
func (o *observing) Run(ctx context.Context, target stagecall.Target, req targetapi.RunRequest, opts stagecall.Options, onFrame func(targetapi.Frame) error) (stagecall.Result, error) {
	first := true
	result, err := o.Caller.Run(ctx, target, req, opts, func(frame targetapi.Frame) error {
		if first {
			o.observe(target.ID, nil)
			first = false
		}
		return onFrame(frame)
	})
	o.observe(target.ID, err)
	return result, err
}

// Load implements stagecall.Caller. A question that ran out of time found no
// way to the target.
func (o *observing) Load(ctx context.Context, target stagecall.Target) (targetapi.LoadReport, error) {
	report, err := o.Caller.Load(ctx, target)
	if err != nil && ctx.Err() != nil && context.Cause(ctx) != context.Canceled {
		o.observe(target.ID, &stagecall.Failure{Class: stagecall.ClassSilent, Err: err})
		return report, err
	}
	o.observe(target.ID, err)
	return report, err
}
