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

// dispatcherKey is what the instances are ranked for.
const dispatcherKey = "stagework/dispatcher"

// Remote hands a job to the dispatcher of another instance. It returns once
// that has taken the job, or with a refusal, or with an error if it can't be
// reached in a short time.
type Remote interface {
	Work(ctx context.Context, instance string, job Job) (Assignment, *Refusal, error)
}

// FinderOptions configure a Finder.
type FinderOptions struct {
	Self   string
	Local  *Dispatcher
	Remote Remote
	// Members returns the ids of the instances that are alive and not leaving.
	Members func() []string
	// Capacity returns an instance's processor time, in cores; 0 if unknown.
	// nil = all have the same.
	Capacity func(instance string) float64
	// Contact reports whether this instance reaches the others, which it believes
	// alive, or the platform's store. nil = it always does.
	Contact func() Contact
	// Meeting reports whether this instance has started and does not know yet
	// who the others are; it does not for long. nil = it always knows.
	Meeting func() bool
	// Cells returns the parts into which the targets are divided. nil = one.
	Cells  func() []Cell
	Clock  clock.Clock
	Logger *event.Logger
}

// Finder finds the dispatcher: the instance that ranks first among those
// alive. No lease is taken: instances that see other members for a while use
// two dispatchers, which costs efficiency only.
type Finder struct {
	o     FinderOptions
	reach *reach
}

// NewFinder returns a finder.
func NewFinder(o FinderOptions) *Finder {
	return &Finder{o: o, reach: newReach(o.Clock)}
}

// Submit hands the job to the dispatcher of the cell that its session belongs
// to. If that refuses it for lack of time or of targets, a second cell is asked.
func (f *Finder) Submit(ctx context.Context, job Job) (Assignment, *Refusal, error) {
	job.Owner = f.o.Self
	cells := f.cells()
	key := job.session()
	if key == "" {
		key = job.ID
	}
	ranked := rankCells(key, cells)
	a, refusal, err := f.submitTo(ctx, ranked[0], job)
	if refusal != nil && refusal.otherCellMay() && len(ranked) > 1 {
		second, late, err := f.submitTo(ctx, ranked[1], job)
		if err == nil && late == nil {
			return second, nil, nil
		}
	}
	return a, refusal, err
}

func (f *Finder) cells() []Cell {
	if f.o.Cells == nil {
		return []Cell{{Weight: 1}}
	}
	return f.o.Cells()
}

// Times of a job for which no dispatcher is there yet.
const (
	// startPause is the pause before the candidates are asked again.
	startPause = 100 * time.Millisecond
	// startTries is how often they are. Instances that start together are up
	// within half a second of each other.
	startTries = 5
	// meetingPoll is how often it is looked whether the members are known.
	meetingPoll = 20 * time.Millisecond
)

// submitTo hands the job to the cell's dispatcher, to the next one if that does
// not answer, and at last to this instance's own. Where all that are asked say
// at once that they are not there, they are starting, and are asked again: each
// of the others would else schedule for the same targets by itself. One notices
// that by calls that find a target full in the second after a common start: with
// 295 instances two in five of a day's calls, and two in a hundred with this and
// the members that the platform's list names.
func (f *Finder) submitTo(ctx context.Context, cell Cell, job Job) (Assignment, *Refusal, error) {
	job.Cell = cell.Places
	if err := f.awaitMembers(ctx); err != nil {
		return nil, nil, err
	}
	for range startTries {
		if cells := f.cells(); !cell.among(cells) && !within(cell, cells) {
			return nil, &Refusal{Reason: ReasonNoTarget, RetryAfter: comeBackMin, Dispatcher: f.o.Self}, nil
		}
		a, refusal, err := f.tryCandidates(ctx, cell, job)
		if !errors.Is(err, errStarting) {
			return a, refusal, err
		}
		if !loop.Sleep(ctx, f.o.Clock, startPause) {
			return nil, nil, ctx.Err()
		}
	}
	return f.local(job)
}

// awaitMembers waits until this instance knows who the others are.
//
// What goes wrong without it: an instance that has just started knows its targets
// from the first other that it met, takes itself for the dispatcher, and goes on
// with what it began for seconds. One notices it by small instances whose calls
// find targets full right after their start.
func (f *Finder) awaitMembers(ctx context.Context) error {
	for f.meeting() {
		if !loop.Sleep(ctx, f.o.Clock, meetingPoll) {
			return ctx.Err()
		}
	}
	return nil
}

func (f *Finder) meeting() bool { return f.o.Meeting != nil && f.o.Meeting() }

// errStarting says that none of the candidates is there yet.
var errStarting = errors.New("no dispatcher has started")

// tryCandidates asks the cell's candidates in turn, and this instance's own
// dispatcher if it is one of them or if the others are silent.
func (f *Finder) tryCandidates(ctx context.Context, cell Cell, job Job) (Assignment, *Refusal, error) {
	candidates, skipped := f.candidates(cell)
	if skipped {
		job.Insist = InsistRemembered
	}
	starting := len(candidates) > 0
	for _, instance := range candidates {
		refusal, err := f.refuseAlone(ctx, &job)
		if refusal != nil || err != nil {
			return nil, refusal, err
		}
		if instance == f.o.Self {
			return f.local(job)
		}
		a, refusal, err := f.ask(ctx, instance, job)
		if err == nil {
			return a, refusal, nil
		}
		if ctx.Err() != nil {
			return nil, nil, ctx.Err()
		}
		if !notThere(err) {
			f.Avoid(instance, err)
			starting = false
		}
		job.Insist = InsistRemembered
	}
	if starting {
		return nil, nil, errStarting
	}
	return f.local(job)
}

