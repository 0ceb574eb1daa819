package pathtest

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"lynxhill.example/lynxhill/deploy/emulator"
)

// TestCalm: without faults of instances and servers each request is served at the first attempt. Symptom of a failure
// when the store loses answers: instances don't find one another, or are named to clients after they left. Events:
// writes are done, at once or later, but not answered. Cause: a write without an answer is taken for done or not done.
func TestCalm(t *testing.T) {
	for name, fault := range map[string]emulator.StoreFault{"well": {}, "store loses answers": {LoseShare: 0.6, LoseLate: 300 * time.Millisecond}} {
		t.Run(name, func(t *testing.T) {
			r := start(t, 0, nil)
			r.world.Store.SetFault("", fault)
			for range 3 {
				r.add()
			}
			r.everywhere(time.Now(), 8*time.Second, "ready and all known", func(i *instance) bool { return i.ready() && i.known() == 3 })
			stop := r.load(12, emulator.ClientOptions{}, mixed()...)
			time.Sleep(time.Second)
			at := r.write(addRoute("/new/"))
			r.everywhere(at, applyTime, "/new/", func(i *instance) bool { return i.status(t, "/new/x", "k") == 200 })
			time.Sleep(time.Second)
			r.allServed("calm", stop())
			r.check()
		})
	}
}

// TestGracefulStop. Symptom: answers break off at each roll-out. Events: an instance is told to stop while requests run
// there and clients still hold its address. Cause: it closes its listener or its connections before they have what they
// asked for, or it is named to clients for too long.
func TestGracefulStop(t *testing.T) {
	r := start(t, 3, nil)
	leaving, long := r.instances[1], make(chan emulator.Attempt, 8)
	stop := r.load(12, emulator.ClientOptions{Retries: 3}, append(mixed(), ask(emulator.Idempotent, "/slow/x"), ask(emulator.NonIdempotent, "/slowonce/x"))...)
	time.Sleep(700 * time.Millisecond)
	for n := range 8 { // they run beyond the order to stop
		go func() {
			long <- leaving.direct.Do(t.Context(), ask(emulator.NonIdempotent, fmt.Sprintf("/slowonce/%d", n)))
		}()
	}
	time.Sleep(300 * time.Millisecond)
	told := time.Now()
	leaving.stop()
	r.until(time.Second, "the leaving instance isn't ready and isn't named", func() bool {
		return !leaving.ready() && r.instances[0].known() == 2 && r.instances[2].known() == 2
	})
	for range 8 {
		r.allServed("in flight at the order to stop", []emulator.Attempt{<-long})
	}
	r.until(time.Until(told.Add(graceTime)), "the leaving instance has ended", func() bool { return len(leaving.ended) > 0 })
	time.Sleep(500 * time.Millisecond)
	all := stop()
	r.check()
	for _, a := range all { // a closed door, or a promise that it did not run
		if !served(a) && a.Status != 0 && a.Status != 503 {
			t.Errorf("around the stop: %s got %d", a.Ask.Path, a.Status)
		}
	}
	if err := <-leaving.ended; err != nil || shareServed(all) < 0.97 {
		t.Errorf("ended with %v, only %.3f of the attempts were served", err, shareServed(all))
	}
	leaving.ended <- nil // for the end of the test
}

// dispatcher is the instance that has called stage servers most.
func (r *rig) dispatcher() *instance {
	calls := func(i *instance) (n int) {
		i.mu.Lock()
		defer i.mu.Unlock()
		for _, s := range r.world.Servers("cut") {
			n += i.dialed[s.Address]
		}
		return n
	}
	return slices.MaxFunc(r.instances, func(a, b *instance) int { return calls(a) - calls(b) })
}

// TestDispatcherKilled. Symptom: requests with stages hang at all instances after one of them died. Events: the
// instance that hands out stage work is killed; jobs of the others wait there. Cause: nobody takes its role over, or
// the others don't notice that the jobs they gave it are lost.
func TestDispatcherKilled(t *testing.T) {
	r := start(t, 3, nil)
	warm := r.load(4, emulator.ClientOptions{}, staged())
	time.Sleep(500 * time.Millisecond)
	r.allServed("before the kill", warm())
	for _, s := range r.world.Servers("cut") {
		s.SetFaults(emulator.Faults{Slow: 4}) // many jobs wait when it dies
	}
	dead, own := r.dispatcher(), make(chan emulator.Attempt)
	alive := slices.DeleteFunc(slices.Clone(r.instances), func(i *instance) bool { return i == dead })
	go func() { own <- dead.direct.Do(t.Context(), ask(emulator.NonIdempotent, "/slowonce/x")) }() // in flight there
	stop := r.load(8, emulator.ClientOptions{Addresses: []string{alive[0].address, alive[1].address}},
		staged(), staged(), ask(emulator.NonIdempotent, "/once/x"), talk("/talk/x"))
	time.Sleep(300 * time.Millisecond)
	dead.kill()
	time.Sleep(4500 * time.Millisecond)
	all := stop()
	<-own
	r.check()
	r.allServed("at the living instances", all)
	r.until(0, "the dead instance isn't named to clients", func() bool { return alive[0].known() == 2 })
}

