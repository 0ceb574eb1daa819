package slo

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/coder/quartz"

	"lynxhill.example/lynxhill/internal/gossip"
	"lynxhill.example/lynxhill/internal/pipeline"
	"lynxhill.example/lynxhill/internal/wire/lynxapi"
)

// benchSample returns the sample of a request with four stages.
func benchSample(i, organisations int) Sample {
	s := Sample{
		Profile:      fmt.Sprintf("profile-%d", i%9),
		Organisation: fmt.Sprintf("organisation-%d", i*7919%organisations),
		Zone:         "lac-a",
		Attained:     i%100 != 0,
		Total:        time.Duration(200+i%900) * time.Millisecond,
		FirstToken:   time.Duration(50+i%100) * time.Millisecond,
	}
	for _, name := range []string{"embed", "retrieve", "rank", "draft"} {
		s.Stages = append(s.Stages, pipeline.StageReport{
			Stage: name, Provider: "old", Target: fmt.Sprintf("target-%d", i%600), Attempts: 1, Cost: 1, Duration: s.Total / 4,
		})
	}
	return s
}

func benchTracker(organisations, requests int) *Tracker {
	t := New(Options{Clock: quartz.NewReal(), Instance: "a", Zone: "lac-a"})
	for i := range requests {
		t.Observe(benchSample(i, organisations))
	}
	return t
}

func BenchmarkObserve(b *testing.B) {
	for _, organisations := range []int{100, 1000, 19000} {
		b.Run(fmt.Sprintf("organisations=%d", organisations), func(b *testing.B) {
			tracker := benchTracker(organisations, 20000)
			samples := make([]Sample, 19000)
			for i := range samples {
				samples[i] = benchSample(i, organisations)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				tracker.Observe(samples[i%len(samples)])
			}
		})
	}
}

// BenchmarkMemory reports the heap that a tracker uses after 40,000 requests.
func BenchmarkMemory(b *testing.B) {
	for _, organisations := range []int{5, 100, 1000, 19000} {
		b.Run(fmt.Sprintf("organisations=%d", organisations), func(b *testing.B) {
			held := 0.0
			for b.Loop() {
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				tracker := benchTracker(organisations, 40000)
				runtime.GC()
				runtime.ReadMemStats(&after)
				held = float64(after.HeapAlloc) - float64(before.HeapAlloc)
				runtime.KeepAlive(tracker)
			}
			b.ReportMetric(held/1024, "KiB")
		})
	}
}

func BenchmarkLocal(b *testing.B) {
	for _, organisations := range []int{5, 19000} {
		b.Run(fmt.Sprintf("organisations=%d", organisations), func(b *testing.B) {
			tracker := benchTracker(organisations, 40000)
			var raw []byte
			for b.Loop() {
				raw, _ = json.Marshal(tracker.Local(0))
			}
			b.ReportMetric(float64(len(raw))/1024, "KiB/report")
		})
	}
}

func BenchmarkMerge(b *testing.B) {
	for _, instances := range []int{8, 370} {
		b.Run(fmt.Sprintf("instances=%d", instances), func(b *testing.B) {
			part := benchTracker(19000, 40000).Local(0)
			parts := make([]lynxapi.BurnReport, instances)
			for i := range parts {
				parts[i] = part
			}
			for b.Loop() {
				Merge(parts)
			}
		})
	}
}

// BenchmarkDigest fills the heartbeats to 369 other instances in turn.
func BenchmarkDigest(b *testing.B) {
	tracker := benchTracker(19000, 40000)
	used := 0
	for i := 0; b.Loop(); i++ {
		var digest gossip.Digest
		used = tracker.Gossip().Fill(&digest, fmt.Sprintf("instance-%d", i%369), 1<<16)
	}
	b.ReportMetric(float64(used), "B/digest")
}

// BenchmarkFleetMemory reports the heap used for the counts of 369 other
// instances.
func BenchmarkFleetMemory(b *testing.B) {
	held := 0.0
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		tracker := New(Options{Clock: quartz.NewReal(), Instance: "a"})
		now := time.Now().Unix() / 60 * 60
		for i := range 369 {
			digest := gossip.Digest{From: fmt.Sprintf("instance-%d", i)}
			for p := range 9 {
				digest.Burn = append(digest.Burn, gossip.Burn{Profile: fmt.Sprintf("profile-%d", p), Window: now, Total: 100})
			}
			tracker.Gossip().Absorb(digest)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		held = float64(after.HeapAlloc) - float64(before.HeapAlloc)
		runtime.KeepAlive(tracker)
	}
	b.ReportMetric(held/1024, "KiB")
}
