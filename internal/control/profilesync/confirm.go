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

// Bounds of the backoff between attempts to write or read back.
const (
	confirmRetryMin = 50 * time.Millisecond
	confirmRetryMax = time.Second
)

func isNotFound(err error) bool { return errors.Is(err, store.ErrNotFound) }

// writeAndConfirm writes the profile on condition of its version. It returns what
// the store holds and the version that the change got.
//
// If the reply to a write is lost, the operator cannot know whether the change
// took effect: a repeated change would conflict with itself, and a change that
// is not repeated may be in force. The write is therefore read back by its
// change id. While the version is still the old one, the write is retried: all
// attempts carry the same condition, so at most one takes effect, however late
// the first one arrives.
func (m *Manager) writeAndConfirm(ctx context.Context, c Change, ifVersion uint64, stored profile.Stored) (versionedProfile, uint64, error) {
	ctx, cancel := loop.WithTimeout(ctx, m.o.Clock, m.o.ConfirmTimeout)
	defer cancel()
	value := encode(stored)
	mayBeWritten := false
	for pause := confirmRetryMin; ; pause = min(2*pause, confirmRetryMax) {
		obj, err := m.o.Store.Put(ctx, profile.KeyPrefix+c.Name, value, ifVersion)
		switch {
		case err == nil:
			return versionedProfile{version: obj.Version, stored: stored}, obj.Version, nil
		case errors.Is(err, store.ErrTooLarge):
			return versionedProfile{}, 0, errkind.Wrap(err, errkind.TooLarge, "the profile with its history")
		case errors.Is(err, store.ErrConflict):
			return m.resolveConflict(ctx, c, mayBeWritten)
		case !errors.Is(err, store.ErrUnavailable) && !errors.Is(err, store.ErrThrottled):
			mayBeWritten = true
		}
		if mayBeWritten {
			now, err := m.readProfile(ctx, c.Name)
			if err == nil && now.version != ifVersion {
				return outcomeOf(now, c)
			}
		}
		if !loop.Sleep(ctx, m.o.Clock, m.rand.Jitter(pause, 0.5)) {
			return versionedProfile{}, 0, unresolvedError(c, mayBeWritten)
		}
	}
}

// resolveConflict finds out which change was written first. It may be this very
// change, whose earlier reply was lost.
func (m *Manager) resolveConflict(ctx context.Context, c Change, mayBeWritten bool) (versionedProfile, uint64, error) {
	for {
		now, err := m.readProfile(ctx, c.Name)
		if err == nil {
			return outcomeOf(now, c)
		}
		if !loop.Sleep(ctx, m.o.Clock, m.rand.Jitter(confirmRetryMin, 0.5)) {
			if mayBeWritten {
				return versionedProfile{}, 0, unresolvedError(c, true)
			}
			return versionedProfile{}, 0, errkind.New(errkind.Conflict, "another change came first; its version could not be read")
		}
	}
}

// outcomeOf tells whether the change is in the history of a profile whose version
// is past the condition. The condition can never hold again, so the answer is
// final.
func outcomeOf(now versionedProfile, c Change) (versionedProfile, uint64, error) {
	if version, found := now.find(c.ChangeID); found {
		return now, version, nil
	}
	return now, 0, conflict(now)
}

func unresolvedError(c Change, mayBeWritten bool) error {
	if mayBeWritten {
		return errkind.New(errkind.ChangeUnknown, "the platform did not confirm change %s; ask by its id", c.ChangeID)
	}
	return errkind.New(errkind.StoreUnavailable, "the platform did not take the change; nothing was written")
}
