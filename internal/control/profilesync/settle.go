package profilesync

import (
	"context"
	"errors"
	"time"

	"lynxhill.example/lynxhill/internal/control/loop"
	"lynxhill.example/lynxhill/internal/errkind"
	"lynxhill.example/lynxhill/internal/profile"
	"lynxhill.example/lynxhill/internal/store"
)

// Pauses between the attempts to write or read back.
const (
	settleMin = 50 * time.Millisecond
	settleMax = time.Second
)

func isNotFound(err error) bool { return errors.Is(err, store.ErrNotFound) }

// settle writes the profile under the condition and returns what the store
// holds and the version that the change got.
//
// What goes wrong without it: the reply to a write is lost, and from the
// silence the operator cannot tell whether the change happened; if he sends it
// again he loses against himself, if he does not it may be in force. The write
// is therefore read back by its change id. While the version is still the old
// one the write is sent again: both carry the same condition, so at most one
// takes effect, however late the first one arrives.
func (m *Manager) settle(ctx context.Context, c Change, ifVersion uint64, stored profile.Stored) (held, uint64, error) {
	ctx, cancel := loop.WithTimeout(ctx, m.o.Clock, m.o.SettleFor)
	defer cancel()
	value := encode(stored)
	mayBeWritten := false
	for pause := settleMin; ; pause = min(2*pause, settleMax) {
		obj, err := m.o.Store.Put(ctx, profile.KeyPrefix+c.Name, value, ifVersion)
		switch {
		case err == nil:
			return held{version: obj.Version, stored: stored}, obj.Version, nil
		case errors.Is(err, store.ErrTooLarge):
			return held{}, 0, errkind.Wrap(err, errkind.TooLarge, "the profile with its history")
		case errors.Is(err, store.ErrConflict):
			return m.settleConflict(ctx, c, mayBeWritten)
		case !errors.Is(err, store.ErrUnavailable) && !errors.Is(err, store.ErrThrottled):
			mayBeWritten = true
		}
		if mayBeWritten {
			now, err := m.readProfile(ctx, c.Name)
			if err == nil && now.version != ifVersion {
				return decide(now, c)
			}
		}
		if !loop.Sleep(ctx, m.o.Clock, m.rand.Spread(pause, 0.5)) {
			return held{}, 0, unsettled(c, mayBeWritten)
		}
	}
}

// settleConflict finds out who came first: it may be this very change, whose
// earlier reply was lost.
func (m *Manager) settleConflict(ctx context.Context, c Change, mayBeWritten bool) (held, uint64, error) {
	for {
		now, err := m.readProfile(ctx, c.Name)
		if err == nil {
			return decide(now, c)
		}
		if !loop.Sleep(ctx, m.o.Clock, m.rand.Spread(settleMin, 0.5)) {
			if mayBeWritten {
				return held{}, 0, unsettled(c, true)
			}
			return held{}, 0, errkind.New(errkind.Conflict, "another change came first; its version could not be read")
		}
	}
}

// decide tells from a profile that is past the condition whether the change is
// in it. The condition can never hold again, so the answer is final.
func decide(now held, c Change) (held, uint64, error) {
	if version, found := now.find(c.ChangeID); found {
		return now, version, nil
	}
	return now, 0, conflict(now)
}

func unsettled(c Change, mayBeWritten bool) error {
	if mayBeWritten {
		return errkind.New(errkind.ChangeUnknown, "the platform did not confirm change %s; ask by its id", c.ChangeID)
	}
	return errkind.New(errkind.StoreUnavailable, "the platform did not take the change; nothing was written")
}
