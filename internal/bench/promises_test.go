package bench

import (
	"errors"
	"fmt"
	"testing"

	"lynxhill.example/lynxhill/internal/client"
	"lynxhill.example/lynxhill/internal/errkind"
	"lynxhill.example/lynxhill/internal/invariant"
	"lynxhill.example/lynxhill/internal/wire/lynxapi"
	"lynxhill.example/lynxhill/internal/wire/targetapi"
)

// The symptom would be a run that ends with "every promise kept" although one
// was broken. Cause: a verdict that nothing can make count. Each row breaks
// one promise and says what must be counted, and nothing else may be.
func TestEveryBrokenPromiseIsCounted(t *testing.T) {
	notRun := errkind.New(errkind.Overloaded, "full")
	mayHaveRun := errkind.New(errkind.OutcomeUnknown, "who knows")
	ran := []targetapi.RunRecord{{Organisation: "agency-1", Key: "k1", Stage: "book"}}
	one := func(r Record) []Record {
		r.Organisation = "agency-1"
		return []Record{r}
	}
	rows := map[string]struct {
		evidence Evidence
		records  []Record
		want     Breaches
	}{
		"an answer": {Evidence{Runs: ran}, one(Record{Keys: []string{"k1"}}), Breaches{}},
		"a true refusal": {
			Evidence{Runs: ran}, one(Record{Keys: []string{"k2"}, Err: notRun}), Breaches{}},
		"a refusal that leaves open whether it ran": {
			Evidence{Runs: ran}, one(Record{Keys: []string{"k1"}, Err: mayHaveRun}), Breaches{}},
		"the key of another organisation ran": {
			Evidence{Runs: []targetapi.RunRecord{{Organisation: "agency-2", Key: "k1"}}},
			one(Record{Keys: []string{"k1"}, Err: notRun}), Breaches{}},
		"no answer at all": {
			Evidence{}, one(Record{Err: &client.TransportError{Sent: true, Err: errors.New("reset")}}), Breaches{Lost: 1}},
		"an error that says nothing": {
			Evidence{}, one(Record{Err: errkind.New(errkind.Internal, "oops")}), Breaches{Lost: 1}},
		"another request's answer": {
			Evidence{}, one(Record{Broken: fmt.Errorf("%w: x", ErrNotOwn)}), Breaches{Crossed: 1}},
		"another request's output given to a stage": {
			Evidence{CrossedPrevious: 2}, nil, Breaches{Crossed: 2}},
		"half an answer": {
			Evidence{}, one(Record{Broken: fmt.Errorf("%w: x", ErrNotWhole)}), Breaches{Truncated: 1}},
		"a piece twice": {
			Evidence{}, one(Record{Broken: fmt.Errorf("%w: x", ErrDoubled)}), Breaches{Doubled: 1}},
		"a piece twice, then an error": {
			Evidence{}, one(Record{Broken: ErrDoubled, Err: mayHaveRun}), Breaches{Doubled: 1}},
		"two deliveries, told by the program itself": {
			Evidence{Violations: []invariant.Violation{{Rule: invariant.OneDelivery}}}, nil, Breaches{Doubled: 1}},
		"bytes out of order, told by the program itself": {
			Evidence{Violations: []invariant.Violation{{Rule: invariant.OffsetsContiguous}}}, nil, Breaches{Doubled: 1}},
		"another invariant": {
			Evidence{Violations: []invariant.Violation{{Rule: invariant.VersionsIncrease}}}, nil, Breaches{Invariants: 1}},
		"a second run": {Evidence{Doubled: ran}, nil, Breaches{Rerun: 1}},
		"not run, but it ran": {
			Evidence{Runs: ran}, one(Record{Keys: []string{"k1"}, Err: notRun}), Breaches{FalseNotRun: 1}},
		"answered under a new key, but the one given up had run": {
			Evidence{Runs: ran}, one(Record{Keys: []string{"k1", "k2"}}), Breaches{FalseNotRun: 1}},
		"refused under a new key, and the one given up had run": {
			Evidence{Runs: ran}, one(Record{Keys: []string{"k1", "k2"}, Err: notRun}), Breaches{FalseNotRun: 1}},
	}
	for name, row := range rows {
		got := breaches(row.evidence, row.records)
		if got.Total() > 0 && len(got.Details) == 0 {
			t.Errorf("%s: counted without a detail", name)
		}
		got.Details = nil
		if fmt.Sprint(got) != fmt.Sprint(row.want) {
			t.Errorf("%s: counted %+v, want %+v", name, got, row.want)
		}
		if got.Total() != row.want.Total() {
			t.Errorf("%s: %d broken promises, want %d", name, got.Total(), row.want.Total())
		}
	}
}

