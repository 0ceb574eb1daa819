package emulator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Stage is a stage of a route, as the configuration spells it.
type Stage struct {
	Service   string `json:"service"`
	After     []int  `json:"after"`
	ByteCount int64  `json:"byte_count"`
}

// StageOptions of a stage server.
type StageOptions struct {
	Batch       int           // items in a call at most
	CallLatency time.Duration // of each call
	ItemLatency time.Duration // of each item
	Room        int64         // bytes for results
	HandleTTL   time.Duration
	LinkMbps    float64       // for inputs; 0: no time
	ResultBytes map[int]int64 // size of a result, by the number of its stage
	ErrorShare  float64       // share of items that fail
	Registry    *Registry     // shared by all stage and model servers
}

// pieceKey tells the pieces of a request apart.
type pieceKey struct{ stage, index int }

// finalPieces are the pieces of all stages that no other stage follows.
func finalPieces(stages []Stage, counts []int) map[pieceKey]bool {
	followed := make(map[int]bool)
	for _, stage := range stages {
		for _, n := range stage.After {
			followed[n] = true
		}
	}
	var last []int
	for n := range stages {
		if !followed[n] {
			last = append(last, n)
		}
	}
	return piecesOf(last, counts)
}

// piecesOf are all pieces of some stages.
func piecesOf(stages, counts []int) map[pieceKey]bool {
	pieces := make(map[pieceKey]bool)
	for _, n := range stages {
		for i := range counts[n] {
			pieces[pieceKey{n, i}] = true
		}
	}
	return pieces
}

// result is a piece that exists.
type result struct {
	Piece
	bytes int64
	until time.Time // zero while it is made
}

// Registry holds the results that exist, of all stage servers.
type Registry struct {
	mu      sync.Mutex
	results map[string]*result
	count   int
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry { return &Registry{results: make(map[string]*result)} }

func (g *Registry) find(handle string) (result, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r, ok := g.results[handle]
	if !ok || r.until.IsZero() || !time.Now().Before(r.until) {
		return result{}, false
	}
	return *r, true
}

// reserve takes room bytes for a piece; it reports whether there was room.
func (g *Registry) reserve(address string, piece Piece, bytes, room int64) (string, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.usedLocked(piece.Server)+bytes > room {
		return "", false
	}
	g.count++
	piece.Handle = fmt.Sprintf("%s/%s%x", address, Sum(piece.Attempt, piece.Server)[:8], g.count)
	g.results[piece.Handle] = &result{Piece: piece, bytes: bytes}
	return piece.Handle, true
}

// usedLocked drops what has expired and returns the bytes a server holds.
func (g *Registry) usedLocked(server string) int64 {
	now, used := time.Now(), int64(0)
	maps.DeleteFunc(g.results, func(_ string, r *result) bool { return !r.until.IsZero() && !now.Before(r.until) })
	for _, r := range g.results {
		if r.Server == server {
			used += r.bytes
		}
	}
	return used
}

// Used returns the bytes of results that a server holds.
func (g *Registry) Used(server string) int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.usedLocked(server)
}

// finish makes a reserved result available for ttl. It reports whether the
// result is still there.
func (g *Registry) finish(handle string, ttl time.Duration) (Piece, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r, ok := g.results[handle]
	if !ok {
		return Piece{}, false
	}
	r.Ended, r.until = time.Now(), time.Now().Add(ttl)
	return r.Piece, true
}

// free removes results of a server: those of handles, or all for nil.
func (g *Registry) free(server string, handles []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	maps.DeleteFunc(g.results, func(handle string, r *result) bool {
		return r.Server == server && (handles == nil || slices.Contains(handles, handle))
	})
}

// StageServer makes results for stages.
type StageServer struct {
	*Target
	stage StageOptions
}

// NewStageServer returns a stage server.
func NewStageServer(o TargetOptions, stage StageOptions) *StageServer {
	return &StageServer{newTarget(o, 0), stage}
}

// Close ends the server; its results are gone.
func (s *StageServer) Close() {
	s.Target.Close()
	s.stage.Registry.free(s.options.Instance, nil)
}

// item of a call.
type item struct {
	ID          string   `json:"id"`
	Stage       int      `json:"stage"`
	Piece       int      `json:"piece"`
	RemainingMs *int64   `json:"remaining_ms"`
	Key         string   `json:"key"`
	Inputs      []string `json:"inputs"`
}

// itemResult of a call: either is set.
type itemResult struct {
	Handle string `json:"handle,omitempty"`
	Reason string `json:"reason,omitempty"`
}

// ServeHTTP implements http.Handler.
func (s *StageServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet && r.URL.Path == reportPath {
		s.ask(w, r)
		s.report(w)
		return
	}
	if !s.arrive(w, r) {
		return
	}
	switch r.URL.Path {
	case "/lynxhill/stage-run":
		s.run(w, r)
	case "/lynxhill/stage-free":
		s.freeCall(w, r)
	default:
		s.refuse(w, r, http.StatusNotFound)
	}
}

