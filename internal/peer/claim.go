package peer

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"lynxhill.example/lynxhill/internal/claim"
	"lynxhill.example/lynxhill/internal/peer/peerpb"
)

var _ claim.Forwarder = (*Client)(nil)

// ForwardClaim implements claim.Forwarder. The call is made once and not retried here.
func (c *Client) ForwardClaim(ctx context.Context, instance string, m claim.Message) (reply claim.Reply, err error) {
	l, err := c.linkTo(instance)
	if err != nil {
		return claim.Reply{}, err
	}
	err = c.call(ctx, "claim", l, func(ctx context.Context) error {
		out, err := l.client.Claim(ctx, claimToProto(m, time.Now()))
		if err != nil {
			return err
		}
		reply = claim.Reply{
			State:     claim.State(out.GetState()),
			Holder:    out.GetHolder(),
			Result:    out.GetResult(),
			HasResult: out.GetHasResult(),
		}
		return nil
	})
	return reply, err
}

func claimToProto(m claim.Message, now time.Time) *peerpb.ClaimRequest {
	out := &peerpb.ClaimRequest{
		Op:           m.Op,
		Organisation: m.Key.Organisation,
		Key:          m.Key.Key,
		Stage:        m.Key.Stage,
		Body:         m.Body,
		Token:        m.Token,
		Holder:       m.Holder,
		Result:       m.Result,
	}
	if !m.Deadline.IsZero() {
		// 0 means no deadline, so a deadline that has passed is sent as one millisecond.
		out.DeadlineLeftMs = max(1, m.Deadline.Sub(now).Milliseconds())
	}
	return out
}

func claimFromProto(in *peerpb.ClaimRequest, now time.Time) claim.Message {
	m := claim.Message{
		Op:     in.GetOp(),
		Key:    claim.Key{Organisation: in.GetOrganisation(), Key: in.GetKey(), Stage: in.GetStage()},
		Body:   in.GetBody(),
		Token:  in.GetToken(),
		Holder: in.GetHolder(),
		Result: in.GetResult(),
	}
	if left := in.GetDeadlineLeftMs(); left > 0 {
		m.Deadline = now.Add(duration(uint64(left)))
	}
	return m
}

// Claim serves a record for which this instance is the preferred owner.
func (h *service) Claim(ctx context.Context, in *peerpb.ClaimRequest) (*peerpb.ClaimReply, error) {
	h.count("claim")
	if h.o.Claim == nil {
		return nil, connect.NewError(connect.CodeUnimplemented, nil)
	}
	reply, err := h.o.Claim(ctx, claimFromProto(in, time.Now()))
	if err != nil {
		return nil, toConnect(err)
	}
	return &peerpb.ClaimReply{
		State:     int32(reply.State),
		Holder:    reply.Holder,
		Result:    reply.Result,
		HasResult: reply.HasResult,
	}, nil
}