// The symptom would be an exit status of 0 although a table shows a count.
// Cause: a count that the total leaves out.
func TestTheTotalHasEveryCount(t *testing.T) {
	all := Breaches{Lost: 1, Doubled: 1, Crossed: 1, Truncated: 1, Rerun: 1, FalseNotRun: 1, Invariants: 1, Reverted: 1, TooFew: 1}
	if all.Total() != 9 {
		t.Errorf("total %d of 9", all.Total())
	}
	results := Results{Summaries: []Summary{{Breaches: all}, {Breaches: Breaches{Rerun: 2}}}}
	if results.Broken() != 11 {
		t.Errorf("%d broken in two runs, want 11", results.Broken())
	}
}

// A fleet that refuses everything breaks no other promise: the symptom would
// be a run of nothing but refusals that passes.
func TestTooFewWholeAnswersBreakAPromise(t *testing.T) {
	var few, enough Breaches
	few.checkWhole(Summary{Requests: 100, Whole: 49}, 0.5)
	enough.checkWhole(Summary{Requests: 100, Whole: 50}, 0.5)
	if few.TooFew != 1 || enough.TooFew != 0 {
		t.Errorf("49 of 100: %d, 50 of 100: %d", few.TooFew, enough.TooFew)
	}
	var none Breaches
	none.checkWhole(Summary{}, 0.5)
	if none.TooFew != 1 {
		t.Error("a load of no request at all passes")
	}
}

// The symptom would be an answer whose middle the caller's program gets twice
// while the joined text looks right. Cause: a resend that delivers again what
// an earlier attempt had delivered.
func TestReceiverSeesPiecesThatComeTwice(t *testing.T) {
	frames := func(list ...lynxapi.Frame) *receiver {
		r := &receiver{}
		for _, f := range list {
			_ = r.take(f)
		}
		return r
	}
	ab, cd := lynxapi.Frame{Offset: 0, Text: "ab"}, lynxapi.Frame{Offset: 2, Text: "cd"}
	whole := client.Result{Text: "abcd"}
	if r := frames(ab, cd); r.doubled != nil || r.check(whole) != nil {
		t.Errorf("a whole answer: %v, %v", r.doubled, r.check(whole))
	}
	if r := frames(ab, ab, cd); !errors.Is(r.doubled, ErrDoubled) || !errors.Is(r.check(whole), ErrDoubled) {
		t.Errorf("a piece twice: %v, %v", r.doubled, r.check(whole))
	}
	if r := frames(ab, cd, lynxapi.Frame{Offset: 4, Text: "ef"}); !errors.Is(r.check(whole), ErrDoubled) {
		t.Errorf("more than the answer: %v", r.check(whole))
	}
	if r := frames(ab); !errors.Is(r.check(whole), ErrNotWhole) {
		t.Errorf("less than the answer: %v", r.check(whole))
	}
}

// Profiles: two changes that were told the same version contradict each
// other, and versions that were only refused bind nobody.
func TestAcceptedChangesAreHeldAgainstEachOther(t *testing.T) {
	var race raceLog
	race.add(raceResult{kind: lynxapi.ChangeAccepted, profile: "booking", version: 3, changeID: "a"})
	race.add(raceResult{kind: lynxapi.ChangeWritten, profile: "booking", version: 4, changeID: "b"})
	race.add(raceResult{kind: "profile_conflict", profile: "booking", version: 9, changeID: "c"})
	race.add(raceResult{kind: lynxapi.ChangeWritten, profile: "booking", version: 4, changeID: "b"}) // a lost reply, settled
	highest, wrong := race.accepted()
	if highest["booking"] != 4 || len(wrong) != 0 {
		t.Errorf("highest %v, wrong %v", highest, wrong)
	}
	race.add(raceResult{kind: lynxapi.ChangeAccepted, profile: "booking", version: 3, changeID: "d"})
	if _, wrong := race.accepted(); len(wrong) != 1 {
		t.Errorf("one version told to two changes: %v", wrong)
	}
}
