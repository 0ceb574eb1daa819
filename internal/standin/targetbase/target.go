// Package targetbase holds what all stand-in targets share: the HTTP calls,
// slots and queue, the record of every run, load reports and fault switches.
// A Runner supplies the work itself.
package targetbase

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"sync"
	"time"

	"lynxhill.example/lynxhill/internal/defaults"
	"lynxhill.example/lynxhill/internal/standin/loopback"
	"lynxhill.example/lynxhill/internal/wire/targetapi"
)

// Defaults of Options.
const (
	DefaultSlots    = 8
	DefaultMaxQueue = 256
	maxBody         = 8 << 20 // bytes
)

// Runner does the work of a target.
type Runner interface {
	// Check refuses a call before it is queued; nil accepts it.
	Check(req *targetapi.RunRequest) *targetapi.Refusal
	// Serve runs the call and answers it.
	Serve(call *Call)
	// Describe fills in what the base doesn't know of a load report.
	Describe(report *targetapi.LoadReport)
	// Detached reports whether a run goes on when its caller goes away.
	Detached() bool
	// Lost is called when the target crashes: what was in memory is gone.
	Lost()
}

// Options of a Target.
type Options struct {
	ID       string
	Seed     uint64
	Slots    int
	MaxQueue int
	// LoadLag is how far load reports are behind.
	LoadLag time.Duration
	Runner  Runner
	// Routes adds calls; nil adds none.
	Routes func(mux *http.ServeMux)
	// Listen opens the listener; nil listens on TCP.
	Listen loopback.ListenFunc
}

// Target is a stand-in target on a loopback port.
type Target struct {
	id     string
	slots  int
	runner Runner
	faults *faults
	ledger *Ledger
	queue  *Queue
	load   *loadHistory
	http   *loopback.Server

	mu       sync.Mutex // guards attempts
	attempts map[string]context.CancelFunc
}

// New starts a target.
func New(opts Options) (*Target, error) {
	defaults.Positive(&opts.Slots, DefaultSlots)
	defaults.Positive(&opts.MaxQueue, DefaultMaxQueue)
	t := &Target{
		id:       opts.ID,
		slots:    opts.Slots,
		runner:   opts.Runner,
		faults:   newFaults(opts.Seed),
		ledger:   newLedger(opts.ID),
		load:     newLoadHistory(opts.LoadLag),
		attempts: make(map[string]context.CancelFunc),
	}
	t.queue = NewQueue(opts.Slots, opts.MaxQueue, t.load.counts)
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+targetapi.PathRun, t.handleRun)
	mux.HandleFunc("POST "+targetapi.PathCancel, t.handleCancel)
	mux.HandleFunc("GET "+targetapi.PathLoad, t.handleLoad)
	mux.HandleFunc("GET "+targetapi.PathState, t.handleState)
	mux.HandleFunc("GET "+targetapi.PathRuns, t.handleRuns)
	if opts.Routes != nil {
		opts.Routes(mux)
	}
	server, err := loopback.New(loopback.Options{Handler: mux, Listen: opts.Listen})
	if err != nil {
		return nil, err
	}
	t.http = server
	return t, nil
}

// ID returns the target's id.
func (t *Target) ID() string { return t.id }

// Addr returns the address (IP:port), the same over restarts.
func (t *Target) Addr() string { return t.http.Addr() }

// Close stops the target and waits for its handlers.
func (t *Target) Close() { t.http.Close() }

// Runs returns the record of all runs in the order in which they began.
func (t *Target) Runs() []targetapi.RunRecord { return t.ledger.list() }

// RunsNotRecorded returns how many runs the full record could not take.
func (t *Target) RunsNotRecorded() int { return t.ledger.lost() }

// CrossedPrevious returns how many runs were given the output that an earlier
// stage made for another request.
func (t *Target) CrossedPrevious() int { return t.ledger.crossedCount() }

// Running returns how many runs hold a slot now.
func (t *Target) Running() int { return t.queue.Running() }

// Float returns a number in [0, 1) of the target's seeded sequence.
func (t *Target) Float() float64 { return t.faults.float() }

// Normal returns a normally distributed number of the seeded sequence.
func (t *Target) Normal() float64 { return t.faults.normal() }

// LoadReport returns the report as callers get it: behind by the lag.
func (t *Target) LoadReport() targetapi.LoadReport {
	sample, seq, mean := t.load.report()
	return t.reportOf(sample, seq, mean)
}

// State returns the state as it is now.
func (t *Target) State() targetapi.LoadReport {
	_, seq, mean := t.load.report()
	sample := t.load.current()
	sample.at = time.Now()
	return t.reportOf(sample, seq, mean)
}

func (t *Target) reportOf(sample loadSample, seq uint64, meanMS float64) targetapi.LoadReport {
	report := targetapi.LoadReport{
		Target:  t.id,
		Seq:     seq,
		AtMS:    sample.at.UnixMilli(),
		Running: sample.running,
		Queued:  sample.queued,
		Slots:   t.slots,
		MeanMS:  meanMS,
		Leaving: sample.leaving,
	}
	t.runner.Describe(&report)
	return report
}

func (t *Target) handleLoad(w http.ResponseWriter, _ *http.Request) {
	WriteJSON(w, http.StatusOK, t.LoadReport())
}

func (t *Target) handleState(w http.ResponseWriter, _ *http.Request) {
	WriteJSON(w, http.StatusOK, t.State())
}

func (t *Target) handleRuns(w http.ResponseWriter, _ *http.Request) {
	WriteJSON(w, http.StatusOK, t.Runs())
}

func (t *Target) handleCancel(w http.ResponseWriter, r *http.Request) {
	var req targetapi.CancelRequest
	if err := DecodeBody(w, r, &req); err != nil {
		WriteRefusal(w, targetapi.CodeBadInput, "no usable body")
		return
	}
	t.mu.Lock()
	cancel := t.attempts[req.AttemptID]
	t.mu.Unlock()
	if cancel != nil {
		cancel()
	}
	WriteJSON(w, http.StatusOK, struct{}{})
}

// DecodeBody reads a JSON body of bounded size.
func DecodeBody(w http.ResponseWriter, r *http.Request, into any) error {
	return json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(into)
}

var errCancelled = errors.New("cancelled")

// track registers the attempt for the cancel call. It returns false if the
// attempt is running already: the id of an attempt is used once.
func (t *Target) track(id string, cancel context.CancelFunc) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, twice := t.attempts[id]; twice {
		return false
	}
	t.attempts[id] = cancel
	return true
}

func (t *Target) untrack(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.attempts, id)
}
