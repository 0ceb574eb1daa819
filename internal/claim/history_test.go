package claim

import (
	"context"
	"fmt"
	"math"
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
	"lynxhill.example/lynxhill/internal/store/memstore"
)

// Operations of a history.
const (
	histClaim = iota
	histRelease
	histComplete
)

type histInput struct {
	key string
	op  int
	id  int // of the claim
}

type histOutput struct {
	state   State
	refused bool // StoreUnavailable: nothing claimed
	unknown bool // OutcomeUnknown
}

// history runs clients against several instances under faults and records their
// operations and the results.
type history struct {
	rng    *rand.Rand // used by one goroutine only; each client has its own
	st     *memstore.Store
	claims int
	// forward makes instances forward claims to the owners of shards.
	forward   bool
	instances int

	mu           sync.Mutex // guards the fields below
	claimers     []*StoreClaimer
	ops          []porcupine.Operation
	live         map[string]int // number of grants not released, by key
	grantedTwice []string
	states       map[string]int
}

type historyConfig struct {
	seed      uint64
	instances int
	clients   int
	claims    int // of each client
	keys      int // in use at the same time
	faults    bool
	forward   bool
}

func (h *history) newClaimer(i int) *StoreClaimer {
	paused := &pausingStore{Store: h.st, rng: rand.New(rand.NewPCG(h.rng.Uint64(), 4)), pauseRate: 0.02}
	opts := StoreOptions{
		Store: paused, Self: fmt.Sprint("i", i), Rand: rand.New(rand.NewPCG(h.rng.Uint64(), 5)), Shards: 2,
		WindowBytes: 900, FlushInterval: 20 * time.Millisecond, LazyInterval: 200 * time.Millisecond, CacheBytes: 30_000,
	}
	if h.forward {
		opts.Owners = func(shard int) string { return fmt.Sprint("i", shard%h.instances) }
		opts.Forward = &faultyForwarder{history: h, rng: rand.New(rand.NewPCG(h.rng.Uint64(), 8))}
	}
	return NewStoreClaimer(opts)
}

func runHistory(t *testing.T, cfg historyConfig) *history {
	h := &history{
		rng:    rand.New(rand.NewPCG(cfg.seed, 6)),
		st:     memstore.New(memstore.Options{Seed: cfg.seed}),
		live:   make(map[string]int),
		states: make(map[string]int),
		claims: cfg.claims,

		forward:   cfg.forward,
		instances: cfg.instances,
	}
	synctest.Test(t, func(t *testing.T) {
		for i := range cfg.instances {
			h.claimers = append(h.claimers, h.newClaimer(i))
		}
		var clients sync.WaitGroup
		for c := range cfg.clients {
			rng := rand.New(rand.NewPCG(h.rng.Uint64(), 7))
			clients.Go(func() { h.client(rng, c, cfg) })
		}
		done := make(chan struct{})
		go func() { clients.Wait(); close(done) }()
		h.disturb(cfg, done)
		time.Sleep(time.Minute)
	})
	return h
}

// disturb changes the store's faults and restarts instances until done.
func (h *history) disturb(cfg historyConfig, done chan struct{}) {
	for {
		select {
		case <-done:
			h.st.SetFaults(memstore.Faults{})
			return
		case <-time.After(time.Duration(h.rng.Int64N(int64(2 * time.Second)))):
		}
		if !cfg.faults {
			continue
		}
		h.st.SetFaults(h.drawFaults())
		if h.rng.Float64() < 0.1 {
			i := h.rng.IntN(cfg.instances)
			restarted := h.newClaimer(i)
			h.mu.Lock()
			h.claimers[i] = restarted
			h.mu.Unlock()
		}
	}
}

func (h *history) client(rng *rand.Rand, number int, cfg historyConfig) {
	for i := range cfg.claims {
		// The set of keys changes over time, so that each key has a short history.
		key := fmt.Sprint(i/4, "-", rng.IntN(cfg.keys))
		h.mu.Lock()
		p := h.claimers[rng.IntN(len(h.claimers))]
		h.mu.Unlock()
		id := number*cfg.claims + i
		h.claim(rng, p, key, id)
		time.Sleep(time.Duration(rng.Int64N(int64(300 * time.Millisecond))))
	}
}

func (h *history) claim(rng *rand.Rand, p *StoreClaimer, key string, id int) {
	within := 100*time.Millisecond + time.Duration(rng.Int64N(int64(4*time.Second)))
	call := time.Now()
	answer, err := p.Claim(context.Background(), testRequest(key, "x", within))
	out := histOutput{state: answer.State}
	out.refused = errkind.Is(err, errkind.StoreUnavailable)
	out.unknown = errkind.Is(err, errkind.OutcomeUnknown)
	in := histInput{key, histClaim, id}
	if out.unknown {
		// The claim may be written, and released, at any time from now on.
		h.add(in, out, call, time.Time{})
		h.add(histInput{key, histRelease, id}, histOutput{}, call, time.Time{})
		return
	}
	h.add(in, out, call, time.Now())
	if err != nil || answer.State != Granted {
		return
	}
	h.granted(key)
	time.Sleep(time.Duration(rng.Int64N(int64(200 * time.Millisecond))))
	switch rng.IntN(4) {
	case 0, 1:
		h.released(key)
		h.add(histInput{key, histRelease, id}, histOutput{}, time.Now(), time.Time{})
		answer.Claim.Release()
	case 2:
		h.add(histInput{key, histComplete, id}, histOutput{}, time.Now(), time.Time{})
		answer.Claim.Complete(nil)
	default: // the holder fails without ending the claim
	}
}

