package claim

import (
	"context"

	"lynxhill.example/lynxhill/internal/errkind"
)

// decision is the result of evaluating an op against the last entry of its key.
type decision struct {
	writesEntry bool // whether the op's entry is to be written
	result      opResult
	// needsFreshView says that the result is valid only if nothing was written
	// since the view was read.
	needsFreshView bool
}

// decide evaluates an op. last is the last entry of the op's key if found is true.
func decide(o *op, last entry, found bool) decision {
	switch o.entry.Op {
	case opClaim:
		return decideClaim(o, last, found)
	case opLookup:
		return decideLookup(last, found)
	default:
		// A completion or release applies only to the attempt that holds the key:
		// a late release must not release the claim of a later attempt.
		if found && last.Token == o.entry.Token {
			return decision{writesEntry: last.Op == opClaim}
		}
		// The attempt may have claimed the key since the view was read.
		return decision{needsFreshView: true}
	}
}

func decideClaim(o *op, last entry, found bool) decision {
	replaces := found && last.Op == opClaim && last.Token == o.supersedes
	if !found || last.Op == opRelease || replaces {
		answer := Answer{State: Granted, Holder: o.entry.Holder}
		return decision{writesEntry: true, result: opResult{answer: answer, found: true}}
	}
	if last.Body != o.entry.Body {
		err := errkind.New(errkind.KeyReused, "the idempotency key was used with another body")
		return decision{result: opResult{err: err}, needsFreshView: last.Op == opClaim}
	}
	return decideLookup(last, found)
}

func decideLookup(last entry, found bool) decision {
	if !found || last.Op == opRelease {
		return decision{needsFreshView: true}
	}
	if last.Op == opComplete {
		answer := Answer{State: Completed, Holder: last.Holder, Result: last.Result, HasResult: last.Result != nil}
		return decision{result: opResult{answer: answer, found: true}}
	}
	answer := Answer{State: Held, Holder: last.Holder}
	return decision{result: opResult{answer: answer, found: true}, needsFreshView: true}
}

// plan is the result of evaluating a batch against the current view.
type plan struct {
	ops            []*op // ops to be written, in order
	entries        []entry
	answers        []plannedAnswer // results that need no write
	needsFreshView bool            // a result is valid only if the view is up to date
}

type plannedAnswer struct {
	op     *op
	result opResult
}

// plan evaluates the batch. fresh says that the current window was read in this
// attempt.
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
		p.needsFreshView = p.needsFreshView || d.needsFreshView
		if !d.writesEntry {
			p.answers = append(p.answers, plannedAnswer{o, d.result})
			continue
		}
		o.onWrite = d.result
		p.ops = append(p.ops, o)
		p.entries = append(p.entries, o.entry)
		written[o.entry.ID] = o.entry
	}
	// A successful write proves that the view was up to date. Without a write,
	// the current window has to be read.
	if p.needsFreshView && !fresh && len(p.entries) == 0 {
		if err := s.refresh(ctx); err != nil {
			return plan{}, err
		}
		return s.plan(ctx, batch, true)
	}
	return p, nil
}

// find returns the last entry of the key. It searches the entries planned in this
// batch, then the current window, then the sealed windows from new to old.
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
