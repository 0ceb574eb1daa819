package daemon

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"

	"lynxhill.example/lynxhill/examples/profiles"
	"lynxhill.example/lynxhill/internal/auth"
	"lynxhill.example/lynxhill/internal/client"
	"lynxhill.example/lynxhill/internal/config"
	"lynxhill.example/lynxhill/internal/event"
	"lynxhill.example/lynxhill/internal/standin/fleet"
	"lynxhill.example/lynxhill/internal/wire/lynxapi"
	"lynxhill.example/lynxhill/internal/wire/targetapi"
)

// deployment is a small deployment of stand-ins with instances on loopback.
type deployment struct {
	fleet    *fleet.Deployment
	tokens   auth.Tokens
	caller   string // token
	operator string // token
	// grace is timings.stop_grace of the instances.
	grace time.Duration
}

func newDeployment(t *testing.T) *deployment {
	t.Helper()
	stands, err := fleet.New(fleet.Options{Name: fleet.MediaPlace, Scale: 0.1, Seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stands.Close)
	d := &deployment{fleet: stands}
	var callerHash, operatorHash string
	d.caller, callerHash = auth.NewToken()
	d.operator, operatorHash = auth.NewToken()
	d.tokens.Caller = []auth.CallerToken{{Hash: callerHash, Organisation: testOrganisation}}
	d.tokens.Operator = []auth.OperatorToken{{Hash: operatorHash, Name: "test", Role: auth.RoleOperator}}
	return d
}

const (
	testOrganisation = "desk"
	// testDeadline is the deadline of all profiles. It is long enough that no test
	// waits for it.
	testDeadline = time.Minute
)

// running is an instance that runs until stop is called.
type running struct {
	*Daemon
	stop  context.CancelFunc
	ended chan error
}

func (d *deployment) start(t *testing.T, id string, zone int, output io.Writer) *running {
	t.Helper()
	cfg := config.Default()
	cfg.Instance = config.Instance{ID: id, Zone: d.fleet.Zones[zone], Region: d.fleet.Region}
	cfg.Listen = config.Listen{Caller: "127.0.0.1:0", Admin: "127.0.0.1:0", Peer: "127.0.0.1:0"}
	cfg.Platform.Endpoints = []string{"http://" + d.fleet.Platform.Addr()}
	cfg.Tokens.Caller, cfg.Tokens.Operator = d.tokens.Caller, d.tokens.Operator
	cfg.Timings.AddressTTL = config.DurationOf(50 * time.Millisecond)
	cfg.Timings.PeerHeartbeat = config.DurationOf(50 * time.Millisecond)
	cfg.Timings.StopGrace = config.DurationOf(d.grace)
	options := Options{Seed: 1 + uint64(zone)}
	if output != nil {
		options.Logger = event.NewLogger(log.NewLogfmtLogger(log.NewSyncWriter(output)))
	}
	instance, err := New(cfg, options)
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	r := &running{Daemon: instance, stop: stop, ended: make(chan error, 1)}
	go func() { r.ended <- instance.Run(ctx) }()
	t.Cleanup(func() {
		instance.Kill()
		stop()
	})
	return r
}

// await polls until the condition holds. The limit of a minute only ends a test that
// hangs.
func await(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for limit := time.Now().Add(time.Minute); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(limit) {
			t.Fatalf("never: %s", what)
		}
	}
}

// declare puts the example profiles in force at all the instances.
func (d *deployment) declare(t *testing.T, instances ...*running) {
	t.Helper()
	for _, r := range instances {
		await(t, "ready", func() bool { return r.Ready() == nil && len(r.board.LiveMembers(r.id())) == len(instances) })
	}
	examples, err := profiles.Load(profiles.Mediaplace)
	if err != nil {
		t.Fatal(err)
	}
	for _, p := range examples {
		p.Deadline = testDeadline
		change := lynxapi.ChangeRequest{Profile: p, ChangeID: client.NewKey(), WaitMS: 20_000}
		reply, err := (&operations{instances[0].Daemon}).SetProfile(t.Context(), "test", p.Name, change)
		if err != nil || reply.State != lynxapi.ChangeAccepted {
			t.Fatalf("profile %s: %+v, %v", p.Name, reply, err)
		}
	}
}

// callerOf returns a caller in the instance's zone that sends every request once, to
// that instance.
func (d *deployment) callerOf(r *running) *client.Caller {
	return client.NewCaller(client.CallerOptions{
		Servers: []string{r.CallerAddr()}, Token: d.caller, Zone: r.cfg.Instance.Zone, Region: d.fleet.Region, MaxAttempts: 1,
	})
}

// sendWithoutKey sends a request without an idempotency key, as a caller does that
// will not send it again; the instance generates the key. The response is discarded.
func (d *deployment) sendWithoutKey(ctx context.Context, to *running, profile string) {
	body, _ := json.Marshal(lynxapi.SendRequest{Organisation: testOrganisation, Input: testInput("two lines")})
	url := "http://" + to.CallerAddr() + strings.Replace(lynxapi.PathRequests, ":profile", profile, 1)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return
	}
	req.Header.Set("Authorization", "Bearer "+d.caller)
	if resp, err := http.DefaultClient.Do(req); err == nil {
		_ = resp.Body.Close()
	}
}

// runOf returns the first recorded run of a stage; the tests run each stage once.
func (d *deployment) runOf(stage string) (targetapi.RunRecord, bool) {
	for _, run := range d.fleet.Runs() {
		if run.Stage == stage {
			return run, true
		}
	}
	return targetapi.RunRecord{}, false
}

func testInput(text string) json.RawMessage {
	raw, _ := json.Marshal(text) // never fails for a string
	return raw
}
