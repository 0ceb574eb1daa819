// Package slotqueue shares the slots of plain targets among all instances. For each
// service one instance, the coordinator, decides which target runs which request, from
// what it granted itself and from how fast each target works at the moment.
//
// It performs no I/O: package peer carries the messages between instances.
package slotqueue

import (
	"time"

	"lynxhill.example/lynxhill/internal/relay"
)

// Request asks for a slot of any target of a service.
type Request struct {
	ID           uint64 // unique among the requests of its owner
	Service      string
	Shard        int // of the service's targets
	Organisation string
	Route        string
	Zone         string    // availability zone of the owner
	Priority     int       // 0 is the most urgent
	OnTimeUntil  time.Time // latest time for the response to be on time
	Deadline     time.Time // time at which the caller gives up
	Excluded     []string  // targets that must not run the request if there is another
	CallerKey    string    // identifies the work across the attempts of its caller; "" = unknown
	BodyBytes    int64     // size of the request's body
}

// Answer is a decision on a request. Without a target and a refusal the request waits.
type Answer struct {
	ID      uint64
	Target  string // ID of the target that runs the request
	Refusal *Refusal
}

// Refusal says why a request gets no slot, and when its caller may come back.
type Refusal struct {
	Reason     string
	RetryAfter time.Duration
	Reserved   bool // capacity is reserved for the caller's return
}

// Reasons for refusals.
const (
	ReasonLate     = "cannot be done in time"
	ReasonNoTarget = "no target takes work"
	ReasonTooLarge = "the body exceeds what a target may hold"
)

// Outcome is how the use of a slot ended.
type Outcome int

// Outcomes of slots.
const (
	Unknown     Outcome = iota // says nothing about the target
	Answered                   // the target answered with a status below 500
	ServerError                // the target answered with a status of 500 or above
	NoResponse                 // no usable response
	Refused                    // the target did not run the request
)

// Release ends the use of a slot.
type Release struct {
	ID      uint64
	Outcome Outcome
	Took    time.Duration // duration of the attempt
	Load    *relay.Load   // nil = the target stated none
}

// HeldSlot is a slot that an instance uses without a grant of the coordinator that it
// tells: an earlier coordinator granted it, or it was chosen without one.
type HeldSlot struct {
	ID      uint64
	Service string
	Target  string
}

// Session is the coordinator's side of one instance's requests. Its methods are safe for
// concurrent use.
type Session interface {
	Submit(Request)
	Release(Release)
	// Cancel ends a request, whether it waits or has a slot.
	Cancel(id uint64)
	// Adopt states slots that the instance uses. Of one that replaces a request, the
	// request must be cancelled before.
	Adopt([]HeldSlot)
	// Close ends the session. Slots that are still held count as used until the requests
	// in them must have ended.
	Close()
}

// Up is what an instance tells a coordinator at once.
type Up struct {
	Instance  string // in the first message of a stream
	Requests  []Request
	Releases  []Release
	Cancelled []uint64
	Held      []HeldSlot
}

// Down is what a coordinator tells an instance at once. Without any field it shows that
// the coordinator is alive.
type Down struct {
	Answers   []Answer
	Elsewhere string // the instance that ranks first, to which requests should go
}

// Stream is an instance's connection to a coordinator. Send and Receive may be called
// concurrently with each other.
type Stream interface {
	Send(Up) error
	Receive() (Down, error)
	Close()
}
