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

// fixture is a Server with fake dependencies and the real outcome registry.
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
		Outcomes: outcome.NewRegistry(outcome.Options{}), Tickets: homes{}, Forwarder: f.forward, ErrNotSent: errNotSent,
		MayAdmit: func() error { return f.admit }, ClaimStoreUp: func() bool { return f.claimsUp },
		TargetsLost: func() <-chan struct{} { return f.lost },
		OnRefused:   func(_ pipeline.Request, err error) { f.refused = append(f.refused, err) },
	})
	return f
}

// profiles returns "read", whose stages are idempotent, "book", whose last stage
// is not idempotent, and "gone", which was deleted.
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

// homes implements Tickets: the ticket "lxt1.NAME" was issued by instance NAME.
type homes struct{}

func (homes) Issuer(ticket string) (string, bool) { return strings.CutPrefix(ticket, "lxt1.") }

// keyUnderTicket returns a key minted under a ticket of the instance.
func keyUnderTicket(instance string) string { return claim.MintKey("lxt1."+instance, "k") }

func request(name string) pipeline.Request {
	return pipeline.Request{
		ID: "r1", Organisation: "agency-1", Profile: name, Key: "k1", KeyGiven: true,
		Input: json.RawMessage(`{"a":1}`), Received: time.Now(),
	}
}

// fakeAdmitter counts the admitted requests and those not yet released.
type fakeAdmitter struct {
	t  *testing.T
	mu sync.Mutex // guards the fields below

	admitted, unreleased int
	entries              []admission.AdmitRequest
	refuse               error
}

func (d *fakeAdmitter) Admit(_ context.Context, entry admission.AdmitRequest) (func(), error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.refuse != nil {
		return nil, d.refuse
	}
	d.admitted++
	d.unreleased++
	d.entries = append(d.entries, entry)
	released := false
	return func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		if released {
			d.t.Error("an admission was released twice")
		}
		released = true
		d.unreleased--
	}, nil
}

// check asserts how many requests were admitted and how many of them have not
// been released.
func (d *fakeAdmitter) check(admitted, unreleased int) {
	d.t.Helper()
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.admitted != admitted || d.unreleased != unreleased {
		d.t.Errorf("%d admitted and %d not released, want %d and %d", d.admitted, d.unreleased, admitted, unreleased)
	}
}

// fakeRunner records requests and answers them with script.
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

// fakeForwarder records the forwarded requests and their destinations.
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

// connection is a caller's sink that behaves like an HTTP connection: data
// written after the handler has returned would go into another request's answer.
// It has no lock, so that the race detector reports such a write too.
type connection struct {
	t      *testing.T
	closed bool
	text   string
	err    error // of the next frame
	stages int
}

func (c *connection) Frame(_ int, text string) error {
	if c.closed {
		c.t.Error("a frame was written to a connection after its handler returned")
	}
	c.text += text
	return c.err
}

func (c *connection) StageDone(pipeline.StageReport) {
	if c.closed {
		c.t.Error("a stage report was written to a connection after its handler returned")
	}
	c.stages++
}

// serve serves a request as an HTTP handler does.
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
