package admission

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"lynxhill.example/lynxhill/internal/errkind"
)

// serve makes n attempts one after another and returns the number of calls of
// each target. slow and failing contain target ids.
func serve(t *testing.T, r *rig, n int, slow, failing map[string]bool) map[string]int {
	t.Helper()
	got := make(map[string]int)
	for range n {
		s := acquire(t, r.gate, wantOf("a", time.Time{}))
		id := s.Choice().Target.ID
		got[id]++
		took := 20 * time.Millisecond
		if slow[id] {
			took = 200 * time.Millisecond
		}
		time.Sleep(took)
		s.Done(Result{OK: !failing[id], Duration: took})
	}
	return got
}

// Guards against one slow target of twelve that keeps a twelfth of all requests
// ten times as long. It comes about when a target is not ejected because it
// answers every call.
func TestStragglerIsEjectedAndComesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(12, GateLimits{})
		none := map[string]bool{}
		serve(t, r, 300, none, none)
		slow := map[string]bool{"t003": true}
		r.gate.service("pool").policy = "round_robin"
		serve(t, r, 300, slow, none)
		state := r.gate.service("pool").targets["t003"]
		if state.ejection.ejections == 0 {
			t.Fatal("the straggler was not ejected")
		}
		if got := serve(t, r, 100, slow, none); got["t003"] > 2 {
			t.Errorf("an ejected straggler got %d of 100 calls", got["t003"])
		}
		time.Sleep(6 * time.Minute)
		serve(t, r, 200, none, none)
		if got := serve(t, r, 120, none, none); got["t003"] != 10 {
			t.Errorf("a recovered target got %d of 120 calls, want its tenth", got["t003"])
		}
	})
}

// Guards against ejecting all targets, so that no request is served, when the
// instance's own network is broken. It comes about when ejections have no bound.
func TestEjectionIsBounded(t *testing.T) {
	for _, n := range []int{1, 2, 4, 12} {
		t.Run(fmt.Sprintf("targets=%d", n), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRig(n, GateLimits{})
				all := make(map[string]bool)
				for id := range r.board.Targets.Snapshot() {
					all[id] = true
				}
				serve(t, r, 40*n, nil, all)
				s := r.gate.service("pool")
				out := 0
				for _, target := range s.targets {
					if target.ejection.ejected(time.Now()) {
						out++
					}
				}
				if out > n/3 || out == 0 && n >= 3 {
					t.Errorf("%d of %d targets are ejected, want up to a third", out, n)
				}
			})
		})
	}
}

// Guards against a target that gets a burst of calls while it is being probed,
// and fails them all.
func TestProbesAreSingleAndBackOffGrows(t *testing.T) {
	l := DefaultGateLimits()
	var e ejection
	now := time.Unix(0, 0)
	var last time.Duration
	for range 10 {
		d := e.eject(now, &l)
		if d < last || d > l.EjectMax {
			t.Fatalf("ejected for %s after %s", d, last)
		}
		last = d
		now = now.Add(d)
		if e.excluded(now, 0) || !e.excluded(now, 1) {
			t.Fatal("after the ejection one probe at a time must be allowed")
		}
		if !e.observe(Result{}, time.Millisecond, now, &l) {
			t.Fatal("a failed probe must eject again")
		}
	}
	if last != l.EjectMax {
		t.Errorf("after ten ejections in a row %s, want %s", last, l.EjectMax)
	}
}

// Guards against a hanging target that is never ejected. It comes about when
// cancelled attempts are ignored: a hedge wins every time, and all attempts on
// the target are cancelled.
func TestCancelledAttemptsEjectAHangingTarget(t *testing.T) {
	l := DefaultGateLimits()
	var e ejection
	found := false
	for range 20 {
		found = found || e.observe(Result{Cancelled: true, Duration: 400 * time.Millisecond}, 100*time.Millisecond, time.Unix(0, 0), &l)
	}
	if !found {
		t.Error("twenty attempts cancelled after four times the median did not eject")
	}
	e = ejection{}
	for range 20 {
		if e.observe(Result{Cancelled: true, Duration: 50 * time.Millisecond}, 100*time.Millisecond, time.Unix(0, 0), &l) {
			t.Error("attempts cancelled early ejected a target")
		}
	}
}

func TestRepeatBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(4, GateLimits{})
		try := func(repeat bool) bool {
			w := wantOf("a", time.Time{})
			w.Retry = repeat
			s, err := r.gate.Acquire(context.Background(), w)
			if err != nil {
				if !errkind.Is(err, errkind.Overloaded) {
					t.Fatalf("acquire: %v", err)
				}
				return false
			}
			s.Done(Result{OK: true, Duration: time.Millisecond})
			return true
		}
		repeats := 0
		for range 1000 {
			try(false)
			if try(true) {
				repeats++
			}
		}
		if repeats < 95 || repeats > 105 {
			t.Errorf("%d retries for 1000 first attempts, want a tenth", repeats)
		}
		time.Sleep(20 * time.Second)
		if !try(true) {
			t.Error("no retry granted without recent first attempts: RetryMin must always be allowed")
		}
	})
}

func TestTimeoutsComeFromMeasurement(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(3, GateLimits{})
		w := wantOf("a", time.Time{})
		first := acquire(t, r.gate, w)
		l := DefaultGateLimits()
		if got := r.gate.Timeouts(first.Choice(), w.Query); got != (Timeouts{FirstByte: l.FirstByteCeil, Progress: l.ProgressCeil}) {
			t.Errorf("without measurements: %+v, want the ceilings and no hedge", got)
		}
		first.Done(Result{OK: true, Duration: time.Second, FirstByte: 400 * time.Millisecond, Gap: 500 * time.Millisecond})
		for range 200 {
			s := acquire(t, r.gate, w)
			s.Done(Result{OK: true, Duration: time.Second, FirstByte: 400 * time.Millisecond, Gap: 500 * time.Millisecond})
		}
		got := r.gate.Timeouts(first.Choice(), w.Query)
		near := func(d, want time.Duration) bool { return d > want*95/100 && d < want*105/100 }
		if !near(got.FirstByte, 1200*time.Millisecond) || !near(got.Progress, 1500*time.Millisecond) || !near(got.HedgeDelay, 400*time.Millisecond) {
			t.Errorf("timeouts %+v, want three times the measured times and a hedge at the measured time to first byte", got)
		}
		w.Query.Stage.Idempotent = false
		if got = r.gate.Timeouts(first.Choice(), w.Query); got.HedgeDelay != 0 {
			t.Errorf("a stage that isn't idempotent is hedged at %s", got.HedgeDelay)
		}
		if q, ok := r.gate.Quantile("pool", "draft", 0.5); !ok || !near(q, time.Second) {
			t.Errorf("median %s %v, want 1 s", q, ok)
		}
	})
}

// Guards against a straggler that gets new streams until the first ones on it
// end. It comes about when a target is judged by ended calls only.
func TestStragglerIsEjectedByPaceOfOpenStreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(12, GateLimits{})
		const usual = 2 * time.Millisecond
		for range 60 {
			s := acquire(t, r.gate, wantOf("a", time.Time{}))
			time.Sleep(20 * time.Millisecond)
			s.Done(Result{OK: true, FirstByte: 4 * time.Millisecond, PerToken: usual, Tokens: 10})
		}
		first, second := acquire(t, r.gate, wantOf("a", time.Time{})), acquire(t, r.gate, wantOf("a", time.Time{}))
		state := func(s Slot) *ejection { return &s.(*slot).state.ejection }
		first.ReportPace(2 * usual)
		first.ReportPace(8 * usual)
		if state(first).ejections != 0 {
			t.Error("one slow stream ejected its target")
		}
		first.ReportPace(8 * usual)
		if state(first).ejections != 1 {
			t.Error("the straggler was not ejected while its streams are open")
		}
		second.ReportPace(8 * usual)
		second.ReportPace(usual)
		second.ReportPace(8 * usual)
		if state(second).ejections != 0 {
			t.Error("a target with a stream at the usual pace in between was ejected")
		}
	})
}
