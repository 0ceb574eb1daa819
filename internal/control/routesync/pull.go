package routesync

import (
	"context"
	"errors"
	"maps"
	"time"

	"lynxhill.example/lynxhill/internal/control/loop"
	"lynxhill.example/lynxhill/internal/event"
	"lynxhill.example/lynxhill/internal/store"
)

const (
	// pullTimeout bounds the call for one page.
	pullTimeout = time.Second
	// maxPullTime is the time after which a pull ends between two pages. The next one
	// continues, perhaps with a faster source.
	maxPullTime = 4 * time.Second
)

// pullSource is a peer whose digest lists a newer version than this instance has.
type pullSource struct {
	instance string
	version  uint64
}

// runPulls pulls one prefix, from one peer at a time, until ctx ends.
func (m *Manager) runPulls(ctx context.Context, prefix string, sources <-chan pullSource) {
	for {
		select {
		case <-ctx.Done():
			return
		case s := <-sources:
			m.pull(ctx, prefix, s)
		}
	}
}

// pullStart is where a pull begins.
type pullStart struct {
	after  uint64          // version above which objects are pulled
	whole  bool            // the peer is asked for everything
	listed map[string]bool // what it has listed in an earlier pull that ended before the last page
}

// pull fetches the peer's objects that are newer than those of this instance and
// merges them. If a pull ends after some pages, these are merged too, and the next one
// continues from there, also with another peer. Only the last page guarantees
// completeness.
func (m *Manager) pull(ctx context.Context, prefix string, s pullSource) {
	if !m.needsPull(prefix, s.version) && !m.needsWhole(prefix) {
		return
	}
	from := m.pullFrom(prefix, s.instance)
	pulled, err := m.pullPages(ctx, prefix, s.instance, from.after)
	m.countPull(prefix, pulled, err)
	if err != nil && !errors.Is(err, store.ErrThrottled) {
		m.o.Logger.Log(event.RoutePullFailed, "prefix", prefix, "instance", s.instance, "pages", pulled.pages, "err", err)
	}
	if prefix == TargetsPrefix {
		m.notePulled(s, from, pulled)
	}
	if len(pulled.objects) > 0 || pulled.complete {
		m.adopt(prefix, m.pulledAnswer(prefix, s, from, pulled))
	}
}

// pullFrom returns where the next pull of the prefix begins. All orders to evacuate zones
// are few enough to be pulled each time, and what a peer does not list has ended.
func (m *Manager) pullFrom(prefix, instance string) pullStart {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.o.Boot.SinceBoot()
	switch {
	case prefix == RoutesPrefix:
		return pullStart{after: m.routes.digestVersion()}
	case prefix == EvacuationsPrefix:
		return pullStart{whole: true}
	case prefix == lostEvacuationsPrefix:
		return pullStart{after: m.evacuations.newestLost(m.era.number)}
	default:
		return m.pulledTargets.next(instance, m.targets.completeVersion(), m.targets.unverified.due(now), now)
	}
}

// pulledAnswer returns what a pull has received in the form in which it is adopted.
//
// A peer that may lack tombstones ends its reply without a version. An instance that knows
// the targets then takes over what has changed and remains behind: another peer, the store
// or a later pull of everything tells which targets have been deleted. One that does not
// know them yet serves with what it has, and pulls everything later.
func (m *Manager) pulledAnswer(prefix string, s pullSource, from pullStart, p pulled) answer {
	a := answer{objects: p.objects, peer: s.instance, version: p.mark}
	if !p.complete {
		a.version = 0
	}
	switch prefix {
	case RoutesPrefix:
		a.digestVersion = s.version
	case EvacuationsPrefix:
		a.complete = p.complete
	case TargetsPrefix:
		a.complete, a.listed = from.whole && p.ended, from.listed
		a.unverified = p.ended && !p.complete && !a.complete
		if a.complete || a.unverified && !m.knows(TargetsPrefix) {
			a.version = max(a.version, s.version)
		}
	}
	return a
}

// unverified records that deletions may be missing in what was pulled from peers.
type unverified struct {
	since    time.Duration // boot time; 0 = nothing is missing
	accepted bool          // what was pulled counts as known, so that only a list of everything helps
}

// verifyAfter is the time after which everything is pulled to verify the targets. By then
// the transfers at the start of a fleet are over, and entries that lapsed during an outage
// are back: the list of a peer that has just started lacks them.
const verifyAfter = 10 * time.Second

// due reports whether everything has to be pulled.
func (u unverified) due(now time.Duration) bool { return u.since != 0 && now-u.since >= verifyAfter }

// after returns u after an answer about targets was merged. known reports whether the
// targets were known before.
func (u unverified) after(a answer, known bool, now time.Duration) unverified {
	switch {
	case a.complete:
		return unverified{}
	case a.unverified && u.since == 0:
		return unverified{since: max(now, 1), accepted: !known}
	case a.version > 0 && !a.unverified && !u.accepted:
		return unverified{}
	}
	return u
}

// needsWhole reports whether everything of the prefix has to be pulled again.
func (m *Manager) needsWhole(prefix string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return prefix == TargetsPrefix && m.targets.unverified.due(m.o.Boot.SinceBoot())
}

// notePulled records how far a pull of targets came. The source may not have applied all
// deletions up to the versions of its objects, only up to the version in its digest.
func (m *Manager) notePulled(s pullSource, from pullStart, p pulled) {
	m.mu.Lock()
	defer m.mu.Unlock()
	mark := min(p.mark, s.version)
	switch {
	case p.ended:
		m.pulledTargets = pullCursor{}
	case mark > 0 && from.whole:
		listed := maps.Clone(from.listed)
		if listed == nil {
			listed = make(map[string]bool, len(p.objects))
		}
		for _, object := range p.objects {
			listed[object.Key] = !object.Deleted
		}
		m.pulledTargets = pullCursor{version: mark, at: m.o.Boot.SinceBoot(), source: s.instance, listed: listed}
	case mark > 0:
		m.pulledTargets = pullCursor{version: max(mark, m.pulledTargets.version), at: m.o.Boot.SinceBoot()}
	}
}

// errNoProgress reports that a peer announced a further page whose version did not
// rise.
var errNoProgress = errors.New("routesync: the peer sends the same page again")

// pulled is the result of a pull.
type pulled struct {
	objects  []store.Object
	pages    int
	mark     uint64 // version of the last page, 0 = none was received
	ended    bool   // the last page was received
	complete bool   // the last page was the last of a peer that holds everything up to mark
}

// pullPages pulls pages until the peer has no more or maxPullTime has passed. After an
// error it returns what was received before.
func (m *Manager) pullPages(ctx context.Context, prefix, instance string, after uint64) (p pulled, err error) {
	began := m.o.Boot.SinceBoot()
	for m.o.Boot.SinceBoot()-began < maxPullTime {
		page, version, more, err := m.pullPage(ctx, instance, prefix, after)
		if err != nil {
			return p, err
		}
		p.objects = append(p.objects, page...)
		p.pages++
		switch {
		case !more:
			p.mark, p.complete = version, version > 0
			p.ended = p.complete || len(page) > 0
			return p, nil
		case version <= after:
			return p, errNoProgress
		}
		p.mark, after = version, version
	}
	return p, nil
}

func (m *Manager) pullPage(ctx context.Context, instance, prefix string, after uint64) ([]store.Object, uint64, bool, error) {
	ctx, cancel := loop.WithTimeout(ctx, m.o.Clock, pullTimeout)
	defer cancel()
	return m.o.Puller.Pull(ctx, instance, prefix, after)
}
