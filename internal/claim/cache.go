package claim

import (
	"container/list"
	"sync"
)

const heapFactor = 3

type cacheKey struct {
	shard  int
	number uint64
}

// windowCache keeps sealed windows of all shards within a size. Sealed windows
// never change, so that one is never out of date; one that was dropped is
// read again from the store before its keys are decided on.
//
// A window takes heapFactor times its stored size in memory, as measured.
type windowCache struct {
	limit int

	mu      sync.Mutex // guards the fields below
	size    int
	order   *list.List // of *cached, most recently used first
	entries map[cacheKey]*list.Element
}

type cached struct {
	key    cacheKey
	window *window
}

func newWindowCache(limit int) *windowCache {
	return &windowCache{limit: limit, order: list.New(), entries: make(map[cacheKey]*list.Element)}
}

func (c *windowCache) get(key cacheKey) (*window, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	element, ok := c.entries[key]
	if !ok {
		return nil, false
	}
	c.order.MoveToFront(element)
	return element.Value.(*cached).window, true
}

func (c *windowCache) add(shard int, w *window) {
	// Only the last entry of each key is looked up in a sealed window.
	w = &window{number: w.number, version: w.version, page: page{Sealed: true}, last: w.last, size: w.size}
	key := cacheKey{shard, w.number}
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.entries[key]; ok {
		return
	}
	c.entries[key] = c.order.PushFront(&cached{key, w})
	c.size += heapFactor * w.size
	for c.size > c.limit {
		oldest := c.order.Back()
		c.order.Remove(oldest)
		old := oldest.Value.(*cached)
		delete(c.entries, old.key)
		c.size -= heapFactor * old.window.size
	}
}
