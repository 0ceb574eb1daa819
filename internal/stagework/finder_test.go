package stagework

import (
	"context"
	"slices"
	"testing"
	"time"

	"lynxhill.example/lynxhill/internal/control/rendezvous"
	"lynxhill.example/lynxhill/internal/relay"
	"lynxhill.example/lynxhill/internal/route"
)

// Symptom: after a cut has healed, calls find targets full and take twice as
// long as expected.
// Events: an instance that was cut off holds the first one for dead for a while
// and hands its jobs to the second, which knows better.
// Cause: the second one took them, so that two dispatchers filled the targets.
func TestTheOneAskedNamesTheFirst(t *testing.T) {
	inFinder(t, func(f *Finder, r *remote, ranked []string) {
		first, second := ranked[0], ranked[1]
		r.names = map[string]string{second: first}
		f.o.Members = func() []string { return ranked[1:] }
		if got := answers(t, f); got != first {
			t.Errorf("%s answered, the first is reached", got)
		}
		r.silent = ranked[:1]
		if got := answers(t, f); got != second {
			t.Errorf("%s answered, the first is silent", got)
		}
		asked := r.asked[first]
		r.names = nil
		f.o.Members = func() []string { return ranked }
		r.silent = ranked[:1]
		answers(t, f) // it has become a member again, so it is asked
		if got := answers(t, f); got != second || r.asked[first] != asked+1 {
			t.Errorf("%s answered, the first was asked %d times more", got, r.asked[first]-asked)
		}
	})
}

// Symptom: an instance that stood in goes on scheduling beside the first for
// seconds after its return.
// Events: owners that did not reach the first of late insist.
// Cause: the one asked took their word though the first answered it meanwhile.
func TestWhoTakesAJobThatIsForAnother(t *testing.T) {
	inFinder(t, func(f *Finder, r *remote, ranked []string) {
		for _, c := range []struct {
			insist  Insistence
			answers bool // the first has answered this instance
			want    string
		}{
			{InsistNot, false, ReasonNotFirst}, {InsistRemembered, false, ReasonNoTarget}, {InsistTried, false, ReasonNoTarget},
			{InsistNot, true, ReasonNotFirst}, {InsistRemembered, true, ReasonNotFirst}, {InsistTried, true, ReasonNoTarget},
		} {
			time.Sleep(sureFor)
			if c.answers {
				answers(t, f)
			}
			_, refusal := f.Take(Job{Insist: c.insist})
			if refusal == nil || refusal.Reason != c.want || c.want == ReasonNotFirst && refusal.Elsewhere != ranked[0] {
				t.Errorf("%+v: %+v", c, refusal) // one that it takes finds no target
			}
		}
	})
}

// Symptom: stage targets are full and refuse pieces for want of room while one
// instance is cut off from the others, though callers and targets reach it.
// Events: its calls to dispatchers end in time-outs.
// Cause: it scheduled its requests by itself, beside the others' dispatcher.
func TestACutOffInstanceRefusesStageWork(t *testing.T) {
	inFinder(t, func(f *Finder, r *remote, ranked []string) {
		r.silent = ranked[:2]
		alone := true
		f.o.Contact = func() Contact { return map[bool]Contact{false: ContactGood, true: ContactLost}[alone] }
		staged := Job{
			Service: "lm", Stages: []route.Stage{{Service: "cut"}}, Pieces: []int{1}, Prompt: &relay.Prompt{},
			Aim: time.Now().Add(time.Second), Deadline: time.Now().Add(time.Second),
		}
		_, refusal, err := f.Submit(t.Context(), staged)
		if err != nil || refusal == nil || refusal.Reason != ReasonAlone || refusal.RetryAfter > 100*ms || len(r.asked) > 0 {
			t.Errorf("refusal %+v, error %v, asked %v", refusal, err, r.asked)
		}
		if got := answers(t, f); got != "self" {
			t.Errorf("%s answered a request without stages", got)
		}
		alone = false // the others are dead
		if _, refusal, _ = f.Submit(t.Context(), staged); refusal == nil || refusal.Reason != ReasonNoTarget {
			t.Errorf("its own dispatcher, which knows no stage target, did not get the job: %+v", refusal)
		}
	})
}

