package pipeline

import "lynxhill.example/lynxhill/internal/metrics"

var (
	metricRequests      = metrics.Define("pipeline_requests_total", "requests", "Requests run by this instance by their end: ok, or the kind of error.")
	metricFailures      = metrics.Define("pipeline_attempt_failures_total", "attempts", "Attempts that failed, by class.")
	metricRetries       = metrics.Define("pipeline_repeats_total", "attempts", "Retries and resumes.")
	metricMigrations    = metrics.Define("pipeline_moves_total", "attempts", "Streams far behind the usual pace that were begun anew at another target from where they were.")
	metricHedges        = metrics.Define("pipeline_hedges_total", "attempts", "Hedges asked for.")
	metricEarlyRefusals = metrics.Define("pipeline_early_refusals_total", "requests", "Requests refused because their stages would not have finished in time.")
	metricRepeated      = metrics.Define("pipeline_repeated_answers_total", "requests", "Requests answered with the recorded answer of another instance.")
)
