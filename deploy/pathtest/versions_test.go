package pathtest

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"lynxhill.example/lynxhill/deploy/emulator"
)

const (
	oldVersion, newVersion = "v1", "v1.1"
	// resumeShare is how much of the share of new streams that begin the share of
	// streams that go on has to reach.
	resumeShare = 0.5
)

// startVersions starts a deployment whose model servers have two versions, two servers each.
func startVersions(t *testing.T, instances int) *rig {
	t.Helper()
	all := pools()
	all[0].Versions = []string{oldVersion, newVersion}
	return startWith(t, instances, nil, all)
}

// long is a resumable stream of 30 events that takes most of a second; its client's
// connection breaks after some events, never if that is 0.
func long(breakAfter, session int) emulator.Ask {
	a := talk("/resume/x", "Token-Counts", "40,120", "Prompt-Prefix", fmt.Sprintf("aa:20,b%d:10,c%d:10", session, session))
	a.BreakAfter = breakAfter
	return a
}

// longs are long streams of several sessions, which go to several servers.
func longs(breakAfter ...int) (asks []emulator.Ask) {
	for session := range 6 {
		for _, after := range breakAfter {
			asks = append(asks, long(after, session))
		}
	}
	return asks
}

// begun and takenUp are the shares of the tries that begin a stream, and of those that
// go on with one, that got an event.
func begun(all []emulator.Attempt) (share float64, tries int) {
	return shareWithEvents(all, func(a emulator.Attempt) bool { return a.Resumes == "" })
}

func takenUp(all []emulator.Attempt) (share float64, tries int) {
	return shareWithEvents(all, func(a emulator.Attempt) bool { return a.Resumes != "" })
}

func shareWithEvents(all []emulator.Attempt, of func(emulator.Attempt) bool) (share float64, tries int) {
	tried := slices.DeleteFunc(slices.Clone(all), func(a emulator.Attempt) bool { return !a.Ask.Resume || !of(a) })
	got := slices.DeleteFunc(slices.Clone(tried), func(a emulator.Attempt) bool { return len(a.Events) == 0 })
	return float64(len(got)) / float64(max(len(tried), 1)), len(tried)
}

// resumedRuns is how many runs went on with a stream within one answer.
func (r *rig) resumedRuns() (count int) {
	first := make(map[string]bool)
	for _, run := range r.world.Journal.Runs() {
		if first[run.Attempt] && run.From > 0 {
			count++
		}
		first[run.Attempt] = true
	}
	return count
}

// Guards against streams that go on at another software version within one answer, after
// their server broke them off.
func TestStreamKeepsItsVersionWithinOneAnswer(t *testing.T) {
	r := startVersions(t, 4)
	for _, s := range r.world.Servers("talk") {
		s.SetFaults(emulator.Faults{BreakOff: 0.3})
	}
	stop := r.load(10, emulator.ClientOptions{}, longs(0)...)
	time.Sleep(3 * time.Second)
	all := stop()
	r.check()
	if n := r.resumedRuns(); n < 10 || shareServed(all) < 0.9 {
		t.Errorf("%d runs went on with a stream, %.3f of %d streams are whole", n, shareServed(all), len(all))
	}
}

// Guards against streams that go on at another software version when their clients take
// them up at any instance.
func TestStreamTakenUpKeepsItsVersion(t *testing.T) {
	r := startVersions(t, 4)
	stop := r.load(10, emulator.ClientOptions{Retries: 2}, longs(3, 1, 0)...)
	time.Sleep(3 * time.Second)
	all := stop()
	r.check()
	if share, tries := takenUp(all); tries < 10 || share < 0.95 {
		t.Errorf("%.3f of %d tries went on", share, tries)
	}
}

// Guards against streams that can't go on, or go on at another software version, because
// the instance that began them is gone.
func TestStreamOutlivesTheInstanceThatBeganIt(t *testing.T) {
	r := startVersions(t, 4)
	stop := r.load(16, emulator.ClientOptions{Retries: 3}, longs(0)...)
	time.Sleep(time.Second)
	r.instances[0].kill()
	time.Sleep(300 * time.Millisecond)
	r.instances[2].kill()
	time.Sleep(1500 * time.Millisecond)
	all := stop()
	r.checkExcept(func(v emulator.Violation) bool { return v.Name == emulator.NameLost && r.diedDuring(v.Attempt, all) })
	newShare, _ := begun(all)
	if share, tries := takenUp(all); tries < 4 || share < resumeShare*newShare {
		t.Errorf("%.3f of %d tries went on, %.3f of new streams began", share, tries, newShare)
	}
}

