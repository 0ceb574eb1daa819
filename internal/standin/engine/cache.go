package engine

import (
	"container/list"
	"fmt"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"lynxhill.example/lynxhill/internal/wire/targetapi"
)

// maxCacheEvents bounds the events kept for readers.
const maxCacheEvents = 4096

// PrefixHash is how cache events and KV calls name a prefix.
func PrefixHash(prefix string) string {
	return fmt.Sprintf("%016x", xxhash.Sum64String(prefix))
}

// prefixKey names a cached prefix.
type prefixKey struct {
	model  string
	prefix string // hash
}

type cachedPrefix struct {
	key    prefixKey
	tokens int
}

type stampedEvent struct {
	at    time.Time
	event targetapi.CacheEvent
}

// prefixCache keeps prompt prefixes in limited memory; the one not used for
// longest goes first.
type prefixCache struct {
	capacity int           // tokens
	lag      time.Duration // by which events are late
	lost     func() bool   // whether the next event is lost

	mu     sync.Mutex // guards the fields below
	used   int        // tokens
	order  *list.List // of cachedPrefix, newest use first
	byKey  map[prefixKey]*list.Element
	seq    uint64
	events []stampedEvent
}

func newPrefixCache(capacity int, lag time.Duration, lost func() bool) *prefixCache {
	c := &prefixCache{capacity: capacity, lag: lag, lost: lost}
	c.clear()
	return c
}

// clear forgets all, as a crash does. Event numbers go on.
func (c *prefixCache) clear() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.used = 0
	c.order = list.New()
	c.byKey = make(map[prefixKey]*list.Element)
	c.events = nil
}

// lookup returns the tokens cached under the key and marks them as used.
func (c *prefixCache) lookup(key prefixKey) (tokens int, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	element, ok := c.byKey[key]
	if !ok {
		return 0, false
	}
	c.order.MoveToFront(element)
	return element.Value.(cachedPrefix).tokens, true
}

// store caches a prefix and evicts others for room. A prefix larger than the
// whole cache is not kept.
func (c *prefixCache) store(key prefixKey, tokens int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, there := c.byKey[key]; there || tokens > c.capacity {
		return
	}
	for c.used+tokens > c.capacity {
		c.evictOldest()
	}
	c.byKey[key] = c.order.PushFront(cachedPrefix{key: key, tokens: tokens})
	c.used += tokens
	c.publish(key.prefix, false)
}

func (c *prefixCache) evictOldest() {
	oldest := c.order.Back()
	entry := c.order.Remove(oldest).(cachedPrefix)
	delete(c.byKey, entry.key)
	c.used -= entry.tokens
	c.publish(entry.key.prefix, true)
}

// publish notes an event, unless it is lost, which leaves a gap in the
// numbers.
func (c *prefixCache) publish(prefix string, evicted bool) {
	c.seq++
	if c.lost() {
		return
	}
	event := targetapi.CacheEvent{Seq: c.seq, Prefix: prefix, Evicted: evicted}
	c.events = append(c.events, stampedEvent{at: time.Now(), event: event})
	if len(c.events) > maxCacheEvents {
		c.events = c.events[len(c.events)-maxCacheEvents:]
	}
}

// eventsAfter returns the events after a number that are old enough to be
// told.
func (c *prefixCache) eventsAfter(after uint64) []targetapi.CacheEvent {
	c.mu.Lock()
	defer c.mu.Unlock()
	told := time.Now().Add(-c.lag)
	events := []targetapi.CacheEvent{}
	for _, e := range c.events {
		if e.event.Seq > after && !e.at.After(told) {
			events = append(events, e.event)
		}
	}
	return events
}

// usedShare returns the share of the memory in use.
func (c *prefixCache) usedShare() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return float64(c.used) / float64(c.capacity)
}
