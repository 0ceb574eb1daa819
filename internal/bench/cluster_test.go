package bench

import (
	"testing"
	"time"

	"lynxhill.example/lynxhill/internal/errkind"
	"lynxhill.example/lynxhill/internal/stagecall"
	"lynxhill.example/lynxhill/internal/standin/fleet"
	"lynxhill.example/lynxhill/internal/target"
	"lynxhill.example/lynxhill/internal/wire/targetapi"
)

// The verdicts over a running deployment: nothing is counted while nothing is
// wrong, and a booking that somebody runs a second time, or a refusal that is
// held against a booking that ran, is. Cause, if not: the records of callers
// and stand-ins do not name the same keys.
func TestVerdictsOverARunningDeployment(t *testing.T) {
	c, err := StartCluster(ClusterOptions{
		Fleet: fleet.Options{Name: fleet.MediaPlace, Scale: 0.1, TimeScale: 0.1}, Instances: 2, Seed: 1, Plain: true,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	list, err := prepare(t.Context(), c)
	if err != nil {
		t.Fatal(err)
	}
	mix := []Mix{{Profile: "booking", Weight: 1}, {Profile: "creative-check", Weight: 1}}
	records, err := RunLoad(t.Context(), c, list, LoadOptions{Rate: 40, Duration: time.Second, Mix: mix, Seed: 1, Run: "test"})
	if err != nil {
		t.Fatal(err)
	}
	if b := breaches(c.evidence(list), records); b.Total() != 0 {
		t.Fatalf("broken without a fault: %+v", b)
	}
	booked := wholeBooking(records)
	if booked < 0 {
		t.Fatalf("no booking of %d requests was answered", len(records))
	}
	bookAgain(t, c, &records[booked])
	if b := breaches(c.evidence(list), records); b.Rerun != 1 || b.Total() != 1 {
		t.Errorf("a second booking under one key: %+v", b)
	}
	records[booked].Err = errkind.New(errkind.Overloaded, "not run")
	if b := breaches(c.evidence(list), records); b.FalseNotRun != 1 || b.Total() != 2 {
		t.Errorf("a refusal of what ran: %+v", b)
	}
}

func wholeBooking(records []Record) int {
	for i := range records {
		if records[i].Profile == "booking" && records[i].Whole() {
			return i
		}
	}
	return -1
}

// bookAgain runs the booking's last stage behind lynxhill's back.
func bookAgain(t *testing.T, c *Cluster, r *Record) {
	t.Helper()
	client := target.New(target.Options{})
	t.Cleanup(client.Close)
	member := c.Fleet.Service("booking")[0]
	_, err := client.Run(t.Context(), stagecall.Target{ID: member.Instance.ID, Address: member.Target.Addr()}, targetapi.RunRequest{
		RequestID: "again", AttemptID: "again", Organisation: r.Organisation, Key: r.Keys[len(r.Keys)-1],
		Stage: r.Reply.Stages[len(r.Reply.Stages)-1].Stage, Kind: "service", Input: []byte(`{}`),
	}, stagecall.Options{}, nil)
	if err != nil {
		t.Fatal(err)
	}
}
