package claim

import (
	"slices"

	"lynxhill.example/lynxhill/internal/errkind"
	"lynxhill.example/lynxhill/internal/event"
)

// markInDoubt marks the ops as part of a write that is about to be sent. If an op
// has been abandoned since the plan was made, it marks none and returns false: the
// caller of that op has received an error that says that nothing is claimed, so
// the claim must not be written.
func (s *shard) markInDoubt(ops []*op) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, o := range ops {
		if o.finished {
			return false
		}
	}
	for _, o := range ops {
		o.inDoubt = true
	}
	return true
}

// clearInDoubt records that the write of the ops certainly had no effect. An op
// stays in doubt if the reply to an earlier write of it was lost.
func (s *shard) clearInDoubt(ops []*op) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, o := range ops {
		o.inDoubt = slices.Contains(s.view.inDoubt, o)
	}
}

// addInDoubt records that the outcome of the write of the ops is unknown.
func (s *shard) addInDoubt(ops []*op) {
	for _, o := range ops {
		if !slices.Contains(s.view.inDoubt, o) {
			s.view.inDoubt = append(s.view.inDoubt, o)
		}
	}
}

// failInDoubt finishes the ops in doubt with OutcomeUnknown: it can no longer be
// determined whether they were written.
func (s *shard) failInDoubt() {
	doubt := s.view.inDoubt
	s.view.inDoubt = nil
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, o := range doubt {
		o.finish(opResult{err: errkind.New(errkind.OutcomeUnknown, "the claim's record is past its retention")})
	}
}

// resolveInDoubt determines the outcome of the writes in doubt from w, the window at a
// later version than the one they were conditional on. Such a write has either
// taken effect, and then w contains its entries, or it can no longer take effect
// because its condition fails.
//
// Reading the window at the same version proves nothing, since the write may still
// be on its way to the store. If it were considered lost in that case, a claim
// could be granted to one request and written for another.
func (s *shard) resolveInDoubt(w *window) {
	if len(s.view.inDoubt) == 0 {
		return
	}
	doubt := s.view.inDoubt
	s.view.inDoubt = nil
	var written []*op
	for _, o := range doubt {
		if w.has(o.entry.Op, o.entry.Token) {
			written = append(written, o)
		}
	}
	s.claimer.opts.Logger.Log(event.ClaimSettled, "shard", s.number, "took_effect", len(written), "lost", len(doubt)-len(written))
	s.clearInDoubt(doubt)
	s.finishWritten(written)
}

// finishWritten finishes ops whose entries are in the store. It releases claims
// whose callers no longer wait, so that a retry may run.
func (s *shard) finishWritten(ops []*op) {
	var releases []*op
	s.mu.Lock()
	for _, o := range ops {
		o.inDoubt = false
		if o.abandoned && o.entry.Op == opClaim {
			release := releaseOf(o.entry, o.lifetime, s.claimer.opts.Clock.Now())
			release.unhashed = o.unhashed
			releases = append(releases, release)
		}
		o.finish(o.onWrite)
	}
	s.mu.Unlock()
	for _, r := range releases {
		s.record(r)
	}
}
