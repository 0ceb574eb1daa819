package crashguard

import "lynxhill.example/lynxhill/internal/metrics"

var (
	metricCrashes         = metrics.Define("crashguard_deaths_total", "targets", "Targets that died while they ran a request, as seen by this instance.")
	metricRefusedRequests = metrics.Define("crashguard_fingerprints_refused_total", "requests", "Request fingerprints that came to the limit of dead targets at this instance.")
	metricDropped         = metrics.Define("crashguard_rows_dropped_total", "rows", "Deaths not counted because the table of suspected requests was full.")
)