func (s *StageServer) report(w http.ResponseWriter) {
	active, waiting, _ := s.gate.load()
	free := float64(s.stage.Room-s.stage.Registry.Used(s.options.Instance)) / 1e6
	report := map[string]any{"queued_requests": waiting, "busy": active, "free_memory_mb": free}
	if s.options.Born != 0 {
		report["born"] = s.options.Born
	}
	writeJSON(w, http.StatusOK, report)
}

func (s *StageServer) freeCall(w http.ResponseWriter, r *http.Request) {
	var call struct {
		Handles []string `json:"handles"`
	}
	if json.NewDecoder(r.Body).Decode(&call) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.stage.Registry.free(s.options.Instance, append([]string{}, call.Handles...))
	w.WriteHeader(http.StatusOK)
}

func (s *StageServer) run(w http.ResponseWriter, r *http.Request) {
	var call struct {
		Entries []item `json:"entries"`
	}
	body, err := readBody(r)
	if err != nil {
		drop(w)
		return
	}
	if json.Unmarshal(body, &call) != nil || len(call.Entries) == 0 || len(call.Entries) > s.stage.Batch {
		s.refuse(w, r, http.StatusBadRequest)
		return
	}
	arrived := time.Now()
	if err := s.gate.acquire(r.Context(), 5, 0); err != nil {
		if errors.Is(err, errFull) {
			s.refuse(w, r, http.StatusServiceUnavailable)
		}
		return
	}
	defer s.gate.release(0)
	s.serve(w, r, call.Entries, arrived)
}

// serve does a call at its turn.
func (s *StageServer) serve(w http.ResponseWriter, r *http.Request, items []item, arrived time.Time) {
	if cause, attempt := s.poison().crashingKey(items); cause != "" {
		s.options.Journal.arrive(arrival{attempt, s.options.Service, arrived, cause})
		s.options.OnPoison(cause)
		drop(w)
		return
	}
	faults, m := s.draw()
	if faults.crashes(r.URL.Path) {
		if s.options.OnCrash != nil {
			s.options.OnCrash()
		}
		drop(w)
		return
	}
	ctx, stop := s.whileUp(context.WithoutCancel(r.Context())) // work goes on after a close
	defer stop()
	if m == mannerHang && sleep(ctx, hangLimit) != nil {
		drop(w)
		return
	}
	results, length := s.begin(items, arrived)
	if sleep(ctx, faults.scale(length)) != nil {
		drop(w)
		return
	}
	s.finish(results)
	s.setLoad(w, r)
	s.send(w, results, m, faults)
}

func (s *StageServer) send(w http.ResponseWriter, results []itemResult, m manner, faults Faults) {
	body, err := json.Marshal(map[string]any{"entries": results})
	if err != nil {
		drop(w)
		return
	}
	out := newReply(w, m, faults, len(body))
	if out.begin(http.StatusOK, len(body), map[string]string{"Content-Type": "application/json"}) == nil && out.write(body) == nil {
		_ = out.finish() // nothing is left to do
	}
	out.tail()
}

// begin decides each item and takes the room; it returns the time of the work.
func (s *StageServer) begin(items []item, arrived time.Time) ([]itemResult, time.Duration) {
	results, length, fetched := make([]itemResult, len(items)), time.Duration(0), int64(0)
	for i, it := range items {
		bytes, reason := s.check(it, arrived)
		if reason != "" {
			results[i].Reason = reason
			continue
		}
		piece := Piece{
			Attempt: it.ID, Server: s.options.Instance, Service: s.options.Service, Stage: it.Stage,
			Index: it.Piece, Key: it.Key, Inputs: it.Inputs, Began: time.Now(),
		}
		handle, ok := s.stage.Registry.reserve(s.options.Address, piece, s.stage.ResultBytes[it.Stage], s.stage.Room)
		if !ok {
			results[i].Reason = "room"
			continue
		}
		results[i].Handle = handle
		length += s.stage.ItemLatency
		fetched += bytes
	}
	if length > 0 || fetched > 0 {
		length += s.stage.CallLatency
	}
	if s.stage.LinkMbps > 0 {
		length += time.Duration(float64(fetched) * 8 / s.stage.LinkMbps * float64(time.Microsecond))
	}
	return results, length
}

// check returns the bytes of an item's inputs, or why it can't be made.
func (s *StageServer) check(it item, arrived time.Time) (int64, string) {
	if it.RemainingMs != nil && time.Since(arrived) >= time.Duration(*it.RemainingMs)*time.Millisecond {
		return 0, "late"
	}
	bytes := int64(0)
	for _, handle := range it.Inputs {
		input, ok := s.stage.Registry.find(handle)
		if !ok {
			return 0, "gone"
		}
		if input.Attempt != it.ID {
			s.options.Journal.violate(NameMixed, it.ID, "input %s is of %s", handle, input.Attempt)
		}
		bytes += input.bytes
	}
	if s.float() < s.stage.ErrorShare {
		return 0, "error"
	}
	return bytes, ""
}

// finish makes the results available and records them.
func (s *StageServer) finish(results []itemResult) {
	for i, res := range results {
		if res.Handle == "" {
			continue
		}
		piece, ok := s.stage.Registry.finish(res.Handle, s.stage.HandleTTL)
		if !ok {
			results[i] = itemResult{Reason: "gone"}
			continue
		}
		s.options.Journal.addPiece(piece)
	}
}
