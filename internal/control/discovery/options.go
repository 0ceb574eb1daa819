// Package discovery maintains the board's targets from the platform's instance
// list, which lags and may be unavailable. A target gets no new work from the
// first sign that it is leaving, whatever the source; only newer live signs make
// it available again. A target that is missing from the list is kept while it
// answers.
package discovery

import (
	"math/rand/v2"
	"time"

	"lynxhill.example/lynxhill/internal/board"
	"lynxhill.example/lynxhill/internal/clock"
	"lynxhill.example/lynxhill/internal/defaults"
	"lynxhill.example/lynxhill/internal/event"
	"lynxhill.example/lynxhill/internal/metrics"
	"lynxhill.example/lynxhill/internal/store"
)

// Defaults of Options.
const (
	DefaultListEvery     = 2 * time.Second
	DefaultSlowListEvery = time.Minute
	DefaultListers       = 2
	DefaultListLag       = 30 * time.Second
	DefaultMissingGrace  = 15 * time.Second
	DefaultKeepMissing   = 5 * time.Minute
	DefaultAnswerWithin  = 15 * time.Second
)

// Options configure a Controller.
type Options struct {
	// Lister reads the instance list. If it is nil, Store is used.
	Lister  store.InstanceLister
	Store   store.InstanceLister
	Board   *board.Board
	Clock   clock.Clock
	Rand    *rand.Rand
	Logger  *event.Logger
	Metrics *metrics.Registry
	Self    string
	Zone    string
	// Peers, if set, are queried for their targets while the list cannot be read
	// and no target is known.
	Peers Puller
	// RequestExchanges, if set, makes membership exchange digests at once. It must
	// not block. It is called when a leaving mark is new on this instance.
	RequestExchanges func()
	// ListEvery is how often the listers of an availability zone read the list.
	// The other instances read it every SlowListEvery, and sooner when a peer's
	// digest names a target that they do not know.
	ListEvery     time.Duration
	SlowListEvery time.Duration
	// Listers is the number of listers in each zone.
	Listers int
	// ListLag is the longest time by which the list may lag. A live entry that was
	// read less than this after a leaving mark does not clear the mark.
	ListLag time.Duration
	// MissingGrace is how long a target may be missing from the list before it is
	// removed if it does not answer, KeepMissing if it does.
	MissingGrace time.Duration
	KeepMissing  time.Duration
	// AnswerWithin is the greatest age of its latest load report at which a
	// target counts as answering.
	AnswerWithin time.Duration
}

func (o Options) withDefaults() Options {
	if o.Lister == nil {
		o.Lister = o.Store
	}
	defaults.Positive(&o.ListEvery, DefaultListEvery)
	defaults.Positive(&o.SlowListEvery, DefaultSlowListEvery)
	defaults.Positive(&o.ListLag, DefaultListLag)
	defaults.Positive(&o.MissingGrace, DefaultMissingGrace)
	defaults.Positive(&o.KeepMissing, DefaultKeepMissing)
	defaults.Positive(&o.AnswerWithin, DefaultAnswerWithin)
	defaults.Positive(&o.Listers, DefaultListers)
	return o
}
