package peer

import (
	"context"
	"encoding/json"
	"errors"
	"reflect"
	"sync/atomic"
	"testing"
	"time"

	"lynxhill.example/lynxhill/internal/claim"
	"lynxhill.example/lynxhill/internal/errkind"
)

func sampleClaim() claim.Message {
	return claim.Message{
		Op: claim.MessageComplete, Key: claim.Key{Organisation: "o", Key: "k", Stage: "book"},
		Body: "h", Token: "t", Holder: "a", Result: json.RawMessage(`"out"`),
	}
}

func TestEveryFieldOfAClaimArrives(t *testing.T) {
	var got claim.Message
	want := claim.Reply{State: claim.Held, Holder: "c", Result: json.RawMessage(`{"x":1}`), HasResult: true}
	client, _ := startServer(t, ServerOptions{Claim: func(_ context.Context, m claim.Message) (claim.Reply, error) {
		got = m
		return want, nil
	}})
	reply, err := client.ForwardClaim(t.Context(), "b", sampleClaim())
	if err != nil || !reflect.DeepEqual(reply, want) {
		t.Fatalf("reply %+v, error %v, want %+v", reply, err, want)
	}
	if !reflect.DeepEqual(got, sampleClaim()) {
		t.Errorf("received %+v", got)
	}
}

func TestClaimDeadlineIsSentAsTimeLeft(t *testing.T) {
	now := time.Unix(1000, 0)
	receiverNow := now.Add(time.Hour) // the receiver's clock
	for _, c := range []struct{ deadline, want time.Time }{
		{time.Time{}, time.Time{}},
		{now.Add(time.Second), receiverNow.Add(time.Second)},
		{now.Add(-time.Second), receiverNow.Add(time.Millisecond)},
	} {
		m := sampleClaim()
		m.Deadline = c.deadline
		if got := claimFromProto(claimToProto(m, now), receiverNow).Deadline; !got.Equal(c.want) {
			t.Errorf("deadline %v arrives as %v, want %v", c.deadline, got, c.want)
		}
	}
}

func TestClaimErrorsKeepTheirKind(t *testing.T) {
	for _, kind := range []errkind.Kind{errkind.KeyReused, errkind.StoreUnavailable, errkind.OutcomeUnknown} {
		client, _ := startServer(t, ServerOptions{Claim: func(context.Context, claim.Message) (claim.Reply, error) {
			return claim.Reply{}, errkind.New(kind, "no")
		}})
		if _, err := client.ForwardClaim(t.Context(), "b", claim.Message{}); !errkind.Is(err, kind) {
			t.Errorf("error %v, want %v", err, kind)
		}
	}
}

func TestClaimAtAnOlderVersionHasNoKind(t *testing.T) {
	client, _ := startServer(t, ServerOptions{})
	_, err := client.ForwardClaim(t.Context(), "b", sampleClaim())
	if err == nil || errkind.Is(err, errkind.StoreUnavailable) {
		t.Errorf("error %v: the sender would treat it as a reply", err)
	}
}

// Guards against a claim that is recorded although its sender has given it up: the
// connection broke before the reply, and the HTTP transport sent the call again on a new
// connection.
func TestTransportDoesNotRetryClaims(t *testing.T) {
	var calls atomic.Int32
	client := startServerWithBreakableConnection(t, func(breakLast func()) ServerOptions {
		return ServerOptions{Claim: func(context.Context, claim.Message) (claim.Reply, error) {
			calls.Add(1)
			breakLast()
			return claim.Reply{}, nil
		}}
	})
	_, err := client.ForwardClaim(t.Context(), "b", sampleClaim())
	if err == nil || errors.Is(err, ErrNotSent) || calls.Load() != 1 {
		t.Errorf("received %d times, error %v", calls.Load(), err)
	}
}
