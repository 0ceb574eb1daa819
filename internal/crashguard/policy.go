package crashguard

import (
	"strings"
	"time"
)

// kind is what a key of the table stands for.
type kind int

const (
	kindRequest kind = iota // a request's fingerprint
	kindPart                // a prompt part of an organisation
	kindAnyPart             // a prompt part, whatever the organisation
	kindPiece               // requests with a piece key of an organisation
)

// Prefixes of the keys of parts. A fingerprint has no dot.
const (
	partPrefix    = "p."
	anyPartPrefix = "a."
)

func kindOf(key string) kind {
	switch {
	case strings.HasPrefix(key, partPrefix):
		return kindPart
	case strings.HasPrefix(key, anyPartPrefix):
		return kindAnyPart
	case strings.HasPrefix(key, piecePrefix):
		return kindPiece
	}
	return kindRequest
}

// policy says how the crashes of a row count.
type policy struct {
	limit    int
	variants int // the least number of variants among the crashes of a refusal
}

const (
	// partLimit is the number of crashes in sequence at which a part is refused.
	partLimit = 3
	// anyPartVariants is the number of organisations whose requests crashed targets from
	// which on a part is refused for all.
	anyPartVariants = 2
)

func (g *Guard) policyOf(key string) policy {
	switch kindOf(key) {
	case kindPart:
		return policy{limit: partLimit}
	case kindAnyPart:
		return policy{limit: partLimit, variants: anyPartVariants}
	case kindPiece:
		return policy{limit: pieceLimit}
	}
	return policy{limit: g.opts.Limit}
}

// trialAfter returns how long after the newest crash a row with that number of counted
// crashes is tried.
func (g *Guard) trialAfter(key string, crashes int) time.Duration {
	if crashes <= g.policyOf(key).limit {
		return g.opts.FirstTrial
	}
	return g.opts.TrialInterval
}
