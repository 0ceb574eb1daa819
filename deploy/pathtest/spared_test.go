package pathtest

import (
	"testing"
	"time"

	"lynxhill.example/lynxhill/deploy/emulator"
)

// evacuated is the time within which a zone's servers are to get nothing more.
const evacuated = time.Second

// heardWithin is the time within which all instances have heard that a server
// is cold.
const heardWithin = 300 * time.Millisecond

// TestZoneEvacuated. Symptom: servers of a zone that is to be switched off get requests for as long as the order stands.
// Events: a zone is evacuated under load of every sort; an instance starts meanwhile; the zone is given back. Cause: the
// order is not read, or not by all, or not before an instance serves.
func TestZoneEvacuated(t *testing.T) {
	r := start(t, 3, nil)
	stop := r.load(10, emulator.ClientOptions{}, mixed()...)
	time.Sleep(500 * time.Millisecond)
	r.must(r.world.Evacuate("z2", evacuated))
	time.Sleep(evacuated + 300*time.Millisecond)
	late := r.add()
	r.until(5*time.Second, "an instance that starts meanwhile serves", late.ready)
	asked := r.load(4, emulator.ClientOptions{Addresses: []string{late.address}}, mixed()...)
	time.Sleep(500 * time.Millisecond)
	r.allServed("at the one that started", asked())
	before := r.world.Journal.Runs()
	r.world.TakeBack("z2")
	r.until(5*time.Second, "the zone is given work again", func() bool {
		for _, run := range r.world.Journal.Runs()[len(before):] {
			for _, s := range r.world.Servers("") {
				if s.Zone == "z2" && s.ID == run.Server {
					return true
				}
			}
		}
		return false
	})
	all := stop()
	r.check()
	r.allServed("all the while", all)
}

// TestColdServersAreSpared. Symptom: servers that have just started crash again. Events: all model servers of a zone come
// back cold while three instances have work for them. Cause: each instance counts by itself what such a server bears.
func TestColdServersAreSpared(t *testing.T) {
	r := start(t, 3, nil)
	time.Sleep(4 * time.Second) // until the instances know that they know all others
	stop := r.load(12, emulator.ClientOptions{}, talk("/talk/x"), talk("/resume/x"), staged())
	time.Sleep(500 * time.Millisecond)
	most := 0
	for _, s := range r.world.Servers("talk") {
		if s.Zone == "z2" {
			r.must(r.world.Cool(s.ID, coldTime, heardWithin, coldRate))
		}
	}
	time.Sleep(coldTime + time.Second)
	for _, s := range r.world.Servers("talk") {
		most = max(most, s.MostWhileCold())
	}
	all := stop()
	r.check()
	r.allServed("all the while", all)
	if most == 0 {
		t.Error("no cold server got a request")
	}
}
