// Package watchers decides which instances watch the platform's store for changes
// of routes and targets. All other instances receive the changes from them through
// gossip digests.
//
// Every call to the store is paid for and counts toward rate limits that grow more
// slowly than the fleet. The number of instances that call the store is therefore
// bounded. The first in rank watch even if they cannot reach the store, so that they
// detect its return; instances that report a lost store are replaced by the next in
// rank that reach it. While the store does not answer, the number of instances that
// call it doubles every StepEvery. Without the bound, all instances call the store
// at once as soon as it has been unavailable for longer than EscalateAfter: 295
// instances with two watches each and a retry interval of half a second make over
// 1,000 calls a second, 6,384 in an outage of 9 s.
package watchers

import (
	"time"

	"lynxhill.example/lynxhill/internal/control/rendezvous"
)

// MaxWatchers is the maximum number of instances that watch the store while it answers.
//
// The bound protects the store from a fleet of any size. The cost is latency: an
// instance that does not watch learns of a change later than a watcher, by the
// pause between two answers to the watchers and the propagation time of digests
// through the fleet.
const MaxWatchers = 8

// StepEvery is the time without an answer of the store after which the number of
// instances that may call it doubles. From 8 to 295 takes six steps, 18 s; a store
// that is unavailable for 9 s is called by 16 to 32 of them, and once by each
// instance that replaces one that has lost it.
const StepEvery = 3 * time.Second

// settleTime is how long an instance that has just started waits to discover
// members before it may become a watcher. Instances that start together each know
// only themselves at first, and all of them would watch.
const settleTime = 1500 * time.Millisecond

// maxStoreLosses is the number of instances that have lost the store up to which
// twice as many of the others call it. If more have lost it, the store itself is
// assumed to be unavailable, and the losses do not raise the number of callers.
const maxStoreLosses = 8 * MaxWatchers

// cutOffAfter is the time without a message from any other instance after which
// this instance no longer relies on the others for changes.
const cutOffAfter = 2 * time.Second

// Facts are the inputs of an instance's decision at one moment.
type Facts struct {
	Ranks Ranks
	// StoreLost reports whether the instance has lost the store.
	StoreLost bool
	// Uptime is the time since the instance started.
	Uptime time.Duration
	// HasPeers reports whether the settings name other instances.
	HasPeers bool
	// Silence is the time since the last message from any other instance; 0 = there
	// was none yet.
	Silence time.Duration
	// UnansweredShare is the share of recently called members that did not answer.
	UnansweredShare float64
	// Behind reports whether peers have a recent answer of the store that this
	// instance cannot use because it lacks objects that they hold.
	Behind bool
	// Overdue is the age from which an answer of the store is overdue.
	Overdue time.Duration
	// EscalateAfter is the age from which more instances call the store, since its
	// watchers get no answer either.
	EscalateAfter time.Duration
}

// Ranks are the positions of an instance in the order in which instances call the store.
// They change with the members only.
type Ranks struct {
	All      int // among all live members
	Reaching int // among those that have not lost the store
	Lost     int // number of other members that have lost the store
}

// RanksOf returns the ranks of an instance among the live members, with or without itself.
// storeLost reports whether a member has lost the store; nil = none has.
func RanksOf(self string, members []string, storeLost func(instance string) bool) Ranks {
	ranks := Ranks{All: Rank(self, members)}
	if storeLost == nil {
		ranks.Reaching = ranks.All
		return ranks
	}
	reaching := make([]string, 0, len(members))
	for _, member := range members {
		if member == self || !storeLost(member) {
			reaching = append(reaching, member)
		}
	}
	ranks.Lost = len(members) - len(reaching)
	ranks.Reaching = Rank(self, reaching)
	return ranks
}

// CallsStore reports whether the instance calls the store itself. age is the age of the
// newest answer of the store known to the instance, its own or a peer's.
func (f Facts) CallsStore(age time.Duration) bool {
	if age > f.Overdue && (f.Silence >= cutOffAfter || f.Behind) {
		return true
	}
	if f.HasPeers && f.Uptime < settleTime {
		return false
	}
	limit := maxCallers(age - f.EscalateAfter)
	if f.effectiveRank(f.Ranks.All) < limit {
		return true
	}
	if f.StoreLost {
		return false
	}
	if f.Ranks.Lost <= maxStoreLosses {
		limit = max(limit, 2*f.Ranks.Lost)
	}
	return f.effectiveRank(f.Ranks.Reaching) < limit
}

// listStep is the time after which the number of instances that read a long list whole
// doubles while the instances have no one to get it from.
const listStep = time.Second

// ListsWhole reports whether the instance, which knows no targets yet, reads all pages of a
// long list itself instead of waiting for its peers. When all instances start together, the
// seeds read it at once and MaxWatchers others soon after; their number doubles as long as
// that does not suffice. An instance that hears from no other reads it after cutOffAfter.
func (f Facts) ListsWhole(seed bool) bool {
	if seed || !f.HasPeers {
		return true
	}
	if f.Uptime < settleTime {
		return false
	}
	if f.Uptime >= cutOffAfter && (f.Silence == 0 || f.Silence >= cutOffAfter) {
		return true
	}
	const most = 20 // doublings; more instances than any fleet has
	return f.Ranks.All < MaxWatchers<<min(int((f.Uptime-settleTime)/listStep), most)
}

// effectiveRank scales the rank by the share of members that answer calls. When many
// members fail at once it takes seconds until each is suspected, and until then they
// count as alive.
func (f Facts) effectiveRank(rank int) int { return int(float64(rank) * (1 - f.UnansweredShare)) }

// Rank returns the zero-based position of the instance in the order in which
// instances call the store.
func Rank(self string, members []string) int {
	return rendezvous.Position("control/watchers", self, members)
}

// maxCallers returns how many instances may call the store once its newest answer is
// overdue by the given time.
func maxCallers(overdue time.Duration) int {
	const most = 20 // doublings; more instances than any fleet has
	if overdue < 0 {
		return MaxWatchers
	}
	return MaxWatchers << min(int(overdue/StepEvery), most)
}
