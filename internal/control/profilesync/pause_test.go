package profilesync_test

import (
	"context"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"lynxhill.example/lynxhill/internal/admission"
	"lynxhill.example/lynxhill/internal/board"
	"lynxhill.example/lynxhill/internal/control/profilesync"
	"lynxhill.example/lynxhill/internal/errkind"
	"lynxhill.example/lynxhill/internal/profile"
	"lynxhill.example/lynxhill/internal/routing"
)

// Guards against admitting or dispatching requests under a replaced profile for up
// to 250 ms after a pause, with requests waiting in the sockets and in the queue.
// Admission must not rely on the board's row, which the check writes every
// 250 ms, and the gate must check as well.
func TestNothingIsAdmittedOrDispatchedOnWaking(t *testing.T) {
	settled(t, 8, func(f *fleet) {
		first := f.set(0, "check", 1, 0, "c1", time.Minute)
		n := f.nodes[4]
		n.board.Targets.Put("t1", board.Target{ID: "t1", Service: "pool", Kind: profile.KindGenerate})
		admitter := admission.NewAdmitter(admission.AdmitterOptions{Board: n.board, Clock: f.clock, MayServe: n.sync.MayServe})
		gate := admission.NewGate(admission.GateOptions{
			Board: n.board, Clock: f.clock, Rand: rand.New(rand.NewPCG(1, 1)), MayDispatch: n.sync.MayDispatch,
			Limits: admission.GateLimits{StartLimit: 1, MaxLimit: 1},
		})
		want := admission.SlotRequest{Query: routing.Query{Organisation: "a", Stage: profile.Stage{
			Name: "draft", Kind: profile.KindGenerate, Idempotent: true,
			Providers: []profile.Provider{{Name: "p", Service: "pool", Weight: 1}},
		}}}
		running, err := gate.Acquire(context.Background(), want)
		if err != nil {
			t.Fatal(err)
		}
		admitted := make(chan error, 1)
		go func() {
			slot, err := gate.Acquire(context.Background(), want)
			if err == nil {
				slot.Done(admission.Result{Cancelled: true})
			}
			admitted <- err
		}()
		synctest.Wait()
		f.net.Pause(n.addr)
		reply := f.set(0, "check", 2, first.Version, "c2", time.Minute)
		time.Sleep(time.Hour)
		f.net.Resume(n.addr)
		if _, err := admitter.Admit(context.Background(), admission.AdmitRequest{Organisation: "a"}); !errkind.Is(err, errkind.Isolated) {
			t.Errorf("admitted on resuming: %v", err)
		}
		running.Done(admission.Result{OK: true, Duration: time.Second})
		if err := <-admitted; !errkind.Is(err, errkind.Isolated) {
			t.Errorf("dispatched on resuming: %v", err)
		}
		f.until(5*time.Second, "admits and dispatches again", func() bool {
			leave, err := admitter.Admit(context.Background(), admission.AdmitRequest{Organisation: "a"})
			if err != nil {
				return false
			}
			leave()
			if n.version("check") < reply.Version {
				t.Fatal("admitted under the old version")
			}
			slot, err := gate.Acquire(context.Background(), want)
			if err == nil {
				slot.Done(admission.Result{Cancelled: true})
			}
			return err == nil
		})
	})
}

// Isolation stops new requests; requests in flight are finished.
func TestIsolatedInstanceDispatchesWhatItAdmitted(t *testing.T) {
	settled(t, 8, func(f *fleet) {
		f.cutOff([]int{4})
		n := f.nodes[4]
		f.until(30*time.Second, "isolated", func() bool { return !n.serves() })
		if !n.sync.MayDispatch() {
			t.Error("requests in flight are refused")
		}
	})
}

func BenchmarkMayServe(b *testing.B) {
	benchFleet(b, 64, func(f *fleet) {
		for b.Loop() {
			if !f.nodes[0].sync.MayServe() {
				b.Fatal("does not serve")
			}
		}
	})
}

func benchFleet(b *testing.B, n int, run func(f *fleet)) {
	f := newFleet(b, n, profilesync.Options{})
	defer f.stop()
	f.settle()
	run(f)
}
