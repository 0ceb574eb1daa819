package bench

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"lynxhill.example/lynxhill/internal/client"
	"lynxhill.example/lynxhill/internal/profile"
	"lynxhill.example/lynxhill/internal/sleep"
	"lynxhill.example/lynxhill/internal/stagecall"
	"lynxhill.example/lynxhill/internal/standin/fleet"
	"lynxhill.example/lynxhill/internal/target"
	"lynxhill.example/lynxhill/internal/wire/lynxapi"
	"lynxhill.example/lynxhill/internal/wire/platformapi"
	"lynxhill.example/lynxhill/internal/wire/targetapi"
)

// OverheadOptions are those of the comparison of direct calls with calls
// through lynxhill.
type OverheadOptions struct {
	Attach      string // directory of Standins; "" starts everything in this process
	Instances   int    // in this process
	TimeScale   float64
	Rounds      int
	Calls       int // pairs of calls in a round, of each kind
	Concurrency int
	Pause       time.Duration // of a concurrent worker between two pairs
	Seed        uint64
	Out         io.Writer
	Log         io.Writer
}

// OverheadRow is one kind of call at one load in one round. Times are in
// milliseconds.
type OverheadRow struct {
	Round   int      `json:"round"`
	Call    string   `json:"call"`
	Load    string   `json:"load"`
	Pairs   int      `json:"pairs"`
	Direct  Quantile `json:"direct"`
	Through Quantile `json:"through"`
	// Instance is how long the instance had the request, by its own account,
	// and Stage how long its stage took of that, for whole calls.
	Instance Quantile `json:"instance"`
	Stage    Quantile `json:"stage"`
}

// Quantile holds two quantiles in milliseconds.
type Quantile struct {
	Median float64 `json:"median_ms"`
	P99    float64 `json:"p99_ms"`
}

// Kinds of calls that are compared, and loads.
const (
	overheadCall   = "whole call of a plain service"
	overheadFirst  = "first token of a stream"
	loadSequential = "one after the other"
	loadConcurrent = "concurrent"
)

// What the comparison calls.
const (
	overheadService  = "device-api"
	overheadProfile  = "listener-profile"
	overheadGenerate = "overhead-generate"
	overheadModel    = "lynx-small"
	overheadVersion  = "1"
	overheadTokens   = 32
	overheadDeadline = 10 * time.Second
)

// Overhead calls targets directly and through lynxhill by turns, in rounds of
// all kinds and loads.
func Overhead(ctx context.Context, opts OverheadOptions) ([]OverheadRow, error) {
	o := &overhead{opts: opts, direct: target.New(target.Options{})}
	defer o.direct.Close()
	end, err := o.prepare(ctx)
	if err != nil {
		return nil, err
	}
	defer end()
	if err := o.warmUp(ctx); err != nil {
		return nil, err
	}
	var rows []OverheadRow
	for round := range opts.Rounds {
		for _, load := range []string{loadSequential, loadConcurrent} {
			for _, kind := range []overheadKind{o.call, o.first} {
				row, err := o.measure(ctx, kind, load, opts.Calls)
				if err != nil {
					return rows, err
				}
				row.Round = round + 1
				rows = append(rows, row)
				printOverheadRow(opts.Out, row)
			}
		}
	}
	return rows, nil
}

// overhead is a running comparison.
type overhead struct {
	opts         OverheadOptions
	direct       *target.Client
	caller       *client.Caller
	organisation string
	call, first  overheadKind
	number       atomic.Uint64
}

// overheadKind is a kind of call in its two ways; both return how long it took.
type overheadKind struct {
	name    string
	targets []stagecall.Target
	direct  func(ctx context.Context, to stagecall.Target, number uint64) (time.Duration, error)
	through func(ctx context.Context, number uint64) (throughTimes, error)
}

// throughTimes is where the time of a call through lynxhill went.
type throughTimes struct {
	whole    time.Duration // as the caller saw it
	instance time.Duration // what the instance says that it took
	stage    time.Duration // what the instance says that the stage took
}

func (t *throughTimes) account(reply lynxapi.SendReply) {
	t.instance = fromMillis(reply.TotalMS)
	for _, stage := range reply.Stages {
		t.stage += fromMillis(stage.DurationMS)
	}
}

func fromMillis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

var errNoFirstToken = errors.New("bench: the stream had no frame")

func (o *overhead) input(number uint64) json.RawMessage {
	return json.RawMessage(fmt.Sprintf(`{"headset":"KA-12","listener":"L-381","number":%d}`, number))
}

func (o *overhead) runRequest(number uint64) targetapi.RunRequest {
	id := fmt.Sprintf("direct-%d", number)
	return targetapi.RunRequest{
		RequestID: id, AttemptID: id, Organisation: o.organisation, Input: o.input(number),
		RemainingMS: overheadDeadline.Milliseconds(),
	}
}

