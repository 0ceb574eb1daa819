package emulator

import (
	"maps"
	"time"
)

// StoreCopy is the state of a store at a moment.
type StoreCopy struct{ view view }

// Copy returns the store's state now.
func (s *Store) Copy() StoreCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return StoreCopy{view{objects: maps.Clone(s.now.objects), revision: s.now.revision}}
}

// Return brings the store back to an older state, in a new era: what was written
// since is gone, and its revisions are given out again.
func (s *Store) Return(c StoreCopy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.now = view{objects: maps.Clone(c.view.objects), revision: c.view.revision}
	s.stale = view{}
	for len(s.history) > 0 && s.history[len(s.history)-1].revision > s.now.revision {
		s.history = s.history[:len(s.history)-1]
	}
	s.compacted = min(s.compacted, s.now.revision)
	s.wake()
}

// Drill has the store away for a moment and brings it back from a copy. Some
// time after, the operator and the servers write again what they wrote since.
func (w *World) Drill(c StoreCopy, away, again time.Duration) {
	w.changeMu.Lock() // a change acknowledged during the outage would be lost when the copy is restored
	w.Store.SetFault("", StoreFault{Down: Down503})
	time.Sleep(away)
	w.Store.Return(c)
	w.Store.SetFault("", StoreFault{})
	w.changeMu.Unlock()
	w.after(again, w.writeAgain)
}

// writeAgain writes what the operator and the servers last wrote. Entries of
// servers that are gone lapse.
func (w *World) writeAgain() {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, _ = w.Store.Put("config", "main", w.configs[len(w.configs)-1]) // it was encoded before
	for zone, ordered := range w.evacuated {
		if ordered {
			_, _ = w.Store.Put("evacuations", zone, struct{}{})
		} else {
			w.Store.Delete("evacuations", zone)
		}
	}
	for _, name := range w.Store.names("servers") {
		if s := w.servers[name]; s == nil || s.lapsed {
			w.Store.Delete("servers", name)
		}
	}
	for id, s := range w.servers {
		if !s.lapsed {
			s.entry.Sequence++
			_, _ = w.Store.Put("servers", id, s.entry)
		}
	}
}

// names returns the names of a kind's objects.
func (s *Store) names(kind string) (names []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key := range s.now.objects {
		if key.kind == kind {
			names = append(names, key.name)
		}
	}
	return names
}
