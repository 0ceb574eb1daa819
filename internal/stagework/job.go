package stagework

import (
	"time"

	"lynxhill.example/lynxhill/internal/relay"
	"lynxhill.example/lynxhill/internal/route"
)

// Job is a request's work before its last call, as its owner hands it to a
// dispatcher.
type Job struct {
	ID           string // of the caller's attempt
	Key          string // names the inputs of the first stages
	Organisation string
	Route        string    // kind of request, among which what is short is shared out
	Owner        string    // instance that holds the request and sends it to the engine
	Priority     int       // 0 is the most urgent
	Aim          time.Time // the first event is on time until then
	Deadline     time.Time // the caller waits until then
	Stages       []route.Stage
	Pieces       []int  // of each stage; missing ones are 0
	Service      string // of the engine
	Prompt       *relay.Prompt
	Place        string   // of the instance that holds the request
	Cell         []string // places whose targets do the work; nil = all
	Avoid        []string // engines that have failed this request
	Made         []Made   // results that the dispatcher before had made
	Insist       Insistence
}

// pieces returns the number of pieces of a stage.
func (j *Job) pieces(stage int) int {
	if stage >= len(j.Pieces) {
		return 0
	}
	return j.Pieces[stage]
}

// Insistence says why a job comes to an instance that may not rank first.
type Insistence int

// Degrees of insistence.
const (
	// InsistNot is for an instance that the owner holds for the first.
	InsistNot Insistence = iota
	// InsistRemembered is where the owner did not reach another of late.
	InsistRemembered
	// InsistTried is where the owner tried the one that was named, in vain.
	InsistTried
)

// Made is the result of a piece. The owner of a job keeps what its dispatcher
// has made: if that is lost, the next one goes on from there. Without this the
// results of a dispatcher that died take room at their makers until their
// lifetime ends, while the next one makes them again.
type Made struct {
	Stage, Number int
	Target        string // id of its maker
	Handle        string
	Age           time.Duration
}

// hasPieces reports whether the job has stage work.
func (j *Job) hasPieces() bool {
	for _, n := range j.Pieces {
		if n > 0 {
			return true
		}
	}
	return false
}

// session names the prompt part by which requests of one session are kept
// together: the last but one, since the last belongs to the request alone.
func (j *Job) session() string {
	if j.Prompt == nil || len(j.Prompt.Parts) == 0 {
		return ""
	}
	return j.Prompt.Parts[max(len(j.Prompt.Parts)-2, 0)].ID
}

// Placement is what a dispatcher decides for a job.
type Placement struct {
	Target  string // id of the engine
	Address string
	Inputs  []string // results for the engine; nil if the request has no stages
}

// Refusal says why a job is not done.
type Refusal struct {
	Reason     string
	RetryAfter time.Duration
	// Forecast is how long the job would have taken, where that is the reason.
	Forecast time.Duration
	// Elsewhere names the instance that ranks first, where that is the reason.
	Elsewhere string
	// Dispatcher is the instance that refused.
	Dispatcher string
}

// Reasons of refusals.
const (
	ReasonLate     = "cannot be done in time"
	ReasonNoTarget = "no target takes work"
	ReasonFailed   = "pieces failed too often"
	ReasonAlone    = "the other instances are not reached"
	ReasonNotFirst = "another instance ranks first"
)

// call is a call of a stage target that the planner wants made.
type call struct {
	number            int
	server            *server
	pieces            []*piece
	sent              time.Time
	nominal, expected time.Duration
}

// pieceState is how far a piece is.
type pieceState int

const (
	pieceWaiting pieceState = iota
	pieceRunning
	pieceMade
)

// piece is one piece of a unit.
type piece struct {
	unit   *unit
	number int
	state  pieceState
	server *server // that runs it or holds its result
	handle string
	made   time.Time
	tries  int
}

// unit is one stage of one job.
type unit struct {
	job       *job
	stage     int
	service   *service
	bytes     int64 // of one result
	pieces    []*piece
	waiting   int
	unmade    int
	after     []*unit
	followers []*unit
	reserved  bool // room is set aside for all its results
	freed     bool
	readyAt   time.Time // when a plan first found it ready
	rank      rank      // in the newest plan that had a use for it
	queued    int       // number among the units that were put to wait at the service
}

// done reports whether all its results are there.
func (u *unit) done() bool { return u.unmade == 0 }

// ready reports whether its pieces can be made now.
func (u *unit) ready() bool {
	for _, a := range u.after {
		if !a.done() {
			return false
		}
	}
	return u.waiting > 0
}

// jobState is how far a job is.
type jobState int

const (
	jobStaging jobState = iota
	jobPlaced           // an engine was chosen, its answer has not begun
	jobRunning          // the engine's answer has begun
	jobEnded
)

// job is a Job with its progress.
type job struct {
	Job
	units   []*unit // of the stages that have pieces
	leaves  []*unit // those whose results the engine reads
	state   jobState
	pool    *pool // of the engines
	engine  *engine
	session string // id of the part that names the session, "" = none
	arrived time.Time
	ownTime time.Duration // what it needs until the first event if nothing waits
	judged  time.Time     // when a late job was last judged
	late    bool          // it cannot be on time; it gets what the others leave
	placed  time.Time
	missing int // prompt tokens that the engine has to read
	notify  func(Placement, *Refusal)
	made    func([]Made) // tells the owner of results; nil = it is not told
	lost    func([]Made) // gives the job back to its owner with its results
	leaving bool         // it is given back once none of its pieces is being made
}

// staged reports whether all results are there.
func (j *job) staged() bool {
	for _, u := range j.units {
		if !u.done() && !u.passed() {
			return false
		}
	}
	return true
}

// passed reports whether the unit's results were used by all that need them.
func (u *unit) passed() bool {
	if len(u.followers) == 0 {
		return false
	}
	for _, f := range u.followers {
		if !f.done() && !f.passed() {
			return false
		}
	}
	return true
}
