package profilesync_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"

	"lynxhill.example/lynxhill/internal/control/profilesync"
	"lynxhill.example/lynxhill/internal/errkind"
	"lynxhill.example/lynxhill/internal/gossip"
	"lynxhill.example/lynxhill/internal/profile"
	"lynxhill.example/lynxhill/internal/store"
	"lynxhill.example/lynxhill/internal/store/memstore"
	"lynxhill.example/lynxhill/internal/wire/lynxapi"
)

// stalePeer answers every pull with objects of an old version.
type stalePeer struct{ objects []store.Object }

func (p stalePeer) Pull(context.Context, string, string, uint64) ([]store.Object, uint64, bool, error) {
	return p.objects, 100, false, nil
}

// Guards against a profile going back to an old version on one instance. The
// instance has adopted the new version when a peer's late answer to an earlier
// pull arrives; the answer must not win because it arrived later.
func TestLateAnswerOfAPeerBringsNoOldVersionBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, profilesync.Options{})
		defer f.stop()
		f.settle()
		first := f.set(0, "check", 1, 0, "c1", time.Second)
		value, _ := json.Marshal(profile.Stored{Profile: draft("check", 1), ChangeID: "c1"})
		f.set(0, "check", 2, first.Version, "c2", time.Second)
		n := f.nodes[0]
		before := n.version("check")
		o := profilesync.Options{
			Self: n.id, Board: n.board, Store: n.link, Clock: f.clock, Boot: f.boot(n),
			Puller: stalePeer{[]store.Object{{Key: "profiles/check", Version: first.Version, Value: value}}},
		}
		late := profilesync.New(o)
		ctx, cancel := context.WithCancel(context.Background())
		var wg sync.WaitGroup
		wg.Go(func() { late.Run(ctx) })
		late.Absorb(gossip.Digest{From: "peer", Profiles: []gossip.ProfileVersion{{Name: "profiles/", Version: 100}}})
		time.Sleep(time.Second)
		cancel()
		wg.Wait()
		if held, _ := n.board.Profiles.Get("check"); held.Version != before || held.ChangeID != "c2" {
			t.Errorf("version %d by %s, was %d", held.Version, held.ChangeID, before)
		}
		if held, _ := n.board.Objects.Get("profiles/check"); held.Version != before {
			t.Errorf("object at version %d, was %d", held.Version, before)
		}
	})
}

// Guards against a conflict of a change with itself. The reply to a write is lost
// and the operator repeats the change, although the write took effect.
func TestLostReplyIsSettledByReadingBack(t *testing.T) {
	settled(t, 3, func(f *fleet) {
		f.store.SetFaults(memstore.Faults{LoseReply: 1, Delay: 5 * time.Millisecond})
		first := f.set(0, "check", 1, 0, "c1", 0)
		again := f.set(1, "check", 1, 0, "c1", 0)
		if first.Version != again.Version || first.Version == 0 {
			f.t.Errorf("versions %d and %d of one change", first.Version, again.Version)
		}
		f.store.SetFaults(memstore.Faults{})
		f.set(2, "check", 2, first.Version, "c2", 0)
		if late := f.set(0, "check", 1, 0, "c1", 0); late.Version != first.Version {
			f.t.Errorf("sent again after another change: version %d, not %d", late.Version, first.Version)
		}
	})
}

// Guards against a definite answer where the outcome is unknown. The platform
// becomes unavailable while a write is in flight, so that only the platform knows
// the outcome; the reply refers the operator to a lookup by the change id.
func TestUnconfirmedChangeIsToldAsUnknown(t *testing.T) {
	settled(t, 3, func(f *fleet) {
		f.store.SetFaults(memstore.Faults{Delay: time.Second, LoseReply: 1})
		time.AfterFunc(1500*time.Millisecond, func() { f.store.SetFaults(memstore.Faults{Outage: true, LoseReply: 1}) })
		reply, err := f.nodes[0].sync.Set(context.Background(), profilesync.Change{Profile: draft("check", 1), ChangeID: "c1"})
		if !errkind.Is(err, errkind.ChangeUnknown) || reply.State != lynxapi.ChangeUnknown {
			f.t.Errorf("%+v %v", reply, err)
		}
		f.store.SetFaults(memstore.Faults{})
		later, err := f.nodes[1].sync.Lookup(context.Background(), "c1")
		if err != nil || later.Version == 0 {
			f.t.Errorf("looked up later: %+v %v", later, err)
		}
		if _, err := f.nodes[1].sync.Lookup(context.Background(), "c9"); !errkind.Is(err, errkind.NotFound) {
			f.t.Errorf("lookup of an unknown change: %v", err)
		}
	})
}

func TestConflictNamesTheWinner(t *testing.T) {
	settled(t, 3, func(f *fleet) {
		winner := f.set(0, "check", 1, 0, "c1", 0)
		reply, err := f.nodes[1].sync.Set(context.Background(), profilesync.Change{Profile: draft("check", 2), ChangeID: "c2"})
		if !errkind.Is(err, errkind.Conflict) || reply.State != lynxapi.ChangeRejected || reply.Version != winner.Version {
			f.t.Errorf("%+v %v", reply, err)
		}
	})
}

