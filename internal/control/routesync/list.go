package routesync

import (
	"context"
	"time"

	"lynxhill.example/lynxhill/internal/control/loop"
	"lynxhill.example/lynxhill/internal/store"
)

// A list of thousands of targets has many pages, and hundreds of instances that start
// together and each read all of them fill the store's link for longer than a list may take.
// A list therefore continues after the last page that was read, also after a failure, and
// after its first page most instances wait for the targets from their peers
// (Options.ListsWhole).

// maxListAge is the age of a partial list from which it begins anew: the store soon has no
// history from its first page on.
const maxListAge = 15 * time.Second

// partialList holds the pages of a list that were read so far.
type partialList struct {
	objects []store.Object
	version uint64        // of the first page
	next    string        // key after which the next page begins; "" = no page was read
	started time.Duration // boot time at which the first page was requested
	again   bool          // everything was known before, but changes were missed
}

// resumeFrom makes the loop watch from the version.
func (f *watchLoop) resumeFrom(version uint64) {
	f.after, f.listed, f.partial = version, true, partialList{}
}

// list reads the remaining pages of the list and adopts it.
func (m *Manager) list(ctx context.Context, f *watchLoop) error {
	for {
		if m.supersededByPeers(f) {
			f.resumeFrom(m.resumeVersion(f.prefix))
			return nil
		}
		now := m.o.Boot.SinceBoot()
		if f.partial.next == "" || now-f.partial.started > maxListAge {
			f.partial = partialList{started: now, again: m.knows(f.prefix)}
		} else if !f.partial.again && !m.o.ListsWhole() {
			return errWaiting
		}
		last, err := m.listPage(ctx, f)
		if err != nil {
			return err
		}
		if last {
			break
		}
	}
	complete := f.partial
	m.storeAnswered(f.prefix, complete.started)
	m.adopt(f.prefix, answer{objects: complete.objects, version: complete.version, complete: true})
	f.resumeFrom(complete.version)
	f.answered, f.confirm = true, false
	return nil
}

// supersededByPeers reports whether the first list, which is in progress, is known from
// peers by now. A later list is read to its end: it was asked for since the changes after
// what is known are gone.
func (m *Manager) supersededByPeers(f *watchLoop) bool {
	return f.partial.next != "" && !f.partial.again && m.knows(f.prefix)
}

// knows reports whether a list of the prefix was merged, from the store or a peer.
func (m *Manager) knows(prefix string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch prefix {
	case RoutesPrefix:
		return m.routes.known()
	case EvacuationsPrefix:
		return m.evacuations.known
	default:
		return m.targets.known
	}
}

// listPage reads the next page of the list and reports whether it is the last one.
func (m *Manager) listPage(ctx context.Context, f *watchLoop) (last bool, err error) {
	ctx, cancel := loop.WithTimeout(ctx, m.o.Clock, callTimeout)
	defer cancel()
	p := &f.partial
	page, err := m.o.Store.ListPage(ctx, f.prefix, p.next)
	if err != nil {
		return false, err
	}
	if p.next == "" {
		p.version = page.Version
	} else if store.EraOf(page.Version) != store.EraOf(p.version) {
		*p = partialList{}
		return false, store.ErrUnavailable // restored from a backup between two pages
	}
	p.objects, p.next = append(p.objects, page.Objects...), page.Next
	return page.Next == "", nil
}
