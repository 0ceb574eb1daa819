package edge

import (
	"context"
	"net/http"
	runtime "runtime/metrics"
	"time"

	"lynxhill.example/lynxhill/internal/clock"
	"lynxhill.example/lynxhill/internal/fleet"
	"lynxhill.example/lynxhill/internal/ingress/telemetry"
	"lynxhill.example/lynxhill/internal/metrics"
	"lynxhill.example/lynxhill/internal/relay"
	"lynxhill.example/lynxhill/internal/stagework"
	"lynxhill.example/lynxhill/internal/wire/overloadapi"
)

// MetricsPath is the HTTP path of the metrics page.
const MetricsPath = "/metrics"

// metricsTime is the timeout of a request for metrics.
const metricsTime = 5 * time.Second

var (
	metricCalls   = metrics.Define("edge_stage_call_ms_total", "calls", "Calls of stage targets, by result (ok, full, failed) and time: at most le ms, all; sum_ms is the sum of the times.")
	metricWork    = metrics.Define("edge_stage_work_total", "jobs, calls and pieces", "What this instance scheduled, by what it was and how it ended.")
	metricTargets = metrics.Define("edge_target_connections_total", "connections", "Connections to targets: dialed, reused, stale (a kept one was dropped), mismatched (an answer to another attempt was read over), passed_over (a kept one was not used for a request since it had carried its ID), repeated (a request went over a connection that had carried its ID before), unidentified (an answer without an ID on a kept connection).")
	metricAge     = metrics.Define("edge_configuration_age_seconds", "seconds", "Age of the newest word of the store that the configuration is what is in force here; -1 = there was none.")
	metricEra     = metrics.Define("edge_store_era", "era", "How often the platform's store came back from an older copy, as it says itself.")
	metricLost    = metrics.Define("edge_store_lost_instances", "instances", "Live instances that have lost the store, this one included, as known here.")
	metricVersion = metrics.Define("edge_routes_version", "version", "Version of the routes in force; 0 = none.")
	metricRepeats = metrics.Define("edge_repeats_total", "repeats", "Repeats of requests that the budget allowed and refused.")
	metricSharers = metrics.Define("edge_repeat_sharers", "instances", "Instances by which this one divides the extra repeats; 0 = none yet.")
	metricHeap    = metrics.Define("edge_memory_bytes", "bytes", "Memory that the runtime has from the system.")
)

// publish registers the instance's metrics. Their values are computed only when they
// are read.
func (i *Instance) publish() {
	i.metrics.Func(metricCalls, func() any { return i.stages.values() })
	i.metrics.Func(metricWork, func() any { return workValues(i.dispatcher.Counts()) })
	i.publishOverload()
	i.metrics.Func(metricTargets, func() any {
		s := i.pool.Stats()
		return map[string]uint64{"dialed": s.Dialed, "reused": s.Reused, "stale": s.Stale, "mismatched": s.Mismatched, "passed_over": s.PassedOver, "repeated": s.Repeated, "unidentified": s.Unidentified}
	})
	i.metrics.Func(metricAge, func() any {
		if !i.routes.Synced() {
			return -1
		}
		return i.routes.ConfirmedAge().Seconds()
	})
	i.metrics.Func(metricEra, func() any { return i.routes.Era() })
	i.metrics.Func(metricLost, func() any { return len(i.storeLostInstances()) })
	i.metrics.Func(metricVersion, func() any {
		if table := i.routes.Table(); table != nil {
			return table.Version
		}
		return 0
	})
	i.metrics.Func(metricRepeats, func() any {
		s := i.budget.Stats()
		return map[string]int64{"allowed": s.Allowed, "refused": s.Refused}
	})
	i.metrics.Func(metricSharers, func() any { return i.budget.Stats().Instances })
	i.metrics.Func(metricHeap, func() any {
		samples := []runtime.Sample{{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}}
		runtime.Read(samples)
		return samples[0].Value.Uint64() - samples[1].Value.Uint64()
	})
}

func workValues(c stagework.Counts) map[string]int {
	return map[string]int{
		"jobs": c.Jobs, "placed": c.Placed, "refused": c.Refused, "calls": c.Calls, "pieces": c.Pieces,
		"room": c.OutOfMemory, "gone": c.InputsLost, "late": c.Late, "errors": c.Errors, "full": c.NoSlot, "hung": c.TimedOut, "redo": c.Remade,
	}
}

// metricsServer returns the server of the metrics listener.
func (i *Instance) metricsServer() *http.Server {
	mux := http.NewServeMux()
	mux.Handle(MetricsPath, telemetry.Handler(i.metrics))
	mux.HandleFunc("GET "+overloadapi.Path, i.serveOverload)
	return &http.Server{Handler: mux, ReadHeaderTimeout: metricsTime, WriteTimeout: metricsTime, IdleTimeout: metricsTime}
}

// timedStages records the durations of calls of stage targets by result.
type timedStages struct {
	relay.StageClient
	clock            clock.Clock
	ok, full, failed telemetry.Histogram
}

// Run implements relay.StageClient.
func (s *timedStages) Run(ctx context.Context, t fleet.Target, pieces []relay.Piece) ([]relay.PieceResult, bool, error) {
	began := s.clock.Now()
	results, full, err := s.StageClient.Run(ctx, t, pieces)
	took := s.clock.Now().Sub(began)
	switch {
	case full:
		s.full.Add(took)
	case err != nil:
		s.failed.Add(took)
	default:
		s.ok.Add(took)
	}
	return results, full, err
}

func (s *timedStages) values() map[string]int64 {
	values := make(map[string]int64)
	s.ok.SetValues(values, "ok")
	s.full.SetValues(values, "full")
	s.failed.SetValues(values, "failed")
	return values
}
