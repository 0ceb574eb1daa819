package board

import (
	"sync/atomic"
	"time"

	"lynxhill.example/lynxhill/internal/profile"
	"lynxhill.example/lynxhill/internal/wire/targetapi"
)

// Board is the blackboard of one instance. The comment of each table names its writer.
type Board struct {
	// Facts.

	// Targets by target id; written by the discovery controller from the
	// platform's instance list.
	Targets *Table[Target]
	// Loads by target id; written by the load view controller, and from load reports
	// in the targets' own responses.
	Loads *Table[Load]
	// Members by instance id; written by membership.
	Members *Table[Member]
	// Profiles by name; written by profile sync. Versions never decrease.
	Profiles *Table[profile.Versioned]
	// Objects by store key: small configuration objects (profiles, drains, limits,
	// plans) in the version that is in force; written by profile sync. Versions never
	// decrease.
	Objects *Table[ConfigObject]
	// Prefixes by target id: hashes of prefixes that are probably cached.
	Prefixes *Table[PrefixSet]
	// Usage by organisation id: use on all other instances, from their digests.
	Usage *Table[Usage]

	// Decisions.

	// Drains by subject ("instance/ID", "place/NAME" or "target/ID"); written
	// by the drain controller from the platform.
	Drains *Table[Drain]
	// Leases by service; written by the lease controller.
	Leases *Table[Lease]
	// Placements by target id: what an engine should have loaded; written by the
	// orders controller.
	Placements *Table[Placement]
	// Steering holds one row, SteeringRow: the answer to address queries.
	Steering *Table[Steering]
	// Limits by organisation id; written by the limits controller.
	Limits *Table[Limit]
	// Refused by request fingerprint: requests that crash targets.
	Refused *Table[Refusal]
	// Notices by target id: leaving, limit and pause that targets announced in their
	// responses; written by package notice.
	Notices *Table[Notice]
	// Self holds one row, SelfRow: what this instance may do at present.
	Self *Table[Self]

	live atomic.Pointer[liveList] // newest result of LiveMembers
}

// Keys of the rows of tables with a single row.
const (
	SteeringRow = "steering"
	SelfRow     = "self"
)

// New returns an empty board.
func New() *Board {
	return &Board{
		Targets:    NewTable[Target](),
		Loads:      NewTable[Load](),
		Members:    NewTable[Member](),
		Profiles:   NewTable[profile.Versioned](),
		Objects:    NewTable[ConfigObject](),
		Prefixes:   NewTable[PrefixSet](),
		Usage:      NewTable[Usage](),
		Drains:     NewTable[Drain](),
		Leases:     NewTable[Lease](),
		Placements: NewTable[Placement](),
		Steering:   NewTable[Steering](),
		Limits:     NewTable[Limit](),
		Refused:    NewTable[Refusal](),
		Notices:    NewTable[Notice](),
		Self:       NewTable[Self](),
	}
}

// Target is a server of a service, as the platform lists it.
type Target struct {
	ID          string
	Service     string
	Kind        profile.Kind
	Provider    string
	Address     string // IP:port
	Zone        string
	Region      string
	ChecksFence bool
	// Leaving is set at the first sign that the target is leaving, whatever its
	// source, and is cleared only by later signs that it is live.
	Leaving bool
	// LeavingSince is when this instance learned of the sign.
	LeavingSince time.Time
	// LeavingSign is the estimated time at which the sign was given, possibly to
	// another instance. Zero: LeavingSince applies.
	LeavingSign time.Time
	// LiveSince is when the leaving mark was last cleared. Marks with an earlier sign,
	// which peers may still send, are ignored.
	LiveSince time.Time
	// MissingSince is set while the platform's list lacks the target.
	MissingSince time.Time
}

// MarkLeaving returns the target with a leaving mark for a sign that was given at one
// time and learned of at another. The first sign wins. It returns false if nothing
// changes.
func (t Target) MarkLeaving(given, learned time.Time) (Target, bool) {
	if t.Leaving || !given.After(t.LiveSince) {
		return t, false
	}
	t.Leaving, t.LeavingSince, t.LeavingSign = true, learned, given
	return t, true
}

// LeavingSignTime returns when the sign of leaving was given.
func (t Target) LeavingSignTime() time.Time {
	if t.LeavingSign.IsZero() {
		return t.LeavingSince
	}
	return t.LeavingSign
}

// Notice holds what a target announced in its latest responses to all instances that
// send it requests.
type Notice struct {
	// Leaving is set once the target announced, at LeavingAt, that it is leaving. It
	// is never cleared, since a restarted target has another id.
	Leaving   bool
	LeavingAt time.Time
	Limit     TargetLimit
	// PausedTo is the time until which the target accepts nothing from this instance;
	// zero: it requested no pause.
	PausedTo time.Time
	// ChangedAt is when a response or a digest last changed the row.
	ChangedAt time.Time
}

// TargetLimit is the request rate that a target last announced to accept.
type TargetLimit struct {
	Named bool    // false = the target named no limit, or names none any more
	Rate  float64 // requests a second from all instances together
	At    time.Time
	// By and Seq identify the response that named the limit, or named none any more: the
	// run of an instance, and its count of such responses.
	By  string
	Seq uint64
}