func TestDeleteAndRollback(t *testing.T) {
	settled(t, 3, func(f *fleet) {
		ctx := context.Background()
		one := f.set(0, "check", 1, 0, "c1", 0)
		two := f.set(0, "check", 2, one.Version, "c2", 0)
		back, err := f.nodes[1].sync.Rollback(ctx, profilesync.Change{Name: "check", IfVersion: two.Version, ChangeID: "c3"}, 1)
		if err != nil {
			f.t.Fatal(err)
		}
		view, ok := f.nodes[1].sync.View("check")
		if !ok || view.Profile.Stages[0].Providers[0].Weight != 1 || view.Version != back.Version || view.History != 2 {
			f.t.Errorf("after the rollback: %+v", view)
		}
		gone, err := f.nodes[2].sync.Delete(ctx, profilesync.Change{Name: "check", IfVersion: back.Version, ChangeID: "c4", Wait: 5 * time.Second})
		if err != nil || gone.State != lynxapi.ChangeAccepted {
			f.t.Fatalf("%+v %v", gone, err)
		}
		if held, _ := f.nodes[0].board.Profiles.Get("check"); !held.Deleted {
			f.t.Errorf("still there: %+v", held)
		}
		if anew := f.set(0, "check", 3, 0, "c5", 0); anew.Version <= gone.Version {
			f.t.Errorf("declared again at version %d after %d", anew.Version, gone.Version)
		}
	})
}

// casInput and casOutput are one operation on a profile as porcupine sees it:
// a conditional write or, with write == "", a read of the last change.
type casInput struct {
	write     string // change id
	ifVersion uint64
}

type casOutput struct {
	version uint64
	change  string // of a read
	lost    bool   // the condition did not hold
}

type casState struct {
	version uint64
	change  string
}

// casModel is a register with conditional writes. The store assigns the versions,
// so a write may get any higher one.
var casModel = porcupine.Model{
	Init: func() any { return casState{} },
	Step: func(state, input, output any) (bool, any) {
		s, in, out := state.(casState), input.(casInput), output.(casOutput)
		switch {
		case in.write == "":
			return out.version == s.version && out.change == s.change, s
		case out.lost:
			return in.ifVersion != s.version, s
		default:
			return in.ifVersion == s.version && out.version > s.version, casState{out.version, in.write}
		}
	},
}

// TestRacingOperatorsSeeALinearizableRegister has operators at different
// instances change one profile concurrently, with lost replies.
func TestRacingOperatorsSeeALinearizableRegister(t *testing.T) {
	for seed := range 20 {
		synctest.Test(t, func(t *testing.T) { race(t, uint64(seed)) })
	}
}

func race(t *testing.T, seed uint64) {
	f := newFleet(t, 4, profilesync.Options{})
	defer f.stop()
	f.settle()
	f.store.SetFaults(memstore.Faults{LoseReply: 0.3, Delay: time.Millisecond, Jitter: 20 * time.Millisecond})
	var mu sync.Mutex
	var history []porcupine.Operation
	var wg sync.WaitGroup
	for client := range 4 {
		rng := rand.New(rand.NewPCG(seed, uint64(client)))
		wg.Go(func() {
			for i := range 8 {
				op := porcupine.Operation{ClientId: client, Call: f.clock.Since(f.started).Nanoseconds()}
				seen := f.nodes[client].version("check")
				in := casInput{write: fmt.Sprintf("c%d-%d", client, i), ifVersion: seen}
				op.Input, op.Output = in, f.write(client, in, rng.Float64())
				op.Return = f.clock.Since(f.started).Nanoseconds()
				mu.Lock()
				history = append(history, op)
				mu.Unlock()
				time.Sleep(time.Duration(rng.IntN(30)) * time.Millisecond)
			}
		})
	}
	wg.Wait()
	f.store.SetFaults(memstore.Faults{})
	obj, err := f.store.Get(context.Background(), "profiles/check")
	if err != nil {
		t.Fatal(err)
	}
	var stored profile.Stored
	_ = json.Unmarshal(obj.Value, &stored)
	end := f.clock.Since(f.started).Nanoseconds()
	history = append(history, porcupine.Operation{ClientId: 4, Input: casInput{}, Output: casOutput{version: obj.Version, change: stored.ChangeID}, Call: end, Return: end + 1})
	if !porcupine.CheckOperations(casModel, history) {
		t.Errorf("seed %d: the history is not linearizable: %+v", seed, history)
	}
}

func (f *fleet) write(client int, in casInput, weight float64) casOutput {
	reply, err := f.nodes[client].sync.Set(context.Background(), profilesync.Change{
		Profile: draft("check", 1+weight), IfVersion: in.ifVersion, ChangeID: in.write, Operator: fmt.Sprint(client),
	})
	switch {
	case err == nil:
		return casOutput{version: reply.Version}
	case errkind.Is(err, errkind.Conflict):
		return casOutput{lost: true}
	default:
		f.t.Errorf("%v", err)
		return casOutput{lost: true}
	}
}
