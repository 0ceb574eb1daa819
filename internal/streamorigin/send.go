package streamorigin

import (
	"context"
	"sync/atomic"
	"time"
)

// outbox holds the records that wait for one instance. One call to it is made at a time, so
// that records which arrive meanwhile are sent together.
type outbox struct {
	waiting []*delivery
	sending bool
}

// delivery is a record on its way to its holders.
type delivery struct {
	Record
	expiresAt  time.Time
	candidates []string
	next       atomic.Int32 // index of the next candidate to try
}

// send sends a record to the first candidates, and to the next ones in place of those that
// fail.
func (m *Manager) send(r Record, candidates []string) {
	d := &delivery{Record: r, expiresAt: m.o.Clock.Now().Add(r.ExpiresIn), candidates: candidates}
	for range holderCount {
		m.sendToNext(d)
	}
}

// sendToNext queues the record for the next candidate, if there is one.
func (m *Manager) sendToNext(d *delivery) {
	n := int(d.next.Add(1)) - 1
	if n >= len(d.candidates) {
		return
	}
	instance := d.candidates[n]
	m.mu.Lock()
	defer m.mu.Unlock()
	box := m.outboxes[instance]
	if box == nil {
		box = &outbox{}
		m.outboxes[instance] = box
	}
	if len(box.waiting) >= maxWaiting {
		m.o.Metrics.Labelled(metricSent).Add("dropped", 1)
		return
	}
	box.waiting = append(box.waiting, d)
	if !box.sending {
		box.sending = true
		go m.drain(instance, box)
	}
}

// drain sends the records of an outbox until it is empty.
func (m *Manager) drain(instance string, box *outbox) {
	for batch := m.takeWaiting(instance, box); batch != nil; batch = m.takeWaiting(instance, box) {
		now := m.o.Clock.Now()
		records := make([]Record, 0, len(batch))
		for _, d := range batch {
			if r := d.Record; now.Before(d.expiresAt) {
				r.ExpiresIn = d.expiresAt.Sub(now)
				records = append(records, r)
			}
		}
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		err := m.o.Transport.StoreOrigins(ctx, instance, records)
		cancel()
		if err == nil {
			m.o.Metrics.Labelled(metricSent).Add("ok", int64(len(records)))
			continue
		}
		m.o.Metrics.Labelled(metricSent).Add("failed", int64(len(records)))
		for _, d := range batch {
			m.sendToNext(d)
		}
	}
}

// takeWaiting takes the next batch from an outbox. If there is none, it removes the outbox
// and returns nil.
func (m *Manager) takeWaiting(instance string, box *outbox) (batch []*delivery) {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := min(len(box.waiting), maxBatch)
	if n == 0 {
		delete(m.outboxes, instance)
		return nil
	}
	batch, box.waiting = box.waiting[:n:n], box.waiting[n:]
	return batch
}
