// Package gossip holds the digests that instances exchange with their
// heartbeats. Each controller fills in and takes in its own part.
package gossip

import "time"

// Digest is what one instance tells another in one exchange.
type Digest struct {
	From     string
	Members  []Member
	Profiles []ProfileVersion
	Loads    []Load
	Usage    []Usage
	Refusals []Refusal
	Drains   []Drain
	Burn     []Burn
}

// Member is a row of the membership list.
type Member struct {
	ID          string
	Incarnation uint64
	State       string // board.MemberState
	CallerAddr  string
	AdminAddr   string
	PeerAddr    string
	Place       string
	Region      string
	Room        float64
	InFlight    int
	Profiles    uint64
}

// ProfileVersion tells which version of a profile the sender has in force.
// Instances that are behind pull the profile itself.
type ProfileVersion struct {
	Name    string
	Version uint64
}

// Load is the digest of a target's load report.
type Load struct {
	Target  string
	Seq     uint64
	Age     time.Duration // when it was sent, since it was true
	Running int
	Queued  int
	Slots   int
	MeanMS  float64
	KVUsed  float64
	Leaving bool
}

// Usage is the sender's own use by an organisation.
type Usage struct {
	Organisation  string
	RatePerSecond float64
	InFlight      int
}

// Refusal is a request fingerprint with targets that died under it.
type Refusal struct {
	Fingerprint string
	Targets     []string
	TTL         time.Duration
}

// Drain is an operator's order by the version of its object.
type Drain struct {
	Subject string
	Version uint64
	Active  bool
}

// Burn is a sender's own counts of a profile against its objective in one
// window, so that reports need no store call a request.
type Burn struct {
	Profile string
	Window  int64 // start of the minute, Unix seconds
	Total   uint64
	Missed  uint64
}

// Part is a controller's share of the exchange.
type Part interface {
	// Fill adds the controller's rows for the receiver, within budget bytes
	// as estimated by the controller, and returns the bytes used.
	Fill(digest *Digest, to string, budget int) int
	// Absorb takes in the rows of the sender.
	Absorb(digest Digest)
}
