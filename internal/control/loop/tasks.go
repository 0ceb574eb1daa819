package loop

import (
	"context"
	"sync"
)

// Tasks keeps one goroutine running for each key of a set that changes, such
// as the services of a profile or the targets that this instance polls. It is
// not safe for concurrent use.
type Tasks struct {
	run     func(ctx context.Context, key string)
	stops   map[string]context.CancelFunc
	running sync.WaitGroup
}

// NewTasks returns an empty set. run is the body of a key's task; it must return
// when its ctx ends.
func NewTasks(run func(ctx context.Context, key string)) *Tasks {
	return &Tasks{run: run, stops: make(map[string]context.CancelFunc)}
}

// Keep starts the tasks of the wanted keys that do not run yet, each with a child of
// ctx, and stops the tasks of all other keys.
func (t *Tasks) Keep(ctx context.Context, wanted []string) {
	kept := make(map[string]bool, len(wanted))
	for _, key := range wanted {
		kept[key] = true
		if t.stops[key] == nil {
			t.start(ctx, key)
		}
	}
	for key, stop := range t.stops {
		if !kept[key] {
			stop()
			delete(t.stops, key)
		}
	}
}

func (t *Tasks) start(ctx context.Context, key string) {
	ctx, t.stops[key] = context.WithCancel(ctx)
	t.running.Go(func() { t.run(ctx, key) })
}

// Len returns the number of tasks that have not been stopped.
func (t *Tasks) Len() int { return len(t.stops) }

// Stop stops all tasks and waits until they have returned, those stopped earlier
// included.
func (t *Tasks) Stop() {
	t.Keep(context.Background(), nil)
	t.running.Wait()
}
