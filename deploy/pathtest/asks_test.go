package pathtest

import (
	"testing"
	"time"

	"lynxhill.example/lynxhill/deploy/emulator"
)

// limitHeard is the time within which a target's limit is in force at all instances.
const limitHeard = touchTime

// TestLimitIsKept. Symptom: a target that says in its answers how many requests a second it takes gets several times as
// many, for as long as it says so. Events: one target of each sort of service names a limit while three instances have
// work for all of them. Cause: nothing read the limit: what a target asked in an answer was passed on to the caller and
// kept by nobody. Proof: instances that had logged the limit went on far above it, at all three sorts; with shares of it at the last
// step before a request is sent they keep to it.
func TestLimitIsKept(t *testing.T) {
	const limit = 2
	r := start(t, 3, nil)
	time.Sleep(4 * time.Second) // until the instances know that they know all others
	stop := r.load(12, emulator.ClientOptions{}, mixed()...)
	time.Sleep(500 * time.Millisecond)
	for _, service := range []string{"talk", "cut", "plain"} {
		r.world.Servers(service)[0].AskLimit(limit, limitHeard)
	}
	time.Sleep(limitHeard + 6*time.Second)
	for _, service := range []string{"talk", "cut", "plain"} {
		if most := r.world.Servers(service)[0].EndLimit(); most == 0 {
			t.Errorf("the target of %s that named a limit got nothing at all", service)
		} else {
			t.Logf("%s: %d requests in four seconds at most, at a limit of %d a second", service, most, limit)
		}
	}
	all := stop()
	r.check()
	r.allServed("all the while", all)
}

// TestLeavingIsHeardFromAnswers. Symptom: requests reach a target seconds after an answer had told the instance that it
// leaves. Events: the store is away; one target of each sort of service begins to leave and says so in its answers, while
// its entry still says that it is ready. Cause: that a target leaves was taken from its entry alone. Proof: the lines
// of each instance say that it has heard, and its requests went on until the word marked the target in the view from which
// all choices are made.
func TestLeavingIsHeardFromAnswers(t *testing.T) {
	r := start(t, 3, nil)
	stop := r.load(12, emulator.ClientOptions{}, mixed()...)
	time.Sleep(500 * time.Millisecond)
	r.world.Store.SetFault("", emulator.StoreFault{Down: emulator.Down503})
	for _, service := range []string{"talk", "cut", "plain"} {
		r.world.Servers(service)[0].AskLeaving(drainTime)
	}
	time.Sleep(drainTime + 3*time.Second)
	r.world.Store.SetFault("", emulator.StoreFault{})
	time.Sleep(2 * time.Second) // the entries still say that they are ready
	all := stop()
	r.check()
	r.allServed("all the while", all)
}

// TestPauseIsHeeded. Symptom: a target that turns requests away, and says for how long it wants none, gets as many from
// the same instance all the while. Events: one target of each sort of service turns everything away for a time. Cause: the
// time was passed on to callers and read by nobody. Proof: refusals went on at the rate of the load until targets that want
// nothing were left out of each choice.
func TestPauseIsHeeded(t *testing.T) {
	const pause = 3 * time.Second
	r := start(t, 3, nil)
	stop := r.load(12, emulator.ClientOptions{}, mixed()...)
	time.Sleep(500 * time.Millisecond)
	for _, service := range []string{"talk", "cut", "plain"} {
		s := r.world.Servers(service)[0]
		s.TurnAway(pause)
		defer s.TurnAway(0)
	}
	time.Sleep(2*pause + time.Second)
	all := stop()
	r.check()
	r.allServed("all the while", all)
}

// TestReplacedTargetIsLeftOut. Symptom: requests go on to an address where another target answers that it is not the one
// that was meant. Events: the store is away for all instances; a target of each sort of service ends and one of another
// service starts at its address. Cause: who answered was decoded and read by nobody, so that only the list could tell that
// the target is gone.
func TestReplacedTargetIsLeftOut(t *testing.T) {
	const heard = 500 * time.Millisecond
	r := start(t, 3, nil)
	stop := r.load(12, emulator.ClientOptions{Retries: 3}, mixed()...)
	time.Sleep(500 * time.Millisecond)
	r.world.Store.SetFault("", emulator.StoreFault{Down: emulator.Down503})
	var started []*emulator.Server
	for _, service := range []string{"talk", "cut", "plain"} {
		s, err := r.world.Replace(r.world.Servers(service)[0].ID, "tight")
		r.must(err)
		started = append(started, s)
	}
	time.Sleep(4 * time.Second)
	for _, s := range started {
		for machine, times := range s.Misdirected(heard) {
			if times > 2 {
				t.Errorf("%s got %d requests for another from %s later than %v after it first said so", s.Address, times, machine, heard)
			}
		}
	}
	stop()
	r.check()
}
