package stagework

import (
	"time"

	"lynxhill.example/lynxhill/internal/relay"
	"lynxhill.example/lynxhill/internal/reservation"
	"lynxhill.example/lynxhill/internal/route"
)

// Job is the work of a request before its final (engine) call, as its owner
// submits it to a dispatcher.
type Job struct {
	ID              string // ID of the caller's attempt
	Key             string // identifies the inputs of the first stages
	Organisation    string
	Route           string    // route of the request; scarce capacity is shared fairly among routes
	Owner           string    // instance that handles the request and sends it to the engine
	Priority        int       // of the organisation or else of the route; 0 is the most urgent
	RoutePriority   int       // of the route
	Arrived         time.Time // when the owner received the request; zero = not known
	OnTimeUntil     time.Time // latest time for the first event to be on time
	Deadline        time.Time // time at which the caller gives up
	Stages          []route.Stage
	Pieces          []int  // number of pieces of each stage; missing entries are 0
	Service         string // engine service
	Prompt          *relay.Prompt
	Zone            string      // availability zone of the owner
	Cell            []string    // zones whose targets may do the work; nil = all
	ExcludedEngines []string    // engines that have failed this request
	Binding         *Binding    // nil = any engine may run the job
	Results         []ResultRef // results produced under the previous dispatcher
	CallerKey       string      // identifies the work across the attempts of its caller; "" = unknown
	// Reservations were made for callers of the owner by an earlier dispatcher of the cell.
	Reservations []reservation.Copy
	RankOverride RankOverride
}

func (j *Job) pieces(stage int) int {
	if stage >= len(j.Pieces) {
		return 0
	}
	return j.Pieces[stage]
}

// Binding restricts a job to the engines of one software version: its caller has
// received events of that version, and those of another do not fit them.
type Binding struct {
	Build string
	// Zones are those in which the owner lists such engines. They are for the owner's
	// Finder only and not sent to dispatchers.
	Zones []string
}

// allows reports whether an engine of the build may run the job.
func (b *Binding) allows(build string) bool { return b == nil || b.Build == build }

// RankOverride says why an owner sends a job to an instance that may not rank
// first.
type RankOverride int

// Values of RankOverride.
const (
	// NoRankOverride: the owner believes that the instance ranks first.
	NoRankOverride RankOverride = iota
	// OverrideRecentlyUnreachable: the owner recently failed to reach a
	// higher-ranked instance.
	OverrideRecentlyUnreachable
	// OverrideUnreachable: the owner tried the instance named in a refusal and
	// failed to reach it.
	OverrideUnreachable
)

// ResultRef is a reference to the result of a piece. The owner of a job keeps these
// references, so that the next dispatcher can reuse the results if the current
// one is lost. Otherwise the results of a crashed dispatcher take up memory on
// their targets until they expire, while the next dispatcher has the same
// pieces executed again.
type ResultRef struct {
	Stage, Number int
	Target        string // ID of the target that holds the result
	Handle        string
	Age           time.Duration
}

// hasPieces reports whether the job has any stage work.
func (j *Job) hasPieces() bool {
	for _, n := range j.Pieces {
		if n > 0 {
			return true
		}
	}
	return false
}

// session returns the ID of the prompt part by which requests of one session
// are kept on one engine. It is the last part but one, since the last part is
// unique to the request.
func (j *Job) session() string {
	if j.Prompt == nil || len(j.Prompt.Parts) == 0 {
		return ""
	}
	return j.Prompt.Parts[max(len(j.Prompt.Parts)-2, 0)].ID
}

// Placement is the engine that a dispatcher chose for a job.
type Placement struct {
	Target  string // engine ID
	Address string
	Inputs  []string // handles of the results for the engine; nil if the request has no stages
}

// Refusal says why a job was refused.
type Refusal struct {
	Reason     string
	RetryAfter time.Duration
	// Forecast is the predicted time to the first event, if that is why the job
	// was refused.
	Forecast time.Duration
	// FirstRanked is the instance that ranks first, if that is why the job was
	// refused.
	FirstRanked string
	// Rule is the rule of the shares by which the job became late, if that is why
	// it was refused and shares are in force.
	Rule string
	// Dispatcher is the instance that refused the job.
	Dispatcher string
	// Reserved: capacity is reserved for the caller's return after RetryAfter.
	Reserved bool
	// ReservedOnTime: the caller is served on time if it is back then.
	ReservedOnTime bool
}

