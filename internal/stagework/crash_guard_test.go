package stagework

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/coder/quartz"

	"lynxhill.example/lynxhill/internal/crashguard"
	"lynxhill.example/lynxhill/internal/fleet"
	"lynxhill.example/lynxhill/internal/relay"
	"lynxhill.example/lynxhill/internal/stagecall"
)

// guardAdapter is a crashguard.Guard as the dispatcher uses it.
type guardAdapter struct{ *crashguard.Guard }

func (g guardAdapter) Key(organisation, pieceKey string) string {
	return crashguard.PieceKey(organisation, pieceKey)
}
func (g guardAdapter) Active() bool { return g.MaySuspect() }
func (g guardAdapter) Judge(key, owner string) Judgement {
	known := Judgement{Suspected: g.Suspected(key)}
	if known.Suspected && g.Refused(key) {
		known.Refused, known.TrialDue, known.RetryAfter = true, g.TrialDue(key, owner), g.RetryAfter(key)
	}
	return known
}
func (g guardAdapter) HasCrashed(ctx context.Context, t fleet.Target) bool {
	return g.Guard.HasCrashed(ctx, stagecall.Target{ID: t.ID, Address: t.Address})
}
func (g guardAdapter) RecordCrash(key string, c TargetCrash) {
	g.Guard.RecordCrash(key, crashguard.Crash{Target: c.Target, Sent: c.Sent, Broke: c.Broke})
}
func (g guardAdapter) RecordCompleted(key string, trial bool) { g.RecordSuccess(key, trial) }

// crashEnv is a testEnv whose targets crash under the pieces of some requests.
type crashEnv struct {
	*testEnv
	guard guardAdapter

	listMu sync.Mutex // held while the target list changes

	mu      sync.Mutex // guards all below
	bad     map[string]bool
	crashed []string            // ids of the targets, in order
	checks  int                 // checks whether a target crashed
	hidden  bool                // a crash is not seen by a new connection
	running map[string][]string // suspected keys in the calls of each target
	mixed   int                 // calls whose target ran pieces of several suspected keys
}

// Run implements relay.StageClient.
func (w *crashEnv) Run(ctx context.Context, t fleet.Target, pieces []relay.Piece) ([]relay.PieceResult, bool, error) {
	w.mu.Lock()
	w.fake.mu.Lock()
	var suspects []string
	crashes := false
	for _, p := range pieces {
		j := w.fake.jobs[p.ID]
		if key := w.guard.Key(j.Organisation, j.Key); w.guard.Suspected(key) && !slices.Contains(suspects, key) {
			suspects = append(suspects, key)
		}
		crashes = crashes || w.bad[j.Key]
	}
	w.fake.mu.Unlock()
	w.running[t.ID] = append(w.running[t.ID], suspects...)
	if len(slices.Compact(slices.Sorted(slices.Values(w.running[t.ID])))) > 1 {
		w.mixed++
	}
	defer func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.running[t.ID] = slices.DeleteFunc(w.running[t.ID], func(key string) bool { return slices.Contains(suspects, key) })
	}()
	if crashes {
		w.crashed = append(w.crashed, t.ID)
	}
	w.mu.Unlock()
	if !crashes {
		return w.testEnv.fake.Run(ctx, t, pieces)
	}
	time.Sleep(20 * ms)
	w.listMu.Lock()
	defer w.listMu.Unlock()
	w.removeTarget(t.ID)
	return nil, false, errors.New("connection reset")
}

func (w *crashEnv) Free(ctx context.Context, address string, handles []string) error {
	return w.fake.Free(ctx, address, handles)
}
func (w *crashEnv) Report(ctx context.Context, t fleet.Target) (relay.StageReport, error) {
	return w.fake.Report(ctx, t)
}
func (w *crashEnv) CachedParts(ctx context.Context, t fleet.Target) ([]relay.PromptPart, error) {
	return w.fake.CachedParts(ctx, t)
}

// withCrashes runs the test with targets that crash under requests with a bad
// piece key.
func withCrashes(t *testing.T, targets int, bad []string, test func(w *crashEnv)) {
	t.Helper()
	withCrashesAt(t, serviceSpec{targets, limits(18, 200*ms, 9500*time.Microsecond, 40*mb)}, bad, test)
}

