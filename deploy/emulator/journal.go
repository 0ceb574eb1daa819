// Package emulator holds the project's own stand-ins of the users' platform:
// the metadata store, model servers, plain services, stage servers, and clients
// that check what they get. They are small fakes at the interfaces, for tests
// over loopback sockets and, with the network Memory, in virtual time
// (testing/synctest). They read time by package time only, and draw every
// chance from a *rand.Rand that the caller injects.
package emulator

import (
	"fmt"
	"hash/fnv"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Outcomes of a Run. A run that is still at work has none ("").
const (
	Whole   = "whole"   // the full answer was written
	Dropped = "dropped" // the connection to the server closed first
	Late    = "late"    // stopped at its Deadline-Ms
	Broken  = "broken"  // a fault of the server spoilt or withheld the answer
	Crashed = "crashed" // the server ended
)

// Run is one execution of a request at a server.
type Run struct {
	ID       string // unique; holds the server's instance
	Attempt  string // Attempt-Id
	Server   string // instance
	Service  string
	Version  string // of the server's software
	Tenant   string // the header Tenant
	Method   string
	Path     string      // path and query
	Header   http.Header // as received
	BodySum  string      // Sum of the body, "" if it wasn't read whole
	From     int         // Last-Event-Id, 0 if it began at the start
	Events   int         // id of the last event written
	Status   int         // of the answer, 0 before
	Outcome  string
	Began    time.Time
	Ended    time.Time // zero while it is at work
	Crossing bool      // answered before the body was read
}

// Piece is one result that a stage server made.
type Piece struct {
	Handle       string // "" until made
	Attempt      string
	Server       string
	Service      string
	Stage, Index int
	Key          string   // Piece-Key, of stages without inputs
	Inputs       []string // handles
	Began, Ended time.Time
}

// Journal records what servers did. All servers of a world share one.
type Journal struct {
	mu      sync.Mutex
	runs    []*Run
	pieces  []Piece
	refused map[string]int // attempt id -> arrivals that weren't run
	wrong   []Violation
	// arrivals are the requests that reached servers, in order of arrival.
	arrivals []arrival
	crashes  []crash              // of servers under a Poison
	history  map[string][]Arrival // by attempt id
	// onConnection counts the requests of clients by server and other end.
	onConnection map[string]int
}

// NewJournal returns an empty journal.
func NewJournal() *Journal {
	return &Journal{refused: make(map[string]int), history: make(map[string][]Arrival), onConnection: make(map[string]int)}
}

// Runs returns copies of all runs, in the order in which they began.
func (j *Journal) Runs() []Run {
	j.mu.Lock()
	defer j.mu.Unlock()
	runs := make([]Run, len(j.runs))
	for i, run := range j.runs {
		runs[i] = *run
	}
	return runs
}

// Pieces returns all results that were made, in the order of completion.
func (j *Journal) Pieces() []Piece {
	j.mu.Lock()
	defer j.mu.Unlock()
	return slices.Clone(j.pieces)
}

// Refused returns the number of arrivals that servers refused, by attempt id.
func (j *Journal) Refused() map[string]int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return maps.Clone(j.refused)
}

func (j *Journal) begin(run *Run) *Run {
	j.mu.Lock()
	defer j.mu.Unlock()
	run.Began = time.Now()
	j.runs = append(j.runs, run)
	return run
}

// update changes a run; its fields may be touched in change only.
func (j *Journal) update(run *Run, change func(*Run)) {
	j.mu.Lock()
	defer j.mu.Unlock()
	change(run)
}

func (j *Journal) end(run *Run, outcome string, status int) {
	j.update(run, func(r *Run) {
		if r.Ended.IsZero() {
			r.Ended, r.Outcome, r.Status = time.Now(), outcome, status
		}
	})
}

// crash ends all runs of a server.
func (j *Journal) crash(instance string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, run := range j.runs {
		if run.Server == instance && run.Ended.IsZero() {
			run.Ended, run.Outcome = time.Now(), Crashed
		}
	}
}

func (j *Journal) addPiece(piece Piece) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.pieces = append(j.pieces, piece)
}

func (j *Journal) refuse(attempt string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.refused[attempt]++
}

// violate records a broken promise that a server saw by itself.
func (j *Journal) violate(name, attempt, format string, args ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.wrong = append(j.wrong, newViolation(name, attempt, format, args...))
}

// Sum is the hash over parts, in hexadecimal.
func Sum(parts ...string) string {
	h := fnv.New64a()
	for _, part := range parts {
		h.Write([]byte(part))
		h.Write([]byte{0})
	}
	return strconv.FormatUint(h.Sum64(), 16)
}

// Signature is the parsed Server-Signature, "KIND.RUN.STATUS.SIZE.HASH".
type Signature struct {
	Stream bool
	Run    string
	Status int
	Size   int // bytes of the body, or the id of the last event of a stream
	hash   string
}

func sign(attempt string, s Signature, body string) string {
	kind := "p"
	if s.Stream {
		kind = "s"
	}
	text := fmt.Sprintf("%s.%s.%d.%d", kind, s.Run, s.Status, s.Size)
	return text + "." + Sum(attempt, text, body)
}

// ParseSignature reads a Server-Signature.
func ParseSignature(text string) (Signature, error) {
	f := strings.Split(text, ".")
	if len(f) != 5 {
		return Signature{}, fmt.Errorf("signature %q has %d fields", text, len(f))
	}
	status, statusErr := strconv.Atoi(f[2])
	size, sizeErr := strconv.Atoi(f[3])
	if statusErr != nil || sizeErr != nil {
		return Signature{}, fmt.Errorf("signature %q: bad number", text)
	}
	return Signature{Stream: f[0] == "s", Run: f[1], Status: status, Size: size, hash: f[4]}, nil
}

// Verify reports whether the signature is of this attempt and body; for
// streams the body is "" (their events name their runs).
func (s Signature) Verify(attempt, body string) bool {
	full := sign(attempt, s, body)
	return strings.HasSuffix(full, "."+s.hash) && (s.Stream || s.Size == len(body))
}
