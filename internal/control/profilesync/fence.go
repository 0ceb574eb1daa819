package profilesync

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"lynxhill.example/lynxhill/internal/board"
	"lynxhill.example/lynxhill/internal/gossip"
)

// fenceEvery is the period of the check.
const fenceEvery = 250 * time.Millisecond

// fence decides whether this instance may take new work.
//
// What goes wrong without it: a place that is cut off from the store and from
// the rest of the fleet goes on serving the old meaning of a profile after the
// operator was told that the new one is in force. Each instance therefore
// keeps the time of the last sign that its configuration was current, and
// stops taking work when that is FenceAfter ago. Others rely on it: FenceAfter
// plus FenceMargin after a change was written, an instance that has not
// confirmed it takes no work.
//
// All times are of the boot clock, which counts suspension.
type fence struct {
	o Options

	mu          sync.Mutex // guards what follows
	confirmed   bool
	confirmedAt time.Duration            // newest contact with the store, direct or through peers
	heard       map[uint32]time.Duration // by hash of the id: when an instance is known to have run
	known       map[string]bool          // instances that count for a majority, without self
	left        map[string]uint64        // incarnation of instances that announced their leaving
	hasOthers   bool                     // the instance list shows others, whether or not they were met
	met         bool                     // others were known in this life
	lastTick    time.Duration
	wokeAt      time.Duration
	loaded      bool // the configuration was current at least once
	unconfirmed bool
	isolated    bool
	majorities  map[string]majority // by profile: since when most instances hold a version
}

type majority struct {
	version uint64
	since   time.Duration
}

func newFence(o Options) *fence {
	now := o.Boot.SinceBoot()
	return &fence{
		o:           o,
		heard:       make(map[uint32]time.Duration),
		known:       make(map[string]bool),
		left:        make(map[string]uint64),
		majorities:  make(map[string]majority),
		lastTick:    now,
		wokeAt:      now,
		unconfirmed: true,
	}
}

func memberHash(id string) uint32 { return uint32(xxhash.Sum64String(id) >> 32) }

// evidence is what a peer's reply says, once this instance holds all that the
// peer held.
type evidence struct {
	from    string
	config  gossip.Config
	started time.Duration // of the call that the reply answers
}

// store notes that the store answered a call that was started at the time.
func (f *fence) store(started time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.confirm(started)
	if started >= f.wokeAt {
		f.unconfirmed, f.loaded = false, true
	}
}

// confirm takes a time of contact with the store. The caller holds mu.
func (f *fence) confirm(at time.Duration) {
	if !f.confirmed || at > f.confirmedAt {
		f.confirmed, f.confirmedAt = true, at
	}
}

// peer takes a peer's evidence. Evidence from before a pause is of no use: the
// reply may have waited in a buffer while this process stood still.
func (f *fence) peer(e evidence) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if e.started < f.wokeAt {
		return
	}
	if e.config.Loaded {
		// What goes wrong otherwise: the majority that held a change restarts
		// and forgets it, and its empty new lives help an instance that slept
		// through the change to a majority.
		f.hear(memberHash(e.from), e.started)
	}
	for _, h := range e.config.Heard {
		f.hear(h.Member, e.started-h.Age)
	}
	if e.config.Confirmed {
		f.confirm(e.started - e.config.ConfirmAge)
	}
	if e.config.Serving {
		// The peer takes work, so it holds every accepted change; and this
		// instance holds all that the peer held.
		f.unconfirmed, f.loaded = false, true
	}
}

func (f *fence) hear(member uint32, at time.Duration) {
	if old, ok := f.heard[member]; !ok || at > old {
		f.heard[member] = at
	}
}

