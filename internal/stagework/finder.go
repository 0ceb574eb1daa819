package stagework

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"lynxhill.example/lynxhill/internal/clock"
	"lynxhill.example/lynxhill/internal/control/rendezvous"
	"lynxhill.example/lynxhill/internal/event"
)

// avoidFor is how long an instance that did not answer as dispatcher is left
// out.
const avoidFor = 2 * time.Second

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
	// Alone reports whether this instance reaches neither the others, which it
	// believes alive, nor the platform's store. nil = it never is.
	Alone func() bool
	// Cells returns the parts into which the targets are divided. nil = one.
	Cells  func() []Cell
	Clock  clock.Clock
	Logger *event.Logger
}

// Finder finds the dispatcher: the instance that ranks first among those
// alive. No lease is taken: instances that see other members for a while use
// two dispatchers, which costs efficiency only.
type Finder struct {
	o FinderOptions

	mu      sync.Mutex // guards avoided
	avoided map[string]time.Time
}

// NewFinder returns a finder.
func NewFinder(o FinderOptions) *Finder {
	return &Finder{o: o, avoided: make(map[string]time.Time)}
}

// Submit hands the job to the dispatcher of the cell that its session belongs
// to. If that refuses it for lack of time, a second cell is asked.
func (f *Finder) Submit(ctx context.Context, job Job) (Assignment, *Refusal, error) {
	cells := f.cells()
	key := job.session()
	if key == "" {
		key = job.ID
	}
	ranked := rankCells(key, cells)
	a, refusal, err := f.submitTo(ctx, ranked[0], job)
	if refusal != nil && refusal.Reason == ReasonLate && len(ranked) > 1 {
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

// submitTo hands the job to the cell's dispatcher, to the next one if that does
// not answer, and at last to this instance's own.
func (f *Finder) submitTo(ctx context.Context, cell Cell, job Job) (Assignment, *Refusal, error) {
	job.Cell = cell.Places
	for _, instance := range f.candidates(cell) {
		if refusal := f.refuseAlone(&job); refusal != nil {
			return nil, refusal, nil
		}
		if instance == f.o.Self {
			break
		}
		a, refusal, err := f.o.Remote.Work(ctx, instance, job)
		if refusal != nil && refusal.Reason == ReasonNoTarget {
			// An instance that has just started may not know the targets yet;
			// its refusal must not be everybody's.
			err = errUnknowing
		}
		if err == nil {
			return a, refusal, nil
		}
		if ctx.Err() != nil {
			return nil, nil, ctx.Err()
		}
		f.Avoid(instance, err)
	}
	t, refusal := f.o.Local.Submit(job)
	if refusal != nil {
		return nil, refusal, nil
	}
	return t, nil, nil
}

// elsewhere is when a caller that is sent to another instance may come back.
const elsewhere = 50 * time.Millisecond

// refuseAlone refuses stage work in an instance that is cut off from the
// others: it would schedule beside their dispatcher and fill the same targets.
// One notices that by calls that find a target full and by pieces refused for
// want of room on both sides. Callers reach the other instances. Once
// membership holds the others for dead, this instance schedules by itself.
func (f *Finder) refuseAlone(job *Job) *Refusal {
	if f.o.Alone == nil || !job.hasPieces() || !f.o.Alone() {
		return nil
	}
	return &Refusal{Reason: ReasonAlone, RetryAfter: elsewhere}
}

// maxCandidates bounds how many instances are asked before one schedules by
// itself.
const maxCandidates = 3

// largeInstance is the part of the largest instance's processor time that makes an
// instance fit for a dispatcher.
const largeInstance = 0.5

// candidates returns the instances to ask for the cell, best first: of those
// with much processor time. A small instance would be late with every decision.
func (f *Finder) candidates(cell Cell) []string {
	now := f.o.Clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	var usable []string
	for _, m := range f.o.Members() {
		if until, ok := f.avoided[m]; ok {
			if now.Before(until) {
				continue
			}
			delete(f.avoided, m)
		}
		usable = append(usable, m)
	}
	return rendezvous.Top(dispatcherKey+cell.Name(), f.large(usable), maxCandidates)
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

// Avoid leaves an instance out for a while.
func (f *Finder) Avoid(instance string, err error) {
	f.mu.Lock()
	f.avoided[instance] = f.o.Clock.Now().Add(avoidFor)
	f.mu.Unlock()
	f.o.Logger.Log(event.DispatcherLost, "dispatcher", instance, "err", err)
}
