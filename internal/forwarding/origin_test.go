package forwarding

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"lynxhill.example/lynxhill/internal/errkind"
	"lynxhill.example/lynxhill/internal/route"
	"lynxhill.example/lynxhill/internal/streamorigin"
)

// fakeOrigins holds origins in memory.
type fakeOrigins struct {
	mu     sync.Mutex // guards the fields below
	begun  map[streamorigin.Key]streamorigin.Origin
	keep   time.Duration // of the last record
	window time.Duration // of the last record's query
	onFind error         // what Find returns in place of a record
}

func newFakeOrigins() *fakeOrigins {
	return &fakeOrigins{begun: make(map[streamorigin.Key]streamorigin.Origin)}
}

func (f *fakeOrigins) Begin(q streamorigin.Query, origin streamorigin.Origin, keep time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.begun[q.Key], f.keep, f.window = origin, keep, q.Window
}

// add adds an origin of a stream of no organisation.
func (f *fakeOrigins) add(attempt, service, build string) {
	f.begun[streamorigin.Key{Attempt: attempt}] = streamorigin.Origin{Service: service, Build: build}
}

func (f *fakeOrigins) Find(_ context.Context, q streamorigin.Query) (streamorigin.Finding, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.onFind != nil {
		return streamorigin.Finding{}, f.onFind
	}
	origin, known := f.begun[q.Key]
	if !known {
		return streamorigin.Finding{}, streamorigin.ErrUnknown
	}
	return streamorigin.Finding{Origin: origin}, nil
}

// takeUp is a request that goes on with a stream after its first event.
func takeUp(resumes string) Inbound {
	in := inbound(route.Streaming, true, true)
	in.Request.LastEventID, in.Request.Resumes = "1", resumes
	return in
}

// Guards against a stream whose origin is not recorded, is recorded without an event, or
// longer than its caller may come back.
func TestFirstEventRecordsTheOrigin(t *testing.T) {
	for _, c := range []struct {
		breakAfter int
		resumable  bool
		want       int // records
	}{{len(firstEvent), true, 1}, {0, true, 1}, {len(firstEvent), false, 0}} {
		synctest.Test(t, func(t *testing.T) {
			b, origins := newBuildRig(t, c.breakAfter), newFakeOrigins()
			b.Forwarder.o.Origins = origins
			b.call(t.Context(), inbound(route.Streaming, c.resumable, true), "body", 5*time.Second)
			builds := b.builds()
			got, known := origins.begun[streamorigin.Key{Attempt: "a"}]
			if known != (c.want > 0) || known && (got.Service != "s" || got.Build != builds[len(builds)-1]) || origins.keep > 5*time.Second {
				t.Errorf("%+v: recorded %v %+v for %v, at %v", c, known, got, origins.keep, builds)
			}
		})
	}
}

// Guards against a taken up stream that goes on at another software version, also after its
// target breaks it off before a further event.
func TestStreamTakenUpGoesOnAtItsBuild(t *testing.T) {
	for _, build := range []string{"v1", "v2"} {
		for _, breakAfter := range []int{0, len(firstEvent), len(firstEvent + secondEvent)} {
			synctest.Test(t, func(t *testing.T) {
				b, origins := newBuildRig(t, breakAfter), newFakeOrigins()
				b.Forwarder.o.Origins = origins
				origins.add("first", "s", build)
				w, cut := b.call(t.Context(), takeUp("first"), "body", 5*time.Second)
				for _, at := range b.builds() {
					if at != build {
						t.Errorf("began at %s, went on at %v", build, b.builds())
					}
				}
				if cut || w.Body.String() != secondEvent || len(origins.begun) != 1 {
					t.Errorf("cut %v, body %q, origins %v", cut, w.Body, origins.begun)
				}
			})
		}
	}
}

