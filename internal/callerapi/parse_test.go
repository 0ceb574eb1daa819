package callerapi

import (
	"encoding/json"
	"testing"
	"time"

	"lynxhill.example/lynxhill/internal/errkind"
	"lynxhill.example/lynxhill/internal/wire/lynxapi"
)

func TestTheEarlierDeadlineHolds(t *testing.T) {
	now := time.UnixMilli(1_000_000)
	tests := []struct{ ms, at, want int64 }{
		{500, 0, 1_000_500},
		{500, 1_000_200, 1_000_200},
		{500, 1_000_900, 1_000_500},
		{0, 1_000_900, 1_000_900},
	}
	for _, tt := range tests {
		got, err := deadlineOf(lynxapi.SendRequest{DeadlineMS: tt.ms, DeadlineAt: tt.at}, now)
		if err != nil || got.UnixMilli() != tt.want {
			t.Errorf("deadline_ms %d, deadline_at %d: %d, %v", tt.ms, tt.at, got.UnixMilli(), err)
		}
	}
}

// FuzzBody checks that every error of parseBody and validate has a kind with
// run state not_run, and that an accepted request satisfies the rules of
// validate.
func FuzzBody(f *testing.F) {
	f.Add([]byte(`{"organisation":"acme","input":{"a":1},"key":"k","deadline_ms":5,"stream":true}`))
	f.Add([]byte(`{"organisation":"acme","input":null}`))
	f.Add([]byte(`{"organisation":"acme","input":1,"deadline_at":-1}`))
	f.Add([]byte(`[]`))
	f.Add([]byte(`{"organisation":"acme","organisation":"other","input":1}`))
	now := time.UnixMilli(1_700_000_000_000)
	f.Fuzz(func(t *testing.T, raw []byte) {
		body, err := parseBody(raw)
		if err == nil {
			req, checkErr := validate(body, "acme", "p", now)
			if err = checkErr; err == nil {
				if req.Organisation != "acme" || !json.Valid(req.Input) || len(req.Key) > maxKeyLength {
					t.Fatalf("accepted %+v", req)
				}
				if !req.Deadline.IsZero() && !req.Deadline.After(now) {
					t.Fatalf("accepted a past deadline %s", req.Deadline)
				}
				return
			}
		}
		if errkind.Of(err).RunState() != errkind.NotRun || err.Error() == "" {
			t.Fatalf("error %v of kind %s", err, errkind.Of(err))
		}
	})
}
