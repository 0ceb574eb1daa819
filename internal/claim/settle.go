package claim

import (
	"slices"

	"lynxhill.example/lynxhill/internal/errkind"
	"lynxhill.example/lynxhill/internal/event"
)

// markInDoubt notes that a write with the ops is about to be sent. It returns
// false, and marks none, if a caller has given up since the plan was made: its
// claim must not be written, since it has been told that nothing is claimed.
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

// clearDoubt notes that the write of the ops certainly took no effect. An
// earlier lost write of an op stays in doubt.
func (s *shard) clearDoubt(ops []*op) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, o := range ops {
		o.inDoubt = slices.Contains(s.view.doubt, o)
	}
}

// addDoubt notes that the reply to the write of the ops was lost.
func (s *shard) addDoubt(ops []*op) {
	for _, o := range ops {
		if !slices.Contains(s.view.doubt, o) {
			s.view.doubt = append(s.view.doubt, o)
		}
	}
}

// giveUpDoubt ends the ops in doubt without knowing whether they were written.
func (s *shard) giveUpDoubt() {
	doubt := s.view.doubt
	s.view.doubt = nil
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, o := range doubt {
		o.finish(opResult{err: errkind.New(errkind.OutcomeUnknown, "the claim's record is past its retention")})
	}
}

// settle decides the writes in doubt by w, the window at a later version than
// they were conditional on. Such a write either took effect, and then its
// entries are in the window for good, or its condition can hold no more.
//
// Reading the window at the same version settles nothing: the write may still
// be on its way to the store. Taking it for lost there is how a claim would be
// granted to one request and written for another.
func (s *shard) settle(w *window) {
	if len(s.view.doubt) == 0 {
		return
	}
	doubt := s.view.doubt
	s.view.doubt = nil
	var took []*op
	for _, o := range doubt {
		if w.has(o.entry.Op, o.entry.Token) {
			took = append(took, o)
		}
	}
	s.pages.opts.Logger.Log(event.ClaimSettled, "shard", s.number, "took_effect", len(took), "lost", len(doubt)-len(took))
	s.clearDoubt(doubt)
	s.finishWritten(took)
}

// finishWritten finishes ops whose entries are in the store. A claim whose
// caller has given up is released, so that a resend may run.
func (s *shard) finishWritten(ops []*op) {
	var releases []*op
	s.mu.Lock()
	for _, o := range ops {
		o.inDoubt = false
		if o.abandoned && o.entry.Op == opClaim {
			release := releaseOf(o.entry, o.life, s.pages.opts.Clock.Now())
			release.source = o.source
			releases = append(releases, release)
		}
		o.finish(o.onWrite)
	}
	s.mu.Unlock()
	for _, r := range releases {
		s.record(r)
	}
}
