// Package service is a stand-in for the pools that don't generate: encoders,
// retrievers, rerankers and plain services. Its outputs are deterministic, and
// every run is recorded, so that doubled runs can be counted.
package service

import (
	"math"
	"time"

	"lynxhill.example/lynxhill/internal/defaults"
	"lynxhill.example/lynxhill/internal/standin/loopback"
	"lynxhill.example/lynxhill/internal/standin/targetbase"
	"lynxhill.example/lynxhill/internal/wire/targetapi"
)

// Kinds of services.
const (
	KindEncode   = "encode"
	KindRetrieve = "retrieve"
	KindRerank   = "rerank"
	KindService  = "service"
)

// Defaults of Options.
const (
	DefaultMedian = 5 * time.Millisecond
	DefaultSpread = 0.3
	DefaultCost   = 0.1
)

// Options of a service.
type Options struct {
	ID       string
	Kind     string // KindService if empty
	Seed     uint64
	Slots    int
	MaxQueue int
	// Median and Spread describe the service time: log-normal with that
	// median and that standard deviation of its logarithm.
	Median time.Duration
	Spread float64
	// Cost of one run.
	Cost    float64
	LoadLag time.Duration
	// Listen opens the listener; nil listens on TCP.
	Listen loopback.ListenFunc
}

func (o *Options) setDefaults() {
	defaults.Set(&o.Kind, KindService)
	defaults.Positive(&o.Median, DefaultMedian)
	defaults.Positive(&o.Spread, DefaultSpread)
	defaults.Positive(&o.Cost, DefaultCost)
}

// Server is a service. The embedded Target has the common fault switches.
type Server struct {
	*targetbase.Target

	opts Options
}

// New starts a service on a loopback port.
func New(opts Options) (*Server, error) {
	opts.setDefaults()
	s := &Server{opts: opts}
	target, err := targetbase.New(targetbase.Options{
		ID:       opts.ID,
		Seed:     opts.Seed,
		Slots:    opts.Slots,
		MaxQueue: opts.MaxQueue,
		LoadLag:  opts.LoadLag,
		Runner:   (*runner)(s),
		Listen:   opts.Listen,
	})
	if err != nil {
		return nil, err
	}
	s.Target = target
	return s, nil
}

// runner implements targetbase.Runner for a service.
type runner Server

// Check implements targetbase.Runner.
func (r *runner) Check(req *targetapi.RunRequest) *targetapi.Refusal {
	if req.Kind != r.opts.Kind {
		return &targetapi.Refusal{Code: targetapi.CodeBadInput, Message: "kind not served here"}
	}
	return nil
}

// Detached implements targetbase.Runner: a plain service doesn't notice that
// its caller went away, so its run has its effect all the same. The other
// kinds stop.
func (r *runner) Detached() bool { return r.opts.Kind == KindService }

// Describe implements targetbase.Runner.
func (r *runner) Describe(*targetapi.LoadReport) {}

// Lost implements targetbase.Runner.
func (r *runner) Lost() {}

// Serve implements targetbase.Runner.
func (r *runner) Serve(call *targetbase.Call) {
	if !call.Sleep(r.serviceTime()) {
		call.Cancelled()
		return
	}
	if call.Plan.Fail {
		call.Refuse(targetapi.CodeFailed, "service failed", true)
		return
	}
	call.Finish()
	call.Reply(Output(r.opts.Kind, call.Req.Stage, call.Req), r.opts.Cost)
}

func (r *runner) serviceTime() time.Duration {
	return time.Duration(float64(r.opts.Median) * math.Exp(r.opts.Spread*r.Normal()))
}
