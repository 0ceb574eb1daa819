package stagework

import (
	"context"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"lynxhill.example/lynxhill/internal/control/rendezvous"
	"lynxhill.example/lynxhill/internal/relay"
	"lynxhill.example/lynxhill/internal/route"
)

// TestInstanceNamesTheFirstRanked guards against two dispatchers for the same
// targets after a network partition has healed. An instance that was cut off
// still considers the first-ranked instance dead and submits its jobs to the
// second, which has to redirect it.
func TestInstanceNamesTheFirstRanked(t *testing.T) {
	withFinder(t, func(f *Finder, r *fakeRemote, ranked []string) {
		first, second := ranked[0], ranked[1]
		r.redirects = map[string]string{second: first}
		f.o.Members = func() []string { return ranked[1:] }
		if got := answeredBy(t, f); got != first {
			t.Errorf("%s accepted the job, the first-ranked instance is reachable", got)
		}
		r.silent = ranked[:1]
		if got := answeredBy(t, f); got != second {
			t.Errorf("%s accepted the job, the first-ranked instance does not respond", got)
		}
		asked := r.asked[first]
		r.redirects = nil
		f.o.Members = func() []string { return ranked }
		r.silent = ranked[:1]
		answeredBy(t, f) // the first instance has rejoined, so it is tried
		if got := answeredBy(t, f); got != second || r.asked[first] != asked+1 {
			t.Errorf("%s accepted the job, the first-ranked instance got %d more calls", got, r.asked[first]-asked)
		}
	})
}

// TestWhoTakesAJobThatIsForAnother guards against an instance that stood in as
// dispatcher and keeps accepting jobs after the first-ranked one is back.
// Owners that recently failed to reach that one insist, but the instance has
// itself received responses from it since.
func TestWhoTakesAJobThatIsForAnother(t *testing.T) {
	withFinder(t, func(f *Finder, r *fakeRemote, ranked []string) {
		for _, c := range []struct {
			override RankOverride
			answers  bool // the first instance has responded to this one
			want     string
		}{
			{NoRankOverride, false, ReasonNotFirst}, {OverrideRecentlyUnreachable, false, ReasonNoTarget}, {OverrideUnreachable, false, ReasonNoTarget},
			{NoRankOverride, true, ReasonNotFirst}, {OverrideRecentlyUnreachable, true, ReasonNotFirst}, {OverrideUnreachable, true, ReasonNoTarget},
		} {
			time.Sleep(reachableFor)
			if c.answers {
				answeredBy(t, f)
			}
			_, refusal := f.Accept(Job{RankOverride: c.override})
			if refusal == nil || refusal.Reason != c.want || c.want == ReasonNotFirst && refusal.FirstRanked != ranked[0] {
				t.Errorf("%+v: %+v", c, refusal) // one that it takes finds no target
			}
		}
	})
}

// TestACutOffInstanceRefusesStageWork guards against an instance that cannot
// reach the others, although callers and targets can reach it, and schedules
// its requests beside the others' dispatcher.
func TestACutOffInstanceRefusesStageWork(t *testing.T) {
	withFinder(t, func(f *Finder, r *fakeRemote, ranked []string) {
		r.silent = ranked[:2]
		alone := true
		f.o.Connectivity = func() Connectivity {
			return map[bool]Connectivity{false: ConnectivityOK, true: ConnectivityLost}[alone]
		}
		staged := Job{
			Service: "lm", Stages: []route.Stage{{Service: "cut"}}, Pieces: []int{1}, Prompt: &relay.Prompt{},
			OnTimeUntil: time.Now().Add(time.Second), Deadline: time.Now().Add(time.Second),
		}
		_, refusal, err := f.Submit(t.Context(), staged)
		if err != nil || refusal == nil || refusal.Reason != ReasonIsolated || refusal.RetryAfter > 100*ms || len(r.asked) > 0 {
			t.Errorf("refusal %+v, error %v, calls %v", refusal, err, r.asked)
		}
		if got := answeredBy(t, f); got != "self" {
			t.Errorf("%s accepted a request without stages", got)
		}
		alone = false // the others are declared dead
		if _, refusal, _ = f.Submit(t.Context(), staged); refusal == nil || refusal.Reason != ReasonNoTarget {
			t.Errorf("the local dispatcher, which knows no stage target, did not get the job: %+v", refusal)
		}
	})
}

