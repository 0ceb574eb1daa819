package serving

import (
	"fmt"
	"testing"
	"time"

	"lynxhill.example/lynxhill/internal/errkind"
	"lynxhill.example/lynxhill/internal/pipeline"
)

func (f *fixture) serveOnce(t *testing.T, req pipeline.Request) error {
	t.Helper()
	_, err := f.serve(t.Context(), req, &connection{t: t})
	return err
}

// The symptom would be requests that wait out their deadline and end as "may
// have run" during an outage. Events: the store is down, a request needs a
// claim for its second stage; the first is run and paid for. Cause: the claim
// is asked for only when the stage begins.
func TestStoreDownRefusesOnlyWhatNeedsAClaim(t *testing.T) {
	f := newFixture(t)
	f.claimsUp = false
	err := f.serveOnce(t, request("book"))
	wantKind(t, err, errkind.StoreUnavailable)
	if errkind.RetryAfter(err) != retryAfterOutage || len(f.refused) != 1 {
		t.Errorf("retry after %s, %d refusals reported", errkind.RetryAfter(err), len(f.refused))
	}
	f.admitter.check(0, 0)
	if f.runner.count() != 0 {
		t.Fatal("a stage was run")
	}

	if err := f.serveOnce(t, request("read")); err != nil {
		t.Errorf("a request that may be repeated: %v", err)
	}
	req := request("book")
	req.Key = ticketed("self")
	if err := f.serveOnce(t, req); err != nil {
		t.Errorf("a key under a ticket: %v", err)
	}
	f.admitter.check(2, 0)
	if f.runner.count() != 2 {
		t.Errorf("%d runs, want 2", f.runner.count())
	}
}

func TestClaimsAreTakenWhileTheStoreIsUp(t *testing.T) {
	f := newFixture(t)
	if err := f.serveOnce(t, request("book")); err != nil {
		t.Error(err)
	}
}

// The symptom would be a booking made twice. Events: a key was minted under
// the ticket of an instance that has died; another instance is asked, cannot
// reach it and says "not run"; the caller sends it under a new key. Cause: not
// sent now says nothing of earlier sends.
func TestUnreachableHomeLeavesTheOutcomeUnknown(t *testing.T) {
	f := newFixture(t)
	req := request("book")
	req.Key = ticketed("other")
	f.forward.err = fmt.Errorf("dial: %w", errNotSent)
	wantKind(t, f.serveOnce(t, req), errkind.OutcomeUnknown)
	f.forward.err = errkind.New(errkind.Overloaded, "the home is full")
	wantKind(t, f.serveOnce(t, req), errkind.Overloaded) // what the home itself says goes through
	f.forward.err = nil
	if err := f.serveOnce(t, req); err != nil {
		t.Error(err)
	}
	if fmt.Sprint(f.forward.homes) != "[other other other]" || f.runner.count() != 0 {
		t.Errorf("forwarded to %v, %d runs here", f.forward.homes, f.runner.count())
	}
	f.admitter.check(0, 0)
}

// The symptom would be a read that waits out its deadline. Events: the store is
// down, so that callers make keys under tickets; an instance freezes, and its
// callers send their reads again elsewhere, which forwards them to the frozen
// one. Cause: a ticket says only where a stage that may run once has run.
func TestRequestsThatMayBeRepeatedAreNotForwarded(t *testing.T) {
	f := newFixture(t)
	req := request("read")
	req.Key = ticketed("other")
	if err := f.serveOnce(t, req); err != nil {
		t.Error(err)
	}
	if len(f.forward.homes) != 0 || f.runner.count() != 1 {
		t.Errorf("forwarded to %v, %d runs here", f.forward.homes, f.runner.count())
	}
}

// The symptom would be a request that two instances send round between them
// until its deadline. Cause: they disagree about a ticket's issuer.
func TestForwardedRequestsAreNotForwardedAgain(t *testing.T) {
	f := newFixture(t)
	req := request("book")
	req.Key = ticketed("other")
	if _, err := f.server.ServeForwarded(t.Context(), req, &connection{t: t}); err != nil {
		t.Fatal(err)
	}
	if len(f.forward.homes) != 0 || f.runner.count() != 1 {
		t.Errorf("forwarded to %v, %d runs here", f.forward.homes, f.runner.count())
	}
	req.Profile = "nowhere"
	_, err := f.server.ServeForwarded(t.Context(), req, &connection{t: t})
	wantKind(t, err, errkind.UnknownProfile)
}

// A malformed ticket names nobody: its key runs here, and the claim refuses it.
func TestOwnAndMalformedTicketsStayHere(t *testing.T) {
	f := newFixture(t)
	for i, key := range []string{ticketed("self"), "lxt1/k", "plain"} {
		req := request("read")
		req.Key = key
		if err := f.serveOnce(t, req); err != nil {
			t.Error(err)
		}
		if len(f.forward.homes) != 0 || f.runner.count() != i+1 {
			t.Errorf("%q: forwarded to %v", key, f.forward.homes)
		}
	}
}

func TestDeadlineIsNoLaterThanTheProfiles(t *testing.T) {
	received := time.Now()
	latest := received.Add(10 * time.Second)
	for name, row := range map[string]struct{ asked, want time.Time }{
		"none":    {time.Time{}, latest},
		"later":   {received.Add(time.Minute), latest},
		"earlier": {received.Add(time.Second), received.Add(time.Second)},
	} {
		for _, key := range []string{"here", ticketed("other")} {
			f := newFixture(t)
			req := request("book")
			req.Key, req.Received, req.Deadline = key, received, row.asked
			if err := f.serveOnce(t, req); err != nil {
				t.Fatal(err)
			}
			for _, run := range append(f.runner.runs, f.forward.requests...) {
				if !run.Deadline.Equal(row.want) {
					t.Errorf("%s: deadline %s after the request, want %s", name, run.Deadline.Sub(received), row.want.Sub(received))
				}
			}
			for _, entry := range f.admitter.entries {
				if !entry.Deadline.Equal(row.want) {
					t.Errorf("%s: the admitter was told another deadline", name)
				}
			}
		}
	}
}

// The symptom would be "unknown profile", which callers do not send again, for
// a profile that is in force. Events: an instance starts while the store is
// down. Cause: it knows no profile yet.
func TestUnconfirmedInstanceDoesNotCallAProfileUnknown(t *testing.T) {
	f := newFixture(t)
	for _, name := range []string{"nowhere", "gone"} {
		f.admit = nil
		wantKind(t, f.serveOnce(t, request(name)), errkind.UnknownProfile)
		f.admit = errkind.New(errkind.Isolated, "no configuration yet")
		wantKind(t, f.serveOnce(t, request(name)), errkind.Isolated)
	}
	f.admitter.check(0, 0)
}

func TestRefusalAtAdmissionRunsNothing(t *testing.T) {
	f := newFixture(t)
	f.admitter.refuse = errkind.New(errkind.OrganisationLimit, "enough")
	wantKind(t, f.serveOnce(t, request("read")), errkind.OrganisationLimit)
	if f.runner.count() != 0 || len(f.refused) != 1 {
		t.Errorf("%d runs, %d refusals reported", f.runner.count(), len(f.refused))
	}
}
