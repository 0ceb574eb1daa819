package engine

import (
	"time"

	"lynxhill.example/lynxhill/internal/defaults"
)

// TimeModel says how long the parts of a run take. The zero value gets the
// defaults.
type TimeModel struct {
	// PerToken is the time of one token for a batch of one, and BatchSlope
	// the share by which each further member of the batch lengthens it.
	PerToken   time.Duration
	BatchSlope float64
	// PrefillPerToken is the time of one prompt token that isn't cached.
	PrefillPerToken time.Duration
	// Scale multiplies all times, so that a demo ends in seconds.
	Scale float64
}

// Defaults of TimeModel.
const (
	DefaultPerToken        = 2 * time.Millisecond
	DefaultBatchSlope      = 0.04
	DefaultPrefillPerToken = 50 * time.Microsecond
)

func (m *TimeModel) setDefaults() {
	defaults.Positive(&m.PerToken, DefaultPerToken)
	defaults.Positive(&m.BatchSlope, DefaultBatchSlope)
	defaults.Positive(&m.PrefillPerToken, DefaultPrefillPerToken)
	defaults.Positive(&m.Scale, 1)
}

// Prefill returns the time to read a prompt of which some tokens are cached.
func (m TimeModel) Prefill(prompt, cached int) time.Duration {
	fresh := max(0, prompt-cached)
	return time.Duration(float64(fresh) * float64(m.PrefillPerToken) * m.Scale)
}

// Decode returns the time to write tokens in a batch of a size.
func (m TimeModel) Decode(tokens, batch int) time.Duration {
	factor := 1 + m.BatchSlope*float64(max(0, batch-1))
	return time.Duration(float64(tokens) * float64(m.PerToken) * factor * m.Scale)
}

// bytesPerToken turns the length of a prompt into tokens.
const bytesPerToken = 4

func promptTokens(parts ...[]byte) int {
	total := 0
	for _, part := range parts {
		total += len(part)
	}
	return (total + bytesPerToken - 1) / bytesPerToken
}
