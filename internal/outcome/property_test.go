package outcome

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"lynxhill.example/lynxhill/internal/errkind"
)

// workload runs concurrent callers against a registry and records what they
// observe.
type workload struct {
	r *Registry

	mu         sync.Mutex // guards the fields below
	active     map[Key]int
	outputs    map[string]bool // "key=output" of each completed run
	ops        []porcupine.Operation
	violations []string
}

func (x *workload) fail(format string, args ...any) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.violations = append(x.violations, fmt.Sprintf(format, args...))
}

// run sleeps for the given time and returns a record with a unique output, or,
// if refuse is set, a record that says that the request did not run.
func (x *workload) run(key Key, id int, took time.Duration, refuse bool) Record {
	x.mu.Lock()
	x.active[key]++
	together := x.active[key]
	x.mu.Unlock()
	if together > 1 {
		x.fail("two concurrent runs of %v", key)
	}
	time.Sleep(took)
	x.mu.Lock()
	defer x.mu.Unlock()
	x.active[key]--
	if refuse {
		body := errkind.BodyOf(errkind.New(errkind.Overloaded, "full"), fmt.Sprint(id))
		return Record{Err: &body}
	}
	output := fmt.Sprint(id)
	x.outputs[key.Key+"="+output] = true
	return Record{Output: json.RawMessage(output)}
}

func (x *workload) caller(rng *rand.Rand, first, requests, keys int) {
	for id := first; id < first+requests; id++ {
		key := Key{Organisation: "o", Key: fmt.Sprint(rng.IntN(keys))}
		took, refuse := time.Duration(rng.IntN(500))*time.Millisecond, rng.IntN(4) == 0
		ctx, cancel := context.WithTimeout(context.Background(), time.Duration(50+rng.IntN(2000))*time.Millisecond)
		call := time.Now()
		rec, shared, err := x.r.Do(ctx, key, "b", fmt.Sprint(id), func(context.Context) Record { return x.run(key, id, took, refuse) })
		cancel()
		if err == nil {
			x.checkAnswer(key, id, rec, shared, call)
		}
		time.Sleep(time.Duration(rng.IntN(300)) * time.Millisecond)
	}
}

func (x *workload) checkAnswer(key Key, id int, rec Record, shared bool, call time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if rec.Err == nil && !x.outputs[key.Key+"="+string(rec.Output)] {
		x.violations = append(x.violations, fmt.Sprintf("key %s was answered with %s of another key", key.Key, rec.Output))
	}
	if !shared && rec.RequestID != fmt.Sprint(id) {
		x.violations = append(x.violations, fmt.Sprintf("request %d got the record of %s as its own", id, rec.RequestID))
	}
	x.ops = append(x.ops, porcupine.Operation{
		ClientId: len(x.ops), Input: key.Key, Output: string(rec.Output), Call: call.UnixNano(), Return: time.Now().UnixNano(),
	})
}

func runCallers(t *testing.T, seed uint64, callers, keys, maxRecords int) *workload {
	x := &workload{active: make(map[Key]int), outputs: make(map[string]bool)}
	synctest.Test(t, func(t *testing.T) {
		x.r = NewRegistry(Options{Keep: time.Hour, MaxRecords: maxRecords})
		var wg sync.WaitGroup
		for c := range callers {
			rng := rand.New(rand.NewPCG(seed, uint64(c)))
			wg.Go(func() { x.caller(rng, c*1000, 60, keys) })
		}
		wg.Wait()
		time.Sleep(time.Minute)
	})
	return x
}

// answerModel is the sequential specification of one key: it has no answer
// until the first run completes, and that answer from then on. A request that
// did not run (empty output) leaves the state unchanged and may be reported only
// while there is no answer.
func answerModel() porcupine.Model {
	return porcupine.Model{
		Partition: func(ops []porcupine.Operation) [][]porcupine.Operation {
			byKey := make(map[string][]porcupine.Operation)
			for _, op := range ops {
				byKey[op.Input.(string)] = append(byKey[op.Input.(string)], op)
			}
			var parts [][]porcupine.Operation
			for _, part := range byKey {
				parts = append(parts, part)
			}
			return parts
		},
		Init: func() any { return "" },
		Step: func(state, _, output any) (bool, any) {
			answer, told := state.(string), output.(string)
			if answer == "" {
				return true, told
			}
			return told == answer, answer
		},
	}
}

// Guards against a record that is replaced: callers with the same key would get
// different answers, or "not run" after another caller got an answer.
func TestAnswersAreLinearizable(t *testing.T) {
	for seed := range uint64(10) {
		x := runCallers(t, seed, 8, 12, 100_000)
		if len(x.violations) > 0 {
			t.Errorf("seed %d: %v", seed, x.violations)
		}
		if !porcupine.CheckOperations(answerModel(), x.ops) {
			t.Errorf("seed %d: history of %d answers is not linearizable", seed, len(x.ops))
		}
	}
}

// With a small record limit, records are evicted. Even then no key may have two
// concurrent runs and no caller may get the answer of another key.
func TestOneRunAtATime(t *testing.T) {
	params := gopter.DefaultTestParametersWithSeed(21)
	params.MinSuccessfulTests = 30
	properties := gopter.NewProperties(params)
	total := 0
	properties.Property("one run at a time and own answers", prop.ForAll(
		func(seed uint64, callers, keys, maxRecords int) bool {
			x := runCallers(t, seed, callers, keys, maxRecords)
			total += len(x.ops)
			return len(x.violations) == 0
		},
		gen.UInt64(), gen.IntRange(1, 16), gen.IntRange(1, 40), gen.IntRange(1, 64),
	))
	properties.TestingRun(t)
	t.Logf("%d answers", total)
	if total < 3000 {
		t.Errorf("only %d answers", total)
	}
}
