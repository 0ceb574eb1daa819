package bench

import (
	"context"
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"lynxhill.example/lynxhill/internal/client"
	"lynxhill.example/lynxhill/internal/config"
	"lynxhill.example/lynxhill/internal/profile"
	"lynxhill.example/lynxhill/internal/sleep"
	"lynxhill.example/lynxhill/internal/standin/fleet"
	"lynxhill.example/lynxhill/internal/wire/lynxapi"
)

// LoadRun is a load as a run of its own, without an experiment file.
type LoadRun struct {
	Load LoadOptions
	// OutputTokens bounds generated answers; 0 leaves what the profiles say.
	OutputTokens int
	// MinWhole is the share of requests that must get their whole answer; see
	// Experiment.
	MinWhole float64
	Tickets  client.TicketUse
	// ChangeEvery has an operator change a profile this often during a load on
	// attached processes; 0 = never.
	ChangeEvery time.Duration
	Out         io.Writer // progress and tables
	Log         io.Writer // logs of instances in this process; nil discards them
}

// loadName is the experiment's name in the results of a LoadRun.
const loadName = "load"

// InProcess starts a deployment with its instances in this process and sends
// the load to it.
func (r LoadRun) InProcess(ctx context.Context, deployment string, instances int) (Results, error) {
	started := time.Now()
	c, err := StartCluster(ClusterOptions{
		Fleet: fleet.Options{Name: deployment}, Instances: instances, Tickets: r.Tickets, Log: r.Log,
		Seed: r.Load.Seed, OutputTokens: r.OutputTokens,
	})
	if err != nil {
		return Results{}, err
	}
	defer c.Close()
	list, err := prepare(ctx, c)
	if err != nil {
		return Results{}, err
	}
	records, err := RunLoad(ctx, c, list, r.options())
	if err != nil {
		return Results{}, err
	}
	return r.results(ctx, started, c, records, c.evidence(list), c.checkProfiles(ctx)), nil
}

// Attached sends the load to processes that run already.
func (r LoadRun) Attached(ctx context.Context, dir string) (Results, error) {
	started := time.Now()
	a, err := Attach(dir, r.Tickets)
	if err != nil {
		return Results{}, err
	}
	list, err := a.Profiles(ctx)
	if err != nil {
		return Results{}, err
	}
	changes := a.startChanges(ctx, list[racedProfile], r.ChangeEvery)
	records, err := RunLoad(ctx, a, list, r.options())
	race := changes()
	if err != nil {
		return Results{}, err
	}
	accepted, wrong := race.accepted()
	evidence, err := a.evidence(context.WithoutCancel(ctx), list) // each call has its own timeout
	if err != nil {
		return Results{}, err
	}
	if r.ChangeEvery > 0 {
		fmt.Fprintf(r.Out, "profile changes: %s\n", race.String())
	}
	return r.results(ctx, started, a, records, evidence, append(wrong, a.checkProfiles(ctx, accepted)...)), nil
}

// startChanges lets an operator change a profile again and again, each time at
// whichever instance answers first. The returned function ends that.
func (a *Attached) startChanges(ctx context.Context, base profile.Profile, every time.Duration) (end func() *raceLog) {
	race := &raceLog{}
	if every <= 0 {
		return func() *raceLog { return race }
	}
	ctx, stop := context.WithCancel(ctx)
	var changing sync.WaitGroup
	changing.Go(func() {
		for mark := 1; sleep.For(ctx, every) == nil; mark++ {
			race.add(changeOnce(context.WithoutCancel(ctx), a.adminFrom(mark), base, mark))
		}
	})
	return func() *raceLog {
		stop()
		changing.Wait()
		return race
	}
}

// adminFrom returns a client that tries all instances, another first each time.
func (a *Attached) adminFrom(first int) *client.Admin {
	var servers []string
	n := len(a.Layout.Instances)
	for i := range n {
		servers = append(servers, a.Layout.Instances[(first+i)%n].Admin)
	}
	return client.NewAdmin(client.AdminOptions{Servers: servers, Token: a.Layout.OperatorToken})
}

