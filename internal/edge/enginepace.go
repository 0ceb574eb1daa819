package edge

import "lynxhill.example/lynxhill/internal/metrics"

var metricEnginePace = metrics.Define("edge_engine_pace_percent", "percent", "Last paces of the engines that this instance schedules for, 100 = as usual: stating is the number of engines that have stated one, mean and slowest are over these.")

// publishEnginePace registers the metric of the paces that engines state.
func (i *Instance) publishEnginePace() {
	i.metrics.Func(metricEnginePace, func() any {
		const percent = 100
		p := i.dispatcher.EnginePaces()
		return map[string]int{"stating": p.Stating, "mean": int(p.Mean * percent), "slowest": int(p.Slowest * percent)}
	})
}
