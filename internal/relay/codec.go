package relay

import (
	"context"
	"net/http"
	"time"

	"lynxhill.example/lynxhill/internal/fleet"
	"lynxhill.example/lynxhill/internal/route"
)

// PromptPart is a part of a prompt that requests may share.
type PromptPart struct {
	ID     string
	Tokens int
}

// Prompt is what a request for a model engine says about its size.
type Prompt struct {
	Model     string
	TokensIn  int
	TokensOut int // most that may be generated
	LikelyOut int // the caller's estimate; 0 = none
	Parts     []PromptPart
}

// Request is a caller's request as the product sees it. Header holds what is
// passed on to the target unchanged: nothing that concerns one connection, no
// key, and nothing that the system sets itself.
type Request struct {
	ID        string        // of the caller's attempt
	Key       string        // "" = none was sent
	Wait      time.Duration // how long the caller will wait; 0 = it did not say
	Method    string
	Host      string
	URI       string // path and query as they were sent
	Path      string
	Header    http.Header
	Body      []byte
	Prompt    *Prompt // nil unless the request names a model
	Pieces    []int   // of each stage; shorter than the stages = 0 for the rest
	PieceKey  string
	ResumedAt string // the last event that the caller has; "" = a new stream
}

// Call is what the system adds to a request on its way to one target.
type Call struct {
	Target       fleet.Target
	Left         time.Duration // what is left of the caller's time; 0 = not bounded
	Organisation string        // "" = none
	Inputs       []string      // results that the target fetches; nil = the request has no stages
	Priority     int           // of the request; negative = not said
	ResumeAt     string        // go on after this event; "" = from the start or as the caller asked
}

// Answer is what the head of a target's answer says to the system.
type Answer struct {
	ID     string // of the attempt that it answers; "" = it does not say
	Signed bool   // it bears the target's signature
	NotRun bool   // the target says that it has not run the request
	Load   *Load  // nil = it does not say
}

// Load is how busy a target says it is.
type Load struct {
	Running, Waiting, Slots int
}

// Codec translates between HTTP messages and the types above. It holds no
// state.
type Codec interface {
	// Request reads the head of a caller's request; the body is set by the
	// ingress. The error says what is malformed.
	Request(r *http.Request) (*Request, error)
	// Outgoing returns the header of the request on its way to a target.
	Outgoing(req *Request, call Call) http.Header
	// Answer reads the head of a target's answer.
	Answer(r *http.Response) Answer
	// Notice reads what the head of a target's answer asks of those who send it
	// requests. An answer of another target at the same address says only whose
	// it is.
	Notice(status int, h http.Header) fleet.Notice
	// AnswerHeader returns the header of a target's answer as its caller gets
	// it: without what concerns one connection.
	AnswerHeader(h http.Header) http.Header
	// Own sets the header of an answer that the system gives by itself.
	// retryAfter is when the caller may come back; negative = not said.
	Own(h http.Header, req *Request, retryAfter time.Duration)
	// Addresses answers the question where to connect.
	Addresses(addresses []string, ttl time.Duration) (contentType string, body []byte)
	// EventID returns the id of the event in a block of a stream, without the
	// line that ends it, and whether it has one.
	EventID(block []byte) (string, bool)
}

// Piece is a piece of a stage on its way to a target.
type Piece struct {
	ID     string // of the caller's attempt
	Stage  int
	Number int
	Left   time.Duration // 0 = not bounded
	Key    string        // of a stage that needs no results
	Inputs []string      // results of the stages before
}

// PieceFault says why a piece was not made.
type PieceFault int

// Faults of pieces.
const (
	PieceMade  PieceFault = iota
	PieceLate             // its time had run out at its turn
	PieceGone             // an input is gone
	PieceRoom             // no room for the result
	PieceError            // the target failed it, or the call broke off
)

// String returns the fault as it stands in logs.
func (f PieceFault) String() string {
	return [...]string{"made", "late", "gone", "room", "error"}[f]
}

// PieceResult is a piece's result, which lies at its maker, or why there is
// none.
type PieceResult struct {
	Handle string
	Fault  PieceFault
}

// StageReport is a stage target's own report.
type StageReport struct {
	Queued   int
	Busy     bool
	FreeRoom int64 // bytes, at most
}

// StageClient calls stage targets.
type StageClient interface {
	// Run makes pieces. full says that the target did not take the call; any
	// other error leaves open whether it worked on it. On success there is one
	// result for each piece, in order.
	Run(ctx context.Context, t fleet.Target, pieces []Piece) (results []PieceResult, full bool, err error)
	// Free gives up results at their maker.
	Free(ctx context.Context, address string, handles []string) error
	// Report asks a target for its report.
	Report(ctx context.Context, t fleet.Target) (StageReport, error)
	// Kept asks a model engine which prompt parts it keeps, in no order that
	// means anything. It costs the engine some of its time.
	Kept(ctx context.Context, engine fleet.Target) ([]PromptPart, error)
}

// Decoder reads the configuration as the platform's store holds it.
type Decoder interface {
	// Table reads the declared routes. The table is built.
	Table(value []byte) (*route.Table, error)
	// Target reads an entry of the target list.
	Target(id string, value []byte) (fleet.Target, error)
}
