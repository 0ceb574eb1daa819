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

// PullPrefix stands for the targets in a pull from a peer. They are not objects
// of the platform: their versions are positions in the list sorted by id.
const PullPrefix = "targets/"

// pullBytes bounds the values in one answer to a peer; the first one is sent even
// if it is larger.
const pullBytes = 128 << 10

// maxPeersQueried is how many peers are queried in one round.
const maxPeersQueried = 3

// Puller pulls the targets of another instance; internal/peer implements it.
type Puller interface {
	Pull(ctx context.Context, instance, prefix string, after uint64) (objects []store.Object, mark uint64, more bool, err error)
}

// TargetsSince answers a peer's pull: the targets after a position in the list sorted by
// id.
func (c *Controller) TargetsSince(after uint64) (objects []store.Object, mark uint64, more bool) {
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

// instanceOf converts a target to an entry as the platform would list it.
func instanceOf(t board.Target) store.Instance {
	state := platformapi.StateLive
	if t.Leaving {
		state = platformapi.StateLeaving
	}
	return store.Instance{
		ID: t.ID, Service: t.Service, Kind: string(t.Kind), Address: t.Address, Zone: t.Zone, Region: t.Region,
		Provider: t.Provider, State: state, ChecksFence: t.ChecksFence,
	}
}

// queryPeers adds the targets that other instances know.
//
// An instance that starts while the platform is unavailable has no targets and
// would refuse every request, although its peers know them all. The answers of
// peers only add targets: a target missing from them is kept, and they do not
// clear a leaving mark.
func (c *Controller) queryPeers(ctx context.Context) {
	if c.opts.Peers == nil || c.opts.Board.Targets.Len() > 0 {
		return
	}
	live := c.opts.Board.LiveMembers(c.opts.Self)
	first := int(c.rand.Float64() * float64(len(live)))
	asked := 0
	for i := range live {
		id := live[(first+i)%len(live)]
		if id == c.opts.Self || asked == maxPeersQueried {
			continue
		}
		asked++
		if c.queryPeer(ctx, id) {
			return
		}
	}
}

// queryPeer pulls the targets of one peer and reports whether any target is known
// after it.
func (c *Controller) queryPeer(ctx context.Context, id string) bool {
	callCtx, cancel := loop.WithTimeout(ctx, c.opts.Clock, callTimeout)
	defer cancel()
	now := c.opts.Clock.Now()
	for after := uint64(0); ; {
		objects, mark, more, err := c.opts.Peers.Pull(callCtx, id, PullPrefix, after)
		if err != nil {
			return false
		}
		c.addTargets(objects, now)
		if !more || mark <= after {
			return c.opts.Board.Targets.Len() > 0
		}
		after = mark
	}
}

func (c *Controller) addTargets(objects []store.Object, now time.Time) {
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