// withCrashesAt is withCrashes for the targets of the service.
func withCrashesAt(t *testing.T, service serviceSpec, bad []string, test func(w *crashEnv)) {
	t.Helper()
	withEnv(t, map[string]serviceSpec{"cut": service}, func(env *testEnv) {
		w := &crashEnv{testEnv: env, bad: make(map[string]bool), running: make(map[string][]string)}
		for _, key := range bad {
			w.bad[key] = true
		}
		w.guard = guardAdapter{crashguard.New(crashguard.Options{
			Clock: quartz.NewReal(), TTL: time.Minute, FirstTrial: 3 * time.Second, TrialInterval: time.Hour,
			Alive: func(_ context.Context, target stagecall.Target) bool {
				time.Sleep(ms)
				w.mu.Lock()
				defer w.mu.Unlock()
				w.checks++
				return w.hidden || !slices.Contains(w.crashed, target.ID)
			},
		})}
		env.d.o.Client, env.d.o.CrashGuard = w, w.guard
		test(w)
	})
}

// keyed returns a job with pieces of a piece key.
func keyed(id any, key string, pieces int) Job {
	j := newJob(id, 3*time.Second, 6*time.Second, cutOnly(64<<10), pieces)
	j.Organisation, j.Key = "o", key
	return j
}

// TestRequestWhosePiecesCrashTargetsIsRefused guards against a request that
// crashes target after target while its caller repeats it, and against the
// refusal of requests that only shared calls with it. The load: 40 requests/s of
// one to three pieces, among which two requests come three times a second each,
// which crash any of the 16 targets of 18 pieces per call, with one or two calls
// at a time.
func TestRequestWhosePiecesCrashTargetsIsRefused(t *testing.T) {
	for slots := 1; slots <= 2; slots++ {
		spec := serviceSpec{16, limits(18, 200*ms, 9500*time.Microsecond, 40*mb)}
		spec.limits.Slots = slots
		withCrashesAt(t, spec, []string{"bad0", "bad1"}, func(w *crashEnv) {
			var bad [2][]jobOutcome
			var wg sync.WaitGroup
			for k := range bad {
				wg.Go(func() {
					bad[k] = w.serveAll(8, 333*ms, func(i int) Job { return keyed(fmt.Sprint("bad", k, "/", i), fmt.Sprint("bad", k), 2) })
				})
			}
			sound := w.serveAll(100, 25*ms, func(i int) Job { return keyed(i, fmt.Sprint("k", i), 1+i%3) })
			wg.Wait()
			requirePlaced(t, sound...)
			for k := range bad {
				if last := bad[k][7]; last.refusal == nil || last.refusal.Reason != ReasonCrashes || last.refusal.RetryAfter <= 0 {
					t.Errorf("the last repeat of bad%d: %+v", k, last)
				}
			}
			if len(w.crashed) > 6 || w.mixed > 0 {
				t.Errorf("%d targets crashed, want 6; %d calls beside other suspects", len(w.crashed), w.mixed)
			}
			t.Logf("%d slots: %d targets crashed under two requests; %+v", slots, len(w.crashed), w.d.CrashCounts())
		})
	}
}

// TestTrialOfARefusedRequest guards against a refusal that is not lifted after
// the targets were repaired, and against a trial that crashes more than one
// target.
func TestTrialOfARefusedRequest(t *testing.T) {
	for _, repaired := range []bool{false, true} {
		withCrashes(t, 8, []string{"bad"}, func(w *crashEnv) {
			first := w.serve(keyed("first", "bad", 2))
			early := w.serve(keyed("early", "bad", 2))
			if first.refusal == nil || early.refusal == nil || len(w.crashed) != 3 {
				t.Fatalf("%+v, then %+v; %d targets crashed", first, early, len(w.crashed))
			}
			time.Sleep(3 * time.Second)
			w.mu.Lock()
			w.bad["bad"] = !repaired
			w.mu.Unlock()
			tried := w.serve(keyed("trial", "bad", 2))
			time.Sleep(time.Second)
			after := w.serve(keyed("after", "bad", 2))
			if repaired && (tried.engine == "" || after.engine == "" || len(w.crashed) != 3) {
				t.Errorf("after the repair: %+v, then %+v; %d targets crashed", tried, after, len(w.crashed))
			}
			if !repaired && (tried.refusal == nil || after.refusal == nil || len(w.crashed) != 4) {
				t.Errorf("without a repair: %+v, then %+v; %d targets crashed", tried, after, len(w.crashed))
			}
		})
	}
}

