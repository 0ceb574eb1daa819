package edge

import (
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"lynxhill.example/lynxhill/internal/config"
	"lynxhill.example/lynxhill/internal/slotqueue"
	"lynxhill.example/lynxhill/internal/stagework"
	"lynxhill.example/lynxhill/internal/wire/overloadapi"
)

// page fetches the page from the server of the metrics address.
func (w *testInstance) page() (p overloadapi.Page) {
	w.t.Helper()
	answer := httptest.NewRecorder()
	w.metricsServer().Handler.ServeHTTP(answer, httptest.NewRequest("GET", overloadapi.Path, nil))
	if answer.Code != 200 || answer.Header().Get("Content-Type") != "application/json" {
		w.t.Fatalf("status %d, %s", answer.Code, answer.Body)
	}
	if err := json.Unmarshal(answer.Body.Bytes(), &p); err != nil {
		w.t.Fatal(err)
	}
	return p
}

// Guards against a page that gives the wrong reason for which a part is in force, by which an
// operator would change the wrong setting.
func TestOverloadPageTellsWhyPartsAreInForce(t *testing.T) {
	for _, c := range []struct {
		mode          config.Mode
		scarce, paced bool
		inForce       bool
		why           overloadapi.Why
	}{
		{config.Auto, false, false, false, overloadapi.WhyNeither}, {config.Auto, true, false, true, overloadapi.WhyScarce},
		{config.Auto, false, true, true, overloadapi.WhyPaced}, {config.Auto, true, true, true, overloadapi.WhyBoth},
		{config.On, false, false, true, overloadapi.WhySetting}, {config.Off, true, true, false, overloadapi.WhySetting},
	} {
		cfg := settings()
		cfg.Overload.Shares = c.mode
		runInstance(t, cfg, func(w *testInstance) {
			w.adapter.ScarceCapacity = c.scarce
			w.updateOverload()
			if c.paced {
				w.targetStatedPace()
			}
			parts := w.page().Parts
			want := overloadapi.Part{Name: overloadapi.PartShares, InForce: c.inForce, Setting: string(c.mode), Why: c.why}
			if !slices.Contains(parts, want) {
				t.Errorf("%+v: %+v", c, parts)
			}
		})
	}
}

// Guards against a page of a coordinator under overload that lacks who waits, who holds the
// slots, or who was refused by which rule and until when.
func TestOverloadPageOfACoordinator(t *testing.T) {
	cfg := settings()
	cfg.Overload.SlotQueue = config.On
	runInstance(t, cfg, func(w *testInstance) {
		service := w.routes.Targets().All()[0].Service
		session := w.slots.coordinator.Open("other", func(slotqueue.Answer) {})
		for n := range 400 {
			session.Submit(slotqueue.Request{
				ID: uint64(n + 1), Service: service, Organisation: fmt.Sprint("o", n%2), Route: "d",
				OnTimeUntil: time.Now().Add(300 * time.Millisecond), Deadline: time.Now().Add(1500 * time.Millisecond),
			})
		}
		p := w.page()
		var waiting, held, refused int
		for _, q := range p.Queues {
			if q.Decider != overloadapi.Coordinator || q.Service != service || q.Route != "d" || q.Organisation != "o0" && q.Organisation != "o1" {
				t.Errorf("queue %+v", q)
			}
			waiting, held = waiting+q.Waiting, held+q.Held
		}
		for _, r := range p.Refusals {
			if r.Rule != slotqueue.ReasonLate || r.UntilMS <= 0 || r.Decider != overloadapi.Coordinator {
				t.Errorf("refusal %+v", r)
			}
			refused += r.Count
		}
		if held == 0 || waiting == 0 || refused == 0 || held+waiting+refused != 400 {
			t.Errorf("%d slots held, %d waiting, %d refused, want 400 in all", held, waiting, refused)
		}
		if len(p.Slots) != 1 || p.Slots[0].Used != held || p.Slots[0].Sessions == 0 || p.Slots[0].Targets["ready"] == 0 {
			t.Errorf("slots %+v", p.Slots)
		}
		if part := (overloadapi.Part{Name: overloadapi.PartSlotQueue, Service: service, InForce: true, Setting: "on", Why: overloadapi.WhySetting}); !slices.Contains(p.Parts, part) {
			t.Errorf("parts %+v", p.Parts)
		}
		time.Sleep(time.Minute)
		if p := w.page(); len(p.Refusals) > 0 {
			t.Errorf("a minute later: %+v", p.Refusals)
		}
		session.Close()
	})
}

// Guards against a page of a dispatcher that lacks the refusals of stage work, which are the
// larger part under overload.
func TestOverloadPageOfADispatcher(t *testing.T) {
	runInstance(t, settings(), func(w *testInstance) {
		for range 3 {
			_, refusal := w.dispatcher.Submit(stagework.Job{
				ID: "r", Organisation: "o", Route: "b", Service: "no-such-service",
				OnTimeUntil: time.Now().Add(time.Second), Deadline: time.Now().Add(time.Second),
			})
			if refusal == nil {
				t.Fatal("the job was accepted")
			}
		}
		time.Sleep(2 * time.Second)
		p := w.page()
		if len(p.Refusals) != 1 {
			t.Fatalf("refusals %+v", p.Refusals)
		}
		r := p.Refusals[0]
		if r.Decider != overloadapi.Dispatcher || r.Organisation != "o" || r.Route != "b" || r.Rule != stagework.ReasonNoTarget || r.Count != 3 || r.LastMS != 2000 {
			t.Errorf("refusal %+v", r)
		}
	})
}

// Guards against a page that grows with the number of organisations, and against one whose
// bound hides those with the most requests.
func TestOverloadPageIsBounded(t *testing.T) {
	var b pageBuilder
	for n := range 19000 {
		b.addQueues([]stagework.QueuedJobs{{Organisation: fmt.Sprint(n), Waiting: n}})
		b.addReservations([]stagework.ReservedCallers{{Organisation: fmt.Sprint(n), Callers: n}})
	}
	b.bound()
	if len(b.page.Queues) != overloadapi.MaxRows || b.page.Queues[0].Waiting != 18999 || len(b.page.Reservations) != overloadapi.MaxRows ||
		b.page.OmittedRows != 2*(19000-overloadapi.MaxRows) {
		t.Errorf("%d queues, %d reservations, %d omitted", len(b.page.Queues), len(b.page.Reservations), b.page.OmittedRows)
	}
	text, err := json.Marshal(b.page)
	if err != nil || len(text) > overloadapi.MaxBytes {
		t.Errorf("%d bytes, %v", len(text), err)
	}
}
