package outcome

import "time"

// Exported is a finished record on its way to another instance.
type Exported struct {
	Key    Key           `json:"key"`
	Record Record        `json:"record"`
	Left   time.Duration `json:"left_ns"` // time it is still to be kept
}

// Export returns up to maxRecords finished records, the most recently used of each
// shard first, for a peer to Import when this instance stops.
func (r *Registry) Export(maxRecords int) []Exported {
	var out []Exported
	now := r.opts.Clock.Now()
	for i := range r.shards {
		share := (maxRecords - len(out)) / (len(r.shards) - i)
		out = append(out, r.shards[i].export(share, now)...)
	}
	return out
}

func (s *shard) export(maxRecords int, now time.Time) []Exported {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []Exported
	for e := s.order.Front(); e != nil && len(out) < maxRecords; e = e.Next() {
		k := e.Value.(*kept)
		if left := k.expires.Sub(now); left > 0 {
			out = append(out, Exported{Key: k.key, Record: k.record, Left: left})
		}
	}
	return out
}

// Import adds records of an instance that stops. A record or a request in
// flight of our own is kept in preference.
func (r *Registry) Import(records []Exported) {
	now := r.opts.Clock.Now()
	for _, e := range records {
		if e.Left <= 0 || !retained(e.Record) {
			continue
		}
		left := min(e.Left, r.opts.Keep)
		s := r.shardOf(e.Key)
		s.mu.Lock()
		_, running := s.flights[e.Key]
		_, known := s.finished[e.Key]
		if !running && !known {
			r.keep(s, e.Key, e.Record, now.Add(left))
		}
		s.mu.Unlock()
	}
}
