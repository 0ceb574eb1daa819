package claim

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"lynxhill.example/lynxhill/internal/errkind"
)

// Message asks the preferred owner of a shard to record something, so that it
// writes the records of many instances at once.
type Message struct {
	Op       string          `json:"op"` // one of the MessageX constants
	Key      Key             `json:"key"`
	Body     string          `json:"body,omitempty"` // hash
	Token    string          `json:"token"`          // of the attempt
	Holder   string          `json:"holder"`         // instance that will run the stage
	Deadline time.Time       `json:"deadline"`
	Result   json.RawMessage `json:"result,omitempty"`
}

// Values of Message.Op.
const (
	MessageClaim    = string(opClaim)
	MessageComplete = string(opComplete)
	MessageRelease  = string(opRelease)
	// MessageKeepComplete and MessageKeepRelease hand over what an instance
	// could not write. They are answered before they are written.
	MessageKeepComplete = keepPrefix + MessageComplete
	MessageKeepRelease  = keepPrefix + MessageRelease
)

const keepPrefix = "keep-"

// Reply is the answer to a Message.
type Reply struct {
	State     State           `json:"state"`
	Holder    string          `json:"holder,omitempty"`
	Result    json.RawMessage `json:"result,omitempty"`
	HasResult bool            `json:"has_result,omitempty"`
}

// Forwarder carries a Message to Pages.Handle of another instance. Its errors
// keep their errkind; any other error means that it is not known whether the
// message arrived.
type Forwarder interface {
	ForwardClaim(ctx context.Context, instance string, m Message) (Reply, error)
}

// Timing of forwarding.
const (
	// forwardTimeout is how long an owner has to answer before the claim is
	// written without it.
	forwardTimeout = time.Second
	// endWait is how long an owner tries to write a completion, which it may
	// hold back for LazyInterval, before it leaves it to the sender as well.
	endWait = 1500 * time.Millisecond
	// endTimeout is how long the sender waits for that answer.
	endTimeout = 2 * time.Second
	// avoidAfterFailure is how long nothing is forwarded to an instance that
	// did not answer.
	avoidAfterFailure = 5 * time.Second
)

// ownerOf returns the instance to forward to, "" to write here.
func (p *Pages) ownerOf(s *shard) string {
	if p.opts.Forward == nil {
		return ""
	}
	owner := p.opts.Owners(s.number)
	if owner == p.opts.Self || p.avoided(owner) {
		return ""
	}
	return owner
}

func (p *Pages) avoided(owner string) bool {
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

func (p *Pages) avoidOwner(owner string) {
	p.avoidMu.Lock()
	defer p.avoidMu.Unlock()
	p.avoid[owner] = p.opts.Clock.Now().Add(avoidAfterFailure)
}

// forwardContext limits a forwarded message.
func (p *Pages) forwardContext(ctx context.Context, limit time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	timer := p.opts.Clock.AfterFunc(limit, cancel)
	return ctx, func() {
		timer.Stop()
		cancel()
	}
}

// claimAtOwner asks the owner for the claim. settled is false if the claim is
// to be written here; certain says whether the owner certainly recorded
// nothing.
func (p *Pages) claimAtOwner(ctx context.Context, s *shard, owner string, o *op, req Request) (answer Answer, settled, certain bool, err error) {
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

// claimHereInstead writes the claim after the owner did not answer.
//
// The owner may have recorded the first attempt, or may do so yet, and may
// release it when it notices that its caller is gone. So the first attempt is
// never used: a claim that took it over could be released under the running
// stage. The second attempt has a token of its own and replaces the first
// where that stands, since this instance knows that it started nothing for it.
func (p *Pages) claimHereInstead(ctx context.Context, s *shard, first *op, req Request, certain bool) (Answer, error) {
	e := first.entry
	e.Token = p.token()
	second := newOp(first.life, e)
	second.supersedes = first.entry.Token
	second.source = first.source
	answer, _, err := p.submit(ctx, s, second, req)
	if certain || err == nil || errkind.Is(err, errkind.KeyReused) {
		return answer, err
	}
	release := releaseOf(first.entry, first.life, p.opts.Clock.Now())
	release.source = first.source
	s.record(release)
	return Answer{}, errkind.New(errkind.OutcomeUnknown, "the claim was not confirmed; the stage was not started")
}

// forwardEnd tells the owner that a claim has ended. If the owner does not
// confirm that it is written, it is recorded here as well: the second of the
// two changes nothing.
func (c *granted) forwardEnd(o *op) {
	p := c.pages
	defer p.ending.Add(-1)
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

// Handle carries out a message of another instance.
func (p *Pages) Handle(ctx context.Context, m Message) (Reply, error) {
	if p.draining.Load() {
		return Reply{}, errkind.New(errkind.StoreUnavailable, "the instance is stopping")
	}
	now := p.opts.Clock.Now()
	life, err := p.opts.lifeOf(m.Key.Key, now)
	if err != nil {
		return Reply{}, err
	}
	kind, handedOver := strings.CutPrefix(m.Op, keepPrefix)
	o := newOp(life, entry{
		ID: idOf(m.Key), Op: opKind(kind), Token: m.Token, Holder: m.Holder,
		Body: shortHash(m.Body), At: millis(now), Keep: millis(life.keep),
	})
	o.source = source{key: m.Key, bodyHash: m.Body}
	s := p.shards[o.entry.ID.shard(p.opts.Shards)]
	switch {
	case m.Token == "" || m.Holder == "":
		return Reply{}, errkind.New(errkind.BadRequest, "a claim message without token or holder")
	case m.Op == MessageClaim:
		return p.handleClaim(ctx, s, o, m)
	case o.entry.Op == opComplete && len(m.Result) <= p.opts.MaxResult:
		o.entry.Result = m.Result
		o.lazy = true
		return Reply{State: Completed}, p.handleEnd(ctx, s, o, handedOver)
	case o.entry.Op == opRelease:
		return Reply{}, p.handleEnd(ctx, s, o, handedOver)
	}
	return Reply{}, errkind.New(errkind.BadRequest, "unknown claim message")
}

// handleEnd records a completion or a release of another instance. An error
// says that the sender still owes it. It returns when the record is written,
// unless it is handed over because the store does not take it.
func (p *Pages) handleEnd(ctx context.Context, s *shard, o *op, handedOver bool) error {
	o.copied = handedOver
	if !s.add(o) {
		return errkind.New(errkind.StoreUnavailable, "too many claims wait for the store")
	}
	if handedOver {
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

func (p *Pages) handleClaim(ctx context.Context, s *shard, o *op, m Message) (Reply, error) {
	answer, _, err := p.submit(ctx, s, o, Request{Key: m.Key, BodyHash: m.Body, Deadline: m.Deadline})
	if err != nil {
		return Reply{}, err
	}
	if answer.State == Granted && ctx.Err() != nil {
		// The reply will not arrive, so the claim would stay held for ever.
		answer.Claim.Release()
		return Reply{}, ctx.Err()
	}
	return Reply{State: answer.State, Holder: answer.Holder, Result: answer.Result, HasResult: answer.HasResult}, nil
}
