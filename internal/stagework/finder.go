package stagework

import (
	"context"
	"errors"
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
	Clock   clock.Clock
	Logger  *event.Logger
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

// Submit hands the job to the dispatcher, to the next one if that does not
// answer, and at last to this instance's own.
func (f *Finder) Submit(ctx context.Context, job Job) (Assignment, *Refusal, error) {
	for _, instance := range f.candidates() {
		if instance == f.o.Self {
			break
		}
		a, refusal, err := f.o.Remote.Work(ctx, instance, job)
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

// maxCandidates bounds how many instances are asked before one schedules by
// itself.
const maxCandidates = 3

func (f *Finder) candidates() []string {
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
	return rendezvous.Top(dispatcherKey, usable, maxCandidates)
}

var errLost = errors.New("lost while the job waited")

// Lost tells that the dispatcher of an instance was lost while it had a job.
func (f *Finder) Lost(instance string) { f.Avoid(instance, errLost) }

// Avoid leaves an instance out for a while.
func (f *Finder) Avoid(instance string, err error) {
	f.mu.Lock()
	f.avoided[instance] = f.o.Clock.Now().Add(avoidFor)
	f.mu.Unlock()
	f.o.Logger.Log(event.DispatcherLost, "dispatcher", instance, "err", err)
}
