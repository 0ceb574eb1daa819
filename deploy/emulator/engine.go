package emulator

import (
	"container/list"
	"fmt"
	"math"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// EngineOptions of a model server.
type EngineOptions struct {
	Model        string
	Version      int           // of the weights
	MemoryTokens int           // for running requests and kept parts; 0: no bound
	PrefillPerMS float64       // prompt tokens read in a millisecond; 0: at once
	Step         time.Duration // between tokens
	StepPerRun   time.Duration // added to Step for each running request
	Stride       int           // tokens in an event; 0 counts as 1
	ReportLag    time.Duration // greatest age of a report
	Registry     *Registry     // of stage results; nil: inputs aren't looked up
	// Stages returns the stages of a request's route; nil if unknown.
	Stages func(host, path string) []Stage
}

// Engine is a model server that streams events.
type Engine struct {
	*Target
	model EngineOptions
	cache promptCache

	reportMu sync.Mutex
	reported Report
	asOf     time.Time
}

// Report is the body of a model server's report.
type Report struct {
	Stage          string        `json:"stage"`
	Models         []ModelReport `json:"models"`
	Busy           bool          `json:"busy"`
	Sequence       int           `json:"sequence"`
	QueuedRequests int           `json:"queued_requests"`
	ActiveRequests int           `json:"active_requests"`
	KVCacheUsed    int           `json:"kv_cache_used"`
	KVCacheTotal   int           `json:"kv_cache_total"`
	Handles        int           `json:"handles"`
	Born           int64         `json:"born,omitempty"`
}

// ModelReport is one model of a server.
type ModelReport struct {
	Name     string   `json:"name"`
	Version  int      `json:"version"`
	Adapters []string `json:"adapters"`
}

// NewEngine returns a model server.
func NewEngine(o TargetOptions, model EngineOptions) *Engine {
	model.Stride = max(model.Stride, 1)
	return &Engine{
		Target: newTarget(o, model.MemoryTokens), model: model,
		cache: promptCache{byID: make(map[string]*list.Element)},
	}
}

func (e *Engine) models() []ModelReport {
	return []ModelReport{{Name: e.model.Model, Version: e.model.Version, Adapters: []string{}}}
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet && r.URL.Path == reportPath {
		e.ask(w, r)
		writeJSON(w, http.StatusOK, e.report())
		return
	}
	if !e.arrive(w, r) {
		return
	}
	plan, status := e.plan(r)
	if status != 0 {
		e.refuse(w, r, status)
		return
	}
	k := e.start(w, r, plan.priority, plan.memory)
	if k == nil {
		return
	}
	defer k.release()
	if k.spoil(w) == nil {
		e.stream(w, k, plan)
	}
}

// report returns the state, as of ReportLag ago at most.
func (e *Engine) report() Report {
	e.reportMu.Lock()
	defer e.reportMu.Unlock()
	if now := time.Now(); e.asOf.IsZero() || now.Sub(e.asOf) >= e.model.ReportLag {
		active, waiting, used := e.gate.load()
		e.asOf = now
		e.reported = Report{
			Stage: "combined", Models: e.models(), QueuedRequests: waiting, ActiveRequests: active,
			KVCacheUsed: used, KVCacheTotal: e.model.MemoryTokens, Born: e.options.Born,
		}
	}
	return e.reported
}

// plan is what a request asks of a model server.
type plan struct {
	parts    []part
	prompt   int // tokens
	events   int // id of the last event
	from     int // Last-Event-Id
	priority int
	memory   int // tokens
}

// plan reads the headers. A status other than 0 refuses the request.
func (e *Engine) plan(r *http.Request) (plan, int) {
	counts, countErr := parseCounts(r.Header.Get("Token-Counts"))
	parts, partErr := parseParts(r.Header.Get("Prompt-Prefix"))
	if countErr != nil || partErr != nil || len(counts) != 2 || r.Header.Get("Model") != e.model.Model {
		return plan{}, http.StatusBadRequest
	}
	if want := r.Header.Get("Expected-Version"); want != "" && want != strconv.Itoa(e.model.Version) {
		return plan{}, http.StatusMisdirectedRequest
	}
	if status := e.checkInputs(r); status != 0 {
		return plan{}, status
	}
	p := plan{parts: parts, prompt: counts[0], priority: 5, memory: counts[0] + counts[1]}
	p.events = (counts[1] + e.model.Stride - 1) / e.model.Stride
	if n, err := strconv.Atoi(r.Header.Get("Request-Priority")); err == nil {
		p.priority = n
	}
	if n, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		p.from = min(max(n, 0), p.events)
		p.prompt += min(p.from*e.model.Stride, counts[1])
	}
	return p, 0
}

