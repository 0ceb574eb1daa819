package emulator

import (
	"container/list"
	"fmt"
	"strconv"
	"strings"
	"sync"
)

// part is one entry of Prompt-Prefix.
type part struct {
	id     string
	tokens int
}

// parseParts reads "ID:TOKENS,...".
func parseParts(text string) ([]part, error) {
	var parts []part
	for entry := range strings.SplitSeq(text, ",") {
		if entry == "" {
			continue
		}
		id, count, _ := strings.Cut(entry, ":")
		tokens, err := strconv.Atoi(count)
		if err != nil || tokens < 0 {
			return nil, fmt.Errorf("prompt part %q", entry)
		}
		parts = append(parts, part{id, tokens})
	}
	return parts, nil
}

// parseCounts reads non-negative numbers between commas; "" has none.
func parseCounts(text string) ([]int, error) {
	var counts []int
	for field := range strings.SplitSeq(text, ",") {
		if text == "" {
			break
		}
		n, err := strconv.Atoi(strings.TrimSpace(field))
		if err != nil || n < 0 {
			return nil, fmt.Errorf("count %q", field)
		}
		counts = append(counts, n)
	}
	return counts, nil
}

// promptCache keeps prompt parts; the least recently used yield.
type promptCache struct {
	mu     sync.Mutex
	order  list.List // of part, the newest in front
	byID   map[string]*list.Element
	tokens int
}

// hit returns the tokens of the leading parts that are kept, and touches them.
func (c *promptCache) hit(parts []part) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	kept := 0
	for _, p := range parts {
		e, ok := c.byID[p.id]
		if !ok {
			break
		}
		c.order.MoveToFront(e)
		kept += e.Value.(part).tokens
	}
	return kept
}

// keep adds parts, the last as the oldest, and trims to room tokens.
func (c *promptCache) keep(parts []part, room int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := len(parts) - 1; i >= 0; i-- {
		if e, ok := c.byID[parts[i].id]; ok {
			c.order.MoveToFront(e)
			continue
		}
		c.byID[parts[i].id] = c.order.PushFront(parts[i])
		c.tokens += parts[i].tokens
	}
	for c.tokens > room && c.order.Len() > 0 {
		p := c.order.Remove(c.order.Back()).(part)
		delete(c.byID, p.id)
		c.tokens -= p.tokens
	}
}