// TestWaitingJobIsRefusedOnceItsKeyIs guards against a request that waits for a
// target while other instances find that it crashes targets, and then runs.
func TestWaitingJobIsRefusedOnceItsKeyIs(t *testing.T) {
	withCrashes(t, 1, nil, func(w *crashEnv) {
		w.fake.update("cut0", func(s *fakeTarget) { s.busy = true })
		outcome := make(chan jobOutcome)
		go func() { outcome <- w.serve(keyed("j", "k", 1)) }()
		time.Sleep(100 * ms)
		for n := range 3 {
			w.guard.RecordCrash(w.guard.Key("o", "k"), TargetCrash{Target: fmt.Sprint("other", n), Sent: time.Now(), Broke: time.Now()})
		}
		if e := <-outcome; e.refusal == nil || e.refusal.Reason != ReasonCrashes {
			t.Errorf("ended with %+v", e)
		}
		w.fake.update("cut0", func(s *fakeTarget) { s.busy = false })
	})
}

// TestCutOffAndBusyTargetsHaveNotCrashed guards against requests that are
// suspected because a target does not answer or is full.
func TestCutOffAndBusyTargetsHaveNotCrashed(t *testing.T) {
	withCrashes(t, 3, nil, func(w *crashEnv) {
		w.fake.update("cut0", func(s *fakeTarget) { s.hangs = true })
		w.fake.update("cut1", func(s *fakeTarget) { s.busy = true })
		requirePlaced(t, w.serveAll(12, 100*ms, func(i int) Job { return keyed(i, fmt.Sprint("k", i), 2) })...)
		if w.checks == 0 || w.guard.Active() || w.d.CrashCounts() != (CrashCounts{}) {
			t.Errorf("%d checks, suspicions %v, %+v", w.checks, w.guard.Active(), w.d.CrashCounts())
		}
		w.fake.update("cut0", func(s *fakeTarget) { close(s.removed) })
	})
}

// TestCrashIsSeenInTheTargetList guards against a crash that no new connection
// shows, because another target has the address at once, or the same one has
// started again there. A target that leaves as announced has not crashed.
func TestCrashIsSeenInTheTargetList(t *testing.T) {
	for _, c := range []struct{ draining, again bool }{{false, false}, {true, false}, {false, true}, {true, true}} {
		draining, again := c.draining, c.again
		withCrashes(t, 2, nil, func(w *crashEnv) {
			w.hidden = true
			w.targets[2].Started = 100
			w.publish()
			c := &call{sent: time.Now(), pieces: []*piece{{unit: &workUnit{job: &job{Job: keyed("j", "k", 1)}}}}}
			w.d.checkCrash(c, w.targets[2], false)
			time.Sleep(time.Second)
			if w.guard.Active() {
				t.Error("suspected before the list shows another target")
			}
			if draining {
				w.targets[2].Draining = true
				w.publish()
			}
			address := w.targets[2].Address
			next := fleet.Target{ID: "next", Service: "cut", Address: address, Zone: "p0", Started: 200}
			if again {
				next.ID = w.targets[2].ID
			}
			w.targets[2] = next
			w.fake.mu.Lock()
			w.fake.targets["next"] = w.fake.targets["cut0"]
			w.fake.mu.Unlock()
			w.publish()
			time.Sleep(ms)
			if suspected := w.guard.Suspected(w.guard.Key("o", "k")); suspected == draining {
				t.Errorf("announced its end %v, started again %v: suspected %v", draining, again, suspected)
			}
		})
	}
}

// TestSuspectsShareNoCall guards against suspected requests that run together:
// if the target crashes, the harmless one is suspected further. Sound requests
// share calls with them, and all suspects get their turn. The load: 4 suspects
// and 8 others wait for the only target, which takes 18 pieces per call.
func TestSuspectsShareNoCall(t *testing.T) {
	withCrashes(t, 1, nil, func(w *crashEnv) {
		for n := range 4 {
			w.guard.RecordCrash(w.guard.Key("o", fmt.Sprint("k", n)), TargetCrash{Target: "other", Sent: time.Now(), Broke: time.Now()})
		}
		w.fake.update("cut0", func(s *fakeTarget) { s.busy = true })
		time.AfterFunc(50*ms, func() { w.fake.update("cut0", func(s *fakeTarget) { s.busy = false }) })
		requirePlaced(t, w.serveAll(12, 0, func(i int) Job { return keyed(i, fmt.Sprint("k", i), 1) })...)
		w.fake.mu.Lock()
		defer w.fake.mu.Unlock()
		calls := make(map[time.Time]int)
		for _, at := range w.fake.sent {
			calls[at[len(at)-1]]++
		}
		if w.mixed > 0 || len(calls) != 4 {
			t.Errorf("%d calls with several suspects; pieces by call %v, want 4 calls", w.mixed, calls)
		}
		if key := w.guard.Key("o", "k0"); w.guard.Suspected(key) {
			t.Error("still suspected after its pieces were completed")
		}
	})
}
