package lease

import (
	"encoding/json"
	"time"
)

// record is the lease object's value.
type record struct {
	Holder string `json:"holder"`
	// Token names the write, so that a writer whose reply was lost recognises
	// its own.
	Token string `json:"token"`
	// DurationMS is how long the lease lasts from the moment before the write
	// was sent.
	DurationMS int64 `json:"duration_ms"`
	// OrderMS is the longest time that an order of the holder is under way.
	OrderMS int64 `json:"order_ms"`
	// Released says that the holder gave the lease back.
	Released bool `json:"released,omitempty"`
}

func (r record) duration() time.Duration { return time.Duration(r.DurationMS) * time.Millisecond }
func (r record) order() time.Duration    { return time.Duration(r.OrderMS) * time.Millisecond }

// parse reads a lease object. One that cannot be read counts as held by an
// unknown holder for the given duration: taking it at once could make two
// order-givers.
func parse(value []byte, duration, order time.Duration) (record, bool) {
	var r record
	if err := json.Unmarshal(value, &r); err != nil || r.Token == "" {
		return record{DurationMS: duration.Milliseconds(), OrderMS: order.Milliseconds()}, false
	}
	return r, true
}
