package profilesync

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"lynxhill.example/lynxhill/internal/board"
	"lynxhill.example/lynxhill/internal/gossip"
)

// fenceInterval is the period of the check.
const fenceInterval = 250 * time.Millisecond

// fence decides whether this instance may accept new work.
//
// Without it, an availability zone that is cut off from the store and from the
// other zones would go on serving the old version of a profile after the
// operator got the reply that the new one is in force. Each instance therefore
// records when its configuration was last known to be current, and stops
// accepting work once that is FenceAfter ago. Other instances rely on it:
// FenceAfter plus FenceMargin after a change was written, an instance that has
// not confirmed it accepts no work.
//
// All times are of the boot clock, which also counts while the host is
// suspended.
type fence struct {
	o Options

	mu           sync.Mutex // guards the fields below
	confirmed    bool
	confirmedAt  time.Duration            // newest contact with the store, direct or through peers
	lastRunning  map[uint32]time.Duration // by hash of the id: when an instance is known to have been running
	known        map[string]bool          // instances that count for a majority, without self
	left         map[string]uint64        // incarnations of the instances that announced that they leave
	othersListed bool                     // the instance list shows other instances, whether or not membership knows them
	metOthers    bool                     // membership has known other instances since this process started
	lastTick     time.Duration
	resumedAt    time.Duration
	loaded       bool // the configuration was current at least once
	unconfirmed  bool
	isolated     bool
	majorities   map[string]majority // by profile: since when a majority of instances has held a version
}

type majority struct {
	version uint64
	since   time.Duration
}

func newFence(o Options) *fence {
	now := o.Boot.SinceBoot()
	return &fence{
		o:           o,
		lastRunning: make(map[uint32]time.Duration),
		known:       make(map[string]bool),
		left:        make(map[string]uint64),
		majorities:  make(map[string]majority),
		lastTick:    now,
		resumedAt:   now,
		unconfirmed: true,
	}
}

func memberHash(id string) uint32 { return uint32(xxhash.Sum64String(id) >> 32) }

// evidence is the state in a peer's reply. It counts once this instance holds
// everything that the peer held.
type evidence struct {
	from    string
	config  gossip.Config
	started time.Duration // when the call was started that the reply answers
}

// recordStoreContact records that the store answered a call that was started at
// the given time.
func (f *fence) recordStoreContact(started time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.confirm(started)
	if started >= f.resumedAt {
		f.unconfirmed, f.loaded = false, true
	}
}

// confirm records the time of a contact with the store. The caller holds mu.
func (f *fence) confirm(at time.Duration) {
	if !f.confirmed || at > f.confirmedAt {
		f.confirmed, f.confirmedAt = true, at
	}
}

// recordPeerEvidence records a peer's evidence. It ignores evidence from before a
// pause, because the reply may have waited in a buffer while this process was
// not running.
func (f *fence) recordPeerEvidence(e evidence) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if e.started < f.resumedAt {
		return
	}
	if e.config.Loaded {
		// A peer that has not loaded its configuration does not count. Otherwise,
		// if the majority that held a change restarted and lost it, its empty new
		// incarnations would help an instance that was paused during the change to
		// a majority.
		f.recordRunning(memberHash(e.from), e.started)
	}
	for _, h := range e.config.Heard {
		f.recordRunning(h.Member, e.started-h.Age)
	}
	if e.config.Confirmed {
		f.confirm(e.started - e.config.ConfirmAge)
	}
	if e.config.Serving {
		// The peer accepts work, so it holds every accepted change, and this
		// instance holds everything that the peer held.
		f.unconfirmed, f.loaded = false, true
	}
}

func (f *fence) recordRunning(member uint32, at time.Duration) {
	if old, ok := f.lastRunning[member]; !ok || at > old {
		f.lastRunning[member] = at
	}
}

// evaluate re-evaluates the state at the time now. It returns the length of a
// pause that it detected (0 if none) and whether the state changed.
// Every method that reports this instance's state calls it first, so that a
// process that has just resumed does not report a state from before its pause.
func (f *fence) evaluate(now time.Duration, tick bool) (woke time.Duration, changed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	isolated, unconfirmed := f.isolated, f.unconfirmed
	if gap := now - f.lastTick; gap > f.o.PauseAfter {
		woke = gap
		f.resume(now)
	}
	if tick {
		f.lastTick = now
	}
	if f.unconfirmed && f.loaded && f.majoritySince(f.resumedAt) {
		f.unconfirmed = false
	}
	f.isolated = !f.fresh(now) && !f.majoritySince(now-f.o.FenceAfter)
	return woke, f.isolated != isolated || f.unconfirmed != unconfirmed
}

func (f *fence) resume(now time.Duration) {
	f.lastTick, f.resumedAt = now, now
	f.unconfirmed = true
	clear(f.lastRunning)
}

func (f *fence) fresh(now time.Duration) bool {
	return f.confirmed && now-f.confirmedAt <= f.o.FenceAfter
}

// majoritySince reports whether more than half of the known instances, this one
// included, are known to have been running since the given time. An instance
// that has never known another one counts as alone only if the instance list
// shows no other either.
func (f *fence) majoritySince(since time.Duration) bool {
	if len(f.known) == 0 {
		return f.metOthers || !f.othersListed // the instances that were known have left
	}
	count := 1
	for id := range f.known {
		if at, ok := f.lastRunning[memberHash(id)]; ok && at >= since {
			count++
		}
	}
	return 2*count > len(f.known)+1
}

// updateMembers updates the known instances: all that membership lists, dead ones
// included, except those that announced that they leave.
//
// If dead instances were left out, an instance that is cut off from its peers
// and still reaches the store would consider them all dead; on losing the store
// as well it would seem to be the only instance, a majority by itself.
func (f *fence) updateMembers(members map[string]board.Member, now time.Duration) {
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
	f.metOthers = f.metOthers || len(f.known) > 0
	for id := range f.left {
		if _, listed := members[id]; !listed {
			delete(f.left, id)
		}
	}
	for member, at := range f.lastRunning {
		if now-at > 2*f.o.FenceAfter {
			delete(f.lastRunning, member)
		}
	}
}

// hasLeft reports whether the instance announced in this incarnation that it
// leaves. The caller holds mu.
func (f *fence) hasLeft(m board.Member) bool {
	if m.Left {
		return true
	}
	incarnation, left := f.left[m.ID]
	return left && m.Incarnation <= incarnation && m.State != board.MemberAlive
}

// leftDeliberately reports whether a dead instance had announced that it leaves,
// so that a change need not wait for it.
func (f *fence) leftDeliberately(m board.Member) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return m.State == board.MemberDead && f.hasLeft(m)
}

func (f *fence) setOthersListed(others bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.othersListed = others
}

func (f *fence) knowsOthers() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.known) > 0
}

// state returns what this instance reports to its peers.
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
	for member, at := range f.lastRunning {
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
		return now - f.resumedAt
	}
	return now - f.confirmedAt
}

func (f *fence) flags() (isolated, unconfirmed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.isolated, f.unconfirmed
}

// majorityFor returns since when a majority of instances has held the version. The
// first call for a version starts the time.
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
