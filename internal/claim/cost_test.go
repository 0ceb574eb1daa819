package claim

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"sort"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"

	"lynxhill.example/lynxhill/internal/store/memstore"
)

// costTable makes TestClaimCost measure the whole table of docs/design/claims.md.
var costTable = flag.Bool("cost", false, "measure the table of docs/design/claims.md")

// costConfig is a load on a StoreClaimer.
type costConfig struct {
	name      string
	instances int
	rate      float64 // total claims per second
	shards    int
	window    int
	flush     time.Duration
	owner     bool // claims are forwarded to the shard's owner
	opaque    bool // keys without a timestamp
	length    time.Duration
}

type costResult struct {
	claims    int
	failed    int
	counts    memstore.Counts
	written   int64 // bytes
	latencies []time.Duration
}

func (r costResult) quantile(q float64) time.Duration {
	if len(r.latencies) == 0 {
		return 0
	}
	return r.latencies[int(q*float64(len(r.latencies)-1))]
}

func (r costResult) perThousand(n uint64) float64 { return 1000 * float64(n) / float64(r.claims) }

func measureCost(t *testing.T, cfg costConfig) costResult {
	var result costResult
	var mu sync.Mutex // guards result
	synctest.Test(t, func(t *testing.T) {
		st := memstore.New(memstore.Options{})
		st.SetFaults(memstore.Faults{Delay: 2 * time.Millisecond, Jitter: 4 * time.Millisecond})
		var claimers []*StoreClaimer
		for i := range cfg.instances {
			claimers = append(claimers, testClaimer(st, fmt.Sprint(i), uint64(i), func(o *StoreOptions) {
				o.Shards, o.WindowBytes, o.FlushInterval = cfg.shards, cfg.window, cfg.flush
				if cfg.owner {
					o.Owners = func(shard int) string { return fmt.Sprint(shard % cfg.instances) }
					o.Forward = reliableForwarder{&claimers}
				}
			}))
		}
		rng := rand.New(rand.NewPCG(1, 1))
		var wg sync.WaitGroup
		for end := time.Now().Add(cfg.length); time.Now().Before(end); {
			time.Sleep(time.Duration(rng.ExpFloat64() / cfg.rate * float64(time.Second)))
			key := uuid.Must(uuid.NewV7()).String()
			if cfg.opaque {
				key = fmt.Sprint("order-", rng.Uint64())
			}
			req := testRequest(key, "x", 5*time.Second)
			at := rng.IntN(cfg.instances)
			wg.Go(func() {
				begin := time.Now()
				answer, err := claimers[at].Claim(context.Background(), req)
				mu.Lock()
				result.claims++
				result.latencies = append(result.latencies, time.Since(begin))
				if err != nil || answer.State != Granted {
					result.failed++
				}
				mu.Unlock()
				if err == nil && answer.State == Granted {
					time.Sleep(200 * time.Millisecond)
					answer.Claim.Complete(json.RawMessage(`{"booking":"8f14e45f-ceea-467f-a8f1-2c4a5c1e9d3b","line":17}`))
				}
			})
		}
		wg.Wait()
		time.Sleep(5 * time.Second)
		result.counts = st.Counts()
		result.written = st.BytesWritten()
	})
	sort.Slice(result.latencies, func(i, j int) bool { return result.latencies[i] < result.latencies[j] })
	return result
}

// reliableForwarder delivers messages with a latency of one millisecond each way.
type reliableForwarder struct{ claimers *[]*StoreClaimer }

func (l reliableForwarder) ForwardClaim(ctx context.Context, instance string, m Message) (Reply, error) {
	number, err := strconv.Atoi(instance)
	if err != nil {
		return Reply{}, err
	}
	time.Sleep(time.Millisecond)
	defer time.Sleep(time.Millisecond)
	return (*l.claimers)[number].Handle(ctx, m)
}

func (cfg costConfig) String() string {
	where := "any instance"
	if cfg.owner {
		where = "at the owner"
	}
	keys := "UUIDv7"
	if cfg.opaque {
		keys = "opaque"
	}
	return fmt.Sprintf("%s | %d | %.0f | %s | %s | %d | %d KiB | %v", cfg.name, cfg.instances, cfg.rate, where, keys, cfg.shards, cfg.window>>10, cfg.flush)
}

func report(t *testing.T, cfg costConfig, r costResult) {
	seconds := cfg.length.Seconds()
	t.Logf("| %v | %.0f | %.0f | %.0f | %.0f | %.0f | %.1f | %v | %v | %d |", cfg,
		r.perThousand(r.counts.Writes), r.perThousand(r.counts.Conflicts), r.perThousand(r.counts.Reads),
		float64(r.counts.Writes)/seconds, float64(r.counts.Reads)/seconds,
		float64(r.written)/seconds/1024/float64(cfg.instances),
		r.quantile(0.5).Round(time.Millisecond), r.quantile(0.99).Round(time.Millisecond), r.failed)
}

// TestClaimCost checks the number of store writes per claim with the default
// options, where the owner batches many claims into one write. With -cost it
// prints the table.
func TestClaimCost(t *testing.T) {
	small := costConfig{name: "test", instances: 16, rate: 200, shards: 8, window: DefaultWindowBytes, flush: DefaultFlushInterval, owner: true, length: 20 * time.Second}
	r := measureCost(t, small)
	report(t, small, r)
	if w := r.perThousand(r.counts.Writes); w > 300 || r.failed > 0 {
		t.Errorf("%.0f writes for 1000 claims, %d claims failed", w, r.failed)
	}
	if !*costTable {
		return
	}
	t.Log("| load | instances | claims/s | where | keys | shards | window | flush | writes/1000 | conflicts/1000 | reads/1000 | writes/s | reads/s | KiB/s written an instance | p50 | p99 | failed |")
	for _, cfg := range costConfigs() {
		report(t, cfg, measureCost(t, cfg))
	}
}

func costConfigs() []costConfig {
	base := costConfig{name: "size", instances: 370, rate: 380, shards: DefaultShards, window: DefaultWindowBytes, flush: DefaultFlushInterval, owner: true, length: 30 * time.Second}
	var out []costConfig
	add := func(change func(*costConfig)) {
		cfg := base
		change(&cfg)
		out = append(out, cfg)
	}
	for _, owner := range []bool{false, true} {
		add(func(c *costConfig) { c.owner = owner })
		add(func(c *costConfig) {
			c.name, c.instances, c.rate, c.owner, c.length = "today", 8, 5, owner, 120*time.Second
		})
	}
	for _, window := range []int{4 << 10, 16 << 10, 32 << 10, 64 << 10} {
		add(func(c *costConfig) { c.window = window })
	}
	for _, flush := range []time.Duration{50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond, 500 * time.Millisecond} {
		add(func(c *costConfig) { c.flush = flush })
	}
	for _, shards := range []int{16, 32, 128} {
		add(func(c *costConfig) { c.shards = shards })
	}
	add(func(c *costConfig) { c.opaque = true })
	return out
}
