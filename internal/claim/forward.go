package claim

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"lynxhill.example/lynxhill/internal/errkind"
)

// Message asks another instance, usually the preferred owner of a shard, to record
// a claim, completion or release. The owner batches records of many instances into
// one write.
type Message struct {
	Op       string          `json:"op"` // one of the Message constants below
	Key      Key             `json:"key"`
	Body     string          `json:"body,omitempty"` // hash
	Token    string          `json:"token"`          // identifies the attempt
	Holder   string          `json:"holder"`         // instance that will run the stage
	Deadline time.Time       `json:"deadline"`
	Result   json.RawMessage `json:"result,omitempty"`
}

// Values of Message.Op.
const (
	MessageClaim    = string(opClaim)
	MessageComplete = string(opComplete)
	MessageRelease  = string(opRelease)
	// MessageTransferComplete and MessageTransferRelease transfer a record that the
	// sender could not write. They are acknowledged before they are written.
	MessageTransferComplete = transferPrefix + MessageComplete
	MessageTransferRelease  = transferPrefix + MessageRelease
)

const transferPrefix = "keep-"

// Reply is the response to a Message.
type Reply struct {
	State     State           `json:"state"`
	Holder    string          `json:"holder,omitempty"`
	Result    json.RawMessage `json:"result,omitempty"`
	HasResult bool            `json:"has_result,omitempty"`
}

// Forwarder sends a Message to StoreClaimer.Handle of another instance. Errors of
// Handle keep their errkind; any other error means that it is unknown whether the
// message arrived.
type Forwarder interface {
	ForwardClaim(ctx context.Context, instance string, m Message) (Reply, error)
}

// Timing of forwarding.
const (
	// forwardTimeout is the time limit for an owner's reply to a claim. After
	// that, this instance writes the claim itself.
	forwardTimeout = time.Second
	// endWait is how long an owner waits for the write of a completion or release,
	// including a delay of up to LazyInterval, before it returns an error. The
	// sender then records it as well.
	endWait = 1500 * time.Millisecond
	// endTimeout is how long the sender waits for the reply to a completion or
	// release.
	endTimeout = 2 * time.Second
	// avoidAfterFailure is how long no messages are forwarded to an instance that
	// did not reply.
	avoidAfterFailure = 5 * time.Second
)

// ownerOf returns the instance to which claims of the shard are forwarded, or ""
// if this instance writes them itself.
func (p *StoreClaimer) ownerOf(s *shard) string {
	if p.opts.Forward == nil {
		return ""
	}
	owner := p.opts.Owners(s.number)
	if owner == p.opts.Self || p.avoided(owner) {
		return ""
	}
	return owner
}

func (p *StoreClaimer) avoided(owner string) bool {
	p.avoidMu.Lock()
	defer p.avoidMu.Unlock()
	until, ok := p.avoid[owner]
	if !ok {
		return false
	}
	if p.opts.Clock.Now().Before(until) {
		return true
	}
	delete(p.avoid, owner)
	return false
}

func (p *StoreClaimer) avoidOwner(owner string) {
	p.avoidMu.Lock()
	defer p.avoidMu.Unlock()
	p.avoid[owner] = p.opts.Clock.Now().Add(avoidAfterFailure)
}

// forwardContext returns ctx with a time limit for forwarding a message.
func (p *StoreClaimer) forwardContext(ctx context.Context, limit time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	timer := p.opts.Clock.AfterFunc(limit, cancel)
	return ctx, func() {
		timer.Stop()
		cancel()
	}
}

// claimAtOwner forwards the claim to the owner. If settled is true, answer and err
// are the result. Otherwise this instance has to write the claim itself, and
// certain says whether the owner certainly recorded nothing.
func (p *StoreClaimer) claimAtOwner(ctx context.Context, s *shard, owner string, o *op, req Request) (answer Answer, settled, certain bool, err error) {
	limit := p.opts.Clock.Now().Add(forwardTimeout)
	if !req.Deadline.IsZero() && req.Deadline.Before(limit) {
		limit = req.Deadline
	}
	m := Message{Op: MessageClaim, Key: req.Key, Body: req.BodyHash, Token: o.entry.Token, Holder: p.opts.Self, Deadline: limit}
	callCtx, cancel := p.forwardContext(ctx, forwardTimeout)
	defer cancel()
	reply, err := p.opts.Forward.ForwardClaim(callCtx, owner, m)
	switch {
	case err == nil && reply.State == Granted:
		answer, _, err = p.grant(s, o, req, owner)
		return answer, true, false, err
	case err == nil:
		return Answer{State: reply.State, Holder: reply.Holder, Result: reply.Result, HasResult: reply.HasResult}, true, true, nil
	case errkind.Is(err, errkind.KeyReused):
		return Answer{}, true, true, err
	case errkind.Is(err, errkind.StoreUnavailable):
		return Answer{}, false, true, nil
	}
	if ctx.Err() == nil {
		p.avoidOwner(owner)
	}
	return Answer{}, false, false, nil
}

