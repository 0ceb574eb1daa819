package claim

import (
	"context"
	"errors"
	"time"

	"lynxhill.example/lynxhill/internal/event"
	"lynxhill.example/lynxhill/internal/store"
)

const (
	// removalInterval is the average interval at which the owner of a shard
	// removes windows past their retention.
	removalInterval = 10 * time.Minute
)

// Run periodically removes expired windows of the shards whose preferred owner is
// this instance. When ctx ends, it drains for some seconds (see Drain) and stops
// the flush loops; later claims fail with StoreUnavailable at their deadline.
func (p *StoreClaimer) Run(ctx context.Context) {
	defer p.once.Do(func() { close(p.stop) })
	for {
		timer := p.opts.Clock.NewTimer(removalInterval/2 + p.jitter(removalInterval))
		select {
		case <-ctx.Done():
			timer.Stop()
			p.drainOnExit()
			return
		case <-timer.C:
			p.removeExpired(ctx)
		}
	}
}

func (p *StoreClaimer) removeExpired(ctx context.Context) {
	ctx = store.WithPriority(ctx, store.PriorityBackground)
	for shard := range p.shards {
		if p.opts.Owners(shard) != p.opts.Self {
			continue
		}
		if err := p.removeExpiredOf(ctx, shard); err != nil {
			p.errors.Add(1)
		}
	}
}

// removeExpiredOf removes the leading windows of a shard that are past their
// retention. It deletes the windows before it shortens the index, so that no
// object is orphaned if it is interrupted. Windows past their retention are not
// read by any instance.
func (p *StoreClaimer) removeExpiredOf(ctx context.Context, shard int) error {
	obj, err := p.opts.Store.Get(ctx, indexKey(shard))
	if errors.Is(err, store.ErrNotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	x, err := decodeIndex(obj.Value)
	if err != nil {
		return err
	}
	limit := millis(p.opts.Clock.Now().Add(-removalMargin))
	expired := 0
	for expired < len(x.Windows) && x.Windows[expired].Keep < limit {
		if err := p.remove(ctx, shard, x.First+uint64(expired)); err != nil {
			return err
		}
		expired++
	}
	if expired == 0 {
		return nil
	}
	shorter := index{First: x.First + uint64(expired), Windows: x.Windows[expired:]}
	if _, err = p.opts.Store.Put(ctx, indexKey(shard), encode(shorter), obj.Version); err != nil {
		return err
	}
	p.opts.Logger.Log(event.ClaimRemoved, "shard", shard, "windows", expired)
	return nil
}

func (p *StoreClaimer) remove(ctx context.Context, shard int, number uint64) error {
	key := windowKey(shard, number)
	obj, err := p.opts.Store.Get(ctx, key)
	if errors.Is(err, store.ErrNotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	err = p.opts.Store.Delete(ctx, key, obj.Version)
	if errors.Is(err, store.ErrNotFound) {
		return nil
	}
	return err
}
