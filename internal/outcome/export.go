package outcome

import "time"

// Exported is a finished record in the form in which it is transferred to
// another instance.
type Exported struct {
	Key       Key           `json:"key"`
	Record    Record        `json:"record"`
	Remaining time.Duration `json:"left_ns"` // remaining retention
}

// Export returns up to maxRecords finished records, the most recently used of
// each shard first. An instance that is stopping sends them to a peer, which
// passes them to Import.
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
		k := e.Value.(*finishedRecord)
		if left := k.expires.Sub(now); left > 0 {
			out = append(out, Exported{Key: k.key, Record: k.record, Remaining: left})
		}
	}
	return out
}

// Import adds the records of an instance that is stopping. Keys that already
// have a record or a request in flight here are skipped.
func (r *Registry) Import(records []Exported) {
	now := r.opts.Clock.Now()
	for _, e := range records {
		if e.Remaining <= 0 || !shouldRetain(e.Record) {
			continue
		}
		left := min(e.Remaining, r.opts.Keep)
		s := r.shardOf(e.Key)
		s.mu.Lock()
		_, running := s.inFlight[e.Key]
		_, known := s.finished[e.Key]
		if !running && !known {
			r.retain(s, e.Key, e.Record, now.Add(left))
		}
		s.mu.Unlock()
	}
}
