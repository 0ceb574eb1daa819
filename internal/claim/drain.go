package claim

import (
	"context"
	"sync"
	"time"

	"lynxhill.example/lynxhill/internal/control/loop"
	"lynxhill.example/lynxhill/internal/event"
)

// Timing of the end.
const (
	// storeGrace is how long a stopping instance waits for the store before it
	// hands completions and releases to other instances.
	storeGrace = 3 * time.Second
	// handOverGrace is what Run adds to that when nobody called Drain.
	handOverGrace = time.Second
	stopPoll      = 50 * time.Millisecond
)

const (
	// handOverCopies is how many instances are given each record, so that it
	// outlasts the death of one of them.
	handOverCopies = 2
	// handOverCalls is how many records are handed over at the same time.
	handOverCalls = 16
)

// Drain ends the recording of claims: it writes every completion and release
// at once, then hands what the store did not take to other instances, and logs
// what it still holds when ctx ends. A record that is lost here leaves its key
// held, so that each resend is told "may have run" for the whole retention.
//
// Messages of other instances are refused from now on, and their senders
// record for themselves.
func (p *Pages) Drain(ctx context.Context) {
	p.draining.Store(true)
	for _, s := range p.shards {
		s.hurry()
	}
	end := p.opts.Clock.Now().Add(storeGrace)
	for p.busy() && p.opts.Clock.Now().Before(end) && loop.Sleep(ctx, p.opts.Clock, stopPoll) {
	}
	for p.owes() {
		p.handOver(ctx)
		if !p.owes() || !loop.Sleep(ctx, p.opts.Clock, stopPoll) {
			break
		}
	}
	if lost := int64(len(p.unwritten())) + p.ending.Load(); lost > 0 {
		p.opts.Logger.Log(event.ClaimUnrecorded, "records", lost)
	}
}

// drainAtEnd drains for an instance that ends without a graceful stop.
func (p *Pages) drainAtEnd() {
	if p.draining.Load() {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	timer := p.opts.Clock.AfterFunc(storeGrace+handOverGrace, cancel)
	defer timer.Stop()
	p.Drain(ctx)
}

// busy reports whether a flush loop runs or a record is on its way to an owner.
func (p *Pages) busy() bool {
	if p.ending.Load() > 0 {
		return true
	}
	for _, s := range p.shards {
		s.mu.Lock()
		flushing := s.flushing
		s.mu.Unlock()
		if flushing {
			return true
		}
	}
	return false
}

func (p *Pages) owes() bool { return p.ending.Load() > 0 || len(p.unwritten()) > 0 }

func (p *Pages) unwritten() []*op {
	var all []*op
	for _, s := range p.shards {
		all = append(all, s.unwritten()...)
	}
	return all
}

// handOver gives other instances what the store did not take.
func (p *Pages) handOver(ctx context.Context) {
	ops, peers := p.unwritten(), p.opts.Peers()
	if len(ops) == 0 || len(peers) == 0 || p.opts.Forward == nil {
		return
	}
	var calls sync.WaitGroup
	room := make(chan struct{}, handOverCalls)
	for _, o := range ops {
		room <- struct{}{}
		calls.Go(func() {
			defer func() { <-room }()
			p.handOverOne(ctx, o, peers)
		})
	}
	calls.Wait()
	left := len(p.unwritten())
	if left < len(ops) {
		p.opts.Logger.Log(event.ClaimHandedOver, "records", len(ops)-left, "left", left)
	}
}

func (p *Pages) handOverOne(ctx context.Context, o *op, peers []string) {
	if p.giveCopies(ctx, o, peers, handOverCopies) > 0 {
		p.shards[o.entry.ID.shard(p.opts.Shards)].finish(o)
	}
}

// giveCopies gives up to most of the peers a copy of the op and returns how many
// took it.
func (p *Pages) giveCopies(ctx context.Context, o *op, peers []string, most int) (copies int) {
	for _, peer := range peers {
		if copies == most || ctx.Err() != nil {
			break
		}
		callCtx, cancel := p.forwardContext(ctx, forwardTimeout)
		_, err := p.opts.Forward.ForwardClaim(callCtx, peer, o.message(keepPrefix+string(o.entry.Op)))
		cancel()
		if err == nil {
			copies++
		}
	}
	return copies
}

// copyOut gives another instance a copy of each completion and release that waits
// while the store is away. Held by one process only, they would end with it.
func (s *shard) copyOut(batch []*op) {
	p := s.pages
	peers := p.opts.Peers()
	if len(peers) == 0 || p.opts.Forward == nil {
		return
	}
	var fresh []*op
	for _, o := range batch {
		if !o.copied && (o.entry.Op == opComplete || o.entry.Op == opRelease) {
			o.copied = true
			fresh = append(fresh, o)
		}
	}
	if len(fresh) == 0 {
		return
	}
	go func() {
		for _, o := range fresh {
			p.giveCopies(context.Background(), o, peers, 1)
		}
	}()
}

// finish ends an op whose record another instance has taken over.
func (s *shard) finish(o *op) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o.finish(opResult{})
}

// hurry lets the flush loop write at once what may usually wait.
func (s *shard) hurry() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.pages.opts.Clock.Now()
	for _, o := range s.pending {
		o.due = now
	}
	select {
	case s.wake <- struct{}{}:
	default:
	}
}
