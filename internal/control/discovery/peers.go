package discovery

import (
	"context"
	"encoding/json"
	"sort"
	"time"

	"lynxhill.example/lynxhill/internal/board"
	"lynxhill.example/lynxhill/internal/control/loop"
	"lynxhill.example/lynxhill/internal/store"
	"lynxhill.example/lynxhill/internal/wire/platformapi"
)

// PullPrefix stands for the targets in a pull from a peer. They are no objects
// of the platform: their versions are positions in the list by id.
const PullPrefix = "targets/"

// pullBytes bounds one answer to a peer.
const pullBytes = 128 << 10

// peersAsked is how many peers are asked for their targets in one go.
const peersAsked = 3

// Puller asks another instance for its targets; internal/peer implements it.
type Puller interface {
	Pull(ctx context.Context, instance, prefix string, after uint64) (objects []store.Object, mark uint64, more bool, err error)
}

// Since answers a peer that asks for the targets after a position.
func (c *Controller) Since(after uint64) (objects []store.Object, mark uint64, more bool) {
	targets := c.opts.Board.Targets.Snapshot()
	ids := make([]string, 0, len(targets))
	for id := range targets {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	size := 0
	for i := int(min(after, uint64(len(ids)))); i < len(ids); i++ {
		value, err := json.Marshal(instanceOf(targets[ids[i]]))
		if err != nil {
			continue
		}
		if size += len(value); size > pullBytes && len(objects) > 0 {
			return objects, uint64(i), true
		}
		objects = append(objects, store.Object{Key: PullPrefix + ids[i], Version: uint64(i + 1), Value: value})
	}
	return objects, uint64(len(ids)), false
}

// instanceOf is a target as the platform would list it.
func instanceOf(t board.Target) store.Instance {
	state := platformapi.StateLive
	if t.Leaving {
		state = platformapi.StateLeaving
	}
	return store.Instance{
		ID: t.ID, Service: t.Service, Kind: string(t.Kind), Address: t.Address, Place: t.Place, Region: t.Region,
		Provider: t.Provider, State: state, ChecksFence: t.ChecksFence,
	}
}

// askPeers learns targets from other instances.
//
// An instance that starts while the platform is down has no targets and would
// refuse every request, although its neighbours know them all. What peers tell
// only adds targets: it says nothing of those that it lacks, nor that a target
// is live again.
func (c *Controller) askPeers(ctx context.Context) {
	if c.opts.Peers == nil || c.opts.Board.Targets.Len() > 0 {
		return
	}
	live := c.opts.Board.LiveMembers(c.opts.Self)
	first := int(c.rand.Float64() * float64(len(live)))
	asked := 0
	for i := range live {
		id := live[(first+i)%len(live)]
		if id == c.opts.Self || asked == peersAsked {
			continue
		}
		asked++
		if c.askPeer(ctx, id) {
			return
		}
	}
}

// askPeer returns whether the peer told of any target.
func (c *Controller) askPeer(ctx context.Context, id string) bool {
	callCtx, cancel := loop.WithTimeout(ctx, c.opts.Clock, callTimeout)
	defer cancel()
	now := c.opts.Clock.Now()
	for after := uint64(0); ; {
		objects, mark, more, err := c.opts.Peers.Pull(callCtx, id, PullPrefix, after)
		if err != nil {
			return false
		}
		c.learn(objects, now)
		if !more || mark <= after {
			return c.opts.Board.Targets.Len() > 0
		}
		after = mark
	}
}

func (c *Controller) learn(objects []store.Object, now time.Time) {
	for _, object := range objects {
		var instance store.Instance
		if json.Unmarshal(object.Value, &instance) != nil || instance.ID == "" || instance.Kind == KindInstance {
			continue
		}
		if _, known := c.opts.Board.Targets.Get(instance.ID); !known {
			c.mergeOne(instance, now)
		}
	}
}
