package serving

import (
	"context"
	"encoding/json"
	"errors"
	"strings"
	"sync"
	"testing"
	"time"

	"lynxhill.example/lynxhill/internal/admission"
	"lynxhill.example/lynxhill/internal/claim"
	"lynxhill.example/lynxhill/internal/errkind"
	"lynxhill.example/lynxhill/internal/outcome"
	"lynxhill.example/lynxhill/internal/pipeline"
	"lynxhill.example/lynxhill/internal/profile"
)

var errNotSent = errors.New("not sent")

// fixture is a Server over fakes, with the real registry of outcomes.
type fixture struct {
	server   *Server
	admitter *fakeAdmitter
	runner   *fakeRunner
	forward  *fakeForwarder
	refused  []error
	claimsUp bool
	admit    error
	lost     chan struct{}
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	f := &fixture{admitter: &fakeAdmitter{t: t}, runner: &fakeRunner{}, forward: &fakeForwarder{}, claimsUp: true, lost: make(chan struct{})}
	f.server = New(Options{
		Self: "self", Profiles: profiles, Admitter: f.admitter, Runner: f.runner,
		Outcomes: outcome.NewRegistry(outcome.Options{}), Tickets: homes{}, Forward: f.forward, NotSent: errNotSent,
		MayAdmit: func() error { return f.admit }, ClaimsUp: func() bool { return f.claimsUp },
		Lost:    func() <-chan struct{} { return f.lost },
		Refused: func(_ pipeline.Request, err error) { f.refused = append(f.refused, err) },
	})
	return f
}

// profiles are "read", whose stages may be repeated, "book", whose last may
// not, and "gone", which was deleted.
func profiles(name string) (profile.Versioned, bool) {
	p := profile.Profile{Name: name, Deadline: 10 * time.Second, Stages: []profile.Stage{{Name: "embed", Idempotent: true}}}
	switch name {
	case "read":
	case "book":
		p.Stages = append(p.Stages, profile.Stage{Name: "book"})
	case "gone":
		return profile.Versioned{Version: 4, Deleted: true, Profile: p}, true
	default:
		return profile.Versioned{}, false
	}
	return profile.Versioned{Version: 3, Profile: p}, true
}

// homes: the ticket "lxt1.NAME" was issued by NAME.
type homes struct{}

func (homes) Home(ticket string) (string, bool) { return strings.CutPrefix(ticket, "lxt1.") }

// ticketed is a key under a ticket of the instance.
func ticketed(instance string) string { return claim.MintKey("lxt1."+instance, "k") }

func request(name string) pipeline.Request {
	return pipeline.Request{
		ID: "r1", Organisation: "agency-1", Profile: name, Key: "k1", KeyGiven: true,
		Input: json.RawMessage(`{"a":1}`), Received: time.Now(),
	}
}

// fakeAdmitter counts who is in.
type fakeAdmitter struct {
	t  *testing.T
	mu sync.Mutex // guards the fields below

	entered, inside int
	entries         []admission.Entry
	refuse          error
}

func (d *fakeAdmitter) Admit(_ context.Context, entry admission.Entry) (func(), error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.refuse != nil {
		return nil, d.refuse
	}
	d.entered++
	d.inside++
	d.entries = append(d.entries, entry)
	left := false
	return func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		if left {
			d.t.Error("a place at admission was given back twice")
		}
		left = true
		d.inside--
	}, nil
}

// check asserts how many have entered and how many are still in.
func (d *fakeAdmitter) check(entered, inside int) {
	d.t.Helper()
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.entered != entered || d.inside != inside {
		d.t.Errorf("%d entered and %d are in, want %d and %d", d.entered, d.inside, entered, inside)
	}
}

// fakeRunner runs requests by a script.
type fakeRunner struct {
	mu     sync.Mutex // guards runs
	runs   []pipeline.Request
	script func(ctx context.Context, req pipeline.Request, sink pipeline.Sink) (pipeline.Outcome, error) // nil answers at once
}

func (r *fakeRunner) Run(ctx context.Context, req pipeline.Request, sink pipeline.Sink) (pipeline.Outcome, error) {
	r.mu.Lock()
	r.runs = append(r.runs, req)
	r.mu.Unlock()
	if r.script != nil {
		return r.script(ctx, req, sink)
	}
	return pipeline.Outcome{RequestID: req.ID, Output: json.RawMessage(`"done"`)}, nil
}

func (r *fakeRunner) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.runs)
}

// fakeForwarder notes where requests were sent.
type fakeForwarder struct {
	homes    []string
	requests []pipeline.Request
	err      error
}

func (f *fakeForwarder) Forward(_ context.Context, home string, req pipeline.Request, _ pipeline.Sink) (pipeline.Outcome, error) {
	f.homes = append(f.homes, home)
	f.requests = append(f.requests, req)
	return pipeline.Outcome{RequestID: req.ID}, f.err
}

// connection is a caller's sink as an HTTP handler has it: what is written
// after the handler has returned goes into somebody else's answer. It has no
// lock of its own, so that the race detector sees such a write too.
type connection struct {
	t      *testing.T
	closed bool
	text   string
	err    error // of the next frame
	stages int
}

func (c *connection) Frame(_ int, text string) error {
	if c.closed {
		c.t.Error("a frame reached a connection that was given back")
	}
	c.text += text
	return c.err
}

func (c *connection) StageDone(pipeline.StageReport) {
	if c.closed {
		c.t.Error("a report reached a connection that was given back")
	}
	c.stages++
}

// serve serves a request as a handler does.
func (f *fixture) serve(ctx context.Context, req pipeline.Request, c *connection) (pipeline.Outcome, error) {
	out, err := f.server.Serve(ctx, req, c)
	c.closed = true
	return out, err
}

func wantKind(t *testing.T, err error, kind errkind.Kind) {
	t.Helper()
	if !errkind.Is(err, kind) {
		t.Errorf("error %v, want kind %s", err, kind)
	}
}
