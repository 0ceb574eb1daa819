package fleet

import (
	"errors"
	"testing"
	"time"

	"lynxhill.example/lynxhill/internal/stagecall"
	"lynxhill.example/lynxhill/internal/standin/engine"
	standin "lynxhill.example/lynxhill/internal/standin/platform"
	"lynxhill.example/lynxhill/internal/store"
	"lynxhill.example/lynxhill/internal/storeclient"
	"lynxhill.example/lynxhill/internal/target"
	"lynxhill.example/lynxhill/internal/wire/platformapi"
	"lynxhill.example/lynxhill/internal/wire/targetapi"
)

// The stand-ins and lynxhill's own clients must agree on the protocols: a
// difference would show in all experiments as a fault of lynxhill.
func TestOwnPlatformClientAgreesWithTheStandin(t *testing.T) {
	d := start(t, Options{Name: MediaPlace, Scale: 0.2})
	client := storeclient.New(storeclient.Options{Endpoints: []string{d.Platform.Addr()}})
	ctx := t.Context()
	first, err := client.Put(ctx, "claims/7/w 1", []byte(`{"a":1}`), 0)
	if err != nil {
		t.Fatal(err)
	}
	if current, err := client.Put(ctx, "claims/7/w 1", nil, 0); !errors.Is(err, store.ErrConflict) || current.Version != first.Version {
		t.Fatalf("conflict: %+v, %v", current, err)
	}
	if got, err := client.Get(ctx, "claims/7/w 1"); err != nil || string(got.Value) != `{"a":1}` {
		t.Fatalf("get: %+v, %v", got, err)
	}
	if _, err := client.Get(ctx, "claims/8"); !errors.Is(err, store.ErrNotFound) {
		t.Fatalf("get: %v", err)
	}
	if _, err := client.Put(ctx, "large", make([]byte, standin.DefaultMaxValue+1), 0); !errors.Is(err, store.ErrTooLarge) {
		t.Fatalf("too large: %v", err)
	}
	if all, version, err := client.List(ctx, "claims/"); err != nil || len(all) != 1 || version != first.Version {
		t.Fatalf("list: %v at %d, %v", all, version, err)
	}
	changes, version, compacted, err := client.Watch(ctx, "claims/", 0)
	if err != nil || compacted || len(changes) != 1 || version != first.Version {
		t.Fatalf("watch: %v at %d, %v, %v", changes, version, compacted, err)
	}
	d.Platform.LoseNext(1)
	if err := client.Delete(ctx, "claims/7/w 1", first.Version); !errors.Is(err, store.ErrUnknown) {
		t.Fatalf("lost reply: %v", err)
	}
	if _, err := client.Get(ctx, "claims/7/w 1"); !errors.Is(err, store.ErrNotFound) {
		t.Fatalf("the removal had no effect: %v", err)
	}
	if err := client.Register(ctx, platformapi.Instance{ID: "lynxhill-1", Kind: "lynxhill"}); err != nil {
		t.Fatal(err)
	}
	if list, err := client.Instances(ctx); err != nil || len(list) != len(d.Members())+1 {
		t.Fatalf("instances: %d, %v", len(list), err)
	}
	d.Platform.Outage(standin.OutageRefuse)
	if _, err := client.Put(ctx, "k", nil, 0); !errors.Is(err, store.ErrUnavailable) {
		t.Fatalf("outage: %v", err)
	}
}

func TestOwnTargetClientAgreesWithTheStandins(t *testing.T) {
	d := start(t, Options{Name: Kilimanjaro, Scale: 0.2, TimeScale: 0.1, LoadLag: -1, EventLag: -1, EventLoss: -1})
	client := target.New(target.Options{})
	t.Cleanup(client.Close)
	member := d.Service(ServicePool)[0]
	to := stagecall.Target{ID: member.Instance.ID, Address: member.Target.Addr()}
	req := targetapi.RunRequest{
		RequestID: "r1", AttemptID: "a1", Organisation: "dealer-1", Stage: "draft", Kind: "generate",
		Model: "lynx-large", Version: "1", Input: []byte(`"headset"`), Prefix: "shared", Stream: true,
	}
	var text string
	collect := func(f targetapi.Frame) error {
		text += f.Text
		return nil
	}
	result, err := client.Run(t.Context(), to, req, stagecall.Options{}, collect)
	if err != nil || result.Length != len(text) || engine.CheckAnswer(text, "dealer-1", req.Input) != nil {
		t.Fatalf("run: %+v, %v, %q", result, err, text)
	}
	whole := text
	req.AttemptID, req.ResumeOffset, text = "a2", 30, whole[:30]
	if _, err := client.Run(t.Context(), to, req, stagecall.Options{}, collect); err != nil || text != whole {
		t.Fatalf("resumed: %v, %q", err, text)
	}
	if events, err := client.CacheEvents(t.Context(), to, 0); err != nil || len(events) != 1 || events[0].Prefix != engine.PrefixHash("shared") {
		t.Fatalf("cache events: %v, %v", events, err)
	}
	order := targetapi.Order{Fence: 5, Kind: targetapi.OrderRole, Role: engine.RoleDecode}
	if err := client.Order(t.Context(), to, order); err != nil {
		t.Fatal(err)
	}
	order.Fence = 4
	if err := client.Order(t.Context(), to, order); stagecall.FailureOf(err).Code != targetapi.CodeOldFence {
		t.Fatalf("old order: %v", err)
	}
	if state, err := client.State(t.Context(), to); err != nil || state.Role != engine.RoleDecode || state.HighFence != 5 {
		t.Fatalf("state: %+v, %v", state, err)
	}
	member.Target.MixUp(1)
	req.AttemptID, req.ResumeOffset = "a3", 0
	if _, err := client.Run(t.Context(), to, req, stagecall.Options{}, collect); err == nil {
		t.Fatal("a spoilt answer passed")
	}
	member.Target.MixUp(0)
	d.Leave(member.Instance.ID)
	req.AttemptID = "a4"
	_, err = client.Run(t.Context(), to, req, stagecall.Options{NewConnection: true, FirstByte: time.Minute}, collect)
	if f := stagecall.FailureOf(err); f.Class != stagecall.ClassRefused || !f.NotRun || f.Code != targetapi.CodeLeaving {
		t.Fatalf("leaving: %v", err)
	}
	if !client.Alive(t.Context(), to) {
		t.Fatal("counted as dead while leaving")
	}
	member.Target.Crash()
	if client.Alive(t.Context(), to) {
		t.Fatal("counted as alive after the crash")
	}
}
