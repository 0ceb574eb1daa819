package forwarding

import (
	"lynxhill.example/lynxhill/internal/fleet"
	"lynxhill.example/lynxhill/internal/relay"
)

// evidence is what an attempt shows if its target crashed while it had the request.
type evidence struct {
	request    string // id of the caller's attempt
	id         identity
	parts      []relay.PromptPart // of the prompt, without the last one, which is the request's own
	firstEvent bool               // the target had brought an event, or a byte of another response
}

// evidence returns what the last attempt shows if its target crashed.
func (fl *flight) evidence() evidence {
	return evidence{request: fl.Request.ID, id: fl.identity(), parts: fl.sharedParts(), firstEvent: fl.firstEvent}
}

// sharedParts returns the parts of the prompt that other requests may have.
func (fl *flight) sharedParts() []relay.PromptPart {
	if fl.Request.Prompt == nil || len(fl.Request.Prompt.Parts) == 0 {
		return nil
	}
	return fl.Request.Prompt.Parts[:len(fl.Request.Prompt.Parts)-1]
}

// recordCrash counts the crash of the target for the request.
func (f *Forwarder) recordCrash(e evidence, target fleet.Target) {
	f.logTargetCrashed(e, target)
	e.id.recordCrash(f.o.CrashGuard, target)
}