// look re-evaluates at the time now. It returns the length of a pause that it
// found and whether anything changed.
// Everything that answers for this instance calls it first, so that a process
// that has just woken does not speak from before its pause.
func (f *fence) look(now time.Duration, tick bool) (woke time.Duration, changed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	isolated, unconfirmed := f.isolated, f.unconfirmed
	if gap := now - f.lastTick; gap > f.o.PauseAfter {
		woke = gap
		f.wake(now)
	}
	if tick {
		f.lastTick = now
	}
	if f.unconfirmed && f.loaded && f.majoritySince(f.wokeAt) {
		f.unconfirmed = false
	}
	f.isolated = !f.fresh(now) && !f.majoritySince(now-f.o.FenceAfter)
	return woke, f.isolated != isolated || f.unconfirmed != unconfirmed
}

func (f *fence) wake(now time.Duration) {
	f.lastTick, f.wokeAt = now, now
	f.unconfirmed = true
	clear(f.heard)
}

func (f *fence) fresh(now time.Duration) bool {
	return f.confirmed && now-f.confirmedAt <= f.o.FenceAfter
}

// majoritySince reports whether more than half of the last known instances,
// this one included, are known to have run since the time. An instance that
// never met another counts as alone only if the instance list agrees.
func (f *fence) majoritySince(since time.Duration) bool {
	if len(f.known) == 0 {
		return f.met || !f.hasOthers // those that were met have left
	}
	count := 1
	for id := range f.known {
		if at, ok := f.heard[memberHash(id)]; ok && at >= since {
			count++
		}
	}
	return 2*count > len(f.known)+1
}

// learn updates the last known instances: all that membership lists, the dead
// ones too, but for those that announced their leaving.
//
// What goes wrong if the dead are left out: an instance that is cut off from
// its peers and still reaches the store takes them all for dead; when it loses
// the store as well it seems to be the only one, a majority of itself.
func (f *fence) learn(members map[string]board.Member, now time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	clear(f.known)
	for id, m := range members {
		if m.State == board.MemberLeaving {
			f.left[id] = m.Incarnation
		}
		if id != f.o.Self && !f.hasLeft(m) {
			f.known[id] = true
		}
	}
	f.met = f.met || len(f.known) > 0
	for id := range f.left {
		if _, listed := members[id]; !listed {
			delete(f.left, id)
		}
	}
	for member, at := range f.heard {
		if now-at > 2*f.o.FenceAfter {
			delete(f.heard, member)
		}
	}
}

// hasLeft reports whether this life of the instance announced its leaving. The
// caller holds mu.
func (f *fence) hasLeft(m board.Member) bool {
	if m.Left {
		return true
	}
	incarnation, left := f.left[m.ID]
	return left && m.Incarnation <= incarnation && m.State != board.MemberAlive
}

// gone reports whether a dead instance had announced that it leaves, so that
// nobody waits for it.
func (f *fence) gone(m board.Member) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return m.State == board.MemberDead && f.hasLeft(m)
}

func (f *fence) setOthers(others bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hasOthers = others
}

func (f *fence) metAnyone() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.known) > 0
}

// state is what this instance tells its peers.
func (f *fence) state(now time.Duration) gossip.Config {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := gossip.Config{
		Confirmed: f.confirmed,
		Serving:   !f.isolated && !f.unconfirmed,
		Loaded:    f.loaded,
	}
	if f.confirmed {
		c.ConfirmAge = now - f.confirmedAt
	}
	if f.confirmed && c.ConfirmAge <= f.o.FenceAfter/3 {
		return c
	}
	for member, at := range f.heard {
		if age := now - at; age <= f.o.FenceAfter {
			c.Heard = append(c.Heard, gossip.Heard{Member: member, Age: age})
		}
	}
	return c
}

// confirmAge returns the age of the newest contact with the store.
func (f *fence) confirmAge(now time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.confirmed {
		return now - f.wokeAt
	}
	return now - f.confirmedAt
}

func (f *fence) flags() (isolated, unconfirmed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.isolated, f.unconfirmed
}

// majorityFor returns since when most instances hold the version: from now on,
// if they did not a moment ago.
func (f *fence) majorityFor(name string, version uint64, now time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	m, ok := f.majorities[name]
	if !ok || m.version != version {
		m = majority{version, now}
		f.majorities[name] = m
	}
	return m.since
}

func (f *fence) forgetMajority(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.majorities, name)
}
