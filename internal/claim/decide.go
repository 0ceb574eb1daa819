package claim

import (
	"context"

	"lynxhill.example/lynxhill/internal/errkind"
)

// decision is what the record of a key means for an op.
type decision struct {
	appends bool // the op's entry is to be written
	result  opResult
	// current says that the result holds only if nothing was written since
	// the view was read.
	current bool
}

// decide is given the last entry of the op's key, if there is one.
func decide(o *op, last entry, found bool) decision {
	switch o.entry.Op {
	case opClaim:
		return decideClaim(o, last, found)
	case opLookup:
		return decideLookup(last, found)
	default:
		// A completion or release counts only for the attempt that holds the
		// key: a release that came late must not free a later attempt's claim.
		if found && last.Token == o.entry.Token {
			return decision{appends: last.Op == opClaim}
		}
		// The attempt may have claimed the key since the view was read.
		return decision{current: true}
	}
}

func decideClaim(o *op, last entry, found bool) decision {
	replaces := found && last.Op == opClaim && last.Token == o.supersedes
	if !found || last.Op == opRelease || replaces {
		answer := Answer{State: Granted, Holder: o.entry.Holder}
		return decision{appends: true, result: opResult{answer: answer, found: true}}
	}
	if last.Body != o.entry.Body {
		err := errkind.New(errkind.KeyReused, "the idempotency key was used with another body")
		return decision{result: opResult{err: err}, current: last.Op == opClaim}
	}
	return decideLookup(last, found)
}

func decideLookup(last entry, found bool) decision {
	if !found || last.Op == opRelease {
		return decision{current: true}
	}
	if last.Op == opComplete {
		answer := Answer{State: Completed, Holder: last.Holder, Result: last.Result, HasResult: last.Result != nil}
		return decision{result: opResult{answer: answer, found: true}}
	}
	answer := Answer{State: Held, Holder: last.Holder}
	return decision{result: opResult{answer: answer, found: true}, current: true}
}

// plan is what a batch comes to on top of the current view.
type plan struct {
	ops     []*op // to be written, in order
	entries []entry
	answers []planned // known without a write
	current bool      // an answer holds only if the view is up to date
}

type planned struct {
	op     *op
	result opResult
}

// plan decides the batch. fresh says that the view was read in this attempt.
func (s *shard) plan(ctx context.Context, batch []*op, fresh bool) (plan, error) {
	sealed, err := s.sealedFor(ctx, batch)
	if err != nil {
		return plan{}, err
	}
	p := plan{}
	written := make(map[keyID]entry)
	for _, o := range batch {
		last, found := s.find(o.entry.ID, written, sealed)
		d := decide(o, last, found)
		p.current = p.current || d.current
		if !d.appends {
			p.answers = append(p.answers, planned{o, d.result})
			continue
		}
		o.onWrite = d.result
		p.ops = append(p.ops, o)
		p.entries = append(p.entries, o.entry)
		written[o.entry.ID] = o.entry
	}
	// A write that succeeds shows that the view was up to date; without one,
	// only a read does.
	if p.current && !fresh && len(p.entries) == 0 {
		if err := s.refresh(ctx); err != nil {
			return plan{}, err
		}
		return s.plan(ctx, batch, true)
	}
	return p, nil
}

// find returns the last entry of the key, the newest window first.
func (s *shard) find(id keyID, written map[keyID]entry, sealed map[uint64]*window) (entry, bool) {
	if e, ok := written[id]; ok {
		return e, true
	}
	if e, ok := s.view.current.last[id]; ok {
		return e, true
	}
	for number := s.view.current.number; number >= s.view.index.First && number > 0; number-- {
		w, ok := sealed[number]
		if !ok {
			continue
		}
		if e, ok := w.last[id]; ok {
			return e, true
		}
	}
	return entry{}, false
}