// TestTargetCrash. Symptom: requests fail for seconds after a server died though others are free. Events: a server of
// each service ends in mid-request, its entry stays, and a new one takes its address. Cause: what can be repeated
// isn't, or the dead server is chosen again and again.
func TestTargetCrash(t *testing.T) {
	r := start(t, 3, nil)
	stop := r.load(10, emulator.ClientOptions{}, mixed()...)
	time.Sleep(500 * time.Millisecond)
	dead := []*emulator.Server{r.world.Servers("plain")[0], r.world.Servers("talk")[0], r.world.Servers("cut")[0]}
	for _, s := range dead {
		r.world.Crash(s.ID)
	}
	crashed := time.Now()
	time.Sleep(1200 * time.Millisecond)
	for _, s := range dead {
		_, err := r.world.Add(s.Service, s.Zone, s.Address)
		r.must(err)
	}
	time.Sleep(800 * time.Millisecond)
	all := stop()
	r.check()
	for _, a := range all {
		repeatable := a.Ask.Kind == emulator.Idempotent || a.Ask.Resume
		if !served(a) && (repeatable || a.Sent.After(crashed.Add(100*time.Millisecond))) {
			t.Errorf("%s, sent %v after the crash: status %d, %v", a.Ask.Path, a.Sent.Sub(crashed), a.Status, a.Err)
		}
	}
}

// TestTargetDrains. Symptom: requests break off each time a server is replaced. Events: a server says that it leaves,
// or only its entry goes; it ends some seconds later. Cause: an instance sends it requests still, by an old list or a
// kept connection.
func TestTargetDrains(t *testing.T) {
	r := start(t, 3, nil)
	stop := r.load(10, emulator.ClientOptions{}, mixed()...)
	time.Sleep(400 * time.Millisecond)
	bound := make(map[string]time.Time) // after which nothing may begin, by id
	for _, s := range []*emulator.Server{r.world.Servers("plain")[0], r.world.Servers("talk")[0], r.world.Servers("cut")[0]} {
		r.must(r.world.Drain(s.ID))
		bound[s.ID] = time.Now().Add(drainTime)
	}
	removed := r.world.Servers("plain")[1].ID
	r.world.Remove(removed)
	bound[removed] = time.Now().Add(drainTime)
	time.Sleep(2700 * time.Millisecond)
	all := stop()
	begun := func(what, server string, at time.Time) {
		if end, ok := bound[server]; ok && at.After(end) {
			t.Errorf("%s: begun %v after the bound", what, at.Sub(end))
		}
	}
	for _, run := range r.world.Journal.Runs() {
		begun(run.Path, run.Server, run.Began)
	}
	for _, piece := range r.world.Journal.Pieces() {
		begun("a piece", piece.Server, piece.Began)
	}
	r.allServed("while servers leave", all)
	r.check()
}

// TestClientLeaves. Symptom: servers are busy with answers that nobody reads. Events: a client closes its connection,
// or its stream, before the end. Cause: the end isn't passed on to the server at work.
func TestClientLeaves(t *testing.T) {
	r := start(t, 2, nil)
	for _, s := range r.world.Servers("talk") {
		s.SetFaults(emulator.Faults{Slow: 30})
	}
	asks := []emulator.Ask{ask(emulator.Idempotent, "/slow/x"), ask(emulator.NonIdempotent, "/slowonce/x"), talk("/talk/x"), talk("/resume/x"), staged()}
	for i := range asks {
		asks[i].GiveUp = 350 * time.Millisecond
	}
	stop := r.load(10, emulator.ClientOptions{}, asks...)
	time.Sleep(1500 * time.Millisecond)
	left, seen := make(map[string]time.Time), 0
	for _, a := range stop() {
		if a.GaveUp {
			left[a.ID] = a.Ended
		}
	}
	r.check()
	for _, run := range r.world.Journal.Runs() {
		if at, ok := left[run.Attempt]; ok && run.Ended.Sub(at) > leaveTime {
			t.Errorf("%s: at work until %v after the client left", run.Path, run.Ended.Sub(at))
		} else if ok {
			seen++
		}
	}
	if seen < 20 {
		t.Errorf("only %d runs were left by their clients", seen)
	}
}

