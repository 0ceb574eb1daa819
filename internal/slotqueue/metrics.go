package slotqueue

import (
	"expvar"
	"time"

	"lynxhill.example/lynxhill/internal/metrics"
)

var (
	metricGrants   = metrics.Define("slotqueue_grants_total", "requests", "Plain requests to which this instance, as the coordinator of their service, granted a slot, by whether they waited for it.")
	metricWaits    = metrics.Define("slotqueue_waits_total", "requests", "Plain requests that had to wait for a slot of a service that this instance coordinates.")
	metricWaitMS   = metrics.Define("slotqueue_wait_ms_total", "ms", "Time that plain requests waited for the slots that this instance granted.")
	metricRefused  = metrics.Define("slotqueue_refusals_total", "requests", "Plain requests that got no slot from this instance, by rule.")
	metricAdopted  = metrics.Define("slotqueue_adopted_total", "slots", "Slots that instances stated to use without a grant of this instance: another coordinator granted them, or the instance chose the target.")
	metricExpired  = metrics.Define("slotqueue_expired_total", "slots", "Slots that were freed without word of their owner, because it was lost or did not release them.")
	metricBackoffs = metrics.Define("slotqueue_backoffs_total", "targets", "Targets that got no requests for a time because they did not respond, failed or refused requests.")
	metricSessions = metrics.Define("slotqueue_sessions", "instances", "Instances that have this instance decide about slots.")
)

// counters are the metrics of a coordinator. Its methods are safe for concurrent use.
type counters struct {
	grants, refused                                     *expvar.Map
	waits, waitMS, adopted, expired, backoffs, sessions *expvar.Int
}

func newCounters(r *metrics.Registry) counters {
	return counters{
		grants: r.Labelled(metricGrants), refused: r.Labelled(metricRefused),
		waits: r.Counter(metricWaits), waitMS: r.Counter(metricWaitMS), adopted: r.Counter(metricAdopted),
		expired: r.Counter(metricExpired), backoffs: r.Counter(metricBackoffs), sessions: r.Counter(metricSessions),
	}
}

// granted counts a grant to a request that arrived at the given time.
func (c counters) granted(arrived, now time.Time) {
	if !now.After(arrived) {
		c.grants.Add("at once", 1)
		return
	}
	c.grants.Add("waited", 1)
	c.waitMS.Add(now.Sub(arrived).Milliseconds())
}
