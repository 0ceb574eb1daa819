package emulator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// reportPath is where a server tells its state.
const reportPath = "/lynxhill/report"

// maxBody is the longest body that a server reads, in bytes.
const maxBody = 64 << 20

// runsOfStart is more than the runs of one start of a server; runs of later starts under
// its id have other names.
const runsOfStart = 1 << 20

// hangLimit is the longest time that a hanging request is held.
const hangLimit = time.Minute

// TargetOptions are common to all servers.
type TargetOptions struct {
	Instance   string // id, of this incarnation unless it was started again under it
	Born       int64  // start in Unix milliseconds; 0 = not stated
	Restarts   int    // starts under its id before this one
	Service    string
	Version    string // of its software
	Address    string // IP:PORT
	HealthPath string
	Slots      int // requests at work at a time
	Queue      int // requests that may wait
	LoadHeader bool
	Random     *rand.Rand // used by this server alone
	Journal    *Journal
	OnCrash    func() // called when a request crashes the server; may be nil
	Poison     func() Poison
	OnPoison   func(cause string) // called when a Poison crashes the server
}

// Target is what all servers have in common.
type Target struct {
	options TargetOptions
	gate    gate
	ended   chan struct{}
	close   sync.Once // closes ended
	spared  spared
	asks    asks

	mu       sync.Mutex
	random   *rand.Rand
	faults   Faults
	draining bool
	failing  bool
	count    int // of runs
}

func newTarget(o TargetOptions, memory int) *Target {
	return &Target{
		count: o.Restarts * runsOfStart, options: o, random: o.Random, ended: make(chan struct{}),
		gate: gate{slots: o.Slots, queue: o.Queue, capacity: memory},
	}
}

// SetFaults replaces the faults.
func (t *Target) SetFaults(f Faults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = f
}

// SetDraining says whether the server is leaving.
func (t *Target) SetDraining(draining bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.draining = draining
}

// SetFailing says whether health checks fail.
func (t *Target) SetFailing(failing bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.failing = failing
}

// Close ends all work; requests get no answer any more.
func (t *Target) Close() {
	t.close.Do(func() { close(t.ended) })
	t.options.Journal.crash(t.options.Instance)
}

// draw returns the faults in force and how the next answer is given.
func (t *Target) draw() (Faults, manner) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.faults, t.faults.pick(t.random.Float64())
}

func (t *Target) float() float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.random.Float64()
}

// arrive sets the headers that all answers bear, and answers checks of health
// and requests for other instances. It reports whether r is left to do.
func (t *Target) arrive(w http.ResponseWriter, r *http.Request) bool {
	select {
	case <-t.ended:
		drop(w)
		return false
	default:
	}
	t.mu.Lock()
	draining := t.draining
	t.mu.Unlock()
	h := w.Header()
	if id := r.Header.Get("Attempt-Id"); id != "" {
		h.Set("Attempt-Id", id)
	}
	if draining {
		h.Set("Connection", "close")
	}
	t.setLoad(w, nil)
	t.recordArrival(r)
	if want := r.Header.Get("Expected-Instance"); want != "" && want != t.options.Instance {
		t.misdirect(r)
		h.Set("Instance-Id", t.options.Instance)
		t.refuse(w, r, http.StatusMisdirectedRequest)
		return false
	}
	t.spare(r)
	t.heed(r)
	if r.Method == http.MethodGet && r.URL.Path == t.options.HealthPath {
		t.health(w, r)
		return false
	}
	return r.URL.Path == "/lynxhill/stage-free" || !t.turnedAway(w, r)
}

// setLoad puts what the server says of itself into the head of an answer.
func (t *Target) setLoad(w http.ResponseWriter, r *http.Request) {
	t.ask(w, r)
	if t.options.LoadHeader {
		active, waiting, _ := t.gate.load()
		w.Header().Set("Server-Load", fmt.Sprintf("%d,%d,%d", active, waiting, t.options.Slots))
	}
}

