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

// Guards against requests that run until their deadline and end as "may have
// run" during an outage of the store. It comes about when a request needs a
// claim for its second stage and the claim is requested only when that stage
// begins: the first stage then runs and incurs its cost for nothing.
func TestStoreDownRefusesOnlyWhatNeedsAClaim(t *testing.T) {
	f := newFixture(t)
	f.claimsUp = false
	err := f.serveOnce(t, request("book"))
	wantKind(t, err, errkind.StoreUnavailable)
	if errkind.RetryAfter(err) != storeOutageRetryAfter || len(f.refused) != 1 {
		t.Errorf("retry after %s, %d refusals reported", errkind.RetryAfter(err), len(f.refused))
	}
	f.admitter.check(0, 0)
	if f.runner.count() != 0 {
		t.Fatal("a stage was run")
	}

	if err := f.serveOnce(t, request("read")); err != nil {
		t.Errorf("a request with idempotent stages only: %v", err)
	}
	req := request("book")
	req.Key = keyUnderTicket("self")
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

// Guards against a booking made twice. It comes about when a key was minted
// under the ticket of an instance that has crashed, and another instance cannot
// reach it and answers "not run", so that the caller resends the request under a
// new key. That this call was not sent does not exclude an earlier run.
func TestUnreachableHomeLeavesTheOutcomeUnknown(t *testing.T) {
	f := newFixture(t)
	req := request("book")
	req.Key = keyUnderTicket("other")
	f.forward.err = fmt.Errorf("dial: %w", errNotSent)
	wantKind(t, f.serveOnce(t, req), errkind.OutcomeUnknown)
	f.forward.err = errkind.New(errkind.Overloaded, "the home is full")
	wantKind(t, f.serveOnce(t, req), errkind.Overloaded) // an error of the home itself is passed on
	f.forward.err = nil
	if err := f.serveOnce(t, req); err != nil {
		t.Error(err)
	}
	if fmt.Sprint(f.forward.homes) != "[other other other]" || f.runner.count() != 0 {
		t.Errorf("forwarded to %v, %d runs here", f.forward.homes, f.runner.count())
	}
	f.admitter.check(0, 0)
}

// Guards against an idempotent request that waits until its deadline. It comes
// about when the store is down, so that callers mint keys under tickets, and an
// instance stops responding: callers resend their requests to another instance,
// which would forward them to the unresponsive one. The ticket matters only for
// stages that are not idempotent.
func TestRequestsThatMayBeRepeatedAreNotForwarded(t *testing.T) {
	f := newFixture(t)
	req := request("read")
	req.Key = keyUnderTicket("other")
	if err := f.serveOnce(t, req); err != nil {
		t.Error(err)
	}
	if len(f.forward.homes) != 0 || f.runner.count() != 1 {
		t.Errorf("forwarded to %v, %d runs here", f.forward.homes, f.runner.count())
	}
}

// Guards against two instances that forward a request to each other until its
// deadline because they disagree about the issuer of a ticket.
func TestForwardedRequestsAreNotForwardedAgain(t *testing.T) {
	f := newFixture(t)
	req := request("book")
	req.Key = keyUnderTicket("other")
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

// A malformed ticket names no instance: the request is served here, and the
// claim refuses its key.
func TestOwnAndMalformedTicketsStayHere(t *testing.T) {
	f := newFixture(t)
	for i, key := range []string{keyUnderTicket("self"), "lxt1/k", "plain"} {
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
		for _, key := range []string{"here", keyUnderTicket("other")} {
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
					t.Errorf("%s: the admitter got another deadline", name)
				}
			}
		}
	}
}

// Guards against "unknown profile", which callers do not retry, for a profile
// that is in force. It comes about when an instance starts while the store is
// down and has not loaded any profiles yet.
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
