package loop

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
)

// Symptom, if not: a target is polled twice at once, or still after it left.
func TestTasksFollowTheWantedKeys(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var mu sync.Mutex // guards begun and running
		begun, running := make(map[string]int), make(map[string]int)
		count := func(of map[string]int, key string, by int) {
			mu.Lock()
			defer mu.Unlock()
			of[key] += by
		}
		tasks := NewTasks(func(ctx context.Context, key string) {
			count(begun, key, 1)
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
		if begun["a"] != 2 || begun["b"] != 1 || tasks.Len() != 0 {
			t.Errorf("begun %v, %d left", begun, tasks.Len())
		}
		tasks.Stop()
	})
}
