package forwarding

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"lynxhill.example/lynxhill/internal/fleet"
	"lynxhill.example/lynxhill/internal/route"
	"lynxhill.example/lynxhill/internal/stagework"
)

const (
	streamHead  = "HTTP/1.1 200 OK\r\nX-Signed: 1\r\nContent-Length: 22\r\n\r\n"
	firstEvent  = "id: 1\nyes\n\n"
	secondEvent = "id: 2\nyes\n\n"
)

// buildRig is a rig with two targets of each of two software versions. Each request is
// broken off by its first target after some bytes of the body.
type buildRig struct {
	*rig
	breakAfter int
	onBreak    func() // called before that; may be nil

	mu      sync.Mutex
	targets []*memoryTarget // that got the request, in order
}

func newBuildRig(t *testing.T, breakAfter int) *buildRig {
	b := &buildRig{breakAfter: breakAfter}
	b.rig = newRig(t, 4, func(m *memoryTarget, conn net.Conn, _ string) {
		b.mu.Lock()
		b.targets = append(b.targets, m)
		first := len(b.targets) == 1
		b.mu.Unlock()
		if !first {
			_, _ = io.WriteString(conn, streamHead+firstEvent+secondEvent)
			return
		}
		if b.onBreak != nil {
			b.onBreak()
		}
		_, _ = io.WriteString(conn, streamHead+(firstEvent + secondEvent)[:b.breakAfter])
		_ = conn.Close()
	})
	b.listBuilds("v1", "v1", "v2", "v2")
	return b
}

// leavingBuild lists a target as leaving.
const leavingBuild = "leaving"

// listBuilds lists the first targets with the builds.
func (b *buildRig) listBuilds(builds ...string) {
	var listed []fleet.Target
	for n, build := range builds {
		id := fmt.Sprint("m", n)
		listed = append(listed, fleet.Target{ID: id, Service: "s", Build: build, Address: id, Slots: 8, Draining: build == leavingBuild})
	}
	b.view.Store(fleet.NewView(1, listed))
	b.dispatcher.SetTargets(inbound(route.Streaming, true, true).Table, b.view.Load())
}

// builds returns the software versions of the targets that got the request, in order.
func (b *buildRig) builds() (builds []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, m := range b.targets {
		for id, other := range b.rig.targets {
			if listed, ok := b.view.Load().Get(id); ok && other == m {
				builds = append(builds, listed.Build)
			}
		}
	}
	return builds
}

// olderScheduler is a dispatcher that does not know of bindings.
type olderScheduler struct{ Scheduler }

func (s olderScheduler) Submit(ctx context.Context, job stagework.Job) (stagework.Assignment, *stagework.Refusal, error) {
	job.Binding = nil
	return s.Scheduler.Submit(ctx, job)
}

// unrestrictedScheduler is an older dispatcher that also chooses among excluded engines.
type unrestrictedScheduler struct{ Scheduler }

func (s unrestrictedScheduler) Submit(ctx context.Context, job stagework.Job) (stagework.Assignment, *stagework.Refusal, error) {
	job.Binding, job.ExcludedEngines = nil, nil
	return s.Scheduler.Submit(ctx, job)
}

// Guards against a stream that goes on at another software version than its first event
// came from, whatever the dispatcher chooses.
func TestBrokenStreamGoesOnAtItsBuild(t *testing.T) {
	for name, older := range map[string]func(Scheduler) Scheduler{
		"same build":                  func(s Scheduler) Scheduler { return s },
		"older dispatcher":            func(s Scheduler) Scheduler { return olderScheduler{s} },
		"dispatcher without excludes": func(s Scheduler) Scheduler { return unrestrictedScheduler{s} },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBuildRig(t, len(firstEvent))
				b.Forwarder.o.Scheduler = older(b.Forwarder.o.Scheduler)
				w, cut := b.call(t.Context(), inbound(route.Streaming, true, true), "body", 5*time.Second)
				builds := b.builds()
				if cut || w.Code != http.StatusOK || w.Body.String() != firstEvent+secondEvent || len(builds) != 2 || builds[0] != builds[1] {
					t.Errorf("cut %v, status %d, body %q, at %v", cut, w.Code, w.Body, builds)
				}
			})
		})
	}
}

// Guards against a stream that is bound to the software version of a target of which no
// event has reached the caller.
func TestBrokenHeadBindsNoBuild(t *testing.T) {
	for _, after := range []int{0, len(firstEvent) - 1} {
		synctest.Test(t, func(t *testing.T) {
			b := newBuildRig(t, after)
			b.listBuilds("v1", "v2")
			w, cut := b.call(t.Context(), inbound(route.Streaming, true, true), "body", 5*time.Second)
			if builds := b.builds(); cut || w.Body.String() != firstEvent+secondEvent || len(builds) != 2 || builds[0] == builds[1] {
				t.Errorf("after %d bytes: cut %v, body %q, at %v", after, cut, w.Body, builds)
			}
		})
	}
}

// Guards against a stream that waits, or goes on elsewhere, though the only target of its
// software version is leaving.
func TestBrokenStreamEndsAtOnceWithoutItsBuild(t *testing.T) {
	for name, older := range map[string]func(Scheduler) Scheduler{
		"same build":                  func(s Scheduler) Scheduler { return s },
		"older dispatcher":            func(s Scheduler) Scheduler { return olderScheduler{s} },
		"dispatcher without excludes": func(s Scheduler) Scheduler { return unrestrictedScheduler{s} },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBuildRig(t, len(firstEvent))
				b.Forwarder.o.Scheduler = older(b.Forwarder.o.Scheduler)
				b.listBuilds("v1")
				b.onBreak = func() { b.listBuilds(leavingBuild, "v2", "v2", "v2") }
				began := time.Now()
				w, cut := b.call(t.Context(), inbound(route.Streaming, true, true), "body", 5*time.Second)
				if took := time.Since(began); !cut || w.Body.String() != firstEvent || took > 100*time.Millisecond || len(b.targets) != 1 {
					t.Errorf("cut %v after %v, body %q, at %d targets", cut, took, w.Body, len(b.targets))
				}
			})
		})
	}
}
