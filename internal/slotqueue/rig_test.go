package slotqueue

import (
	"math/rand/v2"
	"testing"
	"time"

	"lynxhill.example/lynxhill/internal/fleet"
	"lynxhill.example/lynxhill/internal/relay"
)

// rig drives a queue with times of its own.
type rig struct {
	t   *testing.T
	q   *queue
	now time.Time
	id  uint64
}

var (
	ownerA = owner{"a", 1}
	ownerB = owner{"b", 2}
)

func newRig(t *testing.T, b Bounds, targets ...fleet.Target) *rig {
	r := &rig{t: t, q: newQueue(fakeService, 0, b, rand.New(rand.NewPCG(1, 2)), newCounters(nil)), now: time.Unix(1000, 0)}
	r.q.setTargets(targets, r.now)
	return r
}

func listed(id string, slots int) fleet.Target {
	return fleet.Target{ID: id, Service: fakeService, Slots: slots}
}

// submit asks for a slot and returns the answer.
func (r *rig) submit(o owner, change func(*Request)) Answer {
	r.t.Helper()
	r.id++
	req := Request{ID: r.id, Service: fakeService, Route: "d", Organisation: "o", OnTimeUntil: r.now.Add(fakeOnTime), Deadline: r.now.Add(fakeDeadline)}
	if change != nil {
		change(&req)
	}
	r.q.submit(o, req, r.now)
	answers := r.answers()
	if len(answers) != 1 {
		r.t.Fatalf("request %d: answers %+v, want one", r.id, answers)
	}
	return answers[0]
}

func (r *rig) answers() (answers []Answer) {
	for _, d := range r.q.take() {
		answers = append(answers, d.answer)
	}
	return answers
}

// release ends the use of a slot after the usual work, and returns what that decides.
func (r *rig) release(o owner, id uint64, outcome Outcome, l *relay.Load) []Answer {
	r.q.release(o.instance, Release{ID: id, Outcome: outcome, Took: fakeWork, Load: l}, r.now)
	return r.answers()
}

func (r *rig) wait(d time.Duration) []Answer {
	r.now = r.now.Add(d)
	r.q.tick(r.now)
	return r.answers()
}

// granted fails unless the answer grants the target.
func (r *rig) granted(a Answer, target string) {
	r.t.Helper()
	if a.Target != target || a.Refusal != nil {
		r.t.Fatalf("answer %+v, want a slot of %s", a, target)
	}
}

// waits fails unless the answer lets the request wait.
func (r *rig) waits(a Answer) {
	r.t.Helper()
	if a.Target != "" || a.Refusal != nil {
		r.t.Fatalf("answer %+v, want the request to wait", a)
	}
}

func pace(p float64) *relay.Load { return &relay.Load{Slots: 1, Pace: p} }
