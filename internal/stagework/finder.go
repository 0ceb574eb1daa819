package stagework

import (
	"context"
	"errors"
	"slices"
	"syscall"
	"time"

	"lynxhill.example/lynxhill/internal/clock"
	"lynxhill.example/lynxhill/internal/control/loop"
	"lynxhill.example/lynxhill/internal/control/rendezvous"
	"lynxhill.example/lynxhill/internal/event"
)

// dispatcherKey is the prefix of the key by which instances are ranked.
const dispatcherKey = "stagework/dispatcher"

// Remote submits a job to the dispatcher of another instance. Submit returns once
// that dispatcher has accepted the job, or with a refusal, or soon with an
// error if it cannot be reached.
type Remote interface {
	Submit(ctx context.Context, instance string, job Job) (Assignment, *Refusal, error)
}

// FinderOptions configure a Finder.
type FinderOptions struct {
	Self   string
	Local  *Dispatcher
	Remote Remote
	// Members returns the IDs of the instances that are alive and not leaving.
	Members func() []string
	// Capacity returns an instance's CPU capacity in cores; 0 if unknown. nil =
	// all instances have the same.
	Capacity func(instance string) float64
	// Connectivity reports whether this instance can reach the other instances that
	// it believes alive, or the store. nil = it always can.
	Connectivity func() Connectivity
	// Joining reports whether this instance has started so recently that it
	// does not know the other members yet. nil = it always knows them.
	Joining func() bool
	// Cells returns the current cells. nil = there is one.
	Cells func() []Cell
	// Reservations reports whether capacity is reserved for refused callers. nil = it is not.
	Reservations func() bool
	Clock        clock.Clock
	Logger       *event.Logger
}

// Finder finds the dispatcher of a job: the live instance that ranks first for
// the job's cell. It uses no lease: while instances have different views of the
// membership, there may be two dispatchers, which only reduces efficiency.
type Finder struct {
	o      FinderOptions
	reach  *reachability
	copies reservationCopies
}

// NewFinder returns a finder with the given options.
func NewFinder(o FinderOptions) *Finder {
	return &Finder{o: o, reach: newReachability(o.Clock)}
}

// Submit submits the job to the dispatcher of the cell that its session belongs
// to. If that dispatcher refuses it for lack of time or targets, a second cell
// is tried.
func (f *Finder) Submit(ctx context.Context, job Job) (Assignment, *Refusal, error) {
	job.Owner = f.o.Self
	if !f.reservationsOn() {
		job.CallerKey = ""
	}
	cells := job.Binding.cells(f.cells())
	if len(cells) == 0 {
		return nil, &Refusal{Reason: ReasonNoBuild, Dispatcher: f.o.Self}, nil
	}
	ranked := rankCells(job.cellKey(), cells)
	caller := job.CallerKey
	a, refusal, err := f.submitTo(ctx, ranked[0], job)
	if refusal != nil && refusal.retryInOtherCell() && len(ranked) > 1 {
		job.CallerKey = "" // only the cell that is asked first reserves: its caller comes back to it
		second, late, err := f.submitTo(ctx, ranked[1], job)
		if err == nil && late == nil {
			f.copies.drop(Cell{Zones: ranked[0].Zones}.Name(), caller)
			return second, nil, nil
		}
	}
	return a, refusal, err
}

// cells returns the cells that have engines to which the job is bound.
func (b *Binding) cells(all []Cell) []Cell {
	if b == nil {
		return all
	}
	return slices.DeleteFunc(slices.Clone(all), func(c Cell) bool {
		return len(b.Zones) == 0 || c.Zones != nil && !slices.ContainsFunc(b.Zones, func(zone string) bool { return slices.Contains(c.Zones, zone) })
	})
}

func (f *Finder) cells() []Cell {
	if f.o.Cells == nil {
		return []Cell{{Weight: 1}}
	}
	return f.o.Cells()
}

// Parameters of retries while no dispatcher is available.
const (
	// startRetryInterval is the delay before the candidates are tried again.
	startRetryInterval = 100 * time.Millisecond
	// startAttempts is the number of attempts. Instances that are started
	// together are up within half a second of each other.
	startAttempts = 5
	// joinPollInterval is the interval at which a waiting job checks whether
	// the members are known.
	joinPollInterval = 20 * time.Millisecond
)

