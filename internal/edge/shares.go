package edge

import (
	"strconv"

	"lynxhill.example/lynxhill/internal/metrics"
	"lynxhill.example/lynxhill/internal/stagework"
)

var (
	metricShareRules  = metrics.Define("edge_stage_rules_total", "jobs", "With shares in force, jobs that became late, and late jobs that were refused, by rule (no_capacity, priority, organisation, size).")
	metricResults     = metrics.Define("edge_stage_results_total", "results", "Results of stage targets: made, used, moved to another dispatcher, and thrown away by reason (refused, caller_left, expired, target_gone, lost).")
	metricResultTimes = metrics.Define("edge_stage_results_ms_total", "ms", "Target time spent on the results of stage targets, by the same.")
	metricShareUse    = metrics.Define("edge_stage_share_ms", "ms", "With shares in force, recent target time (with a time constant of 3 s) of the organisations with the most work, by service, priority, organisation, and whether it was on time or late; their equal share.")
	metricShareRoutes = metrics.Define("edge_stage_route_percent", "percent", "With shares in force, recent jobs that are on time, by service and route: of all sizes, of the largest tenth, of the fifth below it.")
)

// publishShares registers the metrics of the shares.
func (i *Instance) publishShares() {
	i.metrics.Func(metricShareRules, func() any {
		c := i.dispatcher.ShareCounts()
		values := make(map[string]int)
		for rule, n := range c.Late {
			values["late,"+rule] = n
		}
		for rule, n := range c.Refused {
			values["refused,"+rule] = n
		}
		return values
	})
	i.metrics.Func(metricResults, func() any { return i.dispatcher.ResultCounts().Number })
	i.metrics.Func(metricResultTimes, func() any { return i.dispatcher.ResultCounts().Milliseconds })
	i.metrics.Func(metricShareUse, func() any { return shareUse(i.dispatcher.Snapshot()) })
	i.metrics.Func(metricShareRoutes, func() any { return routeShares(i.dispatcher.Snapshot()) })
}

func shareUse(services []stagework.ServiceSnapshot) map[string]int64 {
	values := make(map[string]int64)
	for _, s := range services {
		for _, o := range s.Organisations {
			name := s.Service + "," + strconv.Itoa(o.Priority) + "," + o.Organisation + ","
			values[name+"on_time"] += o.OnTime.Milliseconds()
			values[name+"late"] += o.Late.Milliseconds()
			values[name+"share"] += o.Share.Milliseconds()
		}
	}
	return values
}

func routeShares(services []stagework.ServiceSnapshot) map[string]int64 {
	values := make(map[string]int64)
	for _, s := range services {
		for _, r := range s.Routes {
			name := s.Service + "," + r.Route + ","
			values[name+"all"] = int64(100 * r.OnTime)
			values[name+"largest"] = int64(100 * r.LargestOnTime)
			values[name+"large"] = int64(100 * r.LargeOnTime)
		}
	}
	return values
}
