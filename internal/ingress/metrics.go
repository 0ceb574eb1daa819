package ingress

import (
	"time"

	"lynxhill.example/lynxhill/internal/errkind"
	"lynxhill.example/lynxhill/internal/ingress/telemetry"
	"lynxhill.example/lynxhill/internal/metrics"
	"lynxhill.example/lynxhill/internal/route"
)

var (
	metricTimes       = metrics.Define("ingress_request_ms_total", "requests", "Plain requests that were handed on, by kind of route and the time to the end of their answer: at most le ms, all; sum_ms is the sum of the times.")
	metricRefused     = metrics.Define("ingress_refused_total", "requests", "Plain requests refused before they were handed on, by error kind.")
	metricInFlight    = metrics.Define("ingress_in_flight", "requests", "Plain requests that have no answer yet.")
	metricHeld        = metrics.Define("ingress_held_bytes", "bytes", "What plain requests in flight count for; see ingress.memory_mb.")
	metricConnections = metrics.Define("ingress_connections", "connections", "Connections of callers, by listener; see ingress.descriptors.")
)

// kinds are the kinds of routes.
var kinds = [...]route.Kind{route.NonIdempotent, route.Idempotent, route.Streaming}

// publish registers the metrics of the ingress. Their values are computed when they
// are read.
func (g *Ingress) publish() {
	r := g.o.Metrics
	g.refusals = r.Labelled(metricRefused)
	r.Func(metricInFlight, func() any { return g.InFlight() })
	r.Func(metricHeld, func() any { return g.held.Held() })
	r.Func(metricConnections, func() any {
		counts := make(map[string]int)
		for _, l := range g.limiters() {
			counts[l.Name()] = l.Count()
		}
		return counts
	})
	r.Func(metricTimes, func() any {
		values := make(map[string]int64)
		for _, kind := range kinds {
			g.times[kind].SetValues(values, kind.String())
		}
		return values
	})
}

// countTime records the time of a request that was passed to the forwarder.
func (g *Ingress) countTime(kind route.Kind, arrived time.Time) {
	g.times[kind].Add(g.o.Clock.Now().Sub(arrived))
}

func (g *Ingress) countRefused(err error) { g.refusals.Add(errkind.Of(err).String(), 1) }

// histograms are the request times by kind of route.
type histograms [len(kinds)]telemetry.Histogram