// Guards against streams that run though they can't go on, callers that wait for the answer,
// and answers that make them come back in vain.
func TestStreamThatCannotGoOnIsRefusedAtOnce(t *testing.T) {
	known := func(service, build string) *fakeOrigins {
		f := newFakeOrigins()
		f.add("first", service, build)
		return f
	}
	unconfirmed := newFakeOrigins()
	unconfirmed.onFind = streamorigin.ErrUnconfirmed
	for name, c := range map[string]struct {
		origins    StreamOrigins
		resumes    string
		kind       errkind.Kind
		retryAfter bool
	}{
		"unknown":                {newFakeOrigins(), "first", errkind.StreamUnknown, false},
		"not stated":             {known("s", "v1"), "", errkind.StreamUnknown, false},
		"no origins":             {nil, "first", errkind.StreamUnknown, false},
		"too long":               {known("s", "v1"), strings.Repeat("x", maxResumesLength+1), errkind.BadRequest, false},
		"holders are silent":     {unconfirmed, "first", errkind.StreamUnconfirmed, true},
		"no target of the build": {known("s", "v3"), "first", errkind.StreamVersionGone, false},
		"route was moved":        {known("other", "v1"), "first", errkind.StreamVersionGone, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBuildRig(t, 0)
				b.Forwarder.o.Origins = c.origins
				began := time.Now()
				w, cut := b.call(t.Context(), takeUp(c.resumes), "body", 5*time.Second)
				if cut || time.Since(began) > 0 || !strings.Contains(w.Body.String(), `"`+c.kind.String()+`"`) || w.Code != c.kind.Answer().Status {
					t.Errorf("cut %v after %v, status %d, body %s", cut, time.Since(began), w.Code, w.Body)
				}
				if hint := w.Header().Get("Retry-After"); (hint != "") != c.retryAfter || b.arrived("body") > 0 {
					t.Errorf("Retry-After %q, %d arrivals", hint, b.arrived("body"))
				}
			})
		})
	}
}

// Guards against a stream of a split route that goes on at another of its services.
func TestStreamOfASplitRouteStaysWithItsService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for n := range 20 {
			b, origins := newBuildRig(t, len(firstEvent+secondEvent)), newFakeOrigins()
			b.Forwarder.o.Origins = origins
			origins.add("first", "s", "v1")
			in := takeUp("first")
			in.Route.Services = []route.WeightedService{{Name: "other", Weight: 99}, {Name: "s", Weight: 1}}
			if w, cut := b.call(t.Context(), in, "body", 5*time.Second); cut || w.Code != http.StatusOK {
				t.Fatalf("try %d: cut %v, status %d, body %s", n, cut, w.Code, w.Body)
			}
		}
	})
}

// Guards against a taken up stream of a plain service that goes on at another software
// version.
func TestStreamOfAPlainServiceGoesOnAtItsBuild(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for range 10 {
			b, origins := newBuildRig(t, len(firstEvent+secondEvent)), newFakeOrigins()
			b.Forwarder.o.Origins = origins
			in := inbound(route.Streaming, true, false)
			if w, cut := b.call(t.Context(), in, "body", 5*time.Second); cut || w.Code != http.StatusOK {
				t.Fatalf("cut %v, status %d", cut, w.Code)
			}
			again := inbound(route.Streaming, true, false)
			again.Request.LastEventID, again.Request.Resumes = "1", "a"
			if w, cut := b.call(t.Context(), again, "body", 5*time.Second); cut || w.Code != http.StatusOK {
				t.Fatalf("cut %v, status %d, body %s", cut, w.Code, w.Body)
			}
			if builds := b.builds(); len(builds) != 2 || builds[0] != builds[1] {
				t.Errorf("at %v", builds)
			}
		}
	})
}

// Guards against the id of an attempt of one organisation that finds the stream of another.
func TestOrganisationIsPartOfTheKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, origins := newBuildRig(t, len(firstEvent+secondEvent)), newFakeOrigins()
		b.Forwarder.o.Origins = origins
		for _, name := range []string{"o", "p"} {
			in := takeUp("first")
			in.Organisation = &route.Organisation{Name: name}
			origins.begun[streamorigin.Key{Organisation: "o", Attempt: "first"}] = streamorigin.Origin{Service: "s", Build: "v1"}
			w, _ := b.call(t.Context(), in, "body", 5*time.Second)
			if served := w.Code == http.StatusOK; served != (name == "o") {
				t.Errorf("organisation %s: status %d", name, w.Code)
			}
		}
	})
}
