package reach

import (
	"context"

	"lynxhill.example/lynxhill/internal/stagecall"
	"lynxhill.example/lynxhill/internal/wire/targetapi"
)

// reportingCaller is a stagecall.Caller that reports the result of each call.
type reportingCaller struct {
	stagecall.Caller
	observe func(target string, err error)
}

// ReportResults wraps caller so that the result of each Run and Load call is reported
// to the controller. The first frame of a run counts as an answer on arrival.
func ReportResults(caller stagecall.Caller, c *Controller) stagecall.Caller {
	return &reportingCaller{Caller: caller, observe: c.Observe}
}

// Run implements stagecall.Caller.
func (o *reportingCaller) Run(ctx context.Context, target stagecall.Target, req targetapi.RunRequest, opts stagecall.Options, onFrame func(targetapi.Frame) error) (stagecall.Result, error) {
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

// Load implements stagecall.Caller. A load query that exceeds its deadline counts as
// a failure to reach the target; one that the caller cancelled does not.
func (o *reportingCaller) Load(ctx context.Context, target stagecall.Target) (targetapi.LoadReport, error) {
	report, err := o.Caller.Load(ctx, target)
	if err != nil && ctx.Err() != nil && context.Cause(ctx) != context.Canceled {
		o.observe(target.ID, &stagecall.Failure{Class: stagecall.ClassSilent, Err: err})
		return report, err
	}
	o.observe(target.ID, err)
	return report, err
}
