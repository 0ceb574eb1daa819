package emulator

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
)

// Names of broken promises.
const (
	NameTwice   = "twice"           // a request that isn't repeatable ran more than once
	NameRefused = "refused-but-ran" // answered 408, 421, 429 or 503, and ran
	NameMixed   = "mixed"           // an answer or an input that isn't this request's
	NameUnasked = "unasked"         // a server ran what no client asked for
	NameOrder   = "order"           // events are missing, doubled or of two runs
	NameLost    = "lost"            // a sound server's answer was lost
	NameVersion = "version"         // a stream holds events of two versions of a service's software
)

// Violation is a broken promise.
type Violation struct{ Name, Attempt, Detail string }

func newViolation(name, attempt, format string, args ...any) Violation {
	return Violation{name, attempt, fmt.Sprintf(format, args...)}
}

// String implements fmt.Stringer.
func (v Violation) String() string { return v.Name + " " + v.Attempt + ": " + v.Detail }

// checker compares what clients saw with what servers recorded.
type checker struct {
	attempts map[string]Attempt
	runs     map[string]Run // by run id
	byID     map[string][]Run
	configs  []Config
	found    []Violation
}

// Check compares attempts with the journal, once all work has ended. The
// configurations are all that were ever in force, the newest last; they tell
// keys and stages. It returns the broken promises, those that servers saw
// themselves first.
func Check(attempts []Attempt, journal *Journal, configs []Config) []Violation {
	c := checker{attempts: make(map[string]Attempt), runs: make(map[string]Run), byID: make(map[string][]Run), configs: configs}
	journal.mu.Lock()
	c.found = slices.Clone(journal.wrong)
	journal.mu.Unlock()
	for _, a := range attempts {
		c.attempts[a.ID] = a
	}
	for _, run := range journal.Runs() {
		c.runs[run.ID] = run
		c.byID[run.Attempt] = append(c.byID[run.Attempt], run)
		c.unasked(run)
	}
	for _, a := range attempts {
		c.counts(a)
		c.answer(a)
		c.lost(a)
	}
	c.versions(attempts)
	for _, piece := range journal.Pieces() {
		c.piece(piece)
	}
	return c.found
}

func (c *checker) report(name, attempt, format string, args ...any) {
	c.found = append(c.found, newViolation(name, attempt, format, args...))
}

// unasked checks that a run is what its client asked for.
func (c *checker) unasked(run Run) {
	a, ok := c.attempts[run.Attempt]
	if !ok {
		c.report(NameUnasked, run.Attempt, "run %s: no client sent it", run.ID)
		return
	}
	if run.Method != a.Ask.Method || run.Path != a.Ask.Path {
		c.report(NameUnasked, a.ID, "run %s: %s %s", run.ID, run.Method, run.Path)
	}
	if run.BodySum != "" && run.BodySum != Sum(string(a.Ask.Body)) {
		c.report(NameUnasked, a.ID, "run %s: another body", run.ID)
	}
	for _, name := range []string{"Model", "Token-Counts", "Prompt-Prefix"} {
		if got, want := run.Header.Get(name), a.Ask.Header.Get(name); got != want {
			c.report(NameUnasked, a.ID, "run %s: %s is %q instead of %q", run.ID, name, got, want)
		}
	}
	if run.Header.Get("Credential") != "" {
		c.report(NameUnasked, a.ID, "run %s: the key was passed on", run.ID)
	}
	if !c.tenantFits(run.Tenant, a.Ask) {
		c.report(NameUnasked, a.ID, "run %s: tenant %q", run.ID, run.Tenant)
	}
}

// tenantFits says whether some configuration gives the key to the tenant.
func (c *checker) tenantFits(tenant string, ask Ask) bool {
	return len(c.configs) == 0 || slices.ContainsFunc(c.configs, func(config Config) bool {
		route := config.Route(ask.Host, pathOf(ask.Path))
		return config.TenantOf(ask.Key) == tenant || route != nil && route.AnonymousAccess && tenant == ""
	})
}

// counts checks how often an attempt ran.
func (c *checker) counts(a Attempt) {
	runs := c.byID[a.ID]
	if a.repeatable() {
		return
	}
	if len(runs) > 1 {
		c.report(NameTwice, a.ID, "ran %d times", len(runs))
	}
	if len(runs) > 0 && slices.Contains([]int{408, 421, 429, 503}, a.Status) {
		c.report(NameRefused, a.ID, "answered %d, run %s", a.Status, runs[0].ID)
	}
}

