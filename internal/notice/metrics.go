package notice

import "lynxhill.example/lynxhill/internal/metrics"

var (
	metricNotices     = metrics.Define("notice_changes_total", "changes", "Changes of what targets ask in their answers, by what it is: leaving, limit, limit_ended, pause.")
	metricSentLimited = metrics.Define("notice_sent_to_limited_total", "requests", "Requests and calls that this instance sent to targets while they named a limit.")
)