// Reasons for refusals.
const (
	ReasonLate     = "cannot be done in time"
	ReasonNoTarget = "no target takes work"
	ReasonNoBuild  = "no target of the stream's software version takes work"
	ReasonFailed   = "pieces failed too often"
	ReasonIsolated = "the other instances are not reached"
	ReasonNotFirst = "another instance ranks first"
	ReasonCrashes  = "stage targets crashed while they ran such requests"
	// ReasonTooManyPieces: all targets together could not make the job's pieces in time, or
	// not keep their results.
	ReasonTooManyPieces = "more pieces than the targets can make"
	// ReasonPiecesFull: the pieces of the accepted jobs take all memory for pieces.
	ReasonPiecesFull = "as many pieces wait as may"
)

// call is a call of a stage target that the planner has decided on.
type call struct {
	number            int
	target            *stageTarget
	pieces            []*piece
	sent              time.Time
	nominal, expected time.Duration
}

// pieceState is the state of a piece.
type pieceState int

const (
	pieceWaiting pieceState = iota
	pieceRunning
	pieceDone
)

// piece is one independently executable part of a work unit.
type piece struct {
	unit     *workUnit
	number   int
	state    pieceState
	target   *stageTarget // target that runs the piece or holds its result
	handle   string
	madeAt   time.Time
	took     time.Duration // its part of the call that made the result
	attempts int
}

// workUnit is one stage of one job.
type workUnit struct {
	job         *job
	stage       int
	service     *service
	resultBytes int64 // size of one result
	pieces      []*piece
	waiting     int
	unfinished  int
	inputs      []*workUnit // units whose results this one reads
	dependents  []*workUnit
	reserved    bool      // memory is reserved for all its results
	freed       bool      // its results have been released
	readyAt     time.Time // when a plan first found it ready
	rank        rank      // in the latest plan that ranked it
	enqueueSeq  int       // sequence number in the service's queue
}

// done reports whether all results of the unit are available.
func (u *workUnit) done() bool { return u.unfinished == 0 }

// ready reports whether the unit has waiting pieces and all their inputs are
// available.
func (u *workUnit) ready() bool {
	for _, a := range u.inputs {
		if !a.done() {
			return false
		}
	}
	return u.waiting > 0
}

// jobState is the state of a job.
type jobState int

const (
	jobStaging jobState = iota
	jobPlaced           // an engine was chosen; its answer has not started
	jobRunning          // the engine's answer has started
	jobEnded
)

// job is a Job with its scheduling state.
type job struct {
	Job
	units          []*workUnit // units of the stages that have pieces
	finalUnits     []*workUnit // units whose results the engine reads
	state          jobState
	pool           *pool // engines of the job's service
	engine         *engine
	session        string // ID of the prompt part that identifies the session; "" = none
	arrived        time.Time
	firstArrived   time.Time     // of the caller's first attempt, as far as it is known
	claimed        bool          // its caller claimed a reservation
	claimedOnTime  bool          // and was to be on time
	minTime        time.Duration // time to the first event without any queueing
	lateCheckedAt  time.Time     // when a late job was last checked by acceptLate
	urgency        int           // its priority, or that of a more urgent one within whose capacity it has a floor
	shares         jobShares
	discarded      resultOutcome // what becomes of results that are not read when the job ends
	late           bool          // it cannot be on time; it gets only capacity that on-time jobs leave
	placedAt       time.Time
	uncachedTokens int // prompt tokens that the engine has to process, since they are not in its cache
	notify         func(Placement, *Refusal)
	onResults      func([]ResultRef) // reports results to the owner; nil = they are not reported
	onReturn       func([]ResultRef) // returns the job with its results to the owner
	returning      bool              // to be returned to the owner once none of its pieces is running
	suspicion      suspicion
}

// resultsReady reports whether all results that the engine reads are available.
func (j *job) resultsReady() bool {
	for _, u := range j.units {
		if !u.done() && !u.consumed() {
			return false
		}
	}
	return true
}

// consumed reports whether all units that need the unit's results have
// finished.
func (u *workUnit) consumed() bool {
	if len(u.dependents) == 0 {
		return false
	}
	for _, f := range u.dependents {
		if !f.done() && !f.consumed() {
			return false
		}
	}
	return true
}
