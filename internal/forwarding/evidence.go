package forwarding

import (
	"time"

	"lynxhill.example/lynxhill/internal/crashguard"
	"lynxhill.example/lynxhill/internal/fleet"
	"lynxhill.example/lynxhill/internal/relay"
)

// maxSuspectedParts bounds the parts of one prompt that are suspected.
const maxSuspectedParts = 8

// evidence is what an attempt shows if its target crashed while it had the request.
type evidence struct {
	request      string // id of the caller's attempt
	id           identity
	service      string
	organisation string
	parts        []relay.PromptPart // of the prompt, without the last one, which is the request's own
	firstEvent   bool               // the target had brought an event, or a byte of another response
	sent, broke  time.Time          // start and end of the attempt
}

// evidence returns what the last attempt, which has just ended, shows if its target
// crashed.
func (fl *flight) evidence() evidence {
	return evidence{
		request: fl.Request.ID, id: fl.identity(), service: fl.service, organisation: fl.organisation(),
		parts: fl.sharedParts(), firstEvent: fl.firstEvent, sent: fl.sentAt, broke: fl.o.Clock.Now(),
	}
}

// sharedParts returns the parts of the prompt that other requests may have.
func (fl *flight) sharedParts() []relay.PromptPart {
	if fl.Request.Prompt == nil || len(fl.Request.Prompt.Parts) == 0 {
		return nil
	}
	parts := fl.Request.Prompt.Parts
	return parts[:min(len(parts)-1, maxSuspectedParts)]
}

// recordCrash counts the crash of the target for the request and, if no event of its
// answer had come, for the parts of its prompt.
func (f *Forwarder) recordCrash(e evidence, target fleet.Target) {
	f.logTargetCrashed(e, target)
	c := crashguard.Crash{Target: target.Run(), Sent: e.sent, Broke: e.broke}
	f.o.CrashGuard.RecordCrash(e.id.exact, c)
	if e.id.anyQuery != "" {
		varied := c
		varied.Variant = e.id.exact
		f.o.CrashGuard.RecordCrash(e.id.anyQuery, varied)
	}
	if e.firstEvent {
		return
	}
	for _, part := range e.parts {
		keys := crashguard.PartKeys(e.service, e.organisation, part.ID)
		f.o.CrashGuard.RecordPartCrash(keys, e.organisation, c)
	}
}
