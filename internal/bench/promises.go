package bench

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"lynxhill.example/lynxhill/internal/client"
	"lynxhill.example/lynxhill/internal/errkind"
	"lynxhill.example/lynxhill/internal/invariant"
	"lynxhill.example/lynxhill/internal/wire/targetapi"
)

// Breaches counts broken promises. All must be 0.
type Breaches struct {
	Lost        int      `json:"lost"`          // the caller got no final answer of any kind
	Doubled     int      `json:"doubled"`       // an answer, or a part of one, delivered twice
	Crossed     int      `json:"crossed"`       // an answer, or an earlier stage's output, of another request
	Truncated   int      `json:"truncated"`     // accepted as whole and was not
	Rerun       int      `json:"rerun"`         // a run beyond the first of a stage that is not idempotent
	FalseNotRun int      `json:"false_not_run"` // told not run, but a target ran some of it
	Invariants  int      `json:"invariants"`
	Reverted    int      `json:"reverted"` // an accepted profile change that is not in force at the end
	TooFew      int      `json:"too_few"`  // 1 if fewer requests than the experiment's least share got a whole answer
	Details     []string `json:"details,omitempty"`
}

// Total is the number of broken promises.
func (b Breaches) Total() int {
	return b.Lost + b.Doubled + b.Crossed + b.Truncated + b.Rerun + b.FalseNotRun + b.Invariants + b.Reverted + b.TooFew
}

// breaches checks the promises over everything that was sent and everything
// that the stand-ins have run.
func breaches(e Evidence, records []Record) Breaches {
	var b Breaches
	ran := runsByKey(e.Runs)
	for i := range records {
		b.check(&records[i], ran)
	}
	for _, run := range e.Doubled {
		b.Rerun++
		b.note("rerun: key %s, stage %s, again at %s", run.Key, run.Stage, run.Target)
	}
	if e.CrossedPrevious > 0 {
		b.Crossed += e.CrossedPrevious
		b.note("crossed: %d runs were given another request's output", e.CrossedPrevious)
	}
	for _, v := range e.Violations {
		b.violated(v)
	}
	return b
}

// violated counts a broken invariant, under the promise that it stands for if
// there is one.
func (b *Breaches) violated(v invariant.Violation) {
	switch v.Rule {
	case invariant.OneDelivery, invariant.OffsetsContiguous:
		b.Doubled++
	default:
		b.Invariants++
	}
	b.note("%s: %s", v.Rule, v.Detail)
}

func (b *Breaches) note(format string, args ...any) {
	b.Details = append(b.Details, fmt.Sprintf(format, args...))
}

type runKey struct{ organisation, key string }

func runsByKey(runs []targetapi.RunRecord) map[runKey]bool {
	ran := make(map[runKey]bool, len(runs))
	for _, run := range runs {
		ran[runKey{run.Organisation, run.Key}] = true
	}
	return ran
}

func (b *Breaches) check(r *Record, ran map[runKey]bool) {
	b.checkAnswer(r)
	if r.Err != nil && kindOf(r.Err) == noAnswer {
		b.Lost++
		b.noteRecord("lost", r, r.Err)
	}
	if r.falselyNotRun(ran) {
		b.FalseNotRun++
		b.noteRecord("false not-run", r, r.Err)
	}
}

func (b *Breaches) checkAnswer(r *Record) {
	switch {
	case r.Broken == nil:
	case errors.Is(r.Broken, ErrNotOwn):
		b.Crossed++
		b.noteRecord("crossed", r, r.Broken)
	case errors.Is(r.Broken, ErrDoubled):
		b.Doubled++
		b.noteRecord("doubled", r, r.Broken)
	default:
		b.Truncated++
		b.noteRecord("truncated", r, r.Broken)
	}
}

func (b *Breaches) noteRecord(what string, r *Record, err error) {
	b.note("%s: %s of %s at %s after %s and %d attempts, keys %v: %v", what, r.Profile, r.Organisation,
		r.At.Round(time.Millisecond), r.Latency.Round(time.Millisecond), r.Attempts, r.Keys, err)
}

// falselyNotRun reports whether the caller was told that the request was not
// run although a target ran some of it. A key that was given up for another
// must not have run either, whatever became of the other.
func (r *Record) falselyNotRun(ran map[runKey]bool) bool {
	if n := len(r.Keys); n > 1 && r.ranUnder(ran, r.Keys[:n-1]) {
		return true
	}
	told := r.Err != nil && kindOf(r.Err) != noAnswer && client.RunStateOf(r.Err) == errkind.NotRun
	return told && r.ranUnder(ran, r.Keys)
}

// ranUnder reports whether a target ran anything under one of the keys.
func (r *Record) ranUnder(ran map[runKey]bool, keys []string) bool {
	return slices.ContainsFunc(keys, func(key string) bool { return ran[runKey{r.Organisation, key}] })
}