// submitTo submits the job to the cell's dispatcher, to the next candidate if
// that does not respond, and finally to this instance's own dispatcher. If all
// candidates immediately report that they are not running, they are starting,
// and are tried again; otherwise each of the other instances would schedule by
// itself for the same targets. The symptom is calls that find a target busy in
// the second after a common start: with 295 instances, two out of five of a
// day's calls; with these retries and the members that the platform lists, two
// in a hundred.
func (f *Finder) submitTo(ctx context.Context, cell Cell, job Job) (Assignment, *Refusal, error) {
	job.Cell = cell.Zones
	if err := f.awaitMembers(ctx); err != nil {
		return nil, nil, err
	}
	for range startAttempts {
		if cells := f.cells(); !cell.among(cells) && !overlapsAny(cell, cells) {
			return nil, &Refusal{Reason: ReasonNoTarget, RetryAfter: retryAfterMin, Dispatcher: f.o.Self}, nil
		}
		a, refusal, err := f.tryCandidates(ctx, cell, job)
		if !errors.Is(err, errStarting) {
			return a, refusal, err
		}
		if !loop.Sleep(ctx, f.o.Clock, startRetryInterval) {
			return nil, nil, ctx.Err()
		}
	}
	return f.submitLocal(job)
}

// awaitMembers waits until this instance knows the other members.
//
// Otherwise, an instance that has just started, and has learnt its targets from
// the first other instance, considers itself the dispatcher and keeps
// scheduling the jobs that it started for seconds. The symptom is small
// instances whose calls find targets busy right after their start.
func (f *Finder) awaitMembers(ctx context.Context) error {
	for f.joining() {
		if !loop.Sleep(ctx, f.o.Clock, joinPollInterval) {
			return ctx.Err()
		}
	}
	return nil
}

func (f *Finder) joining() bool { return f.o.Joining != nil && f.o.Joining() }

// errStarting reports that none of the candidates is running yet.
var errStarting = errors.New("no dispatcher has started")

// tryCandidates tries the cell's candidates in turn, and uses this instance's
// own dispatcher if it is one of them or if the others do not respond.
func (f *Finder) tryCandidates(ctx context.Context, cell Cell, job Job) (Assignment, *Refusal, error) {
	candidates, skipped := f.candidates(cell)
	if skipped {
		job.RankOverride = OverrideRecentlyUnreachable
	}
	starting := len(candidates) > 0
	for _, instance := range candidates {
		refusal, err := f.refuseIfIsolated(ctx, &job)
		if refusal != nil || err != nil {
			return nil, refusal, err
		}
		if instance == f.o.Self {
			return f.submitLocal(job)
		}
		a, refusal, err := f.submitToInstance(ctx, instance, job)
		if err == nil {
			return a, refusal, nil
		}
		if ctx.Err() != nil {
			return nil, nil, ctx.Err()
		}
		if !notRunning(err) {
			f.Exclude(instance, err)
			starting = false
		}
		job.RankOverride = OverrideRecentlyUnreachable
	}
	if starting {
		return nil, nil, errStarting
	}
	return f.submitLocal(job)
}

// notRunning reports whether the error means that an instance does not run, or
// does not know its targets yet. Such an instance is not excluded: trying it
// again costs only a millisecond, unlike one that does not respond, and
// otherwise, of instances that start together, those that are up first would
// exclude the dispatcher, and several others would get its jobs for two
// seconds.
func notRunning(err error) bool {
	return errors.Is(err, errNoTargetsKnown) || errors.Is(err, syscall.ECONNREFUSED)
}

// submitLocal submits the job to this instance's own dispatcher.
func (f *Finder) submitLocal(job Job) (Assignment, *Refusal, error) {
	job = f.withCopies(f.o.Self, job)
	t, refusal := f.o.Local.Submit(job)
	f.recordCopies(f.o.Self, job, refusal, nil)
	if refusal != nil {
		refusal.Dispatcher = f.o.Self
		return nil, refusal, nil
	}
	return t, nil, nil
}

