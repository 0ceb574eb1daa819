package bench

import (
	"context"
	"fmt"
	"io"
	"os"
	"runtime/pprof"
	"time"

	"lynxhill.example/lynxhill/internal/config"
)

// CapacityOptions describe a run that measures what instances spend.
type CapacityOptions struct {
	Instances []int         // sizes with today's targets, ascending
	Many      []int         // sizes with the targets of the size designed for
	Scales    []float64     // of the number of targets, with TargetsAt instances
	Window    time.Duration // that is measured at each size
	Settle    time.Duration // from the start to the window
	// SettleEach is added to Settle for each instance: with every heartbeat an
	// instance meets one other, and memory, connections and rows grow until it
	// has met all.
	SettleEach time.Duration
	Rate       float64 // requests a second and instance, with load
	Seed       uint64
	// Adjust changes the settings of every instance, to see what other
	// settings would cost.
	Adjust   func(*config.Config)
	Profile  string // file for a processor profile of the last size with many targets
	Out, Log io.Writer
}

// Bounds and fixed sizes of a capacity run.
const (
	maxCapacityInstances = 64
	// manyScale times today's 43 targets are 602.
	manyScale = 14.0
	// targetsAt is the number of instances in the series over targets.
	targetsAt = 16
	// baselineWindow is how long the stand-ins are measured alone.
	baselineWindow = time.Second
)

// CapacityResults are those of a capacity run.
type CapacityResults struct {
	Started time.Time `json:"started"`
	// Idle are the cores that the stand-ins take alone, by number of targets.
	Idle map[int]float64 `json:"idle"`

	Quiet   []CapacityPoint `json:"quiet"`   // today's targets, no requests
	Loaded  []CapacityPoint `json:"loaded"`  // today's targets, with requests
	Many    []CapacityPoint `json:"many"`    // the targets of the size, no requests
	Targets []CapacityPoint `json:"targets"` // over the number of targets, no requests

	QuietSlopes  []Slope       `json:"quiet_slopes"`
	LoadedSlopes []Slope       `json:"loaded_slopes"`
	ManySlopes   []Slope       `json:"many_slopes"`
	TargetSlopes []TargetSlope `json:"target_slopes"`

	Violations int `json:"violations"` // broken invariants
}

// Capacity runs real instances in numbers that grow, measures what they spend
// and fits slopes. Instances and stand-ins share the process.
func Capacity(ctx context.Context, opts CapacityOptions) (CapacityResults, error) {
	for _, n := range append(append([]int{}, opts.Instances...), opts.Many...) {
		if n < 2 || n > maxCapacityInstances {
			return CapacityResults{}, fmt.Errorf("instances: must be 2 to %d", maxCapacityInstances)
		}
	}
	run := &capacityRun{opts: opts, results: CapacityResults{Started: time.Now().UTC(), Idle: make(map[int]float64)}}
	if err := run.all(ctx); err != nil {
		return run.results, err
	}
	run.fit()
	return run.results, nil
}

type capacityRun struct {
	opts    CapacityOptions
	results CapacityResults
}

func (r *capacityRun) all(ctx context.Context) error {
	for _, n := range r.opts.Instances {
		if err := r.size(ctx, n, 1, true); err != nil {
			return err
		}
	}
	for _, scale := range r.opts.Scales {
		if err := r.size(ctx, targetsAt, scale, false); err != nil {
			return err
		}
	}
	for _, n := range r.opts.Many {
		if err := r.size(ctx, n, manyScale, false); err != nil {
			return err
		}
	}
	return nil
}

// size measures n instances before scale times today's targets.
func (r *capacityRun) size(ctx context.Context, n int, scale float64, load bool) error {
	c, err := startStandins(scale, r.opts)
	if err != nil {
		return err
	}
	defer c.Close()
	base, err := measureBaseline(ctx, baselineWindow)
	if err != nil {
		return err
	}
	r.results.Idle[len(c.Fleet.Members())] = base.cores
	started := time.Now()
	if err := c.start(n); err != nil {
		return err
	}
	if err := c.settled(ctx, started.Add(r.opts.Settle+time.Duration(n)*r.opts.SettleEach)); err != nil {
		return fmt.Errorf("%d instances: %w", n, err)
	}
	fmt.Fprintf(r.opts.Out, "%d instances, %d targets: settled after %.1f s\n", n, len(c.Fleet.Members()), time.Since(started).Seconds())
	quiet, err := r.quiet(ctx, c, base)
	if err != nil {
		return err
	}
	r.keep(quiet, scale)
	if load {
		loaded, err := r.loaded(ctx, c, base)
		if err != nil {
			return err
		}
		r.results.Loaded = append(r.results.Loaded, loaded)
	}
	r.results.Violations += len(c.Violations.Violations())
	return nil
}

func (r *capacityRun) keep(p CapacityPoint, scale float64) {
	switch scale {
	case 1:
		r.results.Quiet = append(r.results.Quiet, p)
	case manyScale:
		r.results.Many = append(r.results.Many, p)
	}
	if p.Instances == targetsAt {
		r.results.Targets = append(r.results.Targets, p)
	}
}

// quiet measures without requests.
func (r *capacityRun) quiet(ctx context.Context, c *meteredCluster, base baseline) (CapacityPoint, error) {
	stop, err := r.profile(c)
	if err != nil {
		return CapacityPoint{}, err
	}
	before := c.snapshot()
	window, cancel := context.WithTimeout(ctx, r.opts.Window)
	defer cancel()
	worst := c.watchAges(window)
	after := c.snapshot()
	stop()
	p := c.between(before, after, base)
	p.ConfirmAge, p.Isolated, p.ViewAge = worst.confirm, worst.isolated, worst.view
	p.addMemory(base)
	p.Digest = c.anatomy(ctx)
	return p, ctx.Err()
}

// profile starts a processor profile if this is the size to profile.
func (r *capacityRun) profile(c *meteredCluster) (stop func(), err error) {
	many := r.opts.Many
	if r.opts.Profile == "" || len(many) == 0 || len(c.Fleet.Members()) < sizeTargets || len(c.meters) != many[len(many)-1] {
		return func() {}, nil
	}
	file, err := os.Create(r.opts.Profile)
	if err != nil {
		return nil, err
	}
	if err := pprof.StartCPUProfile(file); err != nil {
		return nil, err
	}
	return func() {
		pprof.StopCPUProfile()
		_ = file.Close()
	}, nil
}

// loaded measures with a fixed rate of requests for each instance.
func (r *capacityRun) loaded(ctx context.Context, c *meteredCluster, base baseline) (CapacityPoint, error) {
	before := c.snapshot()
	records, err := RunLoad(ctx, c.Cluster, c.profiles, LoadOptions{
		Rate: r.opts.Rate * float64(len(c.meters)), Duration: r.opts.Window, Seed: r.opts.Seed, Run: "capacity",
	})
	if err != nil {
		return CapacityPoint{}, err
	}
	p := c.between(before, c.snapshot(), base)
	p.Rate, p.Requests = r.opts.Rate, len(records)
	for i := range records {
		if !records[i].Whole() {
			p.Failed++
		}
	}
	p.addMemory(base)
	return p, nil
}

func (r *capacityRun) fit() {
	res := &r.results
	res.QuietSlopes = overInstances(res.Quiet)
	res.LoadedSlopes = overInstances(res.Loaded)
	res.ManySlopes = overInstances(res.Many)
	if len(res.Targets) > 1 {
		res.TargetSlopes = overTargets(res.Targets)
	}
}
