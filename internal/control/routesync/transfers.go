package routesync

import (
	"errors"
	"strings"
	"time"

	"lynxhill.example/lynxhill/internal/metrics"
	"lynxhill.example/lynxhill/internal/store"
)

var (
	metricServed = metrics.Define("route_pages_served_total", "pages", "Pages of routes, targets and orders that other instances pulled, by result: last (the page completes a pull), more, refused (as many transfers were served as may be).")
	metricPulls  = metrics.Define("route_pulls_total", "pulls", "Pulls of routes, targets and orders from other instances, by kind and result: complete, partial (to be continued, perhaps with another instance), refused, failed.")
)

// Instances that start together pull all targets from the few that know them. A source that
// served all of them at once would serve none in time. Each therefore serves a few at a
// time and refuses the others, which find another source in their next digests: each
// instance that has received the targets is one, so that the sources multiply.

const (
	// defaultTransfers is the default of Options.MaxTransfers.
	defaultTransfers = 4
	// transferIdle is the time without a request for a page after which a transfer no
	// longer counts.
	transferIdle = time.Second
)

// transfers are the transfers of several pages that peers pull from this instance. It is
// guarded by Manager.mu.
type transfers struct {
	limit  int
	active map[string]time.Duration // by instance: boot time of its last page
}

// admit reports whether the instance may pull a page that is not the last one.
func (t *transfers) admit(instance string, now time.Duration) bool {
	for id, at := range t.active {
		if now-at > transferIdle {
			delete(t.active, id)
		}
	}
	if _, known := t.active[instance]; !known && len(t.active) >= t.limit {
		return false
	}
	t.active[instance] = now
	return true
}

// Serve answers the pull of another instance, as Since does. The error is
// store.ErrThrottled if this instance serves as many transfers as it may.
func (m *Manager) Serve(instance, prefix string, after uint64) (objects []store.Object, version uint64, more bool, err error) {
	objects, version, more = m.Since(prefix, after)
	served := m.o.Metrics.Labelled(metricServed)
	if !m.admitPage(instance, more) {
		served.Add("refused", 1)
		return nil, 0, false, store.ErrThrottled
	}
	if more {
		served.Add("more", 1)
	} else {
		served.Add("last", 1)
	}
	return objects, version, more, nil
}

// admitPage reports whether the instance may have a page, which is the last one or not.
func (m *Manager) admitPage(instance string, more bool) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !more {
		delete(m.transfers.active, instance)
		return true
	}
	return m.transfers.admit(instance, m.o.Boot.SinceBoot())
}

// countPull counts a pull by its result.
func (m *Manager) countPull(prefix string, p pulled, err error) {
	result := "partial"
	switch {
	case p.complete:
		result = "complete"
	case errors.Is(err, store.ErrThrottled) && p.pages == 0:
		result = "refused"
	case err != nil && p.pages == 0:
		result = "failed"
	}
	m.o.Metrics.Labelled(metricPulls).Add(strings.TrimSuffix(prefix, "/")+"_"+result, 1)
}

// pullCursor is how far an incomplete pull came.
type pullCursor struct {
	version uint64          // everything up to it was received
	at      time.Duration   // boot time at which the pull ended
	source  string          // the only instance from which it was received; "" = there were several
	listed  map[string]bool // keys that the only source has sent, and whether it lists them
}

// cursorExpiry is the time after which an incomplete pull begins anew: tombstones of
// targets that were deleted since must not have expired at the next source.
const cursorExpiry = tombstoneTTL / 2

// next returns where a pull from the instance begins. merged is the version up to which all
// changes are known, verify tells that everything has to come from one source.
func (c pullCursor) next(instance string, merged uint64, verify bool, now time.Duration) pullStart {
	if now-c.at > cursorExpiry {
		c = pullCursor{}
	}
	switch {
	case c.source == instance && c.version > 0:
		return pullStart{after: c.version, whole: true, listed: c.listed}
	case verify:
		return pullStart{whole: true}
	default:
		after := max(merged, c.version)
		return pullStart{after: after, whole: after == 0}
	}
}
