package claim

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"lynxhill.example/lynxhill/internal/event"
	"lynxhill.example/lynxhill/internal/store"
)

// format is what all instances must agree on, stored by the first of them.
type format struct {
	Shards int `json:"shards"`
}

const formatKey = keyPrefix + "format"

// checkFormat refuses to use pages that were written with another number of
// shards: every key would be looked for in the wrong shard, found unclaimed,
// and run a second time. It reads the store once in the life of a process.
func (p *Pages) checkFormat(ctx context.Context) error {
	if p.formatOK.Load() {
		return nil
	}
	p.reads.Add(1)
	obj, err := p.opts.Store.Get(ctx, formatKey)
	if errors.Is(err, store.ErrNotFound) {
		obj, err = p.opts.Store.Put(ctx, formatKey, encode(format{Shards: p.opts.Shards}), 0)
	}
	if err != nil {
		return err // also after a conflict: the next attempt reads it
	}
	var stored format
	if err := json.Unmarshal(obj.Value, &stored); err != nil {
		return fmt.Errorf("%w: %w", errInvalid, err)
	}
	if stored.Shards != p.opts.Shards {
		p.opts.Logger.Log(event.ClaimFormat, "stored", stored.Shards, "settings", p.opts.Shards)
		return fmt.Errorf("%w: pages have %d shards, the settings say %d", errInvalid, stored.Shards, p.opts.Shards)
	}
	p.formatOK.Store(true)
	return nil
}