func TestBriefRankChangeDoesNotMoveJobs(t *testing.T) {
	var l leadership
	at := time.Unix(0, 0)
	for i, step := range []struct {
		after   time.Duration
		another bool
		lost    bool
	}{
		{0, false, false}, {0, true, false}, {handoverDelay / 2, false, false}, // another for a moment
		{0, true, false}, {handoverDelay, true, false}, {ms, true, true}, {ms, true, true}, {ms, false, false},
	} {
		at = at.Add(step.after)
		if got := l.shouldHandOver(step.another, at); got != step.lost {
			t.Errorf("step %d: hand over %v", i, got)
		}
	}
}

// TestJobsWaitForADispatcherThatStarts guards against concurrent dispatchers
// after a common start. The first three instances by rank start 300 ms after
// the others, which already have requests; if these schedule by themselves when
// their connections are refused, and exclude the dispatcher for two seconds,
// targets get calls from all of them.
func TestJobsWaitForADispatcherThatStarts(t *testing.T) {
	withFinder(t, func(f *Finder, r *fakeRemote, ranked []string) {
		f.o.Self = "d" // not one of the three
		f.o.Members = func() []string { return append([]string{"d"}, ranked...) }
		ranked = rendezvous.Top(dispatcherKey, f.o.Members(), 4)
		if at := slices.Index(ranked, "d"); at < 3 {
			f.o.Self = ranked[3]
		}
		r.starting.Store(true)
		time.AfterFunc(300*ms, func() { r.starting.Store(false) })
		began := time.Now()
		if got := answeredBy(t, f); got != ranked[0] || time.Since(began) > 400*ms {
			t.Errorf("%s accepted the job after %v, the first-ranked instance was up after 300 ms", got, time.Since(began))
		}
		r.starting.Store(true)
		began = time.Now()
		if got := answeredBy(t, f); got != "self" || time.Since(began) != startAttempts*startRetryInterval {
			t.Errorf("%s accepted the job after %v although no instance starts", got, time.Since(began))
		}
	})
}

// TestJobsWaitUntilTheMembersAreKnown guards against an instance that considers
// itself the dispatcher because it does not know the other members yet. It has
// learnt its targets from another instance and gets a request before it has
// read the list of members.
func TestJobsWaitUntilTheMembersAreKnown(t *testing.T) {
	withFinder(t, func(f *Finder, r *fakeRemote, ranked []string) {
		var known atomic.Bool
		f.o.Joining = func() bool { return !known.Load() }
		f.o.Members = func() []string {
			if !known.Load() {
				return []string{f.o.Self}
			}
			return ranked
		}
		time.AfterFunc(150*ms, func() { known.Store(true) })
		if _, refusal := f.Accept(Job{}); refusal == nil || refusal.Reason != ReasonNoTarget {
			t.Errorf("a job whose owner knows the members: %+v, want it accepted (and no target found)", refusal)
		}
		began := time.Now()
		if got := answeredBy(t, f); got != ranked[0] || time.Since(began) > 200*ms {
			t.Errorf("%s accepted the job after %v, the members were known after 150 ms", got, time.Since(began))
		}
	})
}

// TestAJobWaitsWhileItIsOpenWhoIsCutOff guards against refusing jobs as
// isolated while that is not known yet. The only other instances have died; a
// request is the first to find that none has responded for a second, and the
// store's reply, which shows whether this instance is cut off, arrives a moment
// later or not at all.
func TestAJobWaitsWhileItIsOpenWhoIsCutOff(t *testing.T) {
	for _, c := range []struct {
		name string
		then Connectivity
		want string
	}{{"the store responds", ConnectivityOK, ""}, {"the store does not respond", ConnectivityLost, ReasonIsolated}} {
		withFinder(t, func(f *Finder, r *fakeRemote, ranked []string) {
			began := time.Now()
			f.o.Connectivity = func() Connectivity {
				if time.Since(began) < 100*ms {
					return ConnectivityUnknown
				}
				return c.then
			}
			job := Job{ID: "x", Stages: []route.Stage{{Service: "cut"}}, Pieces: []int{1}}
			// The test's own context was created outside the synctest bubble.
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			_, refusal, err := f.Submit(ctx, job)
			if took := time.Since(began); err != nil || took < 100*ms || took > 200*ms {
				t.Errorf("%s: %v after %v", c.name, err, took)
			}
			want := c.want
			if want == "" {
				want = ranked[0] // the instance that accepted the job
			}
			if refusal == nil || refusal.Reason != want {
				t.Errorf("%s: %+v, want %s", c.name, refusal, want)
			}
		})
	}
}
