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

// Estimated bytes of a digest's rows.
const (
	configBytes = 12
	heardBytes  = 7
	markBytes   = 12
)

// Fill implements gossip.Part.
func (m *Manager) Fill(d *gossip.Digest, _ string, budget int) int {
	m.look(false)
	d.Config = m.fence.state(m.o.Boot.SinceBoot())
	used := configBytes
	for _, prefix := range Prefixes {
		if mark := m.objects.markOf(prefix); mark > 0 {
			d.Profiles = append(d.Profiles, gossip.ProfileVersion{Name: prefix, Version: mark})
			used += markBytes + len(prefix)
		}
	}
	// The map's order is random, so over several digests all rows get through.
	room := max(0, (budget-used)/heardBytes)
	if len(d.Config.Heard) > room {
		d.Config.Heard = d.Config.Heard[:room]
	}
	return used + heardBytes*len(d.Config.Heard)
}

// Absorb implements gossip.Part.
func (m *Manager) Absorb(d gossip.Digest) {
	if !m.fence.metAnyone() {
		// The check by a period may be a quarter of a second away; until then
		// this instance would count as alone, and confirm itself after a pause.
		m.fence.learn(m.o.Board.Members.Snapshot(), m.o.Boot.SinceBoot())
	}
	m.look(false)
	started := m.o.Boot.SinceBoot() - d.Transit
	held := true
	for _, theirs := range d.Profiles {
		if theirs.Version > m.objects.markOf(theirs.Name) && isPrefix(theirs.Name) {
			held = held && theirs.Name != profile.KeyPrefix
			m.behind.note(theirs.Name, d.From, theirs.Version)
		}
	}
	if d.Transit <= 0 {
		return // a request may be of any age; only replies are evidence
	}
	e := evidence{from: d.From, config: d.Config, started: started}
	if held {
		m.fence.peer(e)
		return
	}
	m.behind.keep(e, markIn(d, profile.KeyPrefix))
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

// source is a peer that holds more than this instance.
type source struct {
	instance string
	mark     uint64
}

// pendingEvidence waits until this instance holds what its sender held.
type pendingEvidence struct {
	evidence evidence
	mark     uint64
}

// behind lists what is to be pulled, and from whom.
type behind struct {
	mu      sync.Mutex          // guards sources and pending
	sources map[string][]source // by prefix
	pending []pendingEvidence
	wake    chan struct{}
}

func newBehind() *behind {
	return &behind{sources: make(map[string][]source), wake: make(chan struct{}, 1)}
}

// maxSources and maxPending bound what is kept; heartbeats bring more.
const (
	maxSources = 4
	maxPending = 16
)

func (b *behind) note(prefix, instance string, mark uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := append(b.sources[prefix], source{instance, mark})
	b.sources[prefix] = list[max(0, len(list)-maxSources):]
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// next takes the newest source of any prefix.
func (b *behind) next() (prefix string, from source, ok bool) {
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

func (b *behind) keep(e evidence, mark uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.pending = append(b.pending, pendingEvidence{e, mark})
	b.pending = b.pending[max(0, len(b.pending)-maxPending):]
}

// release returns the evidence whose senders held no more than mark.
func (b *behind) release(mark uint64) []evidence {
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

// runPull fetches from peers what this instance lacks.
func (m *Manager) runPull(ctx context.Context) {
	for {
		prefix, from, ok := m.behind.next()
		if ok {
			m.pull(ctx, prefix, from)
			m.releaseEvidence()
			continue
		}
		select {
		case <-ctx.Done():
			return
		case <-m.behind.wake:
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
	for _, e := range m.behind.release(m.objects.markOf(profile.KeyPrefix)) {
		m.fence.peer(e)
	}
	m.look(false)
}