func (h *history) granted(key string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.live[key]++
	if h.live[key] > 1 {
		h.grantedTwice = append(h.grantedTwice, key)
	}
}

func (h *history) released(key string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.live[key]--
}

// add records an operation. If end is zero, the operation may take effect at any
// time after call.
func (h *history) add(in histInput, out histOutput, call, end time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	op := porcupine.Operation{ClientId: len(h.ops), Input: in, Output: out, Call: call.UnixNano(), Return: math.MaxInt64}
	if !end.IsZero() {
		op.Return = end.UnixNano()
	}
	h.ops = append(h.ops, op)
	if in.op == histClaim {
		h.states[fmt.Sprintf("%v refused=%v unknown=%v", out.state, out.refused, out.unknown)]++
	}
}

// claimState is the state of a key in the model: free, held by a claim, or
// completed.
type claimState struct {
	holder    int // 0: free
	completed bool
}

// claimModel is the sequential specification of a key: each claim takes effect at
// one moment between its call and its return. Releases and completions take effect
// at some later time or, if the instance fails first, never.
func claimModel() porcupine.Model {
	model := porcupine.NondeterministicModel{
		Partition: partitionByKey,
		Init:      func() []any { return []any{claimState{}} },
		Step: func(state, input, output any) []any {
			return stepClaim(state.(claimState), input.(histInput), output.(histOutput))
		},
		Equal: func(a, b any) bool { return a == b },
	}
	return model.ToModel()
}

func stepClaim(s claimState, in histInput, out histOutput) []any {
	id := in.id + 1
	free := s.holder == 0 && !s.completed
	switch {
	case in.op == histRelease && s.holder == id && !s.completed:
		return []any{s, claimState{}}
	case in.op == histComplete && s.holder == id:
		return []any{s, claimState{holder: id, completed: true}}
	case in.op != histClaim, out.refused:
		return []any{s}
	case out.unknown && free:
		return []any{s, claimState{holder: id}}
	case out.unknown:
		return []any{s}
	case out.state == Granted && free:
		return []any{claimState{holder: id}}
	case out.state == Held && s.holder != 0 && !s.completed:
		return []any{s}
	case out.state == Completed && s.completed:
		return []any{s}
	}
	return nil
}

func partitionByKey(ops []porcupine.Operation) [][]porcupine.Operation {
	byKey := make(map[string][]porcupine.Operation)
	for _, op := range ops {
		key := op.Input.(histInput).key
		byKey[key] = append(byKey[key], op)
	}
	var parts [][]porcupine.Operation
	for _, part := range byKey {
		parts = append(parts, part)
	}
	return parts
}

// Guards against grants that do not depend on a conditional write: a claim would be
// granted twice, or a free key be reported as held. Several instances claim the
// same keys while replies are lost, writers pause between decision and write, the
// store is down, slow or throttling, and instances restart without their memory.
func TestClaimsAreLinearizable(t *testing.T) {
	for seed := range uint64(12) {
		h := runHistory(t, historyConfig{seed: seed, instances: 3, clients: 5, claims: 80, keys: 4, faults: true, forward: seed%2 == 1})
		if len(h.grantedTwice) > 0 {
			t.Errorf("seed %d: granted twice: %v", seed, h.grantedTwice)
		}
		if result := porcupine.CheckOperationsTimeout(claimModel(), h.ops, 20*time.Second); result != porcupine.Ok {
			t.Errorf("seed %d: history is %v", seed, result)
		}
		t.Logf("seed %d: %v", seed, h.states)
	}
}

// Checks that no key is granted twice for random numbers of instances, clients and
// keys, with thousands of operations.
func TestAtMostOneGrant(t *testing.T) {
	params := gopter.DefaultTestParametersWithSeed(20)
	params.MinSuccessfulTests = 10
	properties := gopter.NewProperties(params)
	total := 0
	properties.Property("a key that was not released is granted once", prop.ForAll(
		func(seed uint64, instances, clients, keys int, forward bool) bool {
			h := runHistory(t, historyConfig{seed: seed, instances: instances, clients: clients, claims: 120, keys: keys, faults: true, forward: forward})
			total += len(h.ops)
			return len(h.grantedTwice) == 0
		},
		gen.UInt64(), gen.IntRange(1, 6), gen.IntRange(2, 12), gen.IntRange(1, 20), gen.Bool(),
	))
	properties.TestingRun(t)
	t.Logf("%d operations", total)
	if total < 5000 {
		t.Errorf("only %d operations", total)
	}
}