// notThere reports whether the error says at once that an instance does not
// run, or does not know its targets yet. Asking it again costs a millisecond,
// unlike one that is silent, so that it is not left out: of instances that start
// together those that are up first would leave out the dispatcher, and several
// others would take its jobs for two seconds.
func notThere(err error) bool {
	return errors.Is(err, errUnknowing) || errors.Is(err, syscall.ECONNREFUSED)
}

// local hands the job to this instance's own dispatcher.
func (f *Finder) local(job Job) (Assignment, *Refusal, error) {
	t, refusal := f.o.Local.Submit(job)
	if refusal != nil {
		refusal.Dispatcher = f.o.Self
		return nil, refusal, nil
	}
	return t, nil, nil
}

// ask hands the job to the instance. One that knows of another that ranks
// before it names that; only if that one is not reached does it take the job.
// An instance that was cut off holds the first one for dead for a while after
// its return: without this its jobs would have a second dispatcher.
func (f *Finder) ask(ctx context.Context, instance string, job Job) (Assignment, *Refusal, error) {
	a, refusal, err := f.work(ctx, instance, job)
	if err != nil || refusal == nil || refusal.Reason != ReasonNotFirst {
		return a, refusal, err
	}
	job.Insist = InsistTried
	if first := refusal.Elsewhere; first != f.o.Self {
		a, refusal, err = f.work(ctx, first, job)
		if err == nil {
			return a, refusal, nil
		}
		f.Avoid(first, err)
	}
	return f.work(ctx, instance, job)
}

// work hands the job to the instance. An instance that has just started may not
// know the targets yet; its refusal must not be everybody's.
func (f *Finder) work(ctx context.Context, instance string, job Job) (Assignment, *Refusal, error) {
	a, refusal, err := f.o.Remote.Work(ctx, instance, job)
	if refusal != nil && refusal.Reason == ReasonNoTarget {
		return nil, nil, errUnknowing
	}
	if err == nil {
		f.reach.answered(instance)
	}
	if refusal != nil {
		refusal.Dispatcher = instance
	}
	return a, refusal, err
}

// Take takes a job of another instance. It names the instance that ranks first
// if that is not this one, unless the job's owner insists and knows better.
func (f *Finder) Take(job Job) (Assignment, *Refusal) {
	first, sure := f.First(Cell{Places: job.Cell})
	if f.meeting() {
		first = f.o.Self // the job's owner knows more of the members
	}
	if first != f.o.Self && (job.Insist == InsistNot || job.Insist == InsistRemembered && sure) {
		return nil, &Refusal{Reason: ReasonNotFirst, Elsewhere: first}
	}
	t, refusal := f.o.Local.SubmitRemote(job)
	if refusal != nil {
		return nil, refusal
	}
	return t, nil
}

// First returns the instance that ranks first for the cell among those that
// this one believes alive. sure reports whether that has answered of late, or is
// this one.
func (f *Finder) First(cell Cell) (first string, sure bool) {
	usable, _ := f.reach.usable(f.o.Members())
	best := f.rank(cell, usable)
	if len(best) == 0 || best[0] == f.o.Self {
		return f.o.Self, true
	}
	return best[0], f.reach.sure(best[0])
}

// maxCandidates bounds how many instances are asked before one schedules by
// itself.
const maxCandidates = 3

// largeInstance is the part of the largest instance's processor time that makes an
// instance fit for a dispatcher.
const largeInstance = 0.5

// candidates returns the instances to ask for the cell, best first. skipped
// reports whether some were left out that were not reached of late.
func (f *Finder) candidates(cell Cell) (best []string, skipped bool) {
	usable, skipped := f.reach.usable(f.o.Members())
	best = f.rank(cell, usable)
	f.reach.probe(best)
	return best, skipped
}

// rank returns the best of the members for the cell, of those with much
// processor time. A small instance would be late with every decision.
func (f *Finder) rank(cell Cell, members []string) []string {
	return rendezvous.Top(dispatcherKey+cell.Name(), f.large(members), maxCandidates)
}

var errUnknowing = errors.New("it knows no target")

var errLost = errors.New("lost while the job waited")

// large returns the members with at least largeInstance of the processor time
// of the largest.
func (f *Finder) large(members []string) []string {
	if f.o.Capacity == nil {
		return members
	}
	most := 0.0
	for _, m := range members {
		most = max(most, f.o.Capacity(m))
	}
	return slices.DeleteFunc(members, func(m string) bool { return f.o.Capacity(m) < largeInstance*most })
}

// Lost tells that the dispatcher of an instance was lost while it had a job.
func (f *Finder) Lost(instance string) { f.Avoid(instance, errLost) }

// Reached takes an instance in again that was left out.
func (f *Finder) Reached(instance string) { f.reach.restore(instance) }

// Avoid leaves an instance out for a while.
func (f *Finder) Avoid(instance string, err error) {
	f.reach.avoid(instance)
	f.o.Logger.Log(event.DispatcherLost, "dispatcher", instance, "err", err)
}
