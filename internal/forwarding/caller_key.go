package forwarding

import (
	"strings"

	"lynxhill.example/lynxhill/internal/crashguard"
)

// callerKey identifies the caller's work in all its attempts, which have different request
// IDs: by organisation, host, path with query, body, and the parts of the prompt.
func (fl *flight) callerKey() string {
	exact := fl.identity().exact
	if fl.Request.Prompt == nil || len(fl.Request.Prompt.Parts) == 0 {
		return exact
	}
	ids := make([]string, len(fl.Request.Prompt.Parts))
	for i, part := range fl.Request.Prompt.Parts {
		ids[i] = part.ID
	}
	return crashguard.Fingerprint(exact, []byte(strings.Join(ids, "\x00")))
}
