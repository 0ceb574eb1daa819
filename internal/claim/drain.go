package claim

import (
	"context"
	"sync"
	"time"

	"lynxhill.example/lynxhill/internal/control/loop"
	"lynxhill.example/lynxhill/internal/event"
)

// Timing of a drain.
const (
	// storeGrace is how long a stopping instance waits for the store before it
	// transfers completions and releases to other instances.
	storeGrace = 3 * time.Second
	// transferGrace is the additional time that Run allows for transfers if Drain was
	// not called.
	transferGrace = time.Second
	stopPoll      = 50 * time.Millisecond
)

const (
	// transferCopies is the number of instances that receive each record, so that it
	// survives the failure of one of them.
	transferCopies = 2
	// transferConcurrency is the number of records that are transferred concurrently.
	transferConcurrency = 16
)

// Drain finishes the recording of claims before the instance stops. It writes all
// pending completions and releases without delay, transfers those that the store
// does not accept to other instances, and logs how many remain unrecorded when
// ctx ends. A lost completion or release leaves its key held, so that every retry
// within the retention gets "may have run".
//
// From now on, messages of other instances are refused; their senders write the
// records themselves.
func (p *StoreClaimer) Drain(ctx context.Context) {
	p.draining.Store(true)
	for _, s := range p.shards {
		s.flushNow()
	}
	end := p.opts.Clock.Now().Add(storeGrace)
	for p.busy() && p.opts.Clock.Now().Before(end) && loop.Sleep(ctx, p.opts.Clock, stopPoll) {
	}
	for p.hasUnwritten() {
		p.transferUnwritten(ctx)
		if !p.hasUnwritten() || !loop.Sleep(ctx, p.opts.Clock, stopPoll) {
			break
		}
	}
	if lost := int64(len(p.unwritten())) + p.forwardedEnds.Load(); lost > 0 {
		p.opts.Logger.Log(event.ClaimUnrecorded, "records", lost)
	}
}

// drainOnExit calls Drain with a time limit if it has not been called yet, that is, if
// the instance stops without a graceful shutdown.
func (p *StoreClaimer) drainOnExit() {
	if p.draining.Load() {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	timer := p.opts.Clock.AfterFunc(storeGrace+transferGrace, cancel)
	defer timer.Stop()
	p.Drain(ctx)
}

// busy reports whether a flush loop is running or a completion or release is being
// forwarded to an owner.
func (p *StoreClaimer) busy() bool {
	if p.forwardedEnds.Load() > 0 {
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

func (p *StoreClaimer) hasUnwritten() bool {
	return p.forwardedEnds.Load() > 0 || len(p.unwritten()) > 0
}

func (p *StoreClaimer) unwritten() []*op {
	var all []*op
	for _, s := range p.shards {
		all = append(all, s.unwritten()...)
	}
	return all
}

// transferUnwritten transfers completions and releases that are not in the store to
// other instances.
func (p *StoreClaimer) transferUnwritten(ctx context.Context) {
	ops, peers := p.unwritten(), p.opts.Peers()
	if len(ops) == 0 || len(peers) == 0 || p.opts.Forward == nil {
		return
	}
	var calls sync.WaitGroup
	room := make(chan struct{}, transferConcurrency)
	for _, o := range ops {
		room <- struct{}{}
		calls.Go(func() {
			defer func() { <-room }()
			p.transferOne(ctx, o, peers)
		})
	}
	calls.Wait()
	left := len(p.unwritten())
	if left < len(ops) {
		p.opts.Logger.Log(event.ClaimHandedOver, "records", len(ops)-left, "left", left)
	}
}

func (p *StoreClaimer) transferOne(ctx context.Context, o *op, peers []string) {
	if p.sendCopies(ctx, o, peers, transferCopies) > 0 {
		p.shards[o.entry.ID.shard(p.opts.Shards)].finishTransferred(o)
	}
}

// sendCopies sends a copy of the op to peers until limit of them have accepted it, and
// returns how many did.
func (p *StoreClaimer) sendCopies(ctx context.Context, o *op, peers []string, limit int) (copies int) {
	for _, peer := range peers {
		if copies == limit || ctx.Err() != nil {
			break
		}
		callCtx, cancel := p.forwardContext(ctx, forwardTimeout)
		_, err := p.opts.Forward.ForwardClaim(callCtx, peer, o.message(transferPrefix+string(o.entry.Op)))
		cancel()
		if err == nil {
			copies++
		}
	}
	return copies
}

// replicateUnwritten sends a copy of each completion and release in the batch to one
// other instance while the store is unavailable. Otherwise they would be lost if
// this process failed.
func (s *shard) replicateUnwritten(batch []*op) {
	p := s.claimer
	peers := p.opts.Peers()
	if len(peers) == 0 || p.opts.Forward == nil {
		return
	}
	var fresh []*op
	for _, o := range batch {
		if !o.replicated && (o.entry.Op == opComplete || o.entry.Op == opRelease) {
			o.replicated = true
			fresh = append(fresh, o)
		}
	}
	if len(fresh) == 0 {
		return
	}
	go func() {
		for _, o := range fresh {
			p.sendCopies(context.Background(), o, peers, 1)
		}
	}()
}

// finishTransferred finishes an op that another instance has accepted.
func (s *shard) finishTransferred(o *op) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o.finish(opResult{})
}

// flushNow makes the flush loop write pending ops without the delay of lazy ops.
func (s *shard) flushNow() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.claimer.opts.Clock.Now()
	for _, o := range s.pending {
		o.due = now
	}
	select {
	case s.wake <- struct{}{}:
	default:
	}
}
