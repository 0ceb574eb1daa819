package forwarding

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"lynxhill.example/lynxhill/internal/crashguard"
	"lynxhill.example/lynxhill/internal/relay"
	"lynxhill.example/lynxhill/internal/route"
	"lynxhill.example/lynxhill/internal/stagework"
)

// staged returns a request of the organisation whose route has a stage; its pieces have
// the key.
func staged(organisation, pieceKey string) Inbound {
	in := inbound(route.Streaming, false, true)
	declared := *in.Route
	declared.Stages = []route.Stage{{Service: "enc"}}
	in.Route, in.Organisation = &declared, &route.Organisation{Name: organisation}
	request := *in.Request
	request.PieceKey = pieceKey
	in.Request = &request
	return in
}

// Guards against a request that is sent to stage targets again by instances whose guard
// knows that it crashed three, and against the refusal of other requests.
func TestRequestWhosePiecesCrashTargetsIsNotAdmitted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 2, func(_ *memoryTarget, conn net.Conn, _ string) { _, _ = io.WriteString(conn, wholeAnswer) })
		for n := range 3 {
			r.guard.RecordCrash(crashguard.PieceKey("o", "bad"), crashguard.Crash{Target: fmt.Sprint("t", n)})
		}
		unstaged := staged("o", "bad")
		unstaged.Route = inbound(route.Streaming, false, true).Route
		for _, c := range []struct {
			name    string
			in      Inbound
			refused bool
		}{
			{"the key", staged("o", "bad"), true},
			{"another key", staged("o", "good"), false},
			{"no key", staged("o", ""), false},
			{"another organisation", staged("p", "bad"), false},
			{"a route without stages", unstaged, false},
		} {
			w, _ := r.call(t.Context(), c.in, c.name, time.Second)
			if refused := w.Code == http.StatusServiceUnavailable && w.Header().Get("Retry-After") != ""; refused != c.refused || (r.arrived(c.name) > 0) == c.refused {
				t.Errorf("%s: status %d, Retry-After %q, reached targets %d times", c.name, w.Code, w.Header().Get("Retry-After"), r.arrived(c.name))
			}
		}
	})
}

// refusingScheduler refuses all jobs after crashes.
type refusingScheduler struct{ Scheduler }

func (refusingScheduler) Submit(context.Context, stagework.Job) (stagework.Assignment, *stagework.Refusal, error) {
	return nil, &stagework.Refusal{Reason: stagework.ReasonCrashes, RetryAfter: time.Hour}, nil
}

// Guards against callers that repeat at once what the dispatcher refuses for hours.
func TestRefusalByTheDispatcherAfterCrashes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 1, nil)
		r.o.Scheduler = refusingScheduler{r.o.Scheduler}
		w, _ := r.call(t.Context(), staged("o", "bad"), "body", time.Second)
		if w.Code != http.StatusServiceUnavailable || w.Header().Get("Retry-After") != time.Hour.String() {
			t.Errorf("status %d, Retry-After %q", w.Code, w.Header().Get("Retry-After"))
		}
	})
}

// loadCodec is fakeCodec with the pace of an engine in the head of its response.
type loadCodec struct{ fakeCodec }

func (c loadCodec) ParseResponse(r *http.Response) relay.ResponseHead {
	head := c.fakeCodec.ParseResponse(r)
	head.Load = &relay.Load{Running: 1, Slots: 4, Pace: 2.5}
	return head
}

// listeningScheduler records the loads that its assignments are told.
type listeningScheduler struct {
	Scheduler
	loads chan *relay.Load
}

func (s listeningScheduler) Submit(ctx context.Context, job stagework.Job) (stagework.Assignment, *stagework.Refusal, error) {
	a, refusal, err := s.Scheduler.Submit(ctx, job)
	return listeningAssignment{a, s.loads}, refusal, err
}

type listeningAssignment struct {
	stagework.Assignment
	loads chan *relay.Load
}

func (a listeningAssignment) AnswerStarted(load *relay.Load) {
	a.loads <- load
	a.Assignment.AnswerStarted(load)
}

// Guards against a pace that the owner reads and does not pass to the dispatcher.
func TestOwnerPassesThePaceOfAnEngineOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 1, func(_ *memoryTarget, conn net.Conn, _ string) { _, _ = io.WriteString(conn, wholeAnswer) })
		loads := make(chan *relay.Load, 1)
		r.o.Codec, r.o.Scheduler = loadCodec{}, listeningScheduler{r.o.Scheduler, loads}
		_, _ = r.call(t.Context(), inbound(route.Streaming, false, true), "body", time.Second)
		if load := <-loads; load == nil || load.Pace != 2.5 {
			t.Errorf("the dispatcher was told %+v", load)
		}
	})
}