// submitToInstance submits the job to the instance. An instance that knows of
// another one that ranks before it names that one, and accepts the job only if
// that one cannot be reached. An instance that was cut off considers the
// first-ranked one dead for a while after its return; without this redirect its
// jobs would have a second dispatcher.
func (f *Finder) submitToInstance(ctx context.Context, instance string, job Job) (Assignment, *Refusal, error) {
	a, refusal, err := f.callInstance(ctx, instance, job)
	if err != nil || refusal == nil || refusal.Reason != ReasonNotFirst {
		return a, refusal, err
	}
	job.RankOverride = OverrideUnreachable
	if first := refusal.FirstRanked; first != f.o.Self {
		a, refusal, err = f.callInstance(ctx, first, job)
		if err == nil {
			return a, refusal, nil
		}
		f.Exclude(first, err)
	}
	return f.callInstance(ctx, instance, job)
}

// callInstance sends the job to the instance. The refusal of an instance that
// has just started and knows no targets yet is converted to an error, since
// other instances may know them.
func (f *Finder) callInstance(ctx context.Context, instance string, job Job) (Assignment, *Refusal, error) {
	job = f.withCopies(instance, job)
	a, refusal, err := f.o.Remote.Submit(ctx, instance, job)
	f.recordCopies(instance, job, refusal, err)
	if refusal != nil && refusal.Reason == ReasonNoTarget {
		return nil, nil, errNoTargetsKnown
	}
	if err == nil {
		f.reach.recordAnswer(instance)
	}
	if refusal != nil {
		refusal.Dispatcher = instance
	}
	return a, refusal, err
}

// Accept accepts a job of another instance. If this instance does not rank first,
// it refuses the job and names the one that does, unless the job's owner
// insists and has newer information.
func (f *Finder) Accept(job Job) (Assignment, *Refusal) {
	first, reachable := f.First(Cell{Zones: job.Cell})
	if f.joining() {
		first = f.o.Self // the job's owner has a more complete view of the members
	}
	if first != f.o.Self && (job.RankOverride == NoRankOverride || job.RankOverride == OverrideRecentlyUnreachable && reachable) {
		return nil, &Refusal{Reason: ReasonNotFirst, FirstRanked: first}
	}
	t, refusal := f.o.Local.SubmitRemote(job)
	if refusal != nil {
		return nil, refusal
	}
	return t, nil
}

// First returns the instance that ranks first for the cell among those that
// this one believes alive. reachable reports whether that instance has
// responded recently or is this one.
func (f *Finder) First(cell Cell) (first string, reachable bool) {
	usable, _ := f.reach.usable(f.o.Members())
	best := f.rank(cell, usable)
	if len(best) == 0 || best[0] == f.o.Self {
		return f.o.Self, true
	}
	return best[0], f.reach.recentlyAnswered(best[0])
}

// maxCandidates is the maximum number of instances that are tried before an
// instance schedules by itself.
const maxCandidates = 3

// minCapacityShare is the minimum CPU capacity of a dispatcher, as a share of
// that of the largest instance.
const minCapacityShare = 0.5

// candidates returns the instances to try for the cell, best first. skipped
// reports whether any were left out because they recently did not respond.
func (f *Finder) candidates(cell Cell) (best []string, skipped bool) {
	usable, skipped := f.reach.usable(f.o.Members())
	best = f.rank(cell, usable)
	f.reach.startProbes(best)
	return best, skipped
}

// rank returns the highest-ranked members for the cell among those with enough
// CPU capacity. Every decision of a small instance would be late.
func (f *Finder) rank(cell Cell, members []string) []string {
	return rendezvous.Top(dispatcherKey+cell.Name(), f.largeMembers(members), maxCandidates)
}

var errNoTargetsKnown = errors.New("it knows no target")

var errDispatcherLost = errors.New("lost while the job waited")

// largeMembers returns the members with at least minCapacityShare of the CPU
// capacity of the largest.
func (f *Finder) largeMembers(members []string) []string {
	if f.o.Capacity == nil {
		return members
	}
	most := 0.0
	for _, m := range members {
		most = max(most, f.o.Capacity(m))
	}
	return slices.DeleteFunc(members, func(m string) bool { return f.o.Capacity(m) < minCapacityShare*most })
}

// MarkLost reports that the dispatcher of an instance was lost while it had a job.
func (f *Finder) MarkLost(instance string) { f.Exclude(instance, errDispatcherLost) }

// MarkReachable ends the exclusion of an instance that can be reached again.
func (f *Finder) MarkReachable(instance string) { f.reach.readmit(instance) }

// Exclude excludes an instance for a while.
func (f *Finder) Exclude(instance string, err error) {
	f.reach.exclude(instance)
	f.o.Logger.Log(event.DispatcherLost, "dispatcher", instance, "err", err)
}