// answer checks the signature, and that the answer is the run's.
func (c *checker) answer(a Attempt) {
	text := a.Header.Get("Server-Signature")
	if a.Status == 0 || text == "" {
		if a.Status/100 == 2 {
			c.report(NameMixed, a.ID, "status %d without a signature", a.Status)
		}
		return
	}
	s, err := ParseSignature(text)
	if err != nil {
		c.report(NameMixed, a.ID, "%v", err)
		return
	}
	if run, ok := c.runs[s.Run]; !ok || run.Attempt != a.ID || s.Status != a.Status {
		c.report(NameMixed, a.ID, "status %d, signature %s", a.Status, text)
		return
	}
	if id := a.Header.Get("Attempt-Id"); id != "" && id != a.ID {
		c.report(NameMixed, a.ID, "answer to %s", id)
	}
	if s.Stream {
		c.events(a, s)
		return
	}
	if a.Complete && !s.Verify(a.ID, a.Body) {
		c.report(NameMixed, a.ID, "the body isn't that of %s", text)
	}
}

// events checks the events of a stream and the runs they come from.
func (c *checker) events(a Attempt, s Signature) {
	if !s.Verify(a.ID, "") {
		c.report(NameMixed, a.ID, "signature of another request")
	}
	run, last := s.Run, a.From
	for _, e := range a.Events {
		switch {
		case e.Attempt != a.ID:
			c.report(NameMixed, a.ID, "event %d of %s", e.ID, e.Attempt)
			return
		case e.ID != last+1 || e.Number != e.ID:
			c.report(NameOrder, a.ID, "event %d (%d) after %d", e.ID, e.Number, last)
			return
		case e.Run != run && (!a.Ask.Resume || c.runs[e.Run].From != last):
			c.report(NameOrder, a.ID, "event %d of run %s after run %s", e.ID, e.Run, run)
			return
		}
		run, last = e.Run, e.ID
	}
	if a.Complete && last != s.Size {
		c.report(NameOrder, a.ID, "complete after event %d of %d", last, s.Size)
	}
}

// versions checks that all events of a stream, over all its attempts, come from one
// version of one service.
func (c *checker) versions(attempts []Attempt) {
	type origin struct{ service, version string }
	began := make(map[string]origin) // by the attempt that brought the first event
	for _, a := range attempts {     // in the order of each client
		stream := cmp.Or(a.Resumes, a.ID)
		for _, e := range a.Events {
			run, ok := c.runs[e.Run]
			if !ok {
				continue
			}
			from := origin{run.Service, run.Version}
			first, known := began[stream]
			if !known {
				began[stream] = from
			} else if first != from {
				c.report(NameVersion, a.ID, "event %d is of %s %s, the stream %s began at %s %s", e.ID, from.service, from.version, stream, first.service, first.version)
				break
			}
		}
	}
}

// lost checks that a request that reached sound servers only was answered.
func (c *checker) lost(a Attempt) {
	runs := c.byID[a.ID]
	if a.Complete || a.GaveUp || len(runs) == 0 || errors.Is(a.Err, errBroken) {
		return
	}
	for _, run := range runs {
		if run.Outcome != Whole && run.Outcome != Dropped {
			return
		}
	}
	c.report(NameLost, a.ID, "no complete answer (%v), run %s %s", a.Err, runs[0].ID, runs[0].Outcome)
}

// piece checks that a result is one that a client's request has, of all the
// inputs it needs.
func (c *checker) piece(p Piece) {
	a, ok := c.attempts[p.Attempt]
	if !ok {
		c.report(NameUnasked, p.Attempt, "piece %d of stage %d: no client sent it", p.Index, p.Stage)
		return
	}
	counts, err := parseCounts(a.Ask.Header.Get("Piece-Count"))
	stages := stagesIn(c.configs, a.Ask.Host, pathOf(a.Ask.Path))
	if err != nil || p.Stage < 0 || p.Stage >= min(len(counts), len(stages)) || len(counts) != len(stages) || p.Index < 0 || p.Index >= counts[p.Stage] {
		c.report(NameUnasked, a.ID, "piece %d of stage %d isn't of this request", p.Index, p.Stage)
		return
	}
	stage := stages[p.Stage]
	if len(stage.After) == 0 && p.Key != a.Ask.Header.Get("Piece-Key") {
		c.report(NameUnasked, a.ID, "piece %d of stage %d has the key %q", p.Index, p.Stage, p.Key)
	}
	if stage.Service != p.Service {
		c.report(NameMixed, a.ID, "piece %d of stage %d is made by %s", p.Index, p.Stage, p.Service)
	}
	if want := len(piecesOf(stage.After, counts)); len(p.Inputs) != want {
		c.report(NameMixed, a.ID, "piece %d of stage %d has %d inputs instead of %d", p.Index, p.Stage, len(p.Inputs), want)
	}
}
