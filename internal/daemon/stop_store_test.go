package daemon

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"lynxhill.example/lynxhill/internal/claim"
	"lynxhill.example/lynxhill/internal/client"
	"lynxhill.example/lynxhill/internal/standin/platform"
	"lynxhill.example/lynxhill/internal/wire/lynxapi"
)

// Guards against a booking that has run but remains recorded as "may have run" because
// the store was unavailable while its instance stopped.
func TestStopRecordsCompletionsDespiteStoreOutage(t *testing.T) {
	for _, away := range []time.Duration{3 * time.Second, 5 * time.Second, 8 * time.Second} {
		t.Run(fmt.Sprint(away), func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t)
			var lines logLines
			stopping, other := d.start(t, "a", 0, &lines), d.start(t, "b", 1, nil)
			d.declare(t, stopping, other)
			for _, m := range d.fleet.Service("booking") {
				m.Target.Straggle(400)
			}
			booking := d.abandonBooking(t, stopping)
			d.fleet.Platform.Outage(platform.OutageRefuse)
			back := make(chan struct{})
			time.AfterFunc(away, func() {
				d.fleet.Platform.Outage(platform.OutageNone)
				close(back)
			})
			stopping.stop()
			if err := <-stopping.ended; err != nil {
				t.Errorf("the stop: %v", err)
			}
			if strings.Contains(lines.String(), "claim_records_lost") {
				t.Error("the stop lost the completion")
			}
			<-back
			d.awaitCompleted(t, other, claim.Key{Organisation: testOrganisation, Key: booking.Key, Stage: "book"})
		})
	}
}

// awaitCompleted checks that the claim is completed. It retries failed lookups, since
// the store client of the instance may not have noticed the end of the outage yet.
func (d *deployment) awaitCompleted(t *testing.T, at *running, key claim.Key) {
	t.Helper()
	for limit := time.Now().Add(45 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		answer, found, err := at.claims.Lookup(t.Context(), key)
		if err != nil && time.Now().Before(limit) {
			continue
		}
		if err != nil || !found || answer.State != claim.Completed {
			t.Errorf("the claim after the stop: %+v, %v, %v", answer, found, err)
		}
		return
	}
}

// Guards against a stop that loses its outcomes without logging it.
func TestStopWithoutPeersLogsItsOutcomes(t *testing.T) {
	d := newDeployment(t)
	var lines logLines
	alone := d.start(t, "a", 0, &lines)
	d.declare(t, alone)
	req := lynxapi.SendRequest{Organisation: testOrganisation, Key: client.NewKey(), Input: testInput("two lines")}
	if _, err := d.callerOf(alone).Send(t.Context(), "booking", req, nil); err != nil {
		t.Fatal(err)
	}
	alone.stop()
	if err := <-alone.ended; err != nil {
		t.Errorf("the stop: %v", err)
	}
	if !strings.Contains(lines.String(), "outcomes_not_handed_over records=1") {
		t.Errorf("the log: %s", &lines)
	}
}

// Guards against a stop that continues to write claim records beyond its timeout, or
// logs the lost records more than once.
func TestStopEndsThoughNobodyTakesItsClaims(t *testing.T) {
	d := newDeployment(t)
	var lines logLines
	alone := d.start(t, "a", 0, &lines)
	d.declare(t, alone)
	for _, m := range d.fleet.Service("booking") {
		m.Target.Straggle(400)
	}
	d.abandonBooking(t, alone)
	d.fleet.Platform.Outage(platform.OutageRefuse)
	alone.stop()
	if err := <-alone.ended; err != nil {
		t.Errorf("the stop: %v", err)
	}
	if n := strings.Count(lines.String(), "claim_records_lost records=1"); n != 1 {
		t.Errorf("the log reports the lost completion %d times: %s", n, &lines)
	}
}
