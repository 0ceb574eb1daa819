package bench

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"lynxhill.example/lynxhill/internal/client"
	"lynxhill.example/lynxhill/internal/profile"
	"lynxhill.example/lynxhill/internal/standin/fleet"
	"lynxhill.example/lynxhill/internal/wire/lynxapi"
	"lynxhill.example/lynxhill/internal/wire/platformapi"
)

// What lynxhill may add to a call.
const (
	overheadMedianLimit = 1.0 // milliseconds
	overheadP99Limit    = 5.0
)

// prepare starts or finds the instances and declares the streamed profile.
func (o *overhead) prepare(ctx context.Context) (end func(), err error) {
	if o.opts.Attach != "" {
		return func() {}, o.prepareAttached(ctx)
	}
	c, err := StartCluster(ClusterOptions{
		Fleet: o.opts.fleetOptions(), Instances: o.opts.Instances, Plain: true, Log: o.opts.Log, Seed: o.opts.Seed,
	})
	if err != nil {
		return nil, err
	}
	if _, err := prepare(ctx, c); err != nil {
		c.Close()
		return nil, err
	}
	var targets []platformapi.Instance
	for _, m := range c.Fleet.Members() {
		targets = append(targets, m.Instance)
	}
	if err := o.use(ctx, c, c.Admin(), targets); err != nil {
		c.Close()
		return nil, err
	}
	return c.Close, nil
}

func (o *overhead) prepareAttached(ctx context.Context) error {
	a, err := Attach(o.opts.Attach, client.TicketsWhenAdvised)
	if err != nil {
		return err
	}
	if a.Deployment() != fleet.Kilimanjaro {
		return errors.New("the comparison needs the deployment " + fleet.Kilimanjaro)
	}
	return o.use(ctx, a, a.adminFrom(0), a.Layout.Targets)
}

func (o *overhead) use(ctx context.Context, on System, admin *client.Admin, targets []platformapi.Instance) error {
	o.organisation = fleet.Organisations(on.Deployment())[0]
	o.caller = on.Caller(o.organisation, on.Zones()[0])
	o.call = overheadKind{name: overheadCall, targets: targetsOf(targets, overheadService), direct: o.callDirect, through: o.callThrough}
	o.first = overheadKind{name: overheadFirst, targets: targetsOf(targets, fleet.ServicePool), direct: o.firstDirect, through: o.firstThrough}
	version, _, err := admin.NewestVersion(ctx, overheadGenerate)
	if err != nil || version > 0 {
		return err
	}
	reply, err := admin.SetProfile(ctx, lynxapi.ChangeRequest{
		Profile: overheadGenerateProfile(), ChangeID: client.NewKey(), WaitMS: acceptWait.Milliseconds(),
	})
	if err == nil && reply.State != lynxapi.ChangeAccepted {
		err = fmt.Errorf("profile %s: %s", overheadGenerate, reply.State)
	}
	return err
}

func overheadGenerateProfile() profile.Profile {
	return profile.Profile{
		Name: overheadGenerate, Priority: 5, Deadline: overheadDeadline, Objective: 0.99, MaxInputKB: 16,
		Stages: []profile.Stage{{
			Name: "answer", Kind: profile.KindGenerate, Idempotent: true, MaxTokens: overheadTokens,
			Providers: []profile.Provider{overheadProvider(fleet.ProviderOld), overheadProvider(fleet.ProviderNew)},
		}},
	}
}

func overheadProvider(name string) profile.Provider {
	return profile.Provider{Name: name, Service: fleet.ServicePool, Model: overheadModel, Version: overheadVersion, Weight: 1}
}

// pairs collects the times of pairs of calls.
type pairs struct {
	mu              sync.Mutex // guards what follows
	direct, through *hdrhistogram.Histogram
	instance, stage *hdrhistogram.Histogram
	failed          error
}

func newPairs() *pairs {
	return &pairs{direct: newHistogram(), through: newHistogram(), instance: newHistogram(), stage: newHistogram()}
}

