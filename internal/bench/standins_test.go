package bench

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"lynxhill.example/lynxhill/examples/profiles"
	"lynxhill.example/lynxhill/internal/client"
	"lynxhill.example/lynxhill/internal/config"
	"lynxhill.example/lynxhill/internal/stagecall"
	"lynxhill.example/lynxhill/internal/standin/fleet"
	"lynxhill.example/lynxhill/internal/standin/netfault"
	"lynxhill.example/lynxhill/internal/store"
	"lynxhill.example/lynxhill/internal/storeclient"
	"lynxhill.example/lynxhill/internal/target"
	"lynxhill.example/lynxhill/internal/wire/lynxapi"
	"lynxhill.example/lynxhill/internal/wire/targetapi"
)

func standinProcess(t *testing.T) (*Standins, *Attached) {
	t.Helper()
	dir := t.TempDir()
	s, err := StartStandins(StandinsOptions{
		Deployment: fleet.MediaPlace, Instances: 2, Dir: dir, Control: "127.0.0.1:0", Seed: 1, TimeScale: 0.01, Relays: true,
	})
	if err != nil {
		t.Fatal(err)
	}
	served := make(chan error, 1)
	go func() { served <- s.control.Serve(s.listener) }()
	t.Cleanup(func() {
		s.Close()
		if err := <-served; !errors.Is(err, http.ErrServerClosed) {
			t.Error(err)
		}
	})
	a, err := Attach(dir, client.TicketsNever)
	if err != nil {
		t.Fatal(err)
	}
	return s, a
}

func TestStandinsWriteSettingsThatInstancesAccept(t *testing.T) {
	_, a := standinProcess(t)
	if len(a.Layout.Instances) != 2 || len(a.Layout.Targets) == 0 || a.Layout.OperatorToken == "" {
		t.Fatalf("layout: %+v", a.Layout)
	}
	for _, i := range a.Layout.Instances {
		cfg, err := config.Load(i.Config)
		if err != nil {
			t.Fatal(err)
		}
		if cfg.Instance.ID != i.ID || cfg.Listen.AdvertiseCaller != i.Caller || cfg.Listen.Admin != i.Admin || cfg.Listen.Caller == i.Caller {
			t.Fatalf("settings of %s: %+v", i.ID, cfg.Listen)
		}
		info, err := os.Stat(i.Config)
		if err != nil || info.Mode().Perm() != 0o600 {
			t.Fatalf("settings with tokens: %v, %v", info.Mode(), err)
		}
	}
}

// The bench would call a booking that ran twice right if the runs of another
// process did not reach its checks.
func TestEvidenceOfAnotherProcessShowsDoubledRuns(t *testing.T) {
	_, a := standinProcess(t)
	targets := targetsOf(a.Layout.Targets, "booking")
	calls := target.New(target.Options{})
	t.Cleanup(calls.Close)
	for n, id := range []string{"a1", "a2"} {
		req := targetapi.RunRequest{
			RequestID: "r1", AttemptID: id, Organisation: "agency-1", Key: "k1", Stage: "book", Kind: "service",
			Input: []byte(`"x"`), RemainingMS: 10_000,
		}
		if _, err := calls.Run(t.Context(), targets[n], req, stagecall.Options{}, nil); err != nil {
			t.Fatal(err)
		}
	}
	list, err := profiles.Load(fleet.MediaPlace)
	if err != nil {
		t.Fatal(err)
	}
	e, err := a.evidence(t.Context(), list)
	if err != nil || len(e.Runs) != 2 || len(e.Doubled) != 1 {
		t.Fatalf("evidence: %d runs, %d doubled, %v", len(e.Runs), len(e.Doubled), err)
	}
	if b := breaches(e, nil); b.Rerun != 1 {
		t.Fatalf("breaches: %+v", b)
	}
}

