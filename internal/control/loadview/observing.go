package loadview

import (
	"context"

	"lynxhill.example/lynxhill/internal/stagecall"
	"lynxhill.example/lynxhill/internal/wire/targetapi"
)

// Observing returns a caller that passes to observe the load reports piggybacked
// on the replies of stage calls. For targets that this instance calls itself,
// these reports are newer than those of polls.
func Observing(caller stagecall.Caller, observe func(target string, report targetapi.LoadReport)) stagecall.Caller {
	return observing{Caller: caller, observe: observe}
}

type observing struct {
	stagecall.Caller
	observe func(target string, report targetapi.LoadReport)
}

// Run implements stagecall.Caller.
func (o observing) Run(ctx context.Context, t stagecall.Target, req targetapi.RunRequest, opts stagecall.Options, onFrame func(targetapi.Frame) error) (stagecall.Result, error) {
	result, err := o.Caller.Run(ctx, t, req, opts, onFrame)
	if result.Load != nil {
		o.observe(t.ID, *result.Load)
	}
	return result, err
}