// TestStreamsResumed. Symptom: events are missing or come twice in a long answer. Events: a model server breaks off in
// the middle of an event, resets or ends. Cause: the part of an event that had come is passed on, or the next server
// goes on at the wrong event; where a stream may not be resumed, its broken end looks whole.
func TestStreamsResumed(t *testing.T) {
	r := start(t, 2, nil)
	servers := r.world.Servers("talk")
	servers[0].SetFaults(emulator.Faults{BreakOff: 0.5})
	servers[1].SetFaults(emulator.Faults{BreakOff: 0.3, Reset: true})
	resumable, plain := talk("/resume/x", "Token-Counts", "40,60"), talk("/talk/x", "Token-Counts", "40,60")
	stop := r.load(8, emulator.ClientOptions{}, resumable, resumable, plain)
	time.Sleep(time.Second)
	r.world.Crash(servers[2].ID)
	time.Sleep(time.Second)
	all := stop()
	r.check()
	resumed, cut, runs := 0, 0, make(map[string]int)
	for _, run := range r.world.Journal.Runs() {
		runs[run.Attempt]++
	}
	for _, a := range all {
		switch {
		case a.Ask.Resume && (!served(a) || len(a.Events) != 15):
			t.Errorf("resumable: status %d, %d events, %v, %d runs", a.Status, len(a.Events), a.Err, runs[a.ID])
		case a.Ask.Resume && runs[a.ID] > 1:
			resumed++
		case served(a) && len(a.Events) != 15:
			t.Errorf("a broken stream looks whole after %d events", len(a.Events))
		case !a.Complete && a.Status == 200:
			cut++
		}
	}
	if resumed == 0 || cut == 0 {
		t.Errorf("%d streams were resumed, %d were cut", resumed, cut)
	}
}

// TestFaultyServers. Symptom: a payment is made twice, or a client gets another's answer. Events: servers are full,
// lose answers, break off, reset or hang, answer twice or too early, without a length, or with bytes to spare. Cause: a
// refusal is given though a server may have run the request; a failed exchange is repeated, by the product or its
// library; or a connection is used again though the last answer may not have ended.
func TestFaultyServers(t *testing.T) {
	long, once, idem, stream := ask(emulator.NonIdempotent, "/once/long"), ask(emulator.NonIdempotent, "/once/x"), ask(emulator.Idempotent, "/idem/x"), talk("/talk/x")
	long.Body = []byte(strings.Repeat("a long body ", 30000))
	once.Deadline, idem.Deadline, stream.Deadline = time.Second, time.Second, time.Second
	cases := []struct {
		name    string
		faults  []emulator.Faults // of the servers in turn
		asks    []emulator.Ask
		share   float64 // is served at least
		status  int     // has to be seen
		repeats bool    // some request has to run twice
	}{
		{"full, and some lose answers", []emulator.Faults{{LoseAnswer: 0.3, BreakOff: 0.1, Reset: true}, {LoseAnswer: 0.3, BreakOff: 0.1}},
			[]emulator.Ask{ask(emulator.NonIdempotent, "/tight/x")}, 0.01, 503, false},
		{"lose answers, break off, hang", []emulator.Faults{{LoseAnswer: 0.5}, {LoseAnswer: 0.5, Reset: true}, {LoseAnswer: 0.2, BreakOff: 0.2, Grey: 0.2}},
			[]emulator.Ask{once, once, idem, stream}, 0.2, 502, true},
		{"answers without a clear end", []emulator.Faults{{LateSecond: 0.4, Extra: 0.3, LateAfter: 30 * time.Millisecond}, {NoLength: 0.4, BreakOff: 0.3, Reset: true}, {EarlyAnswer: 0.5, LateSecond: 0.2, NoLength: 0.1, BreakOff: 0.1}},
			append(mixed(), long), 0.7, 200, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := start(t, 3, nil)
			for n, s := range slices.Concat(r.world.Servers("plain"), r.world.Servers("talk"), r.world.Servers("tight")) {
				s.SetFaults(c.faults[n%len(c.faults)])
			}
			stop := r.load(14, emulator.ClientOptions{Retries: 2}, c.asks...)
			time.Sleep(2 * time.Second)
			all := stop()
			r.check()
			runs, repeats, statuses := make(map[string]int), false, make(map[int]int)
			for _, run := range r.world.Journal.Runs() {
				runs[run.Attempt]++
				repeats = repeats || runs[run.Attempt] > 1
			}
			for _, a := range all {
				statuses[a.Status]++
			}
			if share := shareServed(all); share < c.share || statuses[c.status] == 0 || c.repeats && !repeats || statuses[400]+statuses[401]+statuses[404] > 0 {
				t.Errorf("%.3f were served, repeats %v, answers by status: %v", share, repeats, statuses)
			}
		})
	}
}

// Guards against streams that broke off without a length or chunks reaching their callers as complete.
func TestUnframedStreamsBreakOff(t *testing.T) {
	r := start(t, 3, nil)
	for _, s := range r.world.Servers("talk") {
		s.SetFaults(emulator.Faults{BreakOffUnframed: 0.3, NoLength: 0.3})
	}
	stop := r.load(14, emulator.ClientOptions{}, talk("/talk/x"), talk("/resume/x"), staged())
	time.Sleep(2 * time.Second)
	all := stop()
	r.check()
	var whole, cut, resumed int
	runs := make(map[string]int)
	for _, run := range r.world.Journal.Runs() {
		runs[run.Attempt]++
	}
	for _, a := range all {
		switch {
		case served(a) && runs[a.ID] > 1:
			resumed++
		case served(a):
			whole++
		default:
			cut++
		}
	}
	if whole == 0 || cut == 0 || resumed == 0 {
		t.Errorf("%d streams were whole, %d cut, %d resumed", whole, cut, resumed)
	}
}