func (t *Target) health(w http.ResponseWriter, r *http.Request) {
	if t.gate.acquire(r.Context(), 5, 0) != nil {
		t.refuse(w, r, http.StatusServiceUnavailable)
		return
	}
	defer t.gate.release(0)
	t.mu.Lock()
	well := !t.draining && !t.failing
	t.mu.Unlock()
	w.Header().Set("Instance-Id", t.options.Instance)
	if !well {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// refuse answers that the request hasn't run.
func (t *Target) refuse(w http.ResponseWriter, r *http.Request, status int) {
	if id := r.Header.Get("Attempt-Id"); id != "" {
		t.options.Journal.refuse(id)
		t.options.Journal.decided(r, func(a *Arrival) { a.Refused = status })
	}
	t.setLoad(w, r)
	w.Header().Set("Not-Executed", "1")
	w.WriteHeader(status)
}

// bound is the context of a request: it ends with its connection, at its
// Deadline-Ms and with the server.
func (t *Target) bound(r *http.Request) (context.Context, context.CancelFunc) {
	ctx, stop := t.whileUp(r.Context())
	ms, err := strconv.Atoi(r.Header.Get("Deadline-Ms"))
	if err != nil {
		return ctx, stop
	}
	limited, stopLimit := context.WithTimeout(ctx, time.Duration(ms)*time.Millisecond)
	return limited, func() { stopLimit(); stop() }
}

// whileUp is a context that ends with parent or with the server.
func (t *Target) whileUp(parent context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(parent)
	go func() {
		select {
		case <-t.ended:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}

// work is one request that has a slot.
type work struct {
	t       *Target
	r       *http.Request
	ctx     context.Context
	run     *Run
	faults  Faults
	manner  manner
	release func() // gives back the slot, ends ctx
}

// start reads r, waits for a slot and records the run. It returns nil if it
// has answered, or if there is nobody left to answer.
func (t *Target) start(w http.ResponseWriter, r *http.Request, priority, weight int) *work {
	faults, m := t.draw()
	run := &Run{
		Attempt: r.Header.Get("Attempt-Id"), Server: t.options.Instance, Service: t.options.Service, Version: t.options.Version,
		Tenant: r.Header.Get("Tenant"), Method: r.Method, Path: r.URL.RequestURI(), Header: r.Header.Clone(),
		Crossing: m == mannerEarly,
	}
	if run.Attempt == "" {
		t.refuse(w, r, http.StatusBadRequest)
		return nil
	}
	if m == mannerShed {
		t.refuse(w, r, http.StatusServiceUnavailable)
		return nil
	}
	if !run.Crossing {
		body, err := readBody(r)
		if err != nil {
			drop(w)
			return nil
		}
		run.BodySum = Sum(string(body))
	}
	ctx, stop := t.bound(r)
	if err := t.gate.acquire(ctx, priority, weight); err != nil {
		stop()
		if errors.Is(err, errFull) || errors.Is(err, context.DeadlineExceeded) {
			t.refuse(w, r, http.StatusServiceUnavailable)
		} else {
			drop(w)
		}
		return nil
	}
	t.mu.Lock()
	t.count++
	run.ID = fmt.Sprintf("%s-%d", t.options.Instance, t.count)
	t.mu.Unlock()
	t.options.Journal.decided(r, func(a *Arrival) { a.Run = run.ID })
	release := func() { t.gate.release(weight); stop() }
	return &work{t, r, ctx, t.options.Journal.begin(run), faults, m, release}
}

// drop closes the connection without a word more.
func drop(w http.ResponseWriter) { newReply(w, mannerLose, Faults{}, 0).abort() }

func readBody(r *http.Request) ([]byte, error) { return io.ReadAll(io.LimitReader(r.Body, maxBody)) }

// poison returns the Poison in force.
func (t *Target) poison() Poison {
	if t.options.Poison == nil {
		return Poison{}
	}
	return t.options.Poison()
}

// poisoned ends the server under a cause.
func (k *work) poisoned(w http.ResponseWriter, cause string) error {
	k.t.options.Journal.end(k.run, Crashed, 0)
	k.t.options.OnPoison(cause)
	drop(w)
	return errSpoilt
}

// spoil crashes or hangs, if the faults say so. An error ends the work.
func (k *work) spoil(w http.ResponseWriter) error {
	if p := k.t.poison(); p.crashesRun(k.r.URL.Path) {
		return k.poisoned(w, p.PathPrefix)
	}
	if k.faults.crashes(k.r.URL.Path) {
		k.t.options.Journal.end(k.run, Crashed, 0)
		if k.t.options.OnCrash != nil {
			k.t.options.OnCrash()
		}
		drop(w)
		return errSpoilt
	}
	if k.manner == mannerFail {
		k.answer(w, http.StatusInternalServerError, "failed")
		return errSpoilt
	}
	if k.manner == mannerHang {
		if err := sleep(k.ctx, hangLimit); err != nil {
			return k.stopped(w, false)
		}
	}
	return nil
}

// stopped ends a run whose context has ended; it returns the context's error.
func (k *work) stopped(w http.ResponseWriter, begun bool) error {
	err := k.ctx.Err()
	if !errors.Is(err, context.DeadlineExceeded) {
		k.t.options.Journal.end(k.run, k.closedOutcome(), 0)
		drop(w)
		return err
	}
	if begun {
		k.t.options.Journal.end(k.run, Late, http.StatusOK)
		drop(w)
		return err
	}
	k.answer(w, http.StatusGatewayTimeout, "late")
	return err
}

// closedOutcome returns the outcome of a run whose connection has closed: Crashed if the
// server has ended, Dropped otherwise. Close signals ended before it updates the journal,
// so the run may be recorded here first.
func (k *work) closedOutcome() string {
	select {
	case <-k.t.ended:
		return Crashed
	default:
		return Dropped
	}
}

// answer gives a whole plain answer, signed.
func (k *work) answer(w http.ResponseWriter, status int, body string) {
	k.t.setLoad(w, k.r)
	p := newReply(w, k.manner, k.faults, len(body))
	s := Signature{Run: k.run.ID, Status: status, Size: len(body)}
	err := p.begin(status, len(body), map[string]string{"Server-Signature": sign(k.run.Attempt, s, body)})
	if err == nil {
		err = p.write([]byte(body))
	}
	k.done(p, status, err)
}

// done ends an answer that was written up to err, and records how it ended.
func (k *work) done(p *reply, status int, err error) {
	if err == nil {
		err = p.finish()
	}
	outcome := Whole
	switch {
	case errors.Is(err, errSpoilt):
		outcome = Broken
	case err != nil:
		outcome = k.closedOutcome()
	case status == http.StatusGatewayTimeout:
		outcome = Late
	}
	k.t.options.Journal.end(k.run, outcome, status)
	p.tail()
	if k.manner == mannerEarly {
		k.readOn()
	}
}

// readOn reads the body after the answer.
func (k *work) readOn() {
	time.Sleep(20 * time.Millisecond)
	body, err := readBody(k.r)
	if err == nil {
		k.t.options.Journal.update(k.run, func(run *Run) { run.BodySum = Sum(string(body)) })
	}
}

// writeJSON answers 200 with a value, or another status.
func writeJSON(w http.ResponseWriter, status int, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body) // the caller may be gone
}
