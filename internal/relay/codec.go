package relay

import (
	"context"
	"errors"
	"net/http"
	"time"

	"lynxhill.example/lynxhill/internal/fleet"
	"lynxhill.example/lynxhill/internal/route"
)

// PromptPart is a part of a prompt that several requests may have in common.
type PromptPart struct {
	ID     string
	Tokens int
}

// Prompt describes the prompt of a request for a model engine, as stated in the
// request.
type Prompt struct {
	Model       string
	TokensIn    int
	TokensOut   int // maximum number of tokens to generate
	ExpectedOut int // caller's estimate of the number of generated tokens; 0 = none
	Parts       []PromptPart
}

// Request is a caller's request, independent of the wire format. Header holds
// the fields that are forwarded to the target unchanged: no hop-by-hop fields,
// no API key, and no field that the system sets itself.
type Request struct {
	ID          string        // id of the caller's attempt
	Key         string        // API key; "" = none was sent
	Timeout     time.Duration // the caller's timeout; 0 = not stated
	Method      string
	Host        string
	URI         string // path and query, byte for byte as sent
	Path        string
	Header      http.Header
	Body        []byte
	Prompt      *Prompt // nil unless the request names a model
	Pieces      []int   // number of pieces of each stage; missing entries are 0
	PieceKey    string
	LastEventID string // id of the last event that the caller received; "" = a new stream
	Resumes     string // id of the caller's attempt that brought the first event of the stream; "" = not stated
}

// Call holds what the system adds to a request when it sends it to a target.
type Call struct {
	Target       fleet.Target
	Remaining    time.Duration // time left until the caller's deadline; 0 = no deadline
	Organisation string        // "" = none
	Inputs       []string      // stage results that the target fetches; nil = the request has no stages
	Priority     int           // of the request; negative = not stated
	ResumeAfter  string        // id of the event to resume after; "" = from the start or as the caller's header says
}

// ResponseHead holds the fields of a target's response head that the system evaluates.
type ResponseHead struct {
	ID     string // id of the attempt that the response belongs to; "" = not stated
	Signed bool   // the response carries the target's signature
	NotRun bool   // the target states that it has not run the request
	Load   *Load  // nil = not stated
}

// Load is the load that a target reports.
type Load struct {
	Running, Waiting, Slots int
	// Pace is how long work takes on the target at the moment, relative to its usual
	// duration: 2 = twice as long. 0 = not stated.
	Pace float64
}

// StatesPace reports whether the target states how long work takes on it at the moment.
func (l *Load) StatesPace() bool { return l != nil && l.Pace > 0 }

// Codec translates between HTTP messages and the types above. It is stateless.
type Codec interface {
	// ParseRequest parses the head of a caller's request; the ingress sets the body.
	// The error describes what is malformed.
	ParseRequest(r *http.Request) (*Request, error)
	// OutgoingHeader returns the header to send to a target with the request.
	OutgoingHeader(req *Request, call Call) http.Header
	// ParseResponse parses the head of a target's response.
	ParseResponse(r *http.Response) ResponseHead
	// ParseNotice parses what the head of a target's response asks of the senders of
	// requests (leaving, rate limit, pause). From a response of another target at
	// the same address only that target's identity is taken.
	ParseNotice(status int, h http.Header) fleet.Notice
	// ResponseHeader returns the header of a target's response without hop-by-hop
	// fields, as it is forwarded to the caller.
	ResponseHeader(h http.Header) http.Header
	// SetOwnHeader sets the header of a response that the system generates itself.
	// retryAfter is the delay after which the caller may retry; negative = not
	// stated.
	SetOwnHeader(h http.Header, req *Request, retryAfter time.Duration)
	// EncodeAddresses encodes the response to an address query.
	EncodeAddresses(addresses []string, ttl time.Duration) (contentType string, body []byte)
	// EventID returns the id of the event in a block of a stream, without its
	// line end, and whether the event has an id.
	EventID(block []byte) (string, bool)
}

// Piece is a piece of a stage as it is sent to a target.
type Piece struct {
	ID        string // id of the caller's attempt
	Stage     int
	Number    int
	Remaining time.Duration // time left until the deadline; 0 = no deadline
	Key       string        // set for a stage that needs no results
	Inputs    []string      // results of the preceding stages
}

// PieceStatus says whether a piece has a result, and if not, why.
type PieceStatus int

// The values of PieceStatus.
const (
	PieceDone         PieceStatus = iota
	PieceExpired                  // the deadline had passed when its turn came
	PieceInputMissing             // an input no longer exists
	PieceNoMemory                 // the target has no memory for the result
	PieceError                    // the target failed to process it, or the call broke off
)

// String returns the status as it is written to logs.
func (f PieceStatus) String() string {
	return [...]string{"made", "late", "gone", "room", "error"}[f]
}

// PieceResult is the handle of a piece's result, which the target that computed
// it stores, or the reason why there is no result.
type PieceResult struct {
	Handle string
	Status PieceStatus
}

// StageReport is the state that a stage target reports about itself.
type StageReport struct {
	Queued    int
	Busy      bool
	FreeBytes int64 // upper bound of the free memory for results, in bytes
}

// ErrOtherStart is the error for what a target reports of another start than the one that
// is listed.
var ErrOtherStart = errors.New("the report is of another start of the target")

// StageClient calls stage targets.
type StageClient interface {
	// Run processes pieces. full reports that the target did not accept the
	// call; after any other error it is unknown whether the target processed
	// any of them. On success there is one result for each piece, in order.
	Run(ctx context.Context, t fleet.Target, pieces []Piece) (results []PieceResult, full bool, err error)
	// Free releases results at the target that stores them.
	Free(ctx context.Context, address string, handles []string) error
	// Report queries a target's StageReport. The error is ErrOtherStart if it is one of
	// another start than t, as with CachedParts.
	Report(ctx context.Context, t fleet.Target) (StageReport, error)
	// CachedParts queries which prompt parts a model engine has in its cache, in no
	// particular order. The query costs the engine some processing time.
	CachedParts(ctx context.Context, engine fleet.Target) ([]PromptPart, error)
}

// Decoder decodes the configuration from the format in the platform's store.
type Decoder interface {
	// Table decodes the declared routes. The returned table is built
	// (route.Table.Build).
	Table(value []byte) (*route.Table, error)
	// Target decodes an entry of the target list.
	Target(id string, value []byte) (fleet.Target, error)
}