// diedDuring reports whether an instance was killed while the attempt was in flight.
func (r *rig) diedDuring(attempt string, all []emulator.Attempt) bool {
	n := slices.IndexFunc(all, func(a emulator.Attempt) bool { return a.ID == attempt })
	return n >= 0 && slices.ContainsFunc(r.instances, func(i *instance) bool {
		return i.killed.After(all[n].Sent) && i.killed.Before(all[n].Ended)
	})
}

// Guards against streams of two software versions, and streams that can't go on, while
// the servers are upgraded one by one and rolled back, break off, and all instances are
// stopped and started in turn.
func TestUpgradeAndRollbackKeepStreamsOnTheirVersion(t *testing.T) {
	r := startVersions(t, 4)
	stop := r.load(12, emulator.ClientOptions{Retries: 3}, longs(2, 0)...)
	replace := func(from, to string) {
		for _, s := range r.world.Servers("talk") {
			if s.Version != from {
				continue
			}
			added, err := r.world.AddVersion("talk", s.Zone, "", to)
			r.must(err)
			added.SetFaults(emulator.Faults{BreakOff: 0.2})
			time.Sleep(300 * time.Millisecond)
			r.must(r.world.Drain(s.ID))
		}
	}
	replace(oldVersion, "v1.2")
	restarted := slices.Clone(r.instances)
	for _, i := range restarted[1:] { // the first one tells clients where to connect
		i.stop()
		r.add()
		time.Sleep(700 * time.Millisecond)
	}
	replace("v1.2", oldVersion)
	time.Sleep(time.Second)
	all := stop()
	r.check()
	newShare, _ := begun(all)
	if share, tries := takenUp(all); tries < 20 || share < resumeShare*newShare {
		t.Errorf("%.3f of %d tries went on, %.3f of new streams began", share, tries, newShare)
	}
}

// Guards against a stream that waits, or goes on elsewhere, though no server of its
// software version takes work any more: its try is refused at once.
func TestStreamOfAVersionThatLeftIsRefusedAtOnce(t *testing.T) {
	r := startVersions(t, 2)
	first := r.beginStream(r.instances[0], newVersion)
	for _, s := range r.world.Servers("talk") {
		if s.Version == newVersion {
			r.must(r.world.Drain(s.ID))
		}
	}
	time.Sleep(drainTime)
	for _, i := range r.instances {
		a := i.takeUp(t, first, first.ID)
		if took := a.Ended.Sub(a.Sent); a.Status != http.StatusServiceUnavailable || took > rejectWithin || a.Header.Get("Retry-After") != "" {
			t.Errorf("%s: status %d after %v, Retry-After %q", i.id, a.Status, took, a.Header.Get("Retry-After"))
		}
	}
	r.check()
}

// Guards against an answer that hangs, or goes on elsewhere, when its server breaks it off
// and no other server has its software version.
func TestBrokenStreamOfTheOnlyServerOfItsVersionEndsAtOnce(t *testing.T) {
	r := startVersions(t, 2)
	servers := r.world.Servers("talk")
	only := slices.IndexFunc(servers, func(s *emulator.Server) bool { return s.Version == newVersion })
	for n, s := range servers {
		if s.Version == newVersion && n != only {
			r.must(r.world.Drain(s.ID))
		}
	}
	time.Sleep(drainTime)
	stop := r.load(8, emulator.ClientOptions{}, longs(0)...)
	time.Sleep(500 * time.Millisecond)
	crashed := time.Now()
	r.world.Crash(servers[only].ID)
	time.Sleep(time.Second)
	all := stop()
	r.check()
	cut := slices.DeleteFunc(all, func(a emulator.Attempt) bool { return served(a) || len(a.Events) == 0 || a.Sent.After(crashed) })
	if len(cut) == 0 {
		t.Error("no stream was broken off")
	}
	for _, a := range cut {
		if took := a.Ended.Sub(crashed); took > rejectWithin {
			t.Errorf("a stream ended %v after its server", took)
		}
	}
}

