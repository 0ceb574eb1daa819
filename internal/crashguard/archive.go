package crashguard

import (
	"context"
	"encoding/json"
	"errors"
	"strings"
	"time"

	"lynxhill.example/lynxhill/internal/board"
	"lynxhill.example/lynxhill/internal/control/loop"
	"lynxhill.example/lynxhill/internal/event"
	"lynxhill.example/lynxhill/internal/store"
)

// StorePrefix is the prefix of the keys under which refusals are in the platform's store.
const StorePrefix = "refusals/"

// Pauses of an Archive between calls of the store that failed.
const (
	firstRetryAfter = 100 * time.Millisecond
	maxRetryAfter   = 2 * time.Second
)

// ArchiveStore is the part of the platform's store that an Archive uses.
type ArchiveStore interface {
	store.Reader
	store.Writer
}

// Archive keeps the refusals of a Guard in the platform's store, where they outlast all
// instances. Only refusals are written, by the instances that saw one of the crashes.
type Archive struct {
	guard     *Guard
	store     ArchiveStore
	readAfter time.Duration
}

// NewArchive returns an Archive of the guard's refusals. It reads them readAfter after
// the start of Run, unless another instance has sent all of them by then.
func NewArchive(g *Guard, s ArchiveStore, readAfter time.Duration) *Archive {
	return &Archive{guard: g, store: s, readAfter: readAfter}
}

// Run reads the refusals, then writes those that change, until ctx ends.
func (a *Archive) Run(ctx context.Context) {
	informed := a.guard.complete.Wait()
	if !loop.SleepOr(ctx, a.guard.opts.Clock, a.readAfter, informed) || !a.retry(ctx, a.loadUnlessComplete) {
		return
	}
	for ctx.Err() == nil {
		changed := a.guard.unsavedChanged.Wait()
		if !a.retry(ctx, a.saveAll) {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// retry calls do until it succeeds. It returns false if ctx ends before that.
func (a *Archive) retry(ctx context.Context, do func(context.Context) error) bool {
	for pause := firstRetryAfter; ; pause = min(2*pause, maxRetryAfter) {
		err := do(ctx)
		if err == nil {
			return true
		}
		a.guard.opts.Logger.Log(event.CrashguardStoreFailed, "err", err, "retry_ms", pause.Milliseconds())
		if !loop.Sleep(ctx, a.guard.opts.Clock, pause) {
			return false
		}
	}
}

// savedRefusal is the value of a refusal in the store.
type savedRefusal struct {
	Crashes []savedCrash `json:"crashes"`
}

type savedCrash struct {
	Target  string `json:"target"`
	AtMS    int64  `json:"at_ms"` // Unix time
	Variant uint32 `json:"variant,omitempty"`
	TookMS  int64  `json:"took_ms,omitempty"` // from sending the request to the crash; 0 = not known
}

func encodeRefusal(row board.Refusal) ([]byte, error) {
	saved := savedRefusal{Crashes: make([]savedCrash, 0, len(row.Crashes))}
	for _, c := range row.Crashes {
		saved.Crashes = append(saved.Crashes, savedCrash{Target: c.Target, AtMS: c.At.UnixMilli(), Variant: c.Variant, TookMS: tookMS(c)})
	}
	return json.Marshal(saved)
}

// tookMS returns the time from sending the request to the crash, in milliseconds, at least
// 1 if it is known.
func tookMS(c board.Crash) int64 {
	if c.Sent.IsZero() {
		return 0
	}
	return max(c.At.Sub(c.Sent).Milliseconds(), 1)
}

// decodeRefusal returns the row of a stored refusal. A crash in the future, by a clock
// that differs, counts from now on.
func decodeRefusal(key string, value []byte, now time.Time) (row board.Refusal, err error) {
	var saved savedRefusal
	if err := json.Unmarshal(value, &saved); err != nil {
		return row, err
	}
	for _, c := range saved.Crashes {
		at := now.Add(-max(now.Sub(time.UnixMilli(c.AtMS)), 0)) // keeps the monotonic reading
		crash := board.Crash{Target: c.Target, At: at, Variant: c.Variant}
		if c.TookMS > 0 {
			crash.Sent = at.Add(-time.Duration(c.TookMS) * time.Millisecond)
		}
		row, _ = withCrash(key, row, crash)
	}
	return row, nil
}

func (a *Archive) loadUnlessComplete(ctx context.Context) error {
	if a.guard.Complete() {
		return nil
	}
	err := a.load(ctx)
	if err == nil {
		a.guard.markComplete()
	}
	return err
}

// load reads the refusals. It removes those that have expired.
func (a *Archive) load(ctx context.Context) error {
	objects, _, err := a.store.List(ctx, StorePrefix)
	if err != nil {
		return err
	}
	now, kept := a.guard.opts.Clock.Now(), 0
	for _, object := range objects {
		fingerprint := strings.TrimPrefix(object.Key, StorePrefix)
		row, err := decodeRefusal(fingerprint, object.Value, now)
		if err != nil || a.guard.expired(fingerprint, row, now) {
			_ = a.store.Delete(ctx, object.Key, object.Version) // the next instance that starts tries again
			continue
		}
		kept++
		a.guard.update(fingerprint, func(have board.Refusal) (board.Refusal, bool) { return joined(fingerprint, have, row) })
	}
	if kept > 0 {
		a.guard.opts.Logger.Log(event.CrashguardLoaded, "refusals", kept)
	}
	return nil
}

// saveAll writes the rows that have changed.
func (a *Archive) saveAll(ctx context.Context) error {
	var failed error
	for _, fingerprint := range a.guard.takeUnsaved() {
		if err := a.save(ctx, fingerprint); err != nil {
			failed = err
			a.guard.markUnsaved(fingerprint)
		}
	}
	return failed
}

// save writes the refusal of a fingerprint, or removes it if there is none any more.
func (a *Archive) save(ctx context.Context, fingerprint string) error {
	key := StorePrefix + fingerprint
	if !a.guard.Refused(fingerprint) {
		return a.remove(ctx, key)
	}
	row, _ := a.guard.opts.Board.Refused.Get(fingerprint)
	value, err := encodeRefusal(row)
	if err != nil {
		return err
	}
	current, err := a.store.Put(ctx, key, value, 0)
	if !errors.Is(err, store.ErrConflict) {
		return err
	}
	if current.Version == 0 {
		if current, err = a.store.Get(ctx, key); err != nil {
			return err
		}
	}
	stored, err := decodeRefusal(fingerprint, current.Value, a.guard.opts.Clock.Now())
	if err == nil && hasAll(fingerprint, stored, row) {
		return nil
	}
	_, err = a.store.Put(ctx, key, value, current.Version)
	return err
}

// remove deletes a refusal.
func (a *Archive) remove(ctx context.Context, key string) error {
	object, err := a.store.Get(ctx, key)
	if err == nil {
		err = a.store.Delete(ctx, key, object.Version)
	}
	if errors.Is(err, store.ErrNotFound) {
		return nil
	}
	return err
}

// hasAll reports whether the stored row has all crashes of the other one.
func hasAll(key string, stored, row board.Refusal) bool {
	for _, c := range row.Crashes {
		if _, lacks := withCrash(key, board.Refusal{Crashes: stored.Crashes}, c); lacks {
			return false
		}
	}
	return true
}
