package edge

import (
	"context"
	"expvar"
	"strings"

	"lynxhill.example/lynxhill/internal/metrics"
	"lynxhill.example/lynxhill/internal/store"
)

var metricStoreCalls = metrics.Define("edge_store_calls_total", "calls", "Calls of the platform's store that this instance made, by what was done and to which kind of objects; those that failed count.")

// countedPlatform counts the calls of the store by kind. Each call is billed and counts
// towards rate limits that the whole fleet shares, so operators need to know which calls
// are made.
type countedPlatform struct {
	Platform
	calls *expvar.Map
}

func newCountedPlatform(p Platform, r *metrics.Registry) *countedPlatform {
	return &countedPlatform{Platform: p, calls: r.Labelled(metricStoreCalls)}
}

// kindOf returns the first part of a key, which names the kind of its object.
func kindOf(key string) string {
	kind, _, _ := strings.Cut(key, "/")
	return kind
}

// Get implements store.Reader.
func (c *countedPlatform) Get(ctx context.Context, key string) (store.Object, error) {
	if store.StaleAllowed(ctx) {
		c.calls.Add("old "+kindOf(key), 1)
	} else {
		c.calls.Add("get "+kindOf(key), 1)
	}
	return c.Platform.Get(ctx, key)
}

// List implements store.Reader.
func (c *countedPlatform) List(ctx context.Context, prefix string) ([]store.Object, uint64, error) {
	c.calls.Add("list "+kindOf(prefix), 1)
	return c.Platform.List(ctx, prefix)
}

// ListPage implements store.Pager.
func (c *countedPlatform) ListPage(ctx context.Context, prefix, after string) (store.Page, error) {
	c.calls.Add("list "+kindOf(prefix), 1)
	return c.Platform.ListPage(ctx, prefix, after)
}

// Watch implements store.Watcher.
func (c *countedPlatform) Watch(ctx context.Context, prefix string, after uint64) ([]store.Object, uint64, bool, error) {
	c.calls.Add("watch "+kindOf(prefix), 1)
	return c.Platform.Watch(ctx, prefix, after)
}

// Instances implements store.InstanceLister.
func (c *countedPlatform) Instances(ctx context.Context) ([]store.Instance, error) {
	c.calls.Add("list instances", 1)
	return c.Platform.Instances(ctx)
}

// Register implements store.InstanceLister.
func (c *countedPlatform) Register(ctx context.Context, self store.Instance) error {
	c.calls.Add("register", 1)
	return c.Platform.Register(ctx, self)
}

// Deregister implements Platform.
func (c *countedPlatform) Deregister(ctx context.Context, id string) error {
	c.calls.Add("deregister", 1)
	return c.Platform.Deregister(ctx, id)
}