// claimHereInstead writes the claim at this instance after the owner did not grant
// or refuse it.
//
// The owner may have recorded the first attempt, or may still do so, and it may
// release that attempt when it notices that the caller no longer waits. Therefore
// the first attempt is never used: its claim could be released while the stage is
// running. The second attempt has its own token and replaces the first attempt if
// that was recorded, which is safe because this instance did not dispatch the
// stage for it.
func (p *StoreClaimer) claimHereInstead(ctx context.Context, s *shard, first *op, req Request, certain bool) (Answer, error) {
	e := first.entry
	e.Token = p.token()
	second := newOp(first.lifetime, e)
	second.supersedes = first.entry.Token
	second.unhashed = first.unhashed
	answer, _, err := p.submit(ctx, s, second, req)
	if certain || err == nil || errkind.Is(err, errkind.KeyReused) {
		return answer, err
	}
	release := releaseOf(first.entry, first.lifetime, p.opts.Clock.Now())
	release.unhashed = first.unhashed
	s.record(release)
	return Answer{}, errkind.New(errkind.OutcomeUnknown, "the claim was not confirmed; the stage was not started")
}

// forwardEnd forwards a completion or release to the owner. If the owner does not
// confirm that it is written, this instance records it as well. That is
// idempotent: the second of the two entries is not written.
func (c *grantedClaim) forwardEnd(o *op) {
	p := c.claimer
	defer p.forwardedEnds.Add(-1)
	ctx, cancel := p.forwardContext(context.Background(), endTimeout)
	defer cancel()
	_, err := p.opts.Forward.ForwardClaim(ctx, c.owner, o.message(string(o.entry.Op)))
	if err == nil {
		return
	}
	if !errkind.Is(err, errkind.StoreUnavailable) {
		p.avoidOwner(c.owner)
	}
	c.shard.record(o)
}

// Handle processes a message of another instance.
func (p *StoreClaimer) Handle(ctx context.Context, m Message) (Reply, error) {
	if p.draining.Load() {
		return Reply{}, errkind.New(errkind.StoreUnavailable, "the instance is stopping")
	}
	now := p.opts.Clock.Now()
	life, err := p.opts.lifetimeOf(m.Key.Key, now)
	if err != nil {
		return Reply{}, err
	}
	kind, transferred := strings.CutPrefix(m.Op, transferPrefix)
	o := newOp(life, entry{
		ID: idOf(m.Key), Op: opKind(kind), Token: m.Token, Holder: m.Holder,
		Body: shortHash(m.Body), At: millis(now), Keep: millis(life.retainUntil),
	})
	o.unhashed = unhashed{key: m.Key, bodyHash: m.Body}
	s := p.shards[o.entry.ID.shard(p.opts.Shards)]
	switch {
	case m.Token == "" || m.Holder == "":
		return Reply{}, errkind.New(errkind.BadRequest, "a claim message without token or holder")
	case m.Op == MessageClaim:
		return p.handleClaim(ctx, s, o, m)
	case o.entry.Op == opComplete && len(m.Result) <= p.opts.MaxResult:
		o.entry.Result = m.Result
		o.lazy = true
		return Reply{State: Completed}, p.handleEnd(ctx, s, o, transferred)
	case o.entry.Op == opRelease:
		return Reply{}, p.handleEnd(ctx, s, o, transferred)
	}
	return Reply{}, errkind.New(errkind.BadRequest, "unknown claim message")
}

// handleEnd records a completion or release for another instance. It returns nil
// once the record is written or, for a transferred record, queued. On an error,
// the sender is still responsible for the record.
func (p *StoreClaimer) handleEnd(ctx context.Context, s *shard, o *op, transferred bool) error {
	o.replicated = transferred
	if !s.add(o) {
		return errkind.New(errkind.StoreUnavailable, "too many claims wait for the store")
	}
	if transferred {
		return nil
	}
	timer := p.opts.Clock.NewTimer(endWait)
	defer timer.Stop()
	select {
	case <-o.done:
		return s.resultOf(o).err
	case <-timer.C:
		return errkind.New(errkind.StoreUnavailable, "the record is not written yet")
	case <-ctx.Done():
		return errkind.New(errkind.StoreUnavailable, "the record is not written yet")
	case <-p.stop:
		return errkind.New(errkind.StoreUnavailable, "the instance has stopped")
	}
}

func (p *StoreClaimer) handleClaim(ctx context.Context, s *shard, o *op, m Message) (Reply, error) {
	answer, _, err := p.submit(ctx, s, o, Request{Key: m.Key, BodyHash: m.Body, Deadline: m.Deadline})
	if err != nil {
		return Reply{}, err
	}
	if answer.State == Granted && ctx.Err() != nil {
		// The caller will not receive the reply, so the claim would never be
		// completed or released.
		answer.Claim.Release()
		return Reply{}, ctx.Err()
	}
	return Reply{State: answer.State, Holder: answer.Holder, Result: answer.Result, HasResult: answer.HasResult}, nil
}
