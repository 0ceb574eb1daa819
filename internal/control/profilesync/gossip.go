package profilesync

import (
	"context"
	"sync"
	"time"

	"lynxhill.example/lynxhill/internal/control/loop"
	"lynxhill.example/lynxhill/internal/event"
	"lynxhill.example/lynxhill/internal/gossip"
	"lynxhill.example/lynxhill/internal/profile"
)

// Estimated sizes of a digest's rows, in bytes.
const (
	configBytes = 12
	heardBytes  = 7
	markBytes   = 12
)

// Fill implements gossip.Participant.
func (m *Manager) Fill(d *gossip.Digest, _ string, budget int) int {
	m.evaluateFence(false)
	d.Config = m.fence.state(m.o.Boot.SinceBoot())
	used := configBytes
	for _, prefix := range Prefixes {
		if mark := m.objects.markOf(prefix); mark > 0 {
			d.Profiles = append(d.Profiles, gossip.ProfileVersion{Name: prefix, Version: mark})
			used += markBytes + len(prefix)
		}
	}
	// The rows come from a map in random order, so that over several digests
	// all of them are sent.
	room := max(0, (budget-used)/heardBytes)
	if len(d.Config.Heard) > room {
		d.Config.Heard = d.Config.Heard[:room]
	}
	return used + heardBytes*len(d.Config.Heard)
}

// Absorb implements gossip.Participant.
func (m *Manager) Absorb(d gossip.Digest) {
	if !m.fence.knowsOthers() {
		// The periodic check may be up to fenceInterval away. Until then this
		// instance would count as alone and confirm itself after a pause.
		m.fence.updateMembers(m.o.Board.Members.Snapshot(), m.o.Boot.SinceBoot())
	}
	m.evaluateFence(false)
	started := m.o.Boot.SinceBoot() - d.Transit
	held := true
	for _, theirs := range d.Profiles {
		if theirs.Version > m.objects.markOf(theirs.Name) && isPrefix(theirs.Name) {
			held = held && theirs.Name != profile.KeyPrefix
			m.pulls.addSource(theirs.Name, d.From, theirs.Version)
		}
	}
	if d.Transit <= 0 {
		return // a request may be arbitrarily old; only replies are evidence
	}
	e := evidence{from: d.From, config: d.Config, started: started}
	if held {
		m.fence.recordPeerEvidence(e)
		return
	}
	m.pulls.addPending(e, markIn(d, profile.KeyPrefix))
}

func isPrefix(name string) bool {
	for _, prefix := range Prefixes {
		if name == prefix {
			return true
		}
	}
	return false
}

func markIn(d gossip.Digest, prefix string) uint64 {
	for _, v := range d.Profiles {
		if v.Name == prefix {
			return v.Version
		}
	}
	return 0
}

// source is a peer whose mark is higher than that of this instance.
type source struct {
	instance string
	mark     uint64
}

// pendingEvidence is evidence that counts once this instance holds what its
// sender held.
type pendingEvidence struct {
	evidence evidence
	mark     uint64
}

// pullQueue lists the prefixes to pull and the peers to pull them from, and the
// evidence that waits for a pull.
type pullQueue struct {
	mu      sync.Mutex          // guards sources and pending
	sources map[string][]source // by prefix
	pending []pendingEvidence
	wake    chan struct{}
}

func newPullQueue() *pullQueue {
	return &pullQueue{sources: make(map[string][]source), wake: make(chan struct{}, 1)}
}

// maxSources (for each prefix) and maxPending bound the entries kept; the oldest
// ones are dropped. Later heartbeats bring further ones.
const (
	maxSources = 4
	maxPending = 16
)

func (b *pullQueue) addSource(prefix, instance string, mark uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := append(b.sources[prefix], source{instance, mark})
	b.sources[prefix] = list[max(0, len(list)-maxSources):]
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// takeSource removes and returns the newest source of the first prefix that has
// one.
func (b *pullQueue) takeSource() (prefix string, from source, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, prefix := range Prefixes {
		if list := b.sources[prefix]; len(list) > 0 {
			from = list[len(list)-1]
			b.sources[prefix] = list[:len(list)-1]
			return prefix, from, true
		}
	}
	return "", source{}, false
}

func (b *pullQueue) addPending(e evidence, mark uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.pending = append(b.pending, pendingEvidence{e, mark})
	b.pending = b.pending[max(0, len(b.pending)-maxPending):]
}

// takeReady removes and returns the evidence whose senders held no more than mark.
func (b *pullQueue) takeReady(mark uint64) []evidence {
	b.mu.Lock()
	defer b.mu.Unlock()
	var ready []evidence
	var rest []pendingEvidence
	for _, p := range b.pending {
		if p.mark <= mark {
			ready = append(ready, p.evidence)
		} else {
			rest = append(rest, p)
		}
	}
	b.pending = rest
	return ready
}

// pullTimeout bounds one pull.
const pullTimeout = 3 * time.Second

// runPull pulls from peers the objects that this instance lacks.
func (m *Manager) runPull(ctx context.Context) {
	for {
		prefix, from, ok := m.pulls.takeSource()
		if ok {
			m.pull(ctx, prefix, from)
			m.releaseEvidence()
			continue
		}
		select {
		case <-ctx.Done():
			return
		case <-m.pulls.wake:
		}
	}
}

func (m *Manager) pull(ctx context.Context, prefix string, from source) {
	for more := true; more; {
		after := m.objects.markOf(prefix)
		if after >= from.mark || ctx.Err() != nil {
			return
		}
		callCtx, cancel := loop.WithTimeout(ctx, m.o.Clock, pullTimeout)
		changed, mark, left, err := m.o.Puller.Pull(callCtx, from.instance, prefix, after)
		cancel()
		if err != nil {
			m.o.Logger.Log(event.ConfigPullFailed, "prefix", prefix, "instance", from.instance, "err", err)
			return
		}
		m.objects.adoptChanges(prefix, changed, mark, fromPeer)
		more = left && mark > after
	}
}

func (m *Manager) releaseEvidence() {
	for _, e := range m.pulls.takeReady(m.objects.markOf(profile.KeyPrefix)) {
		m.fence.recordPeerEvidence(e)
	}
	m.evaluateFence(false)
}
