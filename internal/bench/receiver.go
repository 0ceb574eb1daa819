package bench

import (
	"fmt"
	"strings"
	"time"

	"lynxhill.example/lynxhill/internal/client"
	"lynxhill.example/lynxhill/internal/wire/lynxapi"
)

// receiver takes a streamed answer as a caller's program does, and keeps when
// its pieces came and whether one came twice.
type receiver struct {
	intended time.Time // when the request was meant to be sent
	first    time.Duration
	gaps     []time.Duration
	last     time.Time
	text     strings.Builder
	doubled  error
}

// take is a client.FrameFunc.
func (r *receiver) take(frame lynxapi.Frame) error {
	now := time.Now()
	if r.last.IsZero() {
		r.first = now.Sub(r.intended)
	} else {
		r.gaps = append(r.gaps, now.Sub(r.last))
	}
	r.last = now
	if frame.Offset < r.text.Len() && r.doubled == nil {
		r.doubled = fmt.Errorf("%w: a frame at %d after %d bytes", ErrDoubled, frame.Offset, r.text.Len())
	}
	r.text.WriteString(frame.Text)
	return nil
}

// check holds what was delivered against the answer that was then said to be
// whole: more is a part delivered twice, anything else is missing or altered.
func (r *receiver) check(result client.Result) error {
	delivered := r.text.String()
	switch {
	case delivered == result.Text:
		return nil
	case len(delivered) > len(result.Text):
		return fmt.Errorf("%w: %d bytes delivered of an answer of %d", ErrDoubled, len(delivered), len(result.Text))
	default:
		return fmt.Errorf("%w: %d bytes delivered of an answer of %d", ErrNotWhole, len(delivered), len(result.Text))
	}
}
