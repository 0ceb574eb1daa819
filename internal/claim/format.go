package claim

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"lynxhill.example/lynxhill/internal/event"
	"lynxhill.example/lynxhill/internal/store"
)

// format holds the parameters of the stored windows on which all instances must
// agree. The first instance stores it.
type format struct {
	Shards int `json:"shards"`
}

const formatKey = keyPrefix + "format"

// checkFormat returns an error if the stored windows were written with another
// number of shards. With a different number, keys would be searched for in the
// wrong shard, appear unclaimed, and run a second time. Once the check has
// passed, the store is not read again for it.
func (p *StoreClaimer) checkFormat(ctx context.Context) error {
	if p.formatOK.Load() {
		return nil
	}
	p.reads.Add(1)
	obj, err := p.opts.Store.Get(ctx, formatKey)
	if errors.Is(err, store.ErrNotFound) {
		obj, err = p.opts.Store.Put(ctx, formatKey, encode(format{Shards: p.opts.Shards}), 0)
	}
	if err != nil {
		return err // also on a conflict: the next attempt reads the stored format
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
