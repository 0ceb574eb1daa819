// Package gossip defines the digests that instances exchange with their heartbeats.
// Each controller adds its own part and merges the corresponding part of its peers.
package gossip

import "time"

// Digest is what one instance sends another in one exchange.
type Digest struct {
	From string
	// Transit is set by the receiver: the longest time for which the digest can have
	// been in transit (for a reply, the round trip). 0 if not known.
	Transit  time.Duration
	Members  []Member
	Profiles []ProfileVersion
	Loads    []Load
	Usage    []Usage
	Refusals []Refusal
	// RefusalsComplete reports that Refusals holds all refusals of the fleet.
	RefusalsComplete bool
	// RefusalsWanted reports that the sender does not know all refusals yet.
	RefusalsWanted bool
	Notices        []Notice
	Burn           []Burn
	// Sums are checksums of the sender's membership rows by bucket, with which two
	// instances find the rows on which they differ without sending all.
	Sums []uint32
	// Config is the state of the sender's configuration.
	Config Config
}

// Config is the state of the sender's configuration objects.
type Config struct {
	// Confirmed reports that ConfirmAge is known: the age of the latest contact with
	// the store that reached the sender, directly or through peers.
	Confirmed  bool
	ConfirmAge time.Duration
	// Answered reports that AnswerAge is known: the age of the latest answer of the store to
	// anybody, whatever it was about. Confirmed says more: that the sender's state is
	// current.
	Answered  bool
	AnswerAge time.Duration
	// Serving reports that the sender accepts new work: it is neither isolated nor
	// unconfirmed.
	Serving bool
	// Loaded reports that the sender has had a confirmed configuration since it
	// started. Before that it knows nothing and is not counted.
	Loaded bool
	// Heard holds how long ago instances are known to have been running. It is sent only
	// while the store does not respond.
	Heard []Heard
}

// Heard is evidence that an instance was running Age ago.
type Heard struct {
	Member uint32 // hash of the instance id
	Age    time.Duration
}

// Member is a row of the membership list.
type Member struct {
	ID            string
	Incarnation   uint64
	State         string // board.MemberState
	CallerAddr    string
	AdminAddr     string
	PeerAddr      string
	Zone          string
	Region        string
	FreeShare     float64
	InFlight      int
	ConfigVersion uint64
	// Seq increases when the load, ConfigVersion, StoreLost or TargetsLost of the instance
	// change within one incarnation.
	Seq uint64
	// Left is set on a dead member that had announced its leaving, or that an operator
	// declared gone.
	Left bool
	// DeadFor is, for a dead member, how long it had been considered dead when the row
	// was sent.
	DeadFor time.Duration
	// KnownInstances is, for a dead member, the number of instances that it may have
	// known when it died, itself included; 0 if not known.
	KnownInstances int
	// Capacity is the processor time available to the instance, in cores; 0 if it does
	// not report it.
	Capacity float64
	// Features are those of the instance's build, see board.Features. Instances whose build
	// knows none pass rows of others on without them.
	Features uint32
	// StoreLost reports whether the instance's calls of the store are failing.
	StoreLost bool
	// TargetsLost reports whether the instance can't connect to targets by itself.
	TargetsLost bool
}

// Light reports whether the row has no addresses, only the fields that change often.
func (m Member) Light() bool { return m.PeerAddr == "" }

// ProfileVersion is the version up to which the sender holds every configuration
// object of a prefix. Instances that are behind pull the objects that they lack.
type ProfileVersion struct {
	Name    string // prefix of the keys in the store, such as profiles/
	Version uint64
}

// Load is a summary of a target's load report.
type Load struct {
	Target  string
	Seq     uint64
	Age     time.Duration // of the measurement, when the digest was sent
	Running int
	Queued  int
	Slots   int
	MeanMS  float64
	KVUsed  float64
	Leaving bool
	// Models and Role are set only in rows that are sent after they have changed and,
	// rarely, for instances that missed the change. ModelsKnown distinguishes an
	// engine without models from a row without this information.
	ModelsKnown bool
	Models      []LoadedModel
	Role        string
}

// LoadedModel is a model version with its adapters on an engine.
type LoadedModel struct {
	Model    string
	Version  string
	Adapters []string
	Ready    bool
}

// Usage is an organisation's use of the sending instance.
type Usage struct {
	Organisation  string
	RatePerSecond float64
	InFlight      int
}

// Refusal is a request fingerprint, or the key of a prompt part, with the targets that
// crashed while running such requests.
type Refusal struct {
	Fingerprint string
	Targets     []string
	TTL         time.Duration   // for instances of versions that do not read Ages
	Ages        []time.Duration // of the crashes, as of sending; empty from older versions
	// Variants tell the requests of the crashes apart; empty if the row is of one request.
	Variants []uint32
	// Took holds the times from sending the requests to the crashes; empty if not known.
	Took []time.Duration
	// Cleared reports that such a request was answered ClearedAge ago; crashes before
	// that do not count.
	Cleared    bool
	ClearedAge time.Duration
}

// Notice holds what a target announced to all instances, in its responses to one of
// them.
type Notice struct {
	Target     string
	Leaving    bool
	LeavingAge time.Duration // since the announcement, when the digest was sent
	Limit      NoticeLimit
}

// NoticeLimit is the request rate that a target last announced to accept.
type NoticeLimit struct {
	// By and Seq identify the response that named the limit, or named none any more: the
	// run of an instance, and its count of such responses. By "" = no limit is known.
	By    string
	Seq   uint64
	Age   time.Duration // of that response, when the digest was sent
	Named bool          // false = the target names no limit any more
	Rate  float64       // requests a second
}

// Burn is the sender's own count of requests of a profile, and of those that missed its
// objective, in one window, so that reports need no store call per request.
type Burn struct {
	Profile string
	Window  int64 // start of the minute, Unix seconds
	Total   uint64
	Missed  uint64
}

// Participant is a controller's part of the digests.
type Participant interface {
	// Fill adds the controller's rows for the receiver, within budget bytes as
	// estimated by the controller, and returns the bytes used.
	Fill(digest *Digest, to string, budget int) int
	// Absorb merges the rows of the sender.
	Absorb(digest Digest)
}
