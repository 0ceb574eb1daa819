// Package membership maintains the list of instances: which are alive, suspect,
// leaving or dead, with their addresses and free room. Instances exchange gossip
// digests, which also carry the rows of the other controllers.
//
// Liveness is an optimisation hint only: no safety property depends on it.
package membership

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"lynxhill.example/lynxhill/internal/board"
	"lynxhill.example/lynxhill/internal/clock"
	"lynxhill.example/lynxhill/internal/control/loop"
	"lynxhill.example/lynxhill/internal/defaults"
	"lynxhill.example/lynxhill/internal/event"
	"lynxhill.example/lynxhill/internal/gossip"
	"lynxhill.example/lynxhill/internal/metrics"
	"lynxhill.example/lynxhill/internal/store"
)

// Transport sends calls to other instances; internal/peer implements it.
type Transport interface {
	// Exchange sends a digest and returns the digest of the receiver.
	Exchange(ctx context.Context, peerAddr string, d gossip.Digest) (gossip.Digest, error)
	// Probe asks the instance at viaPeerAddr whether it can reach the instance at
	// targetPeerAddr; nil: it can.
	Probe(ctx context.Context, viaPeerAddr, targetPeerAddr string) error
}

// Healing selects what an instance does when a peer reports a third instance as
// dead.
type Healing int

const (
	// HealBySuspicion treats "dead" as "suspect" and waits for the suspicion to time
	// out here: until then the instance in question can refute it.
	HealBySuspicion Healing = iota
	// HealByMerge adopts "dead" as reported, as a plain merge does. It is kept for
	// comparison.
	HealByMerge
)

// Options configure a Manager. Zero durations and counts take the defaults.
type Options struct {
	// Self is this instance with its addresses, availability zone and region.
	Self      board.Member
	Board     *board.Board
	Clock     clock.Clock
	Boot      clock.Boot // nil: Clock is used
	Rand      *rand.Rand
	Transport Transport
	Lister    store.InstanceLister
	// Seeds returns addresses of peer listeners that are contacted, besides those
	// that the Lister returns, while no other member is known to be alive. It is
	// called for each attempt, since the addresses may change. nil: none.
	Seeds func() []string
	Parts []gossip.Participant
	// StoreLost reports whether this instance's calls of the store are failing.
	// Digests carry the result. nil: never reported.
	StoreLost func() bool
	// TargetsLost reports whether this instance can't connect to targets by itself.
	// Digests carry the result. nil: never reported.
	TargetsLost func() bool
	// Started is when this process started. Its Unix time in milliseconds is the
	// first incarnation, so that a restarted instance supersedes its earlier run.
	// Zero: the clock's time at New.
	Started time.Time
	// Service is this system's name in the instance list of the platform.
	Service string

	HeartbeatEvery  time.Duration // between two exchanges started by this instance
	ExchangeTimeout time.Duration
	SuspectAfter    time.Duration // how long a suspect has to refute the suspicion
	IndirectProbes  int           // instances asked to probe a member before it is suspected
	ContactMin      time.Duration // minimum backoff between contacts of dead members
	ContactMax      time.Duration // maximum backoff between contacts of dead members
	ListEvery       time.Duration // between reads of the instance list once all listed instances are members
	RegisterEvery   time.Duration // between refreshes of this instance's own entry
	// ForgetAfter is when a dead member that had announced its leaving is removed,
	// KeepDead when any other is. Members that are still on the
	// instance list are kept.
	ForgetAfter time.Duration
	KeepDead    time.Duration
	EagerFanout int // exchanges started at once after a configuration change
	// BytesPerSecond is the limit of what this instance sends and receives in
	// exchanges, by estimate.
	BytesPerSecond int
	Healing        Healing

	Logger  *event.Logger
	Metrics *metrics.Registry
}

// Defaults.
const (
	defaultService         = "lynxhill"
	defaultHeartbeatEvery  = time.Second
	defaultExchangeTimeout = 800 * time.Millisecond
	defaultSuspectAfter    = 4 * time.Second
	defaultIndirectProbes  = 3
	defaultContactMin      = 2 * time.Second
	defaultContactMax      = 15 * time.Second
	defaultListEvery       = 30 * time.Second
	defaultRegisterEvery   = 30 * time.Second
	defaultForgetAfter     = 10 * time.Minute
	defaultKeepDead        = 90 * time.Minute
	defaultEagerFanout     = 3
	defaultBytesPerSecond  = 16 << 10
)

func (o Options) withDefaults() Options {
	defaults.Set(&o.Service, defaultService)
	defaults.Set(&o.HeartbeatEvery, defaultHeartbeatEvery)
	defaults.Set(&o.ExchangeTimeout, defaultExchangeTimeout)
	defaults.Set(&o.SuspectAfter, defaultSuspectAfter)
	defaults.Set(&o.IndirectProbes, defaultIndirectProbes)
	defaults.Set(&o.ContactMin, defaultContactMin)
	defaults.Set(&o.ContactMax, defaultContactMax)
	defaults.Set(&o.ListEvery, defaultListEvery)
	defaults.Set(&o.RegisterEvery, defaultRegisterEvery)
	defaults.Set(&o.ForgetAfter, defaultForgetAfter)
	defaults.Set(&o.KeepDead, defaultKeepDead)
	defaults.Set(&o.EagerFanout, defaultEagerFanout)
	defaults.Set(&o.BytesPerSecond, defaultBytesPerSecond)
	if o.Started.IsZero() {
		o.Started = o.Clock.Now()
	}
	if o.Boot == nil {
		started, c := o.Started, o.Clock
		o.Boot = clock.BootFunc(func() time.Duration { return c.Since(started) })
	}
	return o
}

var (
	metricExchanges   = metrics.Define("membership_exchanges", "exchanges", "Digest exchanges that this instance started, by result.")
	metricProbes      = metrics.Define("membership_indirect_probes", "probes", "Probes through other instances before a suspicion, by result.")
	metricMembers     = metrics.Define("membership_members", "instances", "Members by state, this instance included.")
	metricRefutations = metrics.Define("membership_refutations", "times", "Times this instance reasserted itself against a suspicion.")
	metricRevivals    = metrics.Define("membership_revivals", "times", "Members taken for dead that came back under the next incarnation.")
)

// Manager maintains the membership list.
type Manager struct {
	o    Options
	rand *loop.Rand
	view *view

	lastHeard      atomic.Int64 // when the last digest of another instance arrived, boot time in ns
	membersKnownAt atomic.Int64 // when the members were first learned, boot time in ns; 0 = not yet

	listRead     atomic.Bool  // the instance list has been read since the process started
	registeredAt atomic.Int64 // when this instance's entry was last written, boot time in ns; 0 = not yet
	unlisted     board.Signal // notified when the instance list lacks this instance's entry

	callOutcomes callOutcomes

	parts          partList
	contactBackoff deadContactBackoff
	spreadNow      board.Signal // notified when a controller has urgent rows
}
