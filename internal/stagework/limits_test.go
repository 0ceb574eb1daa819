package stagework

import (
	"fmt"
	"testing"
	"time"

	"lynxhill.example/lynxhill/internal/fleet"
	"lynxhill.example/lynxhill/internal/relay"
)

// Guards against callers whose prompts have ever new parts: all parts of the reuse window
// were remembered, and parts of no tokens for ever, until the instance was killed.
func TestRememberedPartsAreLimited(t *testing.T) {
	const most, perRequest, requests = 1000, 50, 200
	now := time.Unix(1000, 0)
	e := newEngine(fleet.Target{ID: "e"}, RateLimits{})
	o := &pool{engines: map[string]*engine{"e": e}, partUses: make(map[string]partUse), reuseWindow: 10 * time.Second}
	o.setMaxParts(most)
	kept := relay.PromptPart{ID: "shared", Tokens: 10}
	for n := range requests {
		p := &relay.Prompt{Parts: []relay.PromptPart{kept}}
		for i := range perRequest {
			p.Parts = append(p.Parts, relay.PromptPart{ID: fmt.Sprint("own", n, "-", i)})
		}
		e.cacheParts(p, 1e6)
		o.recordUse(p, now)
		now = now.Add(time.Millisecond)
		if uses, cached := len(o.partUses), e.lru.Len(); uses > most || cached > most || len(e.cachedParts) != cached {
			t.Fatalf("after %d requests %d uses and %d cached parts are remembered, at most %d may", n+1, uses, cached, most)
		}
	}
	if _, cached := e.cachedParts[kept.ID]; !cached || !o.recent(kept.ID, now) {
		t.Error("the part that all requests share is forgotten")
	}
}
