package loop

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
)

// Guards against a target that is polled by two tasks at once, or still polled after
// it has left the set.
func TestTasksFollowTheWantedKeys(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var mu sync.Mutex // guards started and running
		started, running := make(map[string]int), make(map[string]int)
		count := func(of map[string]int, key string, by int) {
			mu.Lock()
			defer mu.Unlock()
			of[key] += by
		}
		tasks := NewTasks(func(ctx context.Context, key string) {
			count(started, key, 1)
			count(running, key, 1)
			<-ctx.Done()
			count(running, key, -1)
		})
		for _, wanted := range [][]string{{"a"}, {"a", "a"}, {"a", "b"}, {"b"}, {"a"}, nil} {
			tasks.Keep(t.Context(), wanted)
			synctest.Wait()
			for _, key := range []string{"a", "b"} {
				if slices.Contains(wanted, key) != (running[key] == 1) || running[key] > 1 {
					t.Errorf("wanted %v: %d tasks of %s run", wanted, running[key], key)
				}
			}
		}
		if started["a"] != 2 || started["b"] != 1 || tasks.Len() != 0 {
			t.Errorf("tasks started: %v, tasks not stopped: %d", started, tasks.Len())
		}
		tasks.Stop()
	})
}