// Load is a target's load report with the time at which it reached this instance.
type Load struct {
	Report   targetapi.LoadReport
	Received time.Time // by this instance's clock
	At       time.Time // estimated time at which it was measured
	Via      string    // instance that polled it, "" for this instance's own poll or a response
}

// MemberState is the state of an instance in the membership list.
type MemberState string

// Member states. All are hints: no safety property depends on them.
const (
	MemberAlive   MemberState = "alive"
	MemberSuspect MemberState = "suspect"
	MemberLeaving MemberState = "leaving"
	MemberDead    MemberState = "dead"
)

// Member is another instance of lynxhill, or this one.
type Member struct {
	ID            string
	Incarnation   uint64
	State         MemberState
	CallerAddr    string // IP:port of the caller API
	AdminAddr     string
	PeerAddr      string // IP:port of the peer API
	Zone          string
	Region        string
	FreeShare     float64 // free share of its admission limit, 0 to 1
	InFlight      int
	ConfigVersion uint64 // highest configuration version that it has in force
	Changed       time.Time
	// Left is set on a dead member that had announced its leaving, or that an operator
	// declared gone.
	Left bool
	// KnownInstances is, for a dead member, the number of instances that it may have
	// known when it died, itself included; 0 if not known.
	KnownInstances int
	// Capacity is the processor time available to the instance, in cores; 0 if it does
	// not report it.
	Capacity float64
	// Features are those of the instance's build.
	Features Features
	// StoreLost reports whether the instance's calls of the store are failing.
	StoreLost bool
	// TargetsLost reports whether the instance can't connect to targets by itself.
	TargetsLost bool
}

// ConfigObject is a configuration object in the version that is in force here. Deleted
// objects stay as tombstones, so that an older version cannot return.
type ConfigObject struct {
	Version uint64
	Value   []byte
	Deleted bool
}

// PrefixSet holds the prefixes that an engine has probably cached. Cache events arrive
// late and with gaps, so it is only a hint.
type PrefixSet struct {
	Seq    uint64
	Hashes map[string]struct{}
	// Gap is set when events were lost: a prefix that is not in Hashes may still be
	// cached, and one that is in Hashes may have been evicted.
	Gap bool
}

// Usage is the use of an organisation on the other instances.
type Usage struct {
	RatePerSecond float64
	InFlight      int
	Updated       time.Time
}

// Drain is an operator's order that an instance, zone or target gets no new work.
type Drain struct {
	Subject string    `json:"subject"`
	By      string    `json:"by"`
	At      time.Time `json:"at"`
	Version uint64    `json:"-"`
}

// Lease is what this instance knows of the lease that entitles its holder to give
// orders to a service. Fence, the fencing number, is the version of the lease's object.
type Lease struct {
	Service string
	Holder  string
	Fence   uint64
	// Until is the end of the lease on this instance's boot clock, which includes time
	// in which the host or process was suspended.
	Until time.Duration
	Mine  bool
	// UncheckedFrom is the time, on the boot clock, from which orders may be given to
	// engines that do not check fencing numbers: the orders of the previous holder have
	// expired by then.
	UncheckedFrom time.Duration
}

// Placement is the models, adapters and role that an engine should have loaded.
type Placement struct {
	Models []targetapi.LoadedModel
	Role   string
}

// Steering is the answer to the query which instances to use.
type Steering struct {
	Addresses []SteeringAddress
	Keep      time.Duration // how long a caller may cache the answer
	Computed  time.Time
}

// SteeringAddress is an instance with its weight in the distribution of callers.
type SteeringAddress struct {
	ID        string
	Address   string
	Zone      string
	Region    string
	FreeShare float64 // free share of its admission limit
	Weight    float64
}

// Limit is what an organisation may use on this instance at present.
type Limit struct {
	RatePerSecond float64 // 0 = no limit
	Concurrent    int     // 0 = no limit, below 0 = no request may run here at present
}

// Refusal is a request under which targets crashed, refused from a number of them on.
type Refusal struct {
	Crashes []Crash // of distinct targets, in order of time
	// Cleared is when the request was last answered after a crash; crashes up to then do
	// not count.
	Cleared time.Time
	// Witnessed reports that this instance itself saw one of the crashes.
	Witnessed bool
}

// Crash is the crash of a target while it ran a request.
type Crash struct {
	Target string
	At     time.Time // at which the attempt broke off, or an instance found out
	Sent   time.Time // at which the attempt was sent; zero = not known
	// Variant tells requests, or organisations, apart that a row has in common; 0 = the
	// row is of one.
	Variant uint32
}

// Self is what this instance may do at present.
type Self struct {
	Stopping bool // no new callers are directed here
	Draining bool // by an operator's order
	Isolated bool // cannot confirm its configuration: accepts no new work
	// Unconfirmed is set after this process was paused, until its configuration versions
	// have been confirmed again: meanwhile nothing is admitted or dispatched.
	Unconfirmed bool
	// CutOff is set while this instance cannot reach any of its targets; written by the
	// reach controller.
	CutOff bool
	// ConfigVersion is the highest version up to which every configuration object is in force
	// here; written by profile sync, sent to other instances by membership.
	ConfigVersion uint64
}

// MayAdmit reports whether new requests are accepted. A stopping or draining instance
// still admits requests: callers with a cached address answer still send them.
func (s Self) MayAdmit() bool { return !s.Isolated && !s.Unconfirmed && !s.CutOff }