func (p *pairs) add(direct time.Duration, through throughTimes, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		p.failed = err
		return
	}
	record(p.direct, direct)
	record(p.through, through.whole)
	record(p.instance, through.instance)
	record(p.stage, through.stage)
}

func (p *pairs) err() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.failed
}

func quantilesOf(h *hdrhistogram.Histogram) Quantile {
	return Quantile{Median: millis(h, 50), P99: millis(h, 99)}
}

func printOverheadRow(out io.Writer, r OverheadRow) {
	fmt.Fprintf(out, "round %d, %s, %s: direct %.2f / %.2f ms, through lynxhill %.2f / %.2f ms (median / p99)\n",
		r.Round, r.Call, r.Load, r.Direct.Median, r.Direct.P99, r.Through.Median, r.Through.P99)
}

// spreadOf is a figure over the rounds.
type spreadOf struct{ mean, lowest, highest float64 }

func overRounds(rows []OverheadRow, of func(OverheadRow) float64) spreadOf {
	s := spreadOf{lowest: math.Inf(1), highest: math.Inf(-1)}
	for _, r := range rows {
		v := of(r)
		s.mean += v / float64(len(rows))
		s.lowest, s.highest = min(s.lowest, v), max(s.highest, v)
	}
	return s
}

// PrintOverhead writes what lynxhill added, over the rounds, and whether that
// is within what it may add.
func PrintOverhead(out io.Writer, rows []OverheadRow) {
	for _, load := range []string{loadSequential, loadConcurrent} {
		for _, call := range []string{overheadCall, overheadFirst} {
			var of []OverheadRow
			for _, r := range rows {
				if r.Call == call && r.Load == load {
					of = append(of, r)
				}
			}
			if len(of) > 0 {
				printOverhead(out, of)
			}
		}
	}
}

func printOverhead(out io.Writer, rows []OverheadRow) {
	fmt.Fprintf(out, "\n%s, %s: %d rounds of %d pairs\n", rows[0].Call, rows[0].Load, len(rows), rows[0].Pairs)
	median := printAdded(out, "median", rows, func(q Quantile) float64 { return q.Median })
	p99 := printAdded(out, "p99", rows, func(q Quantile) float64 { return q.P99 })
	if rows[0].Call == overheadCall {
		printWhere(out, rows)
	}
	verdict := "within"
	if median > overheadMedianLimit || p99 > overheadP99Limit {
		verdict = "OVER"
	}
	fmt.Fprintf(out, "  %s the limits of %.0f ms and %.0f ms\n", verdict, overheadMedianLimit, overheadP99Limit)
}

func printAdded(out io.Writer, name string, rows []OverheadRow, of func(Quantile) float64) float64 {
	direct := overRounds(rows, func(r OverheadRow) float64 { return of(r.Direct) })
	through := overRounds(rows, func(r OverheadRow) float64 { return of(r.Through) })
	added := overRounds(rows, func(r OverheadRow) float64 { return of(r.Through) - of(r.Direct) })
	times := overRounds(rows, func(r OverheadRow) float64 { return ratio(of(r.Through), of(r.Direct)) })
	fmt.Fprintf(out, "  %-6s  direct %.2f ms, through %.2f ms, added %.2f ms (%.2f to %.2f), ratio %.2f (%.2f to %.2f)\n",
		name, direct.mean, through.mean, added.mean, added.lowest, added.highest, times.mean, times.lowest, times.highest)
	return added.mean
}

// printWhere tells where the median call spent its time.
func printWhere(out io.Writer, rows []OverheadRow) {
	through := overRounds(rows, func(r OverheadRow) float64 { return r.Through.Median })
	instance := overRounds(rows, func(r OverheadRow) float64 { return r.Instance.Median })
	stage := overRounds(rows, func(r OverheadRow) float64 { return r.Stage.Median })
	fmt.Fprintf(out, "  median  at the caller and on the way %.2f ms, in the instance %.2f ms, of these %.2f ms in the stage\n",
		through.mean-instance.mean, instance.mean, stage.mean)
}
