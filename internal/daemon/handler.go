package daemon

import (
	"context"
	"slices"
	"time"

	"lynxhill.example/lynxhill/internal/board"
	"lynxhill.example/lynxhill/internal/callerapi"
	"lynxhill.example/lynxhill/internal/claim"
	"lynxhill.example/lynxhill/internal/control/discovery"
	"lynxhill.example/lynxhill/internal/errkind"
	"lynxhill.example/lynxhill/internal/gossip"
	"lynxhill.example/lynxhill/internal/outcome"
	"lynxhill.example/lynxhill/internal/peer"
	"lynxhill.example/lynxhill/internal/pipeline"
	"lynxhill.example/lynxhill/internal/store"
	"lynxhill.example/lynxhill/internal/wire/lynxapi"
)

// Serve implements callerapi.Handler.
func (d *Daemon) Serve(ctx context.Context, req pipeline.Request, sink pipeline.Sink) (pipeline.Outcome, error) {
	return d.serving.Serve(ctx, req, sink)
}

// Address implements callerapi.Handler. An instance that cannot confirm its
// configuration returns an error: cut off together with a few others, it would
// direct callers only to those.
func (d *Daemon) Address(_ context.Context, q callerapi.DiscoveryRequest) (lynxapi.AddressAnswer, error) {
	if self, _ := d.board.Self.Get(board.SelfRow); !self.MayAdmit() {
		return lynxapi.AddressAnswer{}, errkind.New(errkind.Isolated, "%s; ask another", isolation(self))
	}
	answer := d.steering.Answer(q.Zone, q.Region)
	ticket, expires := d.tickets.Issue()
	answer.Ticket = ticket
	answer.TicketHome = d.id()
	answer.TicketExpiresMS = expires.UnixMilli()
	answer.TicketAdvised = !d.platform.Up()
	return answer, nil
}

// isolation returns the reason why an instance accepts no work.
func isolation(self board.Self) string {
	if self.CutOff {
		return "this instance reaches none of its targets"
	}
	return "this instance cannot confirm its configuration"
}

// Ready implements callerapi.Handler and adminapi.Operations.
func (d *Daemon) Ready() error {
	self, _ := d.board.Self.Get(board.SelfRow)
	switch {
	case self.Stopping:
		return errkind.New(errkind.Stopping, "the instance is stopping")
	case !self.MayAdmit():
		return errkind.New(errkind.Isolated, "%s", isolation(self))
	}
	return nil
}

// Outcome implements callerapi.Handler. It looks in the outcomes of this instance,
// then in the claims, and then asks the instance that holds the claim.
func (d *Daemon) Outcome(ctx context.Context, key outcome.Key) (lynxapi.OutcomeReply, error) {
	if record, found := d.outcomes.Lookup(key); found {
		return replyOf(key, record), nil
	}
	if d.outcomes.Running(key) {
		return lynxapi.OutcomeReply{Key: key.Key, State: lynxapi.OutcomeRunning}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, outcomeTimeout)
	defer cancel()
	if reply, found, err := d.claimedOutcome(ctx, key); found || err != nil {
		return reply, err
	}
	return lynxapi.OutcomeReply{Key: key.Key, State: lynxapi.OutcomeNoRecord}, nil
}

// outcomeTimeout is the timeout of an outcome query that the store or the holder of a
// claim has to answer. During an outage, or when the holder is frozen, there is no
// response, and the caller would spend the rest of its deadline on the query and
// fail with the broken connection that caused the query. With an error after a part
// of a short deadline it can send the request again and gets a response to that.
const outcomeTimeout = 500 * time.Millisecond

// claimedOutcome looks up the key's claim under every stage that uses claims.
func (d *Daemon) claimedOutcome(ctx context.Context, key outcome.Key) (lynxapi.OutcomeReply, bool, error) {
	for _, stage := range d.claimedStages() {
		answer, found, err := d.claims.Lookup(ctx, claim.Key{Organisation: key.Organisation, Key: key.Key, Stage: stage})
		if err != nil {
			return lynxapi.OutcomeReply{}, false, err
		}
		if found {
			return d.outcomeAtHolder(ctx, key, answer), true, nil
		}
	}
	return lynxapi.OutcomeReply{}, false, nil
}

// claimedStages returns the sorted names of the stages that are not idempotent.
func (d *Daemon) claimedStages() []string {
	var names []string
	for _, p := range d.board.Profiles.Snapshot() {
		for _, stage := range p.Profile.Stages {
			if !stage.Idempotent && !slices.Contains(names, stage.Name) {
				names = append(names, stage.Name)
			}
		}
	}
	slices.Sort(names)
	return names
}

// outcomeAtHolder queries the instance that holds the claim. If it does not answer,
// all that is known is that the stage was claimed: it may have run.
func (d *Daemon) outcomeAtHolder(ctx context.Context, key outcome.Key, answer claim.Answer) lynxapi.OutcomeReply {
	if answer.Holder != d.id() {
		if record, found, err := d.peers.Outcome(ctx, answer.Holder, key); err == nil && found {
			return replyOf(key, record)
		}
	}
	return lynxapi.OutcomeReply{Key: key.Key, State: lynxapi.OutcomeUnknown, RunState: string(errkind.MayHaveRun)}
}

func replyOf(key outcome.Key, record outcome.Record) lynxapi.OutcomeReply {
	reply := lynxapi.OutcomeReply{Key: key.Key, State: lynxapi.OutcomeDone, RequestID: record.RequestID, Output: record.Output, RunState: string(errkind.Ran)}
	if record.Err != nil {
		reply.State = lynxapi.OutcomeFailed
		reply.ErrorKind = record.Err.Kind
		reply.RunState = string(record.Err.RunState)
	}
	return reply
}

// since returns the configuration objects, or the targets, that a peer with an
// older version lacks.
func (d *Daemon) since(_, prefix string, after uint64) (objects []store.Object, version uint64, more bool, err error) {
	if prefix == discovery.PullPrefix {
		objects, version, more = d.discovery.TargetsSince(after)
	} else {
		objects, version, more = d.profiles.ObjectsSince(prefix, after)
	}
	return objects, version, more, nil
}

// peerCalls returns the handlers of calls from other instances.
func (d *Daemon) peerCalls() peer.ServerOptions {
	return peer.ServerOptions{
		Exchange: func(ctx context.Context, digest gossip.Digest) gossip.Digest {
			return d.members.HandleExchange(ctx, digest)
		},
		Probe:    d.members.HandleProbe,
		Profiles: d.since,
		Outcome: func(ctx context.Context, key outcome.Key) (outcome.Record, bool, error) {
			record, found := d.outcomes.Wait(ctx, key)
			return record, found, nil
		},
		Forward: func(ctx context.Context, _ string, req pipeline.Request, sink pipeline.Sink) (pipeline.Outcome, error) {
			return d.serving.ServeForwarded(ctx, req, sink)
		},
		Handover: func(_ context.Context, _ string, records []outcome.Exported) { d.outcomes.Import(records) },
		Burn:     d.slo.Local,
		Claim:    d.claimer.Handle,
		Logger:   d.logger, Metrics: d.metrics,
	}
}
