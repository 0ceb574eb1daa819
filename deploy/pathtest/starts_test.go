package pathtest

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"lynxhill.example/lynxhill/deploy/emulator"
)

// startStated starts a deployment whose servers state their starts.
func startStated(t *testing.T, instances int) *rig {
	t.Helper()
	return startDeployment(t, instances, nil, emulator.Deployment{Pools: pools(), StateStarts: true})
}

// runsAt is how many runs at a server began after a time.
func (r *rig) runsAt(server string, after time.Time) (n int) {
	for _, run := range r.world.Journal.Runs() {
		if run.Server == server && run.Began.After(after) {
			n++
		}
	}
	return n
}

// Guards against servers that start again under their id and get no work, since they announced their end in the start before,
// or failed then.
func TestServersThatStartAgainUnderTheirIDsAreUsed(t *testing.T) {
	r := startStated(t, 2)
	stop := r.load(4, emulator.ClientOptions{Retries: 3}, ask(emulator.Idempotent, "/idem/x"))
	all := r.world.Servers("plain")
	for _, s := range all {
		s.AskLeaving(time.Minute)
	}
	r.until(5*time.Second, "no server takes work", func() bool {
		for _, i := range r.instances {
			if i.status(t, "/idem/x", "k") != 503 {
				return false
			}
		}
		return true
	})
	at := time.Now()
	for _, s := range all {
		r.must(r.world.Restart(s.ID, 50*time.Millisecond))
	}
	again := time.Now()
	for _, s := range all {
		r.until(applyTime, "a server that started again is used", func() bool { return r.runsAt(s.ID, again) > 0 })
	}
	r.everywhere(at, applyTime+time.Second, "served again", func(i *instance) bool { return i.status(t, "/idem/x", "k") == 200 })
	stop()
	r.check()
}

// Guards against staged requests that fail, or get the results of a start that has ended, while the servers of their stages and
// their engines start again under their ids, one after the other.
func TestStagedRequestsWhileServersStartAgainUnderTheirIDs(t *testing.T) {
	r := startStated(t, 2)
	stop := r.load(6, emulator.ClientOptions{Retries: 3}, staged(), staged(), talk("/talk/x"), ask(emulator.Idempotent, "/idem/x"))
	for _, service := range []string{"cut", "talk", "plain", "cut", "cut"} {
		for _, s := range r.world.Servers(service)[:1] {
			r.must(r.world.Restart(s.ID, 20*time.Millisecond))
		}
		time.Sleep(500 * time.Millisecond)
	}
	again, before := time.Now(), len(r.world.Journal.Pieces())
	for _, service := range []string{"cut", "talk"} {
		s := r.world.Servers(service)[0]
		used := func(run emulator.Run) bool { return run.Server == s.ID && run.Began.After(again) }
		piece := func(p emulator.Piece) bool { return p.Server == s.ID }
		r.until(5*time.Second, service+" is used again", func() bool {
			return slices.ContainsFunc(r.world.Journal.Runs(), used) || slices.ContainsFunc(r.world.Journal.Pieces()[before:], piece)
		})
	}
	if share := shareServed(stop()); share < 0.9 {
		t.Errorf("%.3f of the tries were served", share)
	}
	r.check()
}

// Guards against requests to a server whose entry a foreign writer has overwritten, and against one such entry that hides the
// changes of others: a route that is added, and a server. The server is used again once it has written its entry.
func TestForeignWriterOverwritesTheEntryOfALiveServer(t *testing.T) {
	r := startStated(t, 3)
	stop := r.load(6, emulator.ClientOptions{Retries: 3}, ask(emulator.Idempotent, "/idem/x"), talk("/talk/x"))
	s := r.world.Servers("plain")[0]
	used := func() bool { return r.runsAt(s.ID, time.Now().Add(-100*time.Millisecond)) > 0 }
	for how := range emulator.ForeignEntries {
		r.until(applyTime, "the server is used", used)
		r.must(r.world.OverwriteEntry(s.ID, how))
		written := time.Now()
		added, err := r.world.Add("plain", "z1", "")
		r.must(err)
		path := fmt.Sprintf("/new%d/", how)
		at := r.write(addRoute(path))
		r.everywhere(at, applyTime, path, func(i *instance) bool { return i.status(t, path+"x", "k") == 200 })
		r.until(applyTime, "the new server is used", func() bool { return r.runsAt(added.ID, written) > 0 })
		time.Sleep(time.Until(written.Add(drainTime)))
		time.Sleep(300 * time.Millisecond)
		if n := r.runsAt(s.ID, written.Add(drainTime)); n > 0 {
			t.Errorf("entry of kind %d: %d runs later than %v", how, n, drainTime)
		}
		r.must(r.world.Drain(added.ID))
		r.must(r.world.Register(s.ID))
	}
	r.until(applyTime, "the server is used after its last entry", used)
	r.must(r.world.OverwriteEntry(s.ID, emulator.LateCopy))
	time.Sleep(drainTime)
	r.until(applyTime, "the server is used beside a late copy of an earlier start", used)
	r.allServed("with a foreign writer", stop())
	r.check()
}
