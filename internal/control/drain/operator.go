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

// writeRetries is the number of attempts of a change whose write conflicts or whose
// reply is lost.
const writeRetries = 3

// List returns the drains in force, ordered by subject.
func (c *Controller) List() []board.Drain {
	var list []board.Drain
	for _, d := range c.active() {
		list = append(list, d)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Subject < list[j].Subject })
	return list
}

// Drain orders that the subject take no new work. It returns once the platform's
// store holds the drain, which is then in force on this instance at once and on all
// others within seconds. Errors: BadRequest, Conflict, ChangeUnknown,
// StoreUnavailable.
func (c *Controller) Drain(ctx context.Context, subject, operator string) error {
	if err := validate(subject); err != nil {
		return err
	}
	value, err := json.Marshal(board.Drain{Subject: subject, By: operator, At: c.opts.Clock.Now().UTC()})
	if err != nil {
		return errkind.Wrap(err, errkind.Internal, "drain")
	}
	return c.retry(ctx, func(ctx context.Context) error { return c.put(ctx, KeyPrefix+subject, value) })
}

// Undrain removes a drain. It is idempotent: removing a drain that does not exist
// succeeds. Errors are those of Drain.
func (c *Controller) Undrain(ctx context.Context, subject string) error {
	if err := validate(subject); err != nil {
		return err
	}
	return c.retry(ctx, func(ctx context.Context) error { return c.remove(ctx, KeyPrefix+subject) })
}

func validate(subject string) error {
	for _, prefix := range board.DrainSubjects {
		if name, ok := strings.CutPrefix(subject, prefix); ok && name != "" && !strings.Contains(name, "/") {
			return nil
		}
	}
	return errkind.New(errkind.BadRequest, "%q is not instance/ID, place/NAME, target/ID or targets-in/PLACE", subject)
}

// retry runs change until it succeeds, at most writeRetries times. Changes set a
// desired state and are idempotent, so they can be retried after a conflict or a
// lost reply: the next attempt reads the current state first.
func (c *Controller) retry(ctx context.Context, change func(context.Context) error) error {
	ctx = store.WithPriority(ctx, store.PriorityOperator)
	var err error
	for range writeRetries {
		if err = change(ctx); err == nil {
			c.Step()
			return nil
		}
	}
	return writeError(err)
}

// put creates the object unless it exists already.
func (c *Controller) put(ctx context.Context, key string, value []byte) error {
	current, err := c.opts.Store.Get(ctx, key)
	if errors.Is(err, store.ErrNotFound) {
		current, err = c.opts.Store.Put(ctx, key, value, 0)
	}
	if err != nil {
		return err
	}
	c.opts.Board.AdoptObject(key, board.ConfigObject{Version: current.Version, Value: current.Value})
	return nil
}

// remove deletes the object if it exists. The deletion reaches the board through the
// platform's store, since only the store knows the version of the deletion.
func (c *Controller) remove(ctx context.Context, key string) error {
	current, err := c.opts.Store.Get(ctx, key)
	if errors.Is(err, store.ErrNotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	err = c.opts.Store.Delete(ctx, key, current.Version)
	if errors.Is(err, store.ErrNotFound) {
		return nil
	}
	return err
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
