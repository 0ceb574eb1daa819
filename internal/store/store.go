// Package store is the narrow interface through which the decision packages
// use the platform's object API and instance list. internal/storeclient
// implements it over HTTP; store/memstore implements it in memory for tests.
package store

import (
	"context"
	"errors"
	"time"

	"lynxhill.example/lynxhill/internal/wire/platformapi"
)

// Errors of a Store. Test with errors.Is.
var (
	// ErrConflict: the condition on the version did not hold; nothing was written.
	ErrConflict = errors.New("store: version conflict")
	// ErrNotFound: no such object.
	ErrNotFound = errors.New("store: not found")
	// ErrUnavailable: the call was certainly not carried out (refused, or no
	// byte of it was sent).
	ErrUnavailable = errors.New("store: unavailable")
	// ErrThrottled: refused by the platform's rate limit or by our own budget;
	// certainly not carried out.
	ErrThrottled = errors.New("store: throttled")
	// ErrUnknown: the reply was lost. The write may or may not have taken
	// effect; read back to find out.
	ErrUnknown = errors.New("store: outcome unknown")
	// ErrTooLarge: the value exceeds the platform's limit.
	ErrTooLarge = errors.New("store: value too large")
)

// Object is a stored value with the version of its last write.
type Object = platformapi.Object

// Instance is an entry of the platform's instance list.
type Instance = platformapi.Instance

// Priority orders calls when the client's budget is short: lower ones are
// refused with ErrThrottled first.
type Priority int

// Priorities of store calls, from the first to be shed to the last.
const (
	PriorityBackground Priority = iota // reports, refreshes that can wait
	PriorityControl                    // leases, orders, profile watches
	PriorityRequest                    // claims that a request waits for
	PriorityOperator                   // a change that an operator waits for
)

type priorityKey struct{}

// WithPriority marks the calls made under ctx. The default is PriorityControl.
func WithPriority(ctx context.Context, p Priority) context.Context {
	return context.WithValue(ctx, priorityKey{}, p)
}

// PriorityOf returns the priority that WithPriority set.
func PriorityOf(ctx context.Context) Priority {
	if p, ok := ctx.Value(priorityKey{}).(Priority); ok {
		return p
	}
	return PriorityControl
}

type watchWaitKey struct{}

// WithWatchWait sets how long a Watch under ctx waits for a change before it
// returns without one. Its return tells the caller that what it holds is still
// current, so a caller that needs to know that sets a short wait.
func WithWatchWait(ctx context.Context, wait time.Duration) context.Context {
	return context.WithValue(ctx, watchWaitKey{}, wait)
}

// WatchWait returns the wait that WithWatchWait set, or the fallback.
func WatchWait(ctx context.Context, fallback time.Duration) time.Duration {
	if wait, ok := ctx.Value(watchWaitKey{}).(time.Duration); ok {
		return wait
	}
	return fallback
}

type oldKey struct{}

// WithOld lets the reads under ctx (Get, List and Instances, no watch) return
// data that may be seconds old, where the platform offers such reads for less
// than others. It is for what is read again later or corrected by other means.
func WithOld(ctx context.Context) context.Context {
	return context.WithValue(ctx, oldKey{}, true)
}

// MayBeOld reports whether WithOld was set.
func MayBeOld(ctx context.Context) bool {
	old, _ := ctx.Value(oldKey{}).(bool)
	return old
}

// Reader reads objects.
type Reader interface {
	// Get returns the object or ErrNotFound.
	Get(ctx context.Context, key string) (Object, error)
	// List returns the objects whose keys have the prefix, and the store's
	// version at that moment.
	List(ctx context.Context, prefix string) ([]Object, uint64, error)
}

// Writer changes objects under a condition on the version.
type Writer interface {
	// Put writes value if the object's version is ifVersion (0: the object
	// must not exist) and returns the object with its new version. On
	// ErrConflict the returned object is the current one if it is known.
	Put(ctx context.Context, key string, value []byte, ifVersion uint64) (Object, error)
	// Delete removes the object if its version is ifVersion.
	Delete(ctx context.Context, key string, ifVersion uint64) error
}

// Watcher waits for changes.
type Watcher interface {
	// Watch blocks until an object with the prefix has a version above after,
	// and returns those objects (Deleted set for removed ones) with the
	// version to go on from. It returns no objects when its wait ran out, and
	// compacted when the caller has to List again.
	Watch(ctx context.Context, prefix string, after uint64) (objects []Object, version uint64, compacted bool, err error)
}

// InstanceLister reads and writes the platform's instance list, which lags.
type InstanceLister interface {
	Instances(ctx context.Context) ([]Instance, error)
	// Register announces or refreshes this instance.
	Register(ctx context.Context, self Instance) error
}

// Store is the whole platform.
type Store interface {
	Reader
	Writer
	Watcher
	InstanceLister
}
