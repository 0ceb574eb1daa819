package bench

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"time"

	"lynxhill.example/lynxhill/internal/config"
	"lynxhill.example/lynxhill/internal/profile"
	"lynxhill.example/lynxhill/internal/sleep"
	"lynxhill.example/lynxhill/internal/standin/fleet"
)

// Run runs every variant, each repetition with the same seed for all of them,
// and reports as it goes. An interrupt of ctx ends it; the results then say so
// and hold what had ended by then.
func (e Experiment) Run(ctx context.Context, out, log io.Writer) (Results, error) {
	results := Results{Experiment: e, Started: time.Now().UTC()}
	for repetition := range e.Repetitions {
		for _, variant := range e.Variants {
			fmt.Fprintf(out, "%s: %s, run %d of %d\n", e.Name, variant.Name, repetition+1, e.Repetitions)
			summaries, err := e.runOnce(ctx, variant, repetition, out, log)
			results.Interrupted = interrupted(ctx)
			if err != nil {
				return results, err
			}
			results.Summaries = append(results.Summaries, summaries...)
			if results.Interrupted {
				return results, nil
			}
		}
	}
	return results, nil
}

// runOnce runs one variant on all deployments side by side. One that an
// interrupt found before its load has no summary.
func (e Experiment) runOnce(ctx context.Context, variant Variant, repetition int, out, log io.Writer) ([]Summary, error) {
	summaries := make([]Summary, len(e.Deployments))
	errs := make([]error, len(e.Deployments))
	var running sync.WaitGroup
	output := &lineWriter{out: out}
	for i, name := range e.Deployments {
		running.Go(func() {
			r := &experimentRun{Experiment: e, deployment: name, variant: variant, repetition: repetition, out: output, log: log}
			summaries[i], errs[i] = r.run(ctx)
		})
	}
	running.Wait()
	var ended []Summary
	for i, err := range errs {
		switch {
		case err == nil:
			ended = append(ended, summaries[i])
		case !causedByInterrupt(ctx, err):
			return nil, fmt.Errorf("%s: %w", e.Deployments[i], err)
		}
	}
	return ended, nil
}

// experimentRun is one variant on one deployment.
type experimentRun struct {
	Experiment
	deployment string
	variant    Variant
	repetition int
	out        *lineWriter
	log        io.Writer
	start      time.Time
}

func (r *experimentRun) seed() uint64 { return r.Seed + uint64(r.repetition)*spread }

func (r *experimentRun) run(ctx context.Context) (Summary, error) {
	c, err := StartCluster(ClusterOptions{
		Fleet: fleet.Options{
			Name: r.deployment, Scale: r.Scale, TimeScale: r.TimeScale,
			LoadLag: r.LoadLag.Duration, IgnoreFence: r.IgnoreFence,
		},
		Instances: r.Instances, Policy: r.variant.Policy, Tickets: ticketUses[r.variant.Tickets], Adjust: r.adjust, Log: r.log, Seed: r.seed(),
	})
	if err != nil {
		return Summary{}, err
	}
	defer c.Close()
	list, err := prepare(ctx, c)
	if err != nil {
		return Summary{}, err
	}
	records, err := r.load(ctx, c, list)
	if err != nil {
		return Summary{}, err
	}
	return r.conclude(ctx, c, list, records), nil
}

func (r *experimentRun) adjust(cfg *config.Config) {
	if r.variant.MaxAttempts > 0 {
		cfg.Routing.MaxAttempts = r.variant.MaxAttempts
	}
	if r.variant.RetryBudget > 0 {
		cfg.Routing.RetryBudget = r.variant.RetryBudget
	}
	if r.variant.MaxEjected > 0 {
		cfg.Routing.MaxEjected = r.variant.MaxEjected
	}
}

func prepare(ctx context.Context, c *Cluster) ([]profile.Profile, error) {
	ctx, cancel := context.WithTimeout(ctx, prepareTimeout)
	defer cancel()
	if err := c.AwaitReady(ctx); err != nil {
		return nil, err
	}
	return c.DeclareProfiles(ctx)
}

// load sends the load while the faults happen, and waits for both.
func (r *experimentRun) load(ctx context.Context, c *Cluster, list []profile.Profile) ([]Record, error) {
	faultCtx, endFaults := context.WithCancel(ctx)
	defer endFaults()
	r.start = time.Now()
	var faults sync.WaitGroup
	var mu sync.Mutex // guards failed
	var failed error
	for i, fault := range r.Faults {
		if fault.Deployment != "" && fault.Deployment != r.deployment {
			continue
		}
		run := &faultRun{Fault: fault, cluster: c, rng: rand.New(rand.NewPCG(r.seed(), uint64(i))), note: r.note}
		faults.Go(func() {
			if err := run.run(faultCtx, r.start); err != nil && !causedByInterrupt(ctx, err) {
				mu.Lock()
				failed = err
				mu.Unlock()
			}
		})
	}
	records, err := RunLoad(ctx, c, list, LoadOptions{
		Rate: r.Rate, Duration: r.Duration.Duration, Arrivals: r.Arrivals, Mix: r.Mix, Seed: r.seed(),
		Run:         fmt.Sprintf("%s/%s/%d", r.Name, r.variant.Name, r.repetition),
		PoisonEvery: r.PoisonEvery.Duration,
	})
	_ = sleep.For(ctx, r.Settle.Duration)
	endFaults()
	faults.Wait()
	if err == nil {
		err = failed
	}
	return records, err
}

func (r *experimentRun) conclude(ctx context.Context, c *Cluster, list []profile.Profile, records []Record) Summary {
	wrong := c.checkProfiles(ctx)
	s := summarise(records)
	s.Deployment, s.Variant, s.Repetition = r.deployment, r.variant.Name, r.repetition
	s.judge(ctx, breaches(c.evidence(list), records), wrong, r.MinWhole)
	return s
}

func (r *experimentRun) note(format string, args ...any) {
	at := time.Since(r.start).Round(10 * time.Millisecond)
	r.out.line("  %s at %s: %s", r.deployment, at, fmt.Sprintf(format, args...))
}

// lineWriter keeps lines of several runs apart.
type lineWriter struct {
	mu  sync.Mutex // guards out
	out io.Writer
}

func (w *lineWriter) line(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.out, format+"\n", args...)
}
