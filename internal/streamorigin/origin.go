// Package streamorigin keeps where streams began: the service, and the version of its
// software (short: build), whose target sent a stream's first event. A stream may go on at
// that build only, and a caller whose connection broke may take it up at any instance,
// while the one that began it may be gone.
//
// Origins are soft state in the memory of a few instances. A record is written once, with
// the first event, and never changes, so that whoever has it has the right one. If none is
// found the stream can't go on; nothing else depends on it. See
// docs/design/stream-origins.md.
package streamorigin

import (
	"errors"
	"time"
)

// maxNameLength bounds ids and names in records, in bytes.
const maxNameLength = 128

// Key identifies a stream.
type Key struct {
	Organisation string // of the caller; "" = none
	Attempt      string // id of the caller's attempt that brought the stream's first event
}

// Valid reports whether there can be a record of the stream.
func (k Key) Valid() bool {
	return k.Attempt != "" && len(k.Attempt) <= maxNameLength && len(k.Organisation) <= maxNameLength
}

// Origin is where a stream began.
type Origin struct {
	Service string
	Build   string
}

func (o Origin) valid() bool { return len(o.Service) <= maxNameLength && len(o.Build) <= maxNameLength }

// Record is the origin of a stream as instances send it to one another.
type Record struct {
	Key
	Origin
	ExpiresIn time.Duration
	// Ambiguous reports that streams of several origins began with this key, so that none
	// of them can go on.
	Ambiguous bool
}

var (
	// ErrUnknown is the error for a stream of which no instance that was asked has a record.
	ErrUnknown = errors.New("streamorigin: the stream is not known")
	// ErrUnconfirmed is the error for a stream of which no record was found, while instances
	// that may have one did not answer.
	ErrUnconfirmed = errors.New("streamorigin: the instances that may know the stream are not reached")

	errAnswers = errors.New("streamorigin: not an answer to each query")
)
