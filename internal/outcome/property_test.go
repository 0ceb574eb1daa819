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

// runs is what the callers of a registry did and were told.
type runs struct {
	r *Registry

	mu     sync.Mutex // guards the fields below
	active map[Key]int
	made   map[string]bool // records that a run returned
	ops    []porcupine.Operation
	broken []string
}

func (x *runs) fail(format string, args ...any) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.broken = append(x.broken, fmt.Sprintf(format, args...))
}

// run takes a while and returns an answer of its own, or that nothing was run.
func (x *runs) run(key Key, id int, took time.Duration, refuse bool) Record {
	x.mu.Lock()
	x.active[key]++
	together := x.active[key]
	x.mu.Unlock()
	if together > 1 {
		x.fail("two runs of %v at once", key)
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
	x.made[key.Key+"="+output] = true
	return Record{Output: json.RawMessage(output)}
}

func (x *runs) caller(rng *rand.Rand, first, requests, keys int) {
	for id := first; id < first+requests; id++ {
		key := Key{Organisation: "o", Key: fmt.Sprint(rng.IntN(keys))}
		took, refuse := time.Duration(rng.IntN(500))*time.Millisecond, rng.IntN(4) == 0
		ctx, cancel := context.WithTimeout(context.Background(), time.Duration(50+rng.IntN(2000))*time.Millisecond)
		call := time.Now()
		rec, shared, err := x.r.Do(ctx, key, "b", fmt.Sprint(id), func(context.Context) Record { return x.run(key, id, took, refuse) })
		cancel()
		if err == nil {
			x.told(key, id, rec, shared, call)
		}
		time.Sleep(time.Duration(rng.IntN(300)) * time.Millisecond)
	}
}

func (x *runs) told(key Key, id int, rec Record, shared bool, call time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if rec.Err == nil && !x.made[key.Key+"="+string(rec.Output)] {
		x.broken = append(x.broken, fmt.Sprintf("key %s was answered with %s of another key", key.Key, rec.Output))
	}
	if !shared && rec.RequestID != fmt.Sprint(id) {
		x.broken = append(x.broken, fmt.Sprintf("request %d got the record of %s as its own", id, rec.RequestID))
	}
	x.ops = append(x.ops, porcupine.Operation{
		ClientId: len(x.ops), Input: key.Key, Output: string(rec.Output), Call: call.UnixNano(), Return: time.Now().UnixNano(),
	})
}

func runCallers(t *testing.T, seed uint64, callers, keys, maxRecords int) *runs {
	x := &runs{active: make(map[Key]int), made: make(map[string]bool)}
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

// answerModel is a key as its callers see it: unanswered until the first
// answer, and that answer from then on. A request that was not run (no output)
// changes nothing, and is told only while there is no answer.
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

// Symptom: two callers with one key get different answers, or one is told
// "not run" after another got its answer. Cause: a record that is replaced.
func TestAnswersAreLinearizable(t *testing.T) {
	for seed := range uint64(10) {
		x := runCallers(t, seed, 8, 12, 100_000)
		if len(x.broken) > 0 {
			t.Errorf("seed %d: %v", seed, x.broken)
		}
		if !porcupine.CheckOperations(answerModel(), x.ops) {
			t.Errorf("seed %d: history of %d answers is not linearizable", seed, len(x.ops))
		}
	}
}

// With little room, records are dropped; still no key has two runs at once and
// nobody gets the answer of another key.
func TestOneRunAtATime(t *testing.T) {
	params := gopter.DefaultTestParametersWithSeed(21)
	params.MinSuccessfulTests = 30
	properties := gopter.NewProperties(params)
	total := 0
	properties.Property("one run at a time and own answers", prop.ForAll(
		func(seed uint64, callers, keys, maxRecords int) bool {
			x := runCallers(t, seed, callers, keys, maxRecords)
			total += len(x.ops)
			return len(x.broken) == 0
		},
		gen.UInt64(), gen.IntRange(1, 16), gen.IntRange(1, 40), gen.IntRange(1, 64),
	))
	properties.TestingRun(t)
	t.Logf("%d answers", total)
	if total < 3000 {
		t.Errorf("only %d answers", total)
	}
}