// checkInputs looks up the results that Input-Count names.
func (e *Engine) checkInputs(r *http.Request) int {
	counts, err := parseCounts(r.Header.Get("Piece-Count"))
	if err != nil {
		return http.StatusBadRequest
	}
	handles := strings.FieldsFunc(r.Header.Get("Input-Count"), func(c rune) bool { return c == ',' || c == ' ' })
	var stages []Stage
	if e.model.Stages != nil {
		stages = e.model.Stages(r.Host, r.URL.Path)
	}
	if stages == nil {
		if slices.Max(append(counts, 0)) > 0 && len(handles) == 0 {
			return http.StatusBadRequest
		}
		return e.lookUp(r, handles, nil)
	}
	if len(counts) != len(stages) {
		counts = make([]int, len(stages)) // no pieces were ordered
	}
	expected := finalPieces(stages, counts)
	if len(expected) > 0 && len(handles) == 0 {
		return http.StatusBadRequest
	}
	return e.lookUp(r, handles, expected)
}

// lookUp checks that all handles exist and are exactly the expected pieces;
// nil expects any pieces of the request.
func (e *Engine) lookUp(r *http.Request, handles []string, expected map[pieceKey]bool) int {
	if e.model.Registry == nil {
		return 0
	}
	attempt, seen := r.Header.Get("Attempt-Id"), make(map[pieceKey]bool)
	for _, handle := range handles {
		piece, ok := e.model.Registry.find(handle)
		if !ok {
			return http.StatusConflict
		}
		key := pieceKey{piece.Stage, piece.Index}
		if piece.Attempt != attempt || seen[key] || expected != nil && !expected[key] {
			e.options.Journal.violate(NameMixed, attempt, "input %s is piece %d of stage %d of %s", handle, key.index, key.stage, piece.Attempt)
			return http.StatusConflict
		}
		seen[key] = true
	}
	if expected != nil && len(seen) != len(expected) {
		e.options.Journal.violate(NameMixed, attempt, "%d inputs instead of %d", len(seen), len(expected))
		return http.StatusConflict
	}
	return 0
}

// stream reads the prompt and writes the events.
func (e *Engine) stream(w http.ResponseWriter, k *work, p plan) {
	k.t.options.Journal.update(k.run, func(run *Run) { run.From, run.Events = p.from, p.from })
	if sleep(k.ctx, e.prefill(k, p)) != nil {
		_ = k.stopped(w, false) // recorded there
		return
	}
	e.setLoad(w, k.r)
	out := newReply(w, k.manner, k.faults, len(event(k.run, p.events))*(p.events-p.from))
	if cause := k.t.poison().crashingPart(k.r); cause != "" {
		if e.head(out, k, p) == nil {
			_ = http.NewResponseController(w).Flush() // the caller may be gone
		}
		_ = k.poisoned(w, cause) // recorded there
		return
	}
	for n := p.from + 1; n <= p.events; n++ {
		if sleep(k.ctx, k.faults.scale(e.step())) != nil {
			_ = k.stopped(w, n > p.from+1) // recorded there
			return
		}
		if err := e.emit(out, k, p, n); err != nil {
			k.done(out, http.StatusOK, err)
			return
		}
	}
	if p.events == p.from {
		_ = e.head(out, k, p) // the caller may be gone
	}
	k.done(out, http.StatusOK, nil)
}

// prefill is the time for the parts that aren't kept; they are kept from now.
func (e *Engine) prefill(k *work, p plan) time.Duration {
	unread := max(p.prompt-e.cache.hit(p.parts), 0)
	room := math.MaxInt
	if e.model.MemoryTokens > 0 {
		_, _, used := e.gate.load()
		room = e.model.MemoryTokens - used
	}
	e.cache.keep(p.parts, room)
	if e.model.PrefillPerMS <= 0 {
		return 0
	}
	return k.faults.scale(time.Duration(float64(unread) / e.model.PrefillPerMS * float64(time.Millisecond)))
}

// step is the time between events now.
func (e *Engine) step() time.Duration {
	active, _, _ := e.gate.load()
	return time.Duration(e.model.Stride) * (e.model.Step + time.Duration(active)*e.model.StepPerRun)
}

func (e *Engine) head(out *reply, k *work, p plan) error {
	s := Signature{Stream: true, Run: k.run.ID, Status: http.StatusOK, Size: p.events}
	return out.begin(http.StatusOK, -1, map[string]string{
		"Content-Type":     "text/event-stream",
		"Server-Signature": sign(k.run.Attempt, s, ""),
		"Weight-Versions":  strconv.Itoa(e.model.Version),
	})
}

// emit writes event n, with the head before the first.
func (e *Engine) emit(out *reply, k *work, p plan, n int) error {
	if n == p.from+1 {
		if err := e.head(out, k, p); err != nil {
			return err
		}
	}
	if err := out.write([]byte(event(k.run, n))); err != nil {
		return err
	}
	k.t.options.Journal.update(k.run, func(run *Run) { run.Events = n })
	return nil
}

// event names the attempt, the run and its number.
func event(run *Run, n int) string {
	return fmt.Sprintf("id: %d\ndata: %s %s %d\n\n", n, run.Attempt, run.ID, n)
}
