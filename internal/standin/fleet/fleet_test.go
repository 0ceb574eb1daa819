package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"lynxhill.example/lynxhill/internal/standin/engine"
	"lynxhill.example/lynxhill/internal/standin/netfault"
	"lynxhill.example/lynxhill/internal/standin/service"
	"lynxhill.example/lynxhill/internal/wire/platformapi"
	"lynxhill.example/lynxhill/internal/wire/targetapi"
)

func start(t *testing.T, opts Options) *Deployment {
	t.Helper()
	d, err := New(opts)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	return d
}

func run(t *testing.T, address string, req targetapi.RunRequest) targetapi.RunReply {
	t.Helper()
	body, _ := json.Marshal(req)
	resp, err := http.Post("http://"+address+targetapi.PathRun, "application/json", bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var reply targetapi.RunReply
	if err := json.NewDecoder(resp.Body).Decode(&reply); err != nil || resp.StatusCode != http.StatusOK {
		t.Fatalf("status %d, %v", resp.StatusCode, err)
	}
	return reply
}

func TestDeploymentsHaveTheSizesOfTheBrief(t *testing.T) {
	counts := map[string]map[string]int{
		MediaPlace:  {"lynx-pool": 12, "traffic-api": 4, "booking": 5, "billing": 5, "reporting": 5},
		Kilimanjaro: {"lynx-pool": 12, "device-api": 4, "ledger-bridge": 5, "dealer-portal": 5, "fitting-desk": 5},
	}
	for name, services := range counts {
		d := start(t, Options{Name: name})
		resp, err := http.Get("http://" + d.Platform.Addr() + platformapi.PathInstances)
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		var list platformapi.InstanceList
		if err := json.NewDecoder(resp.Body).Decode(&list); err != nil {
			t.Fatal(err)
		}
		listed := make(map[string]int)
		providers := make(map[string]int)
		for _, instance := range list.Instances {
			listed[instance.Service]++
			providers[instance.Provider]++
			if member := d.Member(instance.ID); member == nil || member.Target.Addr() != instance.Address {
				t.Fatalf("%s: %s is listed under another address", name, instance.ID)
			}
		}
		for service, count := range services {
			if listed[service] != count {
				t.Errorf("%s: %d of %s, want %d", name, listed[service], service, count)
			}
		}
		if providers[ProviderOld] != 6 || providers[ProviderNew] != 6 || len(d.Zones) != 4 {
			t.Errorf("%s: providers %v, zones %v", name, providers, d.Zones)
		}
	}
}

// A whole pipeline by hand: the outputs must verify at every stage, and a
// run of the same key twice must show as doubled.
func TestPipelineThroughTheStandins(t *testing.T) {
	d := start(t, Options{Name: MediaPlace, Scale: 0.2, TimeScale: 0.1})
	input := json.RawMessage(`{"creative": "spring banner"}`)
	req := targetapi.RunRequest{RequestID: "r1", Organisation: "agency-1", Key: "k1", Input: input}
	stages := []struct{ pool, kind string }{
		{ServiceEncoders, service.KindEncode},
		{ServiceRetrievers, service.KindRetrieve},
		{ServiceRerankers, service.KindRerank},
		{"booking", service.KindService},
	}
	for _, stage := range stages {
		req.Stage, req.Kind, req.AttemptID = stage.pool, stage.kind, "a-"+stage.pool
		req.Previous = run(t, d.Service(stage.pool)[0].Target.Addr(), req).Output
		if err := service.CheckOutput(req.Previous, "agency-1", input); err != nil {
			t.Fatalf("%s: %v", stage.pool, err)
		}
	}
	if len(d.DoubledRuns("booking")) != 0 {
		t.Fatal("one booking counted as doubled")
	}
	req.AttemptID = "again"
	run(t, d.Service("booking")[1].Target.Addr(), req)
	if len(d.DoubledRuns("booking")) != 1 {
		t.Fatal("second booking of the same key not seen")
	}
	if runs := d.RunsOf("agency-1", "k1"); len(runs) != 5 {
		t.Fatalf("runs of the key: %+v", runs)
	}
	req.Stage, req.Kind, req.AttemptID, req.Model = "draft", "generate", "a-draft", "lynx-large"
	var text string
	if err := json.Unmarshal(run(t, d.Service(ServicePool)[0].Target.Addr(), req).Output, &text); err != nil {
		t.Fatal(err)
	}
	if err := engine.CheckAnswer(text, "agency-1", input); err != nil {
		t.Fatal(err)
	}
	if d.CrossedPrevious() != 0 {
		t.Fatal("own outputs counted as crossed")
	}
	req.Organisation, req.AttemptID = "agency-2", "crossed"
	run(t, d.Service(ServicePool)[0].Target.Addr(), req)
	if d.CrossedPrevious() != 1 {
		t.Fatal("another organisation's output as previous was not noticed")
	}
}

// A daemon is cut from one zone and frozen for a moment: its calls to that
// zone wait, those to others don't, and all get through in the end.
func TestDeploymentOverAFaultyNetwork(t *testing.T) {
	network := netfault.New()
	t.Cleanup(network.Close)
	d := start(t, Options{Name: Kilimanjaro, Scale: 0.2, TimeScale: 0.1, Network: network, Latency: true})
	network.SetZone("daemon-1", d.Zones[0])
	transport := &http.Transport{DialContext: network.Dialer("daemon-1")}
	t.Cleanup(transport.CloseIdleConnections)
	client := &http.Client{Transport: transport}
	state := func(ctx context.Context, member *Member) error {
		req, err := http.NewRequestWithContext(ctx, "GET", "http://"+member.Target.Addr()+targetapi.PathState, nil)
		if err != nil {
			return err
		}
		resp, err := client.Do(req)
		if err != nil {
			return err
		}
		return resp.Body.Close()
	}
	near, far := d.Zone(d.Zones[0])[0], d.Zone(d.Zones[1])[0]
	network.Cut(netfault.Partition{A: []string{"daemon-1"}, B: []string{d.Owner(far.Instance.ID)}})
	short, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	if err := state(short, far); err == nil {
		t.Fatal("a call crossed the cut")
	}
	if err := state(t.Context(), near); err != nil {
		t.Fatal(err)
	}
	network.Freeze("daemon-1")
	network.HealAll()
	done := make(chan error)
	go func() { done <- state(t.Context(), far) }()
	select {
	case err := <-done:
		t.Fatalf("a frozen daemon was answered: %v", err)
	case <-time.After(20 * time.Millisecond):
	}
	network.Thaw("daemon-1")
	if err := <-done; err != nil {
		t.Fatal(err)
	}
	far.Target.Crash()
	if err := state(t.Context(), far); err == nil {
		t.Fatal("a crashed target answered")
	}
	if err := far.Target.Restart(); err != nil {
		t.Fatal(err)
	}
	if err := state(t.Context(), far); err != nil {
		t.Fatal(err)
	}
}
