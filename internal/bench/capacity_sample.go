package bench

import (
	"context"
	"encoding/json"
	"runtime"
	"strings"
	"syscall"
	"time"

	"lynxhill.example/lynxhill/internal/gossip"
	"lynxhill.example/lynxhill/internal/metrics"
	"lynxhill.example/lynxhill/internal/peer"
	"lynxhill.example/lynxhill/internal/sleep"
)

// CapacityPoint is what was measured at one size. Values are a second and an
// instance, unless they say otherwise.
type CapacityPoint struct {
	Instances int     `json:"instances"`
	Targets   int     `json:"targets"`
	Rate      float64 `json:"rate"` // requests a second and instance
	Requests  int     `json:"requests"`
	Failed    int     `json:"failed"`
	Seconds   float64 `json:"seconds"`

	PeerBytes     float64 `json:"peer_bytes"`
	PlatformBytes float64 `json:"platform_bytes"`
	TargetBytes   float64 `json:"target_bytes"`
	DigestBytes   float64 `json:"digest_bytes"` // encoded, without framing
	Exchanges     float64 `json:"exchanges"`    // started
	OtherCalls    float64 `json:"other_calls"`  // to peers, but exchanges
	Polls         float64 `json:"polls"`        // of targets' loads

	Claims    float64            `json:"claims"` // granted by the platform's pages
	Reads     float64            `json:"reads"`  // at the platform
	Writes    float64            `json:"writes"` // at the platform
	Calls     map[string]float64 `json:"calls"`  // at the platform by kind, of all instances together
	Throttled uint64             `json:"throttled"`

	// Cores is the processor time of the whole process less that of the idle
	// stand-ins. The stand-ins' part of answering is in it, and with load the
	// callers'.
	Cores       float64 `json:"cores"`
	MemoryMB    float64 `json:"memory_mb"` // live heap and stacks, less those of the stand-ins
	Goroutines  float64 `json:"goroutines"`
	Connections float64 `json:"connections"` // open, both ends counted

	// Digest is the mean size of a digest by what it holds, in bytes.
	Digest map[string]float64 `json:"digest,omitempty"`

	// Busiest is the control bytes of the instance with the most.
	Busiest float64 `json:"busiest"`
	// ConfirmAge is the age in seconds of the newest contact with the store
	// at the instance that had to wait longest, over the whole window: from
	// the fence's time on an instance takes no new work.
	ConfirmAge float64 `json:"confirm_age"`
	Isolated   int     `json:"isolated"` // most instances that took no new work at once
	ViewAge    float64 `json:"view_age"` // mean age of the load reports in seconds
}

// ControlBytes are all bytes that an instance without requests moves.
func (p CapacityPoint) ControlBytes() float64 { return p.PeerBytes + p.PlatformBytes + p.TargetBytes }

// baseline is what the process takes with the stand-ins alone.
type baseline struct {
	cores      float64
	memory     float64 // bytes
	goroutines int
}

// snapshot is the state of all counters at a moment.
type snapshot struct {
	at                       time.Time
	cpu                      time.Duration
	peers, platform, targets Traffic
	digestBytes              float64
	exchanges, others, polls float64
	claims                   float64
	calls                    map[string]uint64
	reads, writes            uint64
	throttled                uint64
	control                  []float64 // bytes by instance
}

func (c *meteredCluster) snapshot() snapshot {
	s := snapshot{at: time.Now(), cpu: processorTime(), calls: make(map[string]uint64)}
	for i, node := range c.Instances() {
		m := c.meters[i]
		peers := m.toPeers.snapshot().plus(m.at(node.Daemon.PeerAddr()))
		platform, targets := m.toPlatform.snapshot(), m.toTargets.snapshot()
		s.peers, s.platform, s.targets = s.peers.plus(peers), s.platform.plus(platform), s.targets.plus(targets)
		s.control = append(s.control, peers.bytes()+platform.bytes()+targets.bytes())
		s.addMetrics(node.Daemon.Metrics())
	}
	counts := c.Fleet.Platform.Counts()
	for kind, n := range counts.Calls {
		s.calls[string(kind)] = n
	}
	s.writes, s.reads, s.throttled = counts.Writes(), counts.Total()-counts.Writes(), counts.Throttled
	return s
}

func (s *snapshot) addMetrics(registry *metrics.Registry) {
	s.digestBytes += sum(registry, "peer_digest_bytes", "")
	exchanges := sum(registry, "peer_calls", "exchange")
	s.exchanges += exchanges
	s.others += sum(registry, "peer_calls", "") - exchanges
	s.polls += sum(registry, "load_polls_total", "")
	s.claims += sum(registry, "claim_granted_total", "")
}

// sum adds up the values of a metric whose labels have the prefix.
func sum(registry *metrics.Registry, name, prefix string) float64 {
	text := registry.Value(metrics.Definition{Name: name})
	var single float64
	if json.Unmarshal([]byte(text), &single) == nil {
		return single
	}
	var byLabel map[string]float64
	if json.Unmarshal([]byte(text), &byLabel) != nil {
		return 0
	}
	total := 0.0
	for label, n := range byLabel {
		if strings.HasPrefix(label, prefix) {
			total += n
		}
	}
	return total
}

