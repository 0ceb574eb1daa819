package drain

import (
	"context"
	"encoding/json"
	"errors"
	"sort"
	"strings"

	"lynxhill.example/lynxhill/internal/board"
	"lynxhill.example/lynxhill/internal/errkind"
	"lynxhill.example/lynxhill/internal/store"
)

// writeRetries is how often a lost race or reply is tried again.
const writeRetries = 3

// List returns the drains in force by subject.
func (c *Controller) List() []board.Drain {
	var list []board.Drain
	for _, d := range c.active() {
		list = append(list, d)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Subject < list[j].Subject })
	return list
}

// Drain orders that the subject take no new work. It returns when the platform
// has the order; it is in force everywhere within seconds after that. Errors:
// BadRequest, Conflict, ChangeUnknown, StoreUnavailable.
func (c *Controller) Drain(ctx context.Context, subject, operator string) error {
	if err := validate(subject); err != nil {
		return err
	}
	return c.write(ctx, subject, stored{Drain: board.Drain{Subject: subject, By: operator, At: c.opts.Clock.Now().UTC()}})
}

// Undrain takes a drain back. Taking back one that is not there succeeds.
// Errors are those of Drain.
func (c *Controller) Undrain(ctx context.Context, subject string) error {
	if err := validate(subject); err != nil {
		return err
	}
	return c.write(ctx, subject, stored{Drain: board.Drain{Subject: subject, At: c.opts.Clock.Now().UTC()}, Cleared: true})
}

func validate(subject string) error {
	for _, prefix := range []string{board.DrainInstance, board.DrainPlace, board.DrainTarget} {
		if name, ok := strings.CutPrefix(subject, prefix); ok && name != "" && !strings.Contains(name, "/") {
			return nil
		}
	}
	return errkind.New(errkind.BadRequest, "%q is not instance/ID, place/NAME or target/ID", subject)
}

// write brings the object to the wanted state. The state wanted is all that
// the operator says, so that a lost race or reply is simply tried again.
func (c *Controller) write(ctx context.Context, subject string, want stored) error {
	ctx = store.WithPriority(ctx, store.PriorityOperator)
	value, err := json.Marshal(want)
	if err != nil {
		return errkind.Wrap(err, errkind.Internal, "drain")
	}
	var last error
	for range writeRetries {
		done, err := c.writeOnce(ctx, subject, want, value)
		if done {
			c.publish()
			c.wake.Notify()
			return nil
		}
		last = err
	}
	return writeError(last)
}

func (c *Controller) writeOnce(ctx context.Context, subject string, want stored, value []byte) (bool, error) {
	current, err := c.opts.Store.Get(ctx, KeyPrefix+subject)
	switch {
	case errors.Is(err, store.ErrNotFound) && want.Cleared:
		return true, nil
	case errors.Is(err, store.ErrNotFound):
		current = store.Object{}
	case err != nil:
		return false, err
	}
	var now stored
	if current.Version != 0 && json.Unmarshal(current.Value, &now) == nil && now.Cleared == want.Cleared {
		c.take(subject, entry{version: current.Version, active: !now.Cleared, by: now.By, at: now.At})
		return true, nil
	}
	object, err := c.opts.Store.Put(ctx, KeyPrefix+subject, value, current.Version)
	if err != nil {
		return false, err
	}
	c.take(subject, entry{version: object.Version, active: !want.Cleared, by: want.By, at: want.At})
	return true, nil
}

func writeError(err error) error {
	switch {
	case errors.Is(err, store.ErrConflict):
		return errkind.Wrap(err, errkind.Conflict, "other operators change this drain")
	case errors.Is(err, store.ErrUnavailable), errors.Is(err, store.ErrThrottled):
		return errkind.Wrap(err, errkind.StoreUnavailable, "drain")
	default:
		return errkind.Wrap(err, errkind.ChangeUnknown, "drain; list the drains to see whether it took effect")
	}
}