func TestFaultsOfAnotherProcess(t *testing.T) {
	s, a := standinProcess(t)
	cfg, err := config.Load(a.Layout.Instances[0].Config)
	if err != nil {
		t.Fatal(err)
	}
	store1 := storeclient.New(storeclient.Options{Endpoints: cfg.Platform.Endpoints})
	if _, err := store1.Put(t.Context(), "k", []byte("v"), 0); err != nil {
		t.Fatalf("through the relay: %v", err)
	}
	if err := a.Fault(t.Context(), Fault{Kind: "store_outage"}); err != nil {
		t.Fatal(err)
	}
	if _, err := store1.Get(t.Context(), "k"); !errors.Is(err, store.ErrUnavailable) {
		t.Fatalf("in the outage: %v", err)
	}
	for _, refused := range []Fault{
		{Kind: "instance_kill"}, {Kind: "no_such"}, {Kind: faultInstanceCut, Subject: "nobody"}, {Kind: "target_crash", Subject: "nobody"},
	} {
		if err := a.Fault(t.Context(), refused); err == nil || !strings.Contains(err.Error(), "control endpoint:") {
			t.Errorf("%+v was not refused: %v", refused, err)
		}
	}
	end, err := s.beginFault(Fault{Kind: faultInstanceCut, Subject: a.Layout.Instances[0].ID})
	if err != nil {
		t.Fatal(err)
	}
	end()
}

func TestControlEndpointIsLoopbackOnly(t *testing.T) {
	for _, addr := range []string{"0.0.0.0:0", "localhost:0", "192.0.2.1:80"} {
		if _, err := StartStandins(StandinsOptions{Deployment: fleet.MediaPlace, Dir: t.TempDir(), Control: addr}); err == nil {
			t.Errorf("%s was taken", addr)
		}
	}
}

// Symptom: kills of instances behind relays look milder than they are.
// Events: an instance dies with a request in flight; the relay must pass the
// reset on and not leave the caller's connection open.
func TestRelayPassesAnEndOn(t *testing.T) {
	network := netfault.New()
	t.Cleanup(network.Close)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	r, err := startRelay(network, "i", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.close)
	conn, err := net.Dial("tcp", r.listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	end, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(conn, "ask\n"); err != nil {
		t.Fatal(err)
	}
	if line, err := bufio.NewReader(end).ReadString('\n'); err != nil || line != "ask\n" {
		t.Fatalf("at the end: %q, %v", line, err)
	}
	_ = end.(*net.TCPConn).SetLinger(0)
	_ = end.Close()
	if n, err := conn.Read(make([]byte, 1)); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatalf("after the end: %d, %v", n, err)
	}
}

func TestDefectsInLogsAreViolations(t *testing.T) {
	dir := t.TempDir()
	log := strings.Join([]string{"level=info msg=daemon_started", "level=error event=4101 msg=invariant_violated rule=own_answer", "panic: index out of range"}, "\n")
	if err := os.WriteFile(filepath.Join(dir, "i.log"), []byte(log), privateFile); err != nil {
		t.Fatal(err)
	}
	found, err := violationsIn(filepath.Join(dir, "i.log"))
	if err != nil || len(found) != 2 {
		t.Fatalf("found %v, %v", found, err)
	}
}

func TestAcceptedVersions(t *testing.T) {
	var race raceLog
	race.add(raceResult{kind: lynxapi.ChangeAccepted, profile: "a", version: 3, changeID: "x"})
	race.add(raceResult{kind: lynxapi.ChangeWritten, profile: "a", version: 5, changeID: "y"})
	race.add(raceResult{kind: "conflict", profile: "a", version: 9, changeID: "z"})
	highest, wrong := race.accepted()
	if highest["a"] != 5 || len(wrong) != 0 {
		t.Fatalf("highest %v, wrong %v", highest, wrong)
	}
	race.add(raceResult{kind: lynxapi.ChangeAccepted, profile: "a", version: 5, changeID: "w"})
	if _, wrong := race.accepted(); len(wrong) != 1 {
		t.Fatalf("one version told to two changes: %v", wrong)
	}
}

func TestAddedTimeOverRounds(t *testing.T) {
	rows := []OverheadRow{
		{Call: overheadCall, Load: loadSequential, Direct: Quantile{Median: 2, P99: 4}, Through: Quantile{Median: 3.5, P99: 6}},
		{Call: overheadCall, Load: loadSequential, Direct: Quantile{Median: 2, P99: 4}, Through: Quantile{Median: 2.5, P99: 5}},
	}
	var out strings.Builder
	PrintOverhead(&out, rows)
	for _, want := range []string{"added 1.00 ms (0.50 to 1.50), ratio 1.50 (1.25 to 1.75)", "added 1.50 ms (1.00 to 2.00)", "within the limits"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("%q is missing in:\n%s", want, out.String())
		}
	}
	rows[1].Through.Median = 4
	out.Reset()
	PrintOverhead(&out, rows)
	if !strings.Contains(out.String(), "OVER") {
		t.Errorf("an added median of 1.75 ms passed:\n%s", out.String())
	}
}
