package claim

import (
	"container/list"
	"sync"
)

// heapFactor is the measured ratio of a window's size in memory to its stored
// size.
const heapFactor = 3

type cacheKey struct {
	shard  int
	number uint64
}

// windowCache is an LRU cache of the sealed windows of all shards, limited by
// size. Sealed windows never change, so a cached one is never stale. An evicted
// window is read from the store again when one of its keys is looked up.
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
