package daemon

import (
	"bytes"
	"context"
	"strings"
	"sync"
	"testing"
	"time"

	"lynxhill.example/lynxhill/internal/claim"
	"lynxhill.example/lynxhill/internal/client"
	"lynxhill.example/lynxhill/internal/standin/engine"
	"lynxhill.example/lynxhill/internal/wire/lynxapi"
	"lynxhill.example/lynxhill/internal/wire/targetapi"
)

// logLines collects the log lines of an instance.
type logLines struct {
	mu   sync.Mutex // guards text
	text bytes.Buffer
}

func (l *logLines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

func (l *logLines) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// Guards against a booking that has run but that every later query reports as "may
// have run" after a planned stop: the caller's connection broke while the service
// booked, and the instance ended, and the call with it, because claimed calls that
// continue without their callers do not count as requests in flight. The streamed
// response that is in progress checks that streams are not cut either.
func TestGracefulStopCutsNothing(t *testing.T) {
	d := newDeployment(t)
	var lines logLines
	stopping, other := d.start(t, "a", 0, &lines), d.start(t, "b", 1, nil)
	d.declare(t, stopping, other)
	for _, m := range d.fleet.Service("booking") {
		m.Target.Straggle(400) // the booking takes longer than the note and the rest of the stop
	}

	booking := d.abandonBooking(t, stopping)
	caller := d.callerOf(stopping)
	note := lynxapi.SendRequest{Organisation: testOrganisation, Key: client.NewKey(), Input: testInput("campaign"), Stream: true}
	var result client.Result
	var noteErr error
	var once sync.Once
	noted := make(chan struct{})
	go func() {
		defer close(noted)
		result, noteErr = caller.Send(t.Context(), "trafficking-note", note, func(lynxapi.Frame) error {
			once.Do(stopping.stop) // the answer has begun
			return nil
		})
	}()
	<-noted
	if noteErr != nil || engine.CheckAnswer(result.Text, testOrganisation, note.Input) != nil {
		t.Errorf("the stream: %q, %v", result.Text, noteErr)
	}
	if err := <-stopping.ended; err != nil {
		t.Errorf("the stop: %v", err)
	}

	if run, _ := d.runOf("book"); !run.Finished || run.Cancelled {
		t.Errorf("the booking was cut: %+v", run)
	}
	key := claim.Key{Organisation: testOrganisation, Key: booking.Key, Stage: "book"}
	answer, found, err := other.claims.Lookup(t.Context(), key)
	if err != nil || !found || answer.State != claim.Completed {
		t.Errorf("the claim after the stop: %+v, %v, %v", answer, found, err)
	}
	for _, wrong := range []string{"server_failed", "daemon_stop_cut"} {
		if strings.Contains(lines.String(), wrong) {
			t.Errorf("the log of the stopped instance contains %s", wrong)
		}
	}
}

// abandonBooking sends a booking whose caller disconnects while it runs.
func (d *deployment) abandonBooking(t *testing.T, to *running) (booking targetapi.RunRecord) {
	t.Helper()
	ctx, leave := context.WithCancel(t.Context())
	go d.sendWithoutKey(ctx, to, "booking")
	await(t, "the booking runs", func() (found bool) {
		booking, found = d.runOf("book")
		return found
	})
	leave()
	await(t, "the caller has disconnected", func() bool { return to.admitter.InFlight() == 0 })
	return booking
}

// Guards against an instance that does not end after timings.stop_grace because it
// waits for a claimed call that the service does not answer and whose caller has
// disconnected.
func TestStopGraceBoundsTheWaitForClaimedCalls(t *testing.T) {
	d := newDeployment(t)
	d.grace = time.Millisecond
	var lines logLines
	stopping := d.start(t, "a", 0, &lines)
	d.declare(t, stopping)
	for _, m := range d.fleet.Service("booking") {
		m.Target.Straggle(10_000) // past every deadline
	}
	d.abandonBooking(t, stopping)
	stopping.stop()
	if err := <-stopping.ended; err != nil {
		t.Errorf("the stop: %v", err)
	}
	if run, _ := d.runOf("book"); run.Finished {
		t.Error("the stop waited for the booking")
	}
	if !strings.Contains(lines.String(), "daemon_stop_cut") {
		t.Error("the log does not report that the stop was cut short")
	}
}
