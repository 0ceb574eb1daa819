package target

import (
	"lynxhill.example/lynxhill/internal/event"
	"lynxhill.example/lynxhill/internal/metrics"
	"lynxhill.example/lynxhill/internal/stagecall"
)

var (
	metricCalls          = metrics.Define("target_calls_total", "calls", "Stage calls to targets by result: ok, or the class of the failure.")
	metricForeign        = metrics.Define("target_foreign_frames_total", "frames", "Frames and replies with the ids of another attempt; each was dropped and its connection retired.")
	metricSilent         = metrics.Define("target_silent_connections_total", "connections", "Connections found silent by comparison with a new one; the calls on them were ended at once.")
	metricCancelsDropped = metrics.Define("target_cancels_dropped_total", "calls", "Cancel calls left out because too many were under way.")
)

const eventForeign = event.TargetForeignFrame

// count counts a stage call by its result.
func (c *Client) count(err error) {
	label := "ok"
	if err != nil {
		label = stagecall.FailureOf(err).Class.String()
	}
	c.opts.Metrics.Labelled(metricCalls).Add(label, 1)
}