// accepted returns the highest version of each profile that an operator was
// told is in force or written, and what contradicts itself in that.
func (r *raceLog) accepted() (highest map[string]uint64, wrong []string) {
	highest = make(map[string]uint64)
	owner := make(map[uint64]string)
	for _, result := range r.all() {
		if result.kind != lynxapi.ChangeAccepted && result.kind != lynxapi.ChangeWritten {
			continue
		}
		if other, taken := owner[result.version]; taken && other != result.changeID {
			wrong = append(wrong, fmt.Sprintf("version %d of %s was told to two changes", result.version, result.profile))
		}
		owner[result.version] = result.changeID
		highest[result.profile] = max(highest[result.profile], result.version)
	}
	return highest, wrong
}

func (r LoadRun) options() LoadOptions {
	opts := r.Load
	if r.Out != nil {
		opts.Progress = func(p Progress) { printProgress(r.Out, p, opts.Duration) }
	}
	return opts
}

func printProgress(out io.Writer, p Progress, whole time.Duration) {
	fmt.Fprintf(out, "%4.0fs of %.0fs: %d sent, %d in flight, %d whole, %d in time, %d refused or failed\n",
		p.Elapsed.Seconds(), whole.Seconds(), p.Sent, p.Sent-p.Done, p.Whole, p.Attained, p.Done-p.Whole)
}

// results gives a load the form of an experiment's results, so that loads can
// be compared.
func (r LoadRun) results(ctx context.Context, started time.Time, on System, records []Record, evidence Evidence, wrong []string) Results {
	s := summarise(records)
	s.Deployment, s.Variant = on.Deployment(), "lynxhill"
	s.judge(ctx, breaches(evidence, records), wrong, r.MinWhole)
	return Results{
		Experiment: Experiment{
			Name: loadName, About: fmt.Sprintf("%s arrivals, %g requests a second for %s", r.Load.Arrivals.withDefaults().Kind, r.Load.Rate, r.Load.Duration),
			Seed: r.Load.Seed, Deployments: []string{on.Deployment()}, Rate: r.Load.Rate, Duration: config.DurationOf(r.Load.Duration),
			Arrivals: r.Load.Arrivals, Mix: r.Load.Mix, MinWhole: r.MinWhole, PoisonEvery: config.DurationOf(r.Load.PoisonEvery),
		},
		Started: started.UTC(), Summaries: []Summary{s}, Interrupted: interrupted(ctx),
	}
}

// judge takes over what was broken: by the records and the evidence, by what
// is wrong with the profiles, and by too few whole answers. The least share of
// those is that of a whole run; a part of one, up to an interrupt, may be all
// fault.
func (s *Summary) judge(ctx context.Context, b Breaches, wrong []string, leastWhole float64) {
	s.Breaches = b
	s.Breaches.Reverted = len(wrong)
	s.Breaches.Details = append(s.Breaches.Details, wrong...)
	if !interrupted(ctx) {
		s.Breaches.checkWhole(*s, leastWhole)
	}
}

// checkWhole counts a run in which too few requests got a whole answer: a
// fleet that refuses everything would break no other promise.
func (b *Breaches) checkWhole(s Summary, least float64) {
	if whole := share(s.Whole, s.Requests); whole < least {
		b.TooFew = 1
		b.Details = append(b.Details, fmt.Sprintf("only %.0f%% of the requests got a whole answer", 100*whole))
	}
}

// boundTokens sets the length of what a profile generates.
func boundTokens(p profile.Profile, tokens int) profile.Profile {
	if tokens <= 0 {
		return p
	}
	p.Stages = slices.Clone(p.Stages)
	for i := range p.Stages {
		if p.Stages[i].Kind == profile.KindGenerate {
			p.Stages[i].MaxTokens = tokens
		}
	}
	return p
}