// processorTime is the time that the process has spent on all processors.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// liveMemory is the heap that is in use after a collection, and the stacks.
func liveMemory() float64 {
	runtime.GC()
	runtime.GC() // what the first one left to finalizers and pools
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc + stats.StackInuse)
}

// measureBaseline measures the stand-ins alone.
func measureBaseline(ctx context.Context, window time.Duration) (baseline, error) {
	start, cpu := time.Now(), processorTime()
	if err := sleep.For(ctx, window); err != nil {
		return baseline{}, err
	}
	cores := (processorTime() - cpu).Seconds() / time.Since(start).Seconds()
	return baseline{cores: cores, memory: liveMemory(), goroutines: runtime.NumGoroutine()}, nil
}

// between makes a point of two snapshots.
func (c *meteredCluster) between(a, b snapshot, base baseline) CapacityPoint {
	n := float64(len(c.meters))
	seconds := b.at.Sub(a.at).Seconds()
	per := func(x float64) float64 { return x / seconds / n }
	p := CapacityPoint{
		Instances: len(c.meters), Targets: len(c.Fleet.Members()), Seconds: seconds,
		PeerBytes:     per(b.peers.bytes() - a.peers.bytes()),
		PlatformBytes: per(b.platform.bytes() - a.platform.bytes()),
		TargetBytes:   per(b.targets.bytes() - a.targets.bytes()),
		DigestBytes:   per(b.digestBytes - a.digestBytes),
		Exchanges:     per(b.exchanges - a.exchanges),
		OtherCalls:    per(b.others - a.others),
		Polls:         per(b.polls - a.polls),
		Claims:        per(b.claims - a.claims),
		Reads:         per(float64(b.reads - a.reads)),
		Writes:        per(float64(b.writes - a.writes)),
		Throttled:     b.throttled - a.throttled,
		Cores:         per((b.cpu - a.cpu).Seconds() - base.cores*seconds),
		Connections:   float64(b.peers.Open+b.platform.Open+b.targets.Open) / n,
		Calls:         make(map[string]float64),
	}
	for i := range b.control {
		p.Busiest = max(p.Busiest, (b.control[i]-a.control[i])/seconds)
	}
	for kind, count := range b.calls {
		p.Calls[kind] = float64(count-a.calls[kind]) / seconds
	}
	return p
}

// addMemory adds what is measured at rest, after the window: a collection
// would count as processor time in it.
func (p *CapacityPoint) addMemory(base baseline) {
	n := float64(p.Instances)
	p.MemoryMB = (liveMemory() - base.memory) / n / (1 << 20)
	p.Goroutines = float64(runtime.NumGoroutine()-base.goroutines) / n
}

// ages are what instances know late, at worst over a window.
type ages struct {
	confirm  float64
	isolated int
	view     float64 // mean, at the last look
}

// watchAges looks at the instances' ages until ctx ends.
func (c *meteredCluster) watchAges(ctx context.Context) ages {
	var worst ages
	for sleep.For(ctx, agesEvery) == nil {
		isolated, view := 0, 0.0
		for _, node := range c.Instances() {
			registry := node.Daemon.Metrics()
			worst.confirm = max(worst.confirm, sum(registry, "config_confirm_age_seconds", ""))
			isolated += int(sum(registry, "config_isolated", ""))
			view += sum(registry, "load_view_age_ms", "") / 1000 / float64(len(c.meters))
		}
		worst.isolated = max(worst.isolated, isolated)
		worst.view = view
	}
	return worst
}

// agesEvery is how often the ages are looked at: seldom, as it costs
// processor time.
const agesEvery = 500 * time.Millisecond

// anatomy asks every instance for a digest, as another one would, and returns
// the mean bytes by what is in it.
func (c *meteredCluster) anatomy(ctx context.Context) map[string]float64 {
	ctx, cancel := context.WithTimeout(ctx, anatomyTimeout)
	defer cancel()
	nodes := c.Instances()
	asker := peer.NewClient(peer.Options{Self: "bench"})
	defer asker.Close()
	total := make(map[string]float64)
	for i, node := range nodes {
		from := nodes[(i+1)%len(nodes)].ID
		reply, err := asker.Exchange(ctx, node.Daemon.PeerAddr(), gossip.Digest{From: from})
		if err != nil {
			continue
		}
		for name, part := range digestParts(reply) {
			total[name] += float64(peer.Size(part)) / float64(len(nodes))
		}
	}
	return total
}

// anatomyTimeout bounds the questions for digests.
const anatomyTimeout = 5 * time.Second

// digestParts takes a digest apart.
func digestParts(d gossip.Digest) map[string]gossip.Digest {
	return map[string]gossip.Digest{
		"members":  {Members: d.Members},
		"sums":     {Sums: d.Sums},
		"profiles": {Profiles: d.Profiles, Config: d.Config},
		"loads":    {Loads: d.Loads},
		"usage":    {Usage: d.Usage},
		"refusals": {Refusals: d.Refusals},
		"burn":     {Burn: d.Burn},
		"total":    d,
	}
}