func (o *overhead) callDirect(ctx context.Context, to stagecall.Target, number uint64) (time.Duration, error) {
	req := o.runRequest(number)
	req.Stage, req.Kind = "read", string(profile.KindService)
	began := time.Now()
	_, err := o.direct.Run(ctx, to, req, stagecall.Options{}, nil)
	return time.Since(began), err
}

func (o *overhead) callThrough(ctx context.Context, number uint64) (times throughTimes, err error) {
	began := time.Now()
	result, err := o.caller.Send(ctx, overheadProfile, lynxapi.SendRequest{
		Organisation: o.organisation, Input: o.input(number), DeadlineMS: overheadDeadline.Milliseconds(),
	}, nil)
	times.whole = time.Since(began)
	times.account(result.Reply)
	return times, err
}

func (o *overhead) firstDirect(ctx context.Context, to stagecall.Target, number uint64) (time.Duration, error) {
	req := o.runRequest(number)
	req.Stage, req.Kind, req.Stream = "answer", string(profile.KindGenerate), true
	req.Model, req.Version, req.MaxTokens = overheadModel, overheadVersion, overheadTokens
	watch := newFirstWatch()
	_, err := o.direct.Run(ctx, to, req, stagecall.Options{}, func(targetapi.Frame) error { return watch.frame() })
	return watch.took(err)
}

func (o *overhead) firstThrough(ctx context.Context, number uint64) (times throughTimes, err error) {
	watch := newFirstWatch()
	result, err := o.caller.Send(ctx, overheadGenerate, lynxapi.SendRequest{
		Organisation: o.organisation, Input: o.input(number), Stream: true, DeadlineMS: overheadDeadline.Milliseconds(),
	}, func(lynxapi.Frame) error { return watch.frame() })
	times.whole, err = watch.took(err)
	times.account(result.Reply)
	return times, err
}

// firstWatch measures the time to the first frame.
type firstWatch struct {
	began time.Time
	first time.Duration
}

func newFirstWatch() *firstWatch { return &firstWatch{began: time.Now()} }

func (w *firstWatch) frame() error {
	if w.first == 0 {
		w.first = time.Since(w.began)
	}
	return nil
}

func (w *firstWatch) took(err error) (time.Duration, error) {
	if err == nil && w.first == 0 {
		err = errNoFirstToken
	}
	return w.first, err
}

// warmUp opens connections and fills caches; its times don't count.
func (o *overhead) warmUp(ctx context.Context) error {
	const share = 4
	for _, kind := range []overheadKind{o.call, o.first} {
		if _, err := o.measure(ctx, kind, loadConcurrent, max(1, o.opts.Calls/share)); err != nil {
			return err
		}
	}
	return nil
}

// measure makes pairs of calls. Which of a pair comes first alternates, so
// that neither profits from what the other has warmed.
func (o *overhead) measure(ctx context.Context, kind overheadKind, load string, calls int) (OverheadRow, error) {
	workers, pause := 1, time.Duration(0)
	if load == loadConcurrent {
		workers, pause = o.opts.Concurrency, o.opts.Pause
	}
	pairs := newPairs()
	var working sync.WaitGroup
	for worker := range workers {
		working.Go(func() {
			for n := worker; n < calls && pairs.err() == nil; n += workers {
				pairs.add(o.pair(ctx, kind, n))
				_ = sleep.For(ctx, pause)
			}
		})
	}
	working.Wait()
	row := OverheadRow{
		Call: kind.name, Load: load, Pairs: calls, Direct: quantilesOf(pairs.direct), Through: quantilesOf(pairs.through),
		Instance: quantilesOf(pairs.instance), Stage: quantilesOf(pairs.stage),
	}
	return row, pairs.err()
}

func (o *overhead) pair(ctx context.Context, kind overheadKind, n int) (direct time.Duration, through throughTimes, err error) {
	callDirect := func() {
		if err == nil {
			direct, err = kind.direct(ctx, kind.targets[n%len(kind.targets)], o.number.Add(1))
		}
	}
	callThrough := func() {
		if err == nil {
			through, err = kind.through(ctx, o.number.Add(1))
		}
	}
	if n%2 == 0 {
		callDirect()
		callThrough()
	} else {
		callThrough()
		callDirect()
	}
	return direct, through, err
}

func targetsOf(list []platformapi.Instance, service string) []stagecall.Target {
	var targets []stagecall.Target
	for _, i := range list {
		if i.Service == service {
			targets = append(targets, stagecall.Target{ID: i.ID, Address: i.Address})
		}
	}
	return targets
}

// fleetOptions are those of the comparison in one process.
func (o OverheadOptions) fleetOptions() fleet.Options {
	return fleet.Options{Name: fleet.Kilimanjaro, TimeScale: o.TimeScale}
}
