package stagework

import (
	"fmt"
	"testing"
	"time"

	"lynxhill.example/lynxhill/internal/fleet"
	"lynxhill.example/lynxhill/internal/relay"
	"lynxhill.example/lynxhill/internal/route"
)

// stateStarts has all targets state a start.
func (w *testEnv) stateStarts() {
	for i := range w.targets {
		w.targets[i].Started = 100
	}
	w.publish()
}

// restartTarget has a target start again under its id: its calls end, and its results are gone.
func (w *testEnv) restartTarget(id string) {
	w.fake.dropResults(func(m *fakeResult, _ string) bool { return m.target == id })
	w.fake.mu.Lock()
	old := w.fake.targets[id]
	close(old.removed)
	w.fake.targets[id] = &fakeTarget{limits: old.limits, slowdown: 1, memory: old.memory, removed: make(chan struct{})}
	w.fake.mu.Unlock()
	for i := range w.targets {
		if w.targets[i].ID == id {
			w.targets[i].Started += 100
		}
	}
	w.publish()
}

// Guards against an engine that is sent results which a stage target held before it started again under its id, and against
// memory, calls and failures of the earlier start that count for the new one for ever.
func TestResultsOfAnEarlierStartAreMadeAgain(t *testing.T) {
	withSlowStage(t, 30*time.Second, func(w *testEnv, stages []route.Stage, cuts int) {
		w.stateStarts()
		for n := range 2 {
			time.AfterFunc(time.Duration(40+600*n)*ms, func() { w.restartTarget("cut0") }) // the first time while a call runs
			time.AfterFunc(time.Duration(500+100*n)*ms, func() { w.restartTarget(fmt.Sprint("look", n)) })
		}
		requirePlaced(t, w.serveAll(3, 5*ms, func(i int) Job { return newJob(i, 9*time.Second, 12*time.Second, stages, cuts, 2, 1) })...)
		if w.d.Counts().Remade == 0 || w.d.Counts().InputsLost > 0 {
			t.Errorf("counts: %+v", w.d.Counts())
		}
	})
}

// Guards against a later start that gets no calls, since the earlier one failed, and whose calls end when those of the earlier
// one do.
func TestNewStartOfAStageTargetHasACleanRecord(t *testing.T) {
	p := NewPlanner(func(string, []string) {})
	cut := limits(4, 100*ms, 10*ms, 64*mb)
	table, targets := engines(1)
	table.Services["cut"] = &route.Service{Name: "cut", Pieces: &cut}
	targets = append(targets, fleet.Target{ID: "cut0", Service: "cut", Address: "at cut0", Zone: "p0", Started: 100})
	p.SetTargets(table, fleet.NewView(1, targets))
	now := time.Unix(1e9, 0)
	submit := func(id string) {
		if _, refusal := p.submit(Job{ID: id, OnTimeUntil: now.Add(time.Second), Deadline: now.Add(time.Minute), Service: "lm", Stages: cutOnly(1024), Pieces: []int{2}}, func(Placement, *Refusal) {}, now); refusal != nil {
			t.Fatal(refusal)
		}
	}
	submit("a")
	earlier := p.plan(now)
	if len(earlier) != 1 {
		t.Fatal(len(earlier), "calls")
	}
	targets[1].Started = 200
	p.SetTargets(table, fleet.NewView(2, targets))
	submit("b")
	later := p.plan(now)
	s := p.services["cut"].targets["cut0"]
	if len(later) != 1 || later[0].target != s || s == earlier[0].target || s.calls != 1 {
		t.Fatalf("%d calls of the new start, which has %+v", len(later), s)
	}
	p.callFinished(earlier[0], nil, false, now)
	if s.failures != 0 || s.calls != 1 || !s.usable(now) && s.hasFreeSlot() || p.services["cut"].targets["cut0"] != s {
		t.Errorf("a call of the earlier start failed: %+v", s)
	}
	made := []relay.PieceResult{{Handle: "h/1"}, {Handle: "h/2"}}
	p.callFinished(later[0], made[:len(later[0].pieces)], false, now)
	if s.calls != 0 || s.usedBytes != int64(1024*len(later[0].pieces)) {
		t.Errorf("the call of the new start ended: %+v", s)
	}
}

// Guards against a later start that loses its own results: it gives them the handles that the earlier one gave, and these were
// waiting to be released.
func TestResultsOfAnEarlierStartAreNotReleasedAtTheLaterOne(t *testing.T) {
	p := NewPlanner(func(string, []string) {})
	cut := limits(4, 100*ms, 10*ms, 64*mb)
	table, targets := engines(1)
	table.Services["cut"] = &route.Service{Name: "cut", Pieces: &cut}
	targets = append(targets, fleet.Target{ID: "cut0", Service: "cut", Address: "at cut0", Started: 100})
	p.SetTargets(table, fleet.NewView(1, targets))
	at := releaseDest{p, "at cut0"}
	p.startRelease(p.services["cut"].targets["cut0"], "h/1", 1)
	batch := releaseBatch{at: {"h/1"}}
	if got := batch.pending()[at]; len(got) != 1 {
		t.Errorf("before: %v", got)
	}
	targets[1].Started = 200
	p.SetTargets(table, fleet.NewView(2, targets))
	if got := (releaseBatch{at: {"h/1"}}).pending(); len(got) != 0 {
		t.Errorf("started again: %v", got)
	}
}

// Guards against results of an earlier start that the next dispatcher takes over from the owner of a job.
func TestResultsOfAnEarlierStartAreNotTakenOver(t *testing.T) {
	s := &stageTarget{info: fleet.Target{ID: "a", Started: time.Unix(1e9, 0).UnixMilli()}}
	unstated := &stageTarget{info: fleet.Target{ID: "a"}}
	before, after := time.Unix(1e9-1, 0), time.Unix(1e9+1, 0)
	if !s.startedAfter(before) || s.startedAfter(after) || unstated.startedAfter(before) {
		t.Error("a result counts as one of another start")
	}
}

// Guards against requests that are sent to an engine for prompt parts that it held before it started again, and against more
// jobs than a cold engine takes because what was sent a moment ago is forgotten.
func TestNewStartOfAnEngineHasACleanRecord(t *testing.T) {
	c := newChooser(t, 2, 0)
	table, targets := engines(2)
	table.Services["lm"].ColdRate = 5
	for i := range targets {
		targets[i].Started = 100
	}
	c.SetTargets(table, fleet.NewView(1, targets))
	_, id := c.place("session", 0, 4000)
	e := c.pools["lm"].engines[id]
	for j := range c.jobs {
		c.answerStarted(j, c.now)
	}
	e.recordFailure(c.now)
	if len(e.cachedParts) == 0 || e.running != 1 {
		t.Fatalf("%+v", e)
	}
	for i := range targets {
		targets[i].Started = 200
	}
	c.SetTargets(table, fleet.NewView(2, targets))
	next := c.pools["lm"].engines[id]
	if next == e || len(next.cachedParts) != 0 || next.running != 0 || next.failures != 0 || next.info.Started != 200 {
		t.Errorf("started again: %+v", next)
	}
	if n := next.sentWindow.Count(allOwners, c.now); n != 1 {
		t.Errorf("%d jobs count as sent within the last second", n)
	}
	for j := range c.jobs {
		c.cancel(j, c.now)
	}
	if e.running != 0 || next.running != 0 {
		t.Errorf("jobs have ended: %d run at the earlier start, %d at the later one", e.running, next.running)
	}
}
