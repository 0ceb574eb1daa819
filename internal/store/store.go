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
	// ErrConflict means that the condition on the version did not hold. Nothing
	// was written.
	ErrConflict = errors.New("store: version conflict")
	// ErrNotFound means that there is no such object.
	ErrNotFound = errors.New("store: not found")
	// ErrUnavailable means that the call was certainly not carried out: it was
	// refused, or no byte of it was sent.
	ErrUnavailable = errors.New("store: unavailable")
	// ErrThrottled means that the call was refused by the platform's rate limit
	// or by the instance's own budget. It was certainly not carried out.
	ErrThrottled = errors.New("store: throttled")
	// ErrUnknown means that the reply was lost. The write may or may not have
	// taken effect; the caller has to read back to find out.
	ErrUnknown = errors.New("store: outcome unknown")
	// ErrTooLarge means that the value exceeds the platform's limit.
	ErrTooLarge = errors.New("store: value too large")
)

// Object is a stored value with the version of its last write.
type Object = platformapi.Object

// Instance is an entry of the platform's instance list.
type Instance = platformapi.Instance

// Priority orders calls when the client's budget is short: calls of lower priority
// are refused with ErrThrottled first.
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

// WithWatchWait sets how long a Watch under ctx waits for a change before it returns
// without one. Its return confirms that what the caller holds is still current, so
// a caller that needs the confirmation often sets a short wait.
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

type staleKey struct{}

// AllowStale allows the reads under ctx (Get, List and Instances, but not Watch) to
// return data that may be seconds old, where the platform offers stale reads at a
// lower cost. It is for data that is read again later or corrected by other means.
func AllowStale(ctx context.Context) context.Context {
	return context.WithValue(ctx, staleKey{}, true)
}

// StaleAllowed reports whether AllowStale was set.
func StaleAllowed(ctx context.Context) bool {
	old, _ := ctx.Value(staleKey{}).(bool)
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

// Page is a part of a list.
type Page struct {
	Objects []Object // by rising key
	Version uint64   // the store's version when the page was read
	Next    string   // the key after which the next page begins; "" = this is the last one
}

// Pager lists objects page by page, so that a long list can be resumed after a failure.
type Pager interface {
	// ListPage returns the objects whose keys have the prefix and come after the given
	// one, "" = all, as many as the platform returns in one reply.
	ListPage(ctx context.Context, prefix, after string) (Page, error)
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
	// Watch blocks until an object with the prefix has a version above after. It
	// returns those objects (with Deleted set for removed ones) and the version to
	// continue from. It returns no objects when its wait expired, and compacted
	// when the caller has to List again.
	Watch(ctx context.Context, prefix string, after uint64) (objects []Object, version uint64, compacted bool, err error)
}

// InstanceLister reads and writes the platform's instance list, which lags behind the
// actual state.
type InstanceLister interface {
	Instances(ctx context.Context) ([]Instance, error)
	// Register adds this instance to the list or refreshes its entry.
	Register(ctx context.Context, self Instance) error
}

// Store is the whole interface to the platform.
type Store interface {
	Reader
	Writer
	Watcher
	InstanceLister
}
