package streamorigin

import "lynxhill.example/lynxhill/internal/metrics"

var (
	metricKept    = metrics.Define("stream_origins_kept", "records", "Origins of streams that this instance holds, its own and those of other instances.")
	metricBegun   = metrics.Define("stream_origins_begun_total", "streams", "Resumable streams whose first event this instance forwarded.")
	metricSent    = metrics.Define("stream_origins_sent_total", "records", "Origins sent to other instances, by result: ok, failed, dropped.")
	metricFound   = metrics.Define("stream_origins_found_total", "streams", "Streams that callers took up, by what was found: own, asked, only_origin, unknown, unconfirmed.")
	metricDropped = metrics.Define("stream_origins_dropped_total", "records", "Origins dropped before they expired, because this instance held as many as it may.")
)