func TestLeadIsNotLostByAMoment(t *testing.T) {
	var l lead
	at := time.Unix(0, 0)
	for i, step := range []struct {
		after   time.Duration
		another bool
		lost    bool
	}{
		{0, false, false}, {0, true, false}, {leadLostAfter / 2, false, false}, // another for a moment
		{0, true, false}, {leadLostAfter, true, false}, {ms, true, true}, {ms, true, true}, {ms, false, false},
	} {
		at = at.Add(step.after)
		if got := l.lost(step.another, at); got != step.lost {
			t.Errorf("step %d: lost %v", i, got)
		}
	}
}

// Symptom: calls find targets full and pieces are refused for room in the
// seconds after all instances started.
// Events: the dispatcher and the next two in rank start 300 ms after others,
// which have requests at once.
// Cause: instances that were refused a connection scheduled by themselves, and
// left the dispatcher out for two seconds.
func TestJobsWaitForADispatcherThatStarts(t *testing.T) {
	inFinder(t, func(f *Finder, r *remote, ranked []string) {
		f.o.Self = "d" // none of the three
		f.o.Members = func() []string { return append([]string{"d"}, ranked...) }
		ranked = rendezvous.Top(dispatcherKey, f.o.Members(), 4)
		if at := slices.Index(ranked, "d"); at < 3 {
			f.o.Self = ranked[3]
		}
		r.starting = true
		time.AfterFunc(300*ms, func() { r.starting = false })
		began := time.Now()
		if got := answers(t, f); got != ranked[0] || time.Since(began) > 400*ms {
			t.Errorf("%s answered after %v, the first was up after 300 ms", got, time.Since(began))
		}
		r.starting = true
		began = time.Now()
		if got := answers(t, f); got != "self" || time.Since(began) != startTries*startPause {
			t.Errorf("%s answered after %v though nobody starts", got, time.Since(began))
		}
	})
}

// Symptom: small instances schedule stage work in the seconds after a common
// start, beside the dispatcher, and their requests wait for 3 s.
// Events: an instance learns its targets from another one and gets a request
// before it has read who the others are.
// Cause: it knew of nobody who ranks before it.
func TestJobsWaitUntilTheMembersAreKnown(t *testing.T) {
	inFinder(t, func(f *Finder, r *remote, ranked []string) {
		meeting := true
		f.o.Meeting = func() bool { return meeting }
		f.o.Members = func() []string { return []string{f.o.Self} }
		time.AfterFunc(150*ms, func() {
			meeting = false
			f.o.Members = func() []string { return ranked }
		})
		if _, refusal := f.Take(Job{}); refusal == nil || refusal.Reason != ReasonNoTarget {
			t.Errorf("a job whose owner knows the members: %+v, want it taken (and no target found)", refusal)
		}
		began := time.Now()
		if got := answers(t, f); got != ranked[0] || time.Since(began) > 200*ms {
			t.Errorf("%s answered after %v, the members were known after 150 ms", got, time.Since(began))
		}
	})
}

// Symptom: of the requests that come when the only other instances have died one is refused, "the other instances are not
// reached", a millisecond after it came.
// Events: a request first notices that nobody was heard for a second; the store, asked whether this instance is cut off,
// answers a moment later, or does not.
// Cause: what was open counted as cut off.
func TestAJobWaitsWhileItIsOpenWhoIsCutOff(t *testing.T) {
	for _, c := range []struct {
		name string
		then Contact
		want string
	}{{"the store answers", ContactGood, ""}, {"the store does not answer", ContactLost, ReasonAlone}} {
		inFinder(t, func(f *Finder, r *remote, ranked []string) {
			began := time.Now()
			f.o.Contact = func() Contact {
				if time.Since(began) < 100*ms {
					return ContactOpen
				}
				return c.then
			}
			job := Job{ID: "x", Stages: []route.Stage{{Service: "cut"}}, Pieces: []int{1}}
			// The test's own context was made outside the bubble of virtual time.
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			_, refusal, err := f.Submit(ctx, job)
			if took := time.Since(began); err != nil || took < 100*ms || took > 200*ms {
				t.Errorf("%s: %v after %v", c.name, err, took)
			}
			want := c.want
			if want == "" {
				want = ranked[0] // who answers
			}
			if refusal == nil || refusal.Reason != want {
				t.Errorf("%s: %+v, want %s", c.name, refusal, want)
			}
		})
	}
}