// Guards against an instance that is cut off from the store and all others and lets a
// stream go on by its own old list. It may let those go on whose origin it holds.
func TestInstanceOutOfTouchDoesNotGuessAVersion(t *testing.T) {
	r := startVersions(t, 4)
	lost, refused := r.instances[3], 0
	var streams []emulator.Attempt
	for n := range 16 {
		streams = append(streams, r.beginStream(r.instances[n%3], []string{oldVersion, newVersion}[n%2]))
	}
	r.isolate(lost, cutHang)
	for _, stream := range streams {
		a := lost.takeUp(t, stream, stream.ID)
		if served(a) {
			continue
		}
		refused++
		if took := a.Ended.Sub(a.Sent); len(a.Events) > 0 || a.Status != http.StatusServiceUnavailable || took > rejectWithin || a.Header.Get("Retry-After") == "" {
			t.Errorf("out of touch: status %d, %d events after %v, Retry-After %q: %v", a.Status, len(a.Events), took, a.Header.Get("Retry-After"), a.Err)
		}
	}
	if refused == 0 {
		t.Error("no stream was refused")
	}
	r.check()
}

// Guards against malformed, foreign and unknown attempts in Resumes that run, wait, or tell
// something about others.
func TestUnknownStreamIsRefusedAtOnce(t *testing.T) {
	r := startVersions(t, 3)
	first := r.beginStream(r.instances[0], oldVersion)
	foreign := first
	foreign.Ask.Key = "k2"
	for _, c := range []struct {
		name    string
		from    emulator.Attempt
		resumes string
		status  int
	}{
		{"unknown", first, "ffffffffffffffff", http.StatusServiceUnavailable},
		{"not stated", first, "", http.StatusServiceUnavailable},
		{"of another organisation", foreign, first.ID, http.StatusServiceUnavailable},
		{"too long", first, strings.Repeat("f", 1000), http.StatusBadRequest},
	} {
		for _, i := range r.instances {
			a := i.takeUp(t, c.from, c.resumes)
			if took := a.Ended.Sub(a.Sent); a.Status != c.status || took > rejectWithin || a.Header.Get("Retry-After") != "" {
				t.Errorf("%s at %s: status %d after %v, Retry-After %q", c.name, i.id, a.Status, took, a.Header.Get("Retry-After"))
			}
		}
	}
	if a := r.instances[2].takeUp(t, first, first.ID); !served(a) {
		t.Errorf("the stream itself: status %d, %v", a.Status, a.Err)
	}
	r.check()
}

// Guards against clients that name no attempt and can't take their streams up, though all
// servers have had one software version for long.
func TestStreamOfTheOnlyVersionGoesOnWithoutResumes(t *testing.T) {
	r := start(t, 3, nil)
	time.Sleep(7 * time.Second) // longer than a stream may last and its client may take to come back
	for n, i := range r.instances {
		first := r.beginStream(r.instances[(n+1)%3], oldVersion)
		if a := i.takeUp(t, first, ""); !served(a) {
			t.Errorf("%s: status %d, %v", i.id, a.Status, a.Err)
		}
	}
	_, err := r.world.AddVersion("talk", "z1", "", newVersion)
	r.must(err)
	time.Sleep(drainTime)
	first := r.beginStream(r.instances[0], oldVersion)
	for _, i := range r.instances {
		if a := i.takeUp(t, first, ""); a.Status != http.StatusServiceUnavailable {
			t.Errorf("%s, two versions: status %d, %v", i.id, a.Status, a.Err)
		}
	}
	r.check()
}

// beginStream begins a stream at a version, whose client's connection breaks after two
// events.
func (r *rig) beginStream(at *instance, version string) emulator.Attempt {
	r.Helper()
	for session := range 50 {
		a := at.direct.Do(r.Context(), long(2, session))
		runs := r.world.Journal.Runs()
		n := slices.IndexFunc(runs, func(run emulator.Run) bool { return run.Attempt == a.ID && run.Version == version })
		if n >= 0 && len(a.Events) == 2 {
			return a
		}
	}
	r.Fatal("no stream began at " + version)
	return emulator.Attempt{}
}

// takeUp asks the instance to go on with a stream after its second event.
func (i *instance) takeUp(t *testing.T, stream emulator.Attempt, resumes string) emulator.Attempt {
	ask := stream.Ask
	ask.BreakAfter = 0
	return i.direct.TakeUp(t.Context(), ask, stream.Events[1].ID, resumes)
}

// isolate cuts an instance off from the store and the other instances.
func (r *rig) isolate(lost *instance, kind cutKind) {
	lost.others.set(kind)
	for _, i := range r.instances {
		if i != lost {
			i.others.mu.Lock()
			i.others.only = lost.peer
			i.others.mu.Unlock()
			i.others.set(kind)
		}
	}
}
