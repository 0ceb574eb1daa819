package lease

import (
	"encoding/json"
	"time"
)

// record is the value of a lease object.
type record struct {
	Holder string `json:"holder"`
	// Token identifies the write, so that a writer that did not receive the reply
	// recognises its own write.
	Token string `json:"token"`
	// DurationMS is the duration of the lease, measured from just before the write
	// was sent.
	DurationMS int64 `json:"duration_ms"`
	// OrderMS is the maximum time that an order of the holder takes.
	OrderMS int64 `json:"order_ms"`
	// Released says that the holder has released the lease.
	Released bool `json:"released,omitempty"`
}

func (r record) duration() time.Duration { return time.Duration(r.DurationMS) * time.Millisecond }
func (r record) order() time.Duration    { return time.Duration(r.OrderMS) * time.Millisecond }

// parse decodes the value of a lease object. A malformed object is treated as a
// lease of an unknown holder with the given duration and order timeout, and false
// is returned: if it were acquired immediately, two instances could give orders.
func parse(value []byte, duration, order time.Duration) (record, bool) {
	var r record
	if err := json.Unmarshal(value, &r); err != nil || r.Token == "" {
		return record{DurationMS: duration.Milliseconds(), OrderMS: order.Milliseconds()}, false
	}
	return r, true
}
