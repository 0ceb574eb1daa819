package emulator

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// smallDeployment has one service of each sort, in one zone.
func smallDeployment(network Network) Deployment {
	stages := []Stage{{Service: "cut", After: []int{}, ByteCount: 1000}, {Service: "cut", After: []int{0}, ByteCount: 1000}}
	return Deployment{
		Network: network, Random: rand.New(rand.NewPCG(7, 7)), HeartbeatInterval: time.Second, DrainTimeout: 2 * time.Second,
		Config: Config{
			Version: 3,
			Routes: []Route{
				{Name: "r1", Host: "a.example", PathPrefix: "/talk/", Kind: Streaming, Service: "talk"},
				{Name: "r2", Host: "a.example", PathPrefix: "/plain/", Kind: NonIdempotent, Service: "plain"},
				{Name: "r3", Host: "a.example", PathPrefix: "/staged/", Kind: Streaming, Service: "talk", Stages: stages},
			},
			Services: []ServiceConfig{
				{Name: "talk", HealthPath: "/health", InferenceEngine: &EngineConfig{Slots: 2, KVCacheTokens: 1000, Stride: 4, Models: []ModelName{{"m"}}}},
				{Name: "plain", HealthPath: "/health", ConnectionLimit: 20},
				{Name: "cut", HealthPath: "/health", Pieces: &PieceConfig{Slots: 1, Queue: 1, Batch: 4, CallLatencyMs: 200, ItemLatencyMs: 10, HeadroomMb: 0.003, HandleTTLS: 4}},
			},
			Tenants: []Tenant{{Name: "t", APIKeys: []string{"k"}}},
		},
		Pools: []Pool{
			{Service: "talk", Places: []Place{{"z", 1}}, Queue: 1, LoadHeader: true, Engine: EngineOptions{PrefillPerMS: 1, Step: 5 * time.Millisecond, StepPerRun: 5 * time.Millisecond}},
			{Service: "plain", Places: []Place{{"z", 1}}, Slots: 1, Queue: 1, Plain: ServiceOptions{Work: 50 * time.Millisecond, AnswerBytes: 400}},
			{Service: "cut", Places: []Place{{"z", 1}}, Stage: StageOptions{ResultBytes: map[int]int64{0: 1000, 1: 1000}}},
		},
	}
}

// newWorld starts the small deployment and a client of one of its services
// that, without a system between, is the tenant itself.
func newWorld(t *testing.T, network Network, service string) (*World, *Client) {
	t.Helper()
	w, err := NewWorld(smallDeployment(network))
	if err != nil {
		t.Fatal(err)
	}
	return w, NewClient(ClientOptions{
		Addresses: []string{w.Servers(service)[0].Address}, Random: rand.New(rand.NewPCG(1, 1)), Dial: network.Dial,
	})
}

func askFor(kind, path string, header ...string) Ask {
	ask := Ask{Method: "POST", Host: "a.example", Path: path, Kind: kind, Deadline: 5 * time.Second, Header: http.Header{"Tenant": {"t"}, "Model": {"m"}}}
	for i := 0; i < len(header); i += 2 {
		ask.Header.Set(header[i], header[i+1])
	}
	ask.Body, ask.Key = []byte("body"), ""
	return ask
}

// check gives recorded asks the key that a system would have taken off.
func check(w *World, c *Client) []Violation {
	attempts := c.Attempts()
	for i := range attempts {
		attempts[i].Ask.Key = "k"
	}
	return Check(attempts, w.Journal, []Config{w.Config()})
}

func talk(header ...string) Ask {
	return askFor(Streaming, "/talk/x", append([]string{"Token-Counts", "100,20", "Prompt-Prefix", "aa:60,bb:40"}, header...)...)
}

func TestEngineInVirtualTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, c := newWorld(t, &Memory{}, "talk")
		defer w.Close()
		defer c.Close()
		// 100 tokens are read at 1 a ms, then come 5 events, each after 4 steps
		// of 5 ms and 5 ms more for the one run.
		for _, want := range []time.Duration{300 * time.Millisecond, 200 * time.Millisecond} {
			a := c.Do(t.Context(), talk())
			if a.Status != 200 || !a.Complete || len(a.Events) != 5 || a.Ended.Sub(a.Sent) != want {
				t.Errorf("%d %v, %d events after %v", a.Status, a.Err, len(a.Events), a.Ended.Sub(a.Sent))
			}
			if load := a.Header.Get("Server-Load"); load != "1,0,2" {
				t.Errorf("load %q", load)
			}
		}
		if a := c.Do(t.Context(), talk("Last-Event-Id", "3")); len(a.Events) != 2 || a.Events[0].ID != 4 {
			t.Errorf("resumed with %+v", a.Events)
		}
		c.attempts = c.attempts[:2] // the header was set past the client
		w.Journal.runs = w.Journal.runs[:2]
		refusals := []struct {
			status int
			header []string
		}{
			{421, []string{"Expected-Instance", "i-other"}},
			{421, []string{"Expected-Version", "9"}},
			{400, []string{"Token-Counts", "x"}},
			{503, []string{"Token-Counts", "900,200"}},
		}
		for _, r := range refusals {
			a := c.Do(t.Context(), talk(r.header...))
			if a.Status != r.status || a.Header.Get("Not-Executed") == "" || len(w.Journal.Runs()) != 2 {
				t.Errorf("%v: %d, %v", r.header, a.Status, a.Header)
			}
		}
		staged := talk("Piece-Count", "1,1")
		staged.Path = "/staged/x"
		if a := c.Do(t.Context(), staged); a.Status != 400 || a.Header.Get("Not-Executed") == "" {
			t.Errorf("without inputs: %d", a.Status)
		}
		a := c.try(t.Context(), Ask{Method: "GET", Path: "/health"}, false, 0, "")
		if id := w.Servers("talk")[0].ID; a.Status != 200 || a.Header.Get("Instance-Id") != id {
			t.Errorf("health: %d %v", a.Status, a.Header)
		}
		if found := check(w, c); len(found) != 0 {
			t.Error(found)
		}
	})
}

func TestEngineDropsAndLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, c := newWorld(t, &Memory{}, "talk")
		defer w.Close()
		defer c.Close()
		left := talk()
		left.GiveUp = 150 * time.Millisecond
		if a := c.Do(t.Context(), left); !a.GaveUp || len(a.Events) != 1 {
			t.Errorf("left: %v, %d events", a.Err, len(a.Events))
		}
		late := talk("Token-Counts", "100,400")
		late.Deadline = 400 * time.Millisecond
		c.Do(t.Context(), late)
		synctest.Wait()
		runs := w.Journal.Runs()
		if len(runs) != 2 || runs[0].Outcome != Dropped || runs[0].Ended.Sub(runs[0].Began) > 200*time.Millisecond || runs[1].Outcome == Whole {
			t.Errorf("runs %+v", runs)
		}
		statuses := make(chan int, 4)
		for range 4 {
			go func() { statuses <- c.Do(t.Context(), talk()).Status }()
		}
		got := []int{<-statuses, <-statuses, <-statuses, <-statuses}
		slices.Sort(got)
		if !slices.Equal(got, []int{200, 200, 200, 503}) {
			t.Errorf("statuses %v", got)
		}
		if found := check(w, c); len(found) != 0 {
			t.Error(found)
		}
	})
}

func TestFaultsOfTargets(t *testing.T) {
	cases := []struct {
		name     string
		faults   Faults
		complete bool
		outcome  string
	}{
		{"none", Faults{}, true, Whole},
		{"break off", Faults{BreakOff: 1}, false, Broken},
		{"extra", Faults{Extra: 1}, true, Whole},
		{"late second", Faults{LateSecond: 1}, true, Whole},
		{"no length", Faults{NoLength: 1}, true, Whole},
		{"break off unframed", Faults{BreakOffUnframed: 1}, false, Broken},
		{"early", Faults{EarlyAnswer: 1}, true, Whole},
		{"lost", Faults{LoseAnswer: 1}, false, Broken},
		{"lost by reset", Faults{LoseAnswer: 1, Reset: true}, false, Broken},
		{"hang", Faults{Grey: 1}, false, Dropped},
		{"slow", Faults{Slow: 3}, true, Whole},
		{"crash", Faults{CrashPath: "/"}, false, Crashed},
	}
	asks := map[string]Ask{"talk": talk(), "plain": askFor(NonIdempotent, "/plain/x?y=1")}
	for _, c := range cases {
		for service, ask := range asks {
			for name, network := range map[string]Network{"memory": &Memory{}, "loopback": Loopback{}} {
				run := func(t *testing.T) { tryFault(t, network, service, ask, c.faults, c.complete, c.outcome) }
				t.Run(c.name+"/"+service+"/"+name, func(t *testing.T) {
					if name == "memory" {
						synctest.Test(t, run)
						return
					}
					t.Parallel()
					run(t)
				})
			}
		}
	}
}

func tryFault(t *testing.T, network Network, service string, ask Ask, faults Faults, complete bool, outcome string) {
	w, c := newWorld(t, network, service)
	defer w.Close()
	defer c.Close()
	w.Servers(service)[0].SetFaults(faults)
	ask.Body = []byte(strings.Repeat("long body ", 2000))
	ask.GiveUp = 1500 * time.Millisecond
	a := c.Do(t.Context(), ask)
	if a.Complete != complete || complete && a.Status != 200 {
		t.Errorf("%d, complete %v: %v", a.Status, a.Complete, a.Err)
	}
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if runs := w.Journal.Runs(); len(runs) > 0 && runs[0].Outcome != "" && runs[0].BodySum != "" {
			break
		}
	}
	if runs := w.Journal.Runs(); len(runs) != 1 || runs[0].Outcome != outcome || runs[0].BodySum == "" {
		t.Errorf("runs %+v", runs)
	}
	if found := check(w, c); len(found) != 0 {
		t.Error(found)
	}
}

// stageCall posts to a stage server.
func stageCall(t *testing.T, w *World, c *Client, path, body string) (int, []itemResult) {
	t.Helper()
	a := c.Do(t.Context(), Ask{Method: "POST", Path: path, Body: []byte(body), Deadline: time.Second})
	var answer struct {
		Entries []itemResult `json:"entries"`
	}
	if a.Status == 200 && a.Body != "" {
		if err := json.Unmarshal([]byte(a.Body), &answer); err != nil {
			t.Fatal(err)
		}
	}
	return a.Status, answer.Entries
}

func TestStagesInVirtualTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, c := newWorld(t, &Memory{}, "cut")
		defer w.Close()
		defer c.Close()
		began := time.Now()
		_, first := stageCall(t, w, c, "/lynxhill/stage-run", `{"entries":[{"id":"r","stage":0,"piece":0,"key":"p"},{"id":"r","stage":0,"piece":1,"key":"p"},{"id":"r","stage":0,"remaining_ms":0},{"id":"r","stage":1,"inputs":["x/1"]}]}`)
		if time.Since(began) != 220*time.Millisecond || len(first) != 4 || first[2].Reason != "late" || first[3].Reason != "gone" {
			t.Fatalf("%+v after %v", first, time.Since(began))
		}
		_, second := stageCall(t, w, c, "/lynxhill/stage-run", fmt.Sprintf(`{"entries":[{"id":"r","stage":1,"inputs":["%s","%s"]},{"id":"r","stage":0}]}`, first[0].Handle, first[1].Handle))
		if second[0].Handle == "" || second[1].Reason != "room" {
			t.Fatalf("%+v", second)
		}
		engine := NewClient(ClientOptions{Addresses: []string{w.Servers("talk")[0].Address}, Random: rand.New(rand.NewPCG(2, 2)), Dial: w.plan.Network.Dial})
		defer engine.Close()
		input := askFor(Streaming, "/staged/x", "Token-Counts", "10,4", "Piece-Count", "2,1", "Piece-Key", "p", "Input-Count", second[0].Handle)
		if a := engine.Do(t.Context(), input); a.Status != 409 { // the handle is of the request "r"
			t.Errorf("another's input: %d", a.Status)
		}
		stageCall(t, w, c, "/lynxhill/stage-free", fmt.Sprintf(`{"handles":["%s"]}`, first[0].Handle))
		if used := w.Registry.Used(w.Servers("cut")[0].ID); used != 2000 {
			t.Errorf("%d bytes are used", used)
		}
		crashed := w.Servers("cut")[0]
		if again, err := w.Replace(crashed.ID, "cut"); err != nil || w.Registry.Used(crashed.ID) != 0 {
			t.Errorf("%v: %d bytes outlive their maker", err, w.Registry.Used(again.ID))
		}
		synctest.Wait() // until the client knows that its connection is closed
		_, third := stageCall(t, w, c, "/lynxhill/stage-run", fmt.Sprintf(`{"entries":[{"id":"r","stage":0,"key":"p"},{"id":"r","stage":1,"inputs":["%s"]}]}`, first[1].Handle))
		if len(third) != 2 || third[0].Handle == "" || third[1].Reason != "gone" {
			t.Errorf("after the crash: %+v", third)
		}
		time.Sleep(4 * time.Second)
		if used := w.Registry.Used(w.Servers("cut")[0].ID); used != 0 {
			t.Errorf("%d bytes outlive their time", used)
		}
		staged := Attempt{ID: "r", Ask: askFor(Streaming, "/staged/x", "Piece-Count", "2,1", "Piece-Key", "p")}
		found := Check([]Attempt{staged}, w.Journal, []Config{w.Config()})
		if len(found) != 1 || found[0].Name != NameMixed { // the planted input above
			t.Error(found)
		}
	})
}

func TestWorldChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, c := newWorld(t, &Memory{}, "plain")
		defer w.Close()
		defer c.Close()
		old := w.Servers("plain")[0]
		if _, err := w.Change(func(c *Config) { c.Routes = c.Routes[:1] }); err != nil || len(w.Config().Routes) != 1 || w.Config().Version <= 3 {
			t.Errorf("%v, %+v", err, w.Config())
		}
		replaced, err := w.Replace(old.ID, "talk")
		if err != nil || replaced.Address != old.Address {
			t.Fatal(replaced, err)
		}
		if a := c.Do(t.Context(), askFor(NonIdempotent, "/plain/x", "Expected-Instance", old.ID)); a.Status != 421 {
			t.Errorf("status %d at another instance", a.Status)
		}
		if err := w.Drain(replaced.ID); err != nil {
			t.Fatal(err)
		}
		object, _ := w.Store.Get("servers", replaced.ID)
		if !strings.Contains(string(object.Specification), `"state":"draining"`) {
			t.Errorf("entry %s", object.Specification)
		}
		time.Sleep(4 * time.Second)
		for _, id := range []string{old.ID, replaced.ID} {
			if _, ok := w.Store.Get("servers", id); ok {
				t.Errorf("%s is still registered", id)
			}
		}
		if a := c.Do(t.Context(), talk()); a.Status != 0 || a.Err == nil {
			t.Errorf("status %d after the end", a.Status)
		}
	})
}

// TestCheckFindsBrokenPromises plants one of each.
func TestCheckFindsBrokenPromises(t *testing.T) {
	run := func(id, outcome string) *Run {
		return &Run{ID: id, Attempt: "a", Method: "POST", Path: "/p", BodySum: Sum("b"), Outcome: outcome, Ended: time.Now()}
	}
	signed := func(s Signature, body string) http.Header {
		return http.Header{"Server-Signature": {sign("a", s, body)}}
	}
	plain, stream := Signature{Run: "r1", Status: 200, Size: 4}, Signature{Stream: true, Run: "r1", Status: 200, Size: 3}
	events := func(runs ...string) (list []Event) {
		for i, id := range runs {
			list = append(list, Event{ID: i + 1, Attempt: "a", Run: id, Number: i + 1})
		}
		return list
	}
	cases := []struct {
		name    string
		attempt Attempt
		runs    []*Run
		want    string
	}{
		{"fine", Attempt{Status: 200, Complete: true, Body: "body", Header: signed(plain, "body")}, []*Run{run("r1", Whole)}, ""},
		{"twice", Attempt{Status: 200, Complete: true, Body: "body", Header: signed(plain, "body")}, []*Run{run("r1", Whole), run("r2", Dropped)}, NameTwice},
		{"refused", Attempt{Status: 503, Complete: true}, []*Run{run("r1", Whole)}, NameRefused},
		{"unsigned", Attempt{Status: 200, Complete: true}, []*Run{run("r1", Whole)}, NameMixed},
		{"other body", Attempt{Status: 200, Complete: true, Body: "bodi", Header: signed(plain, "body")}, []*Run{run("r1", Whole)}, NameMixed},
		{"other status", Attempt{Status: 500, Complete: true, Body: "body", Header: signed(plain, "body")}, []*Run{run("r1", Whole)}, NameMixed},
		{"short body", Attempt{Status: 200, Complete: true, Body: "bod", Header: signed(plain, "body")}, []*Run{run("r1", Broken)}, NameMixed},
		{"unasked", Attempt{Status: 503, Complete: true}, []*Run{{ID: "r3", Attempt: "b"}}, NameUnasked},
		{"order", Attempt{Status: 200, Complete: true, Events: events("r1", "r1"), Header: signed(stream, "")}, []*Run{run("r1", Whole)}, NameOrder},
		{"joined", Attempt{Status: 200, Complete: true, Events: events("r1", "r1", "r2"), Header: signed(stream, "")}, []*Run{run("r1", Broken)}, NameOrder},
		{"lost", Attempt{}, []*Run{run("r1", Whole)}, NameLost},
		{"broken by the server", Attempt{}, []*Run{run("r1", Broken)}, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			c.attempt.ID, c.attempt.Ask = "a", Ask{Method: "POST", Path: "/p", Body: []byte("b"), Kind: NonIdempotent}
			journal := NewJournal()
			journal.runs = c.runs
			found := Check([]Attempt{c.attempt}, journal, nil)
			if c.want == "" && len(found) != 0 || c.want != "" && (len(found) != 1 || found[0].Name != c.want) {
				t.Errorf("found %v", found)
			}
		})
	}
}

func TestDirectoryAndConnectionLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := &Memory{}
		plan := smallDeployment(network)
		plan.Config.Services[1].ConnectionLimit = 1
		w, err := NewWorld(plan)
		if err != nil {
			t.Fatal(err)
		}
		defer w.Close()
		l, err := network.Listen("")
		if err != nil {
			t.Fatal(err)
		}
		node := &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
			writeJSON(rw, 200, map[string]any{"addresses": []string{w.Servers("plain")[0].Address}, "ttl_s": 2})
		})}
		go func() { _ = node.Serve(l) }() // ends by Close
		defer node.Close()
		statuses := make(chan int, 2)
		for i := range uint64(2) {
			c := NewClient(ClientOptions{Directory: []string{"10.9.9.9:1", l.Addr().String()}, Random: rand.New(rand.NewPCG(4, i)), Dial: network.Dial})
			defer c.Close()
			go func() { statuses <- c.Do(t.Context(), askFor(NonIdempotent, "/plain/x")).Status }()
		}
		got := []int{<-statuses, <-statuses}
		slices.Sort(got)
		if !slices.Equal(got, []int{0, 200}) { // the second connection is reset
			t.Errorf("statuses %v", got)
		}
	})
}

// TestClientRetries answers once with a promise, then by a server.
func TestClientRetries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := &Memory{}
		calls := 0
		l, err := network.Listen("")
		if err != nil {
			t.Fatal(err)
		}
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			calls++
			w.Header().Set("Retry-After", "0.5")
			w.WriteHeader([]int{429, 503, 502, 200}[min(calls, 4)-1])
		})}
		go func() { _ = server.Serve(l) }() // returns after Close
		defer server.Close()
		for _, c := range []struct {
			kind          string
			status, calls int
		}{{NonIdempotent, 502, 3}, {Idempotent, 200, 4}} {
			calls = 0
			client := NewClient(ClientOptions{Addresses: []string{l.Addr().String()}, Retries: 5, Random: rand.New(rand.NewPCG(3, 3)), Dial: network.Dial})
			a := client.Do(context.Background(), Ask{Method: "POST", Path: "/", Kind: c.kind, Deadline: 9 * time.Second})
			client.Close()
			if a.Status != c.status || calls != c.calls {
				t.Errorf("%s: %d after %d calls", c.kind, a.Status, calls)
			}
		}
	})
}

// Guards against clients that honor Retry-After or the normal retry limit while
// aggressive retry is on.
func TestClientAggressiveRetry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := &Memory{}
		calls := 0
		l, err := network.Listen("")
		if err != nil {
			t.Fatal(err)
		}
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			calls++
			w.Header().Set("Retry-After", "0.5")
			w.WriteHeader(http.StatusServiceUnavailable)
		})}
		go func() { _ = server.Serve(l) }() // returns after Close
		defer server.Close()
		for _, c := range []struct {
			aggressive bool
			calls      int
			took       time.Duration
		}{{false, 2, 500 * time.Millisecond}, {true, 1 + aggressiveRetries, 0}} {
			calls = 0
			client := NewClient(ClientOptions{Addresses: []string{l.Addr().String()}, Retries: 1, Random: rand.New(rand.NewPCG(3, 3)), Dial: network.Dial})
			client.SetAggressiveRetry(c.aggressive)
			began := time.Now()
			client.Do(context.Background(), Ask{Method: "POST", Path: "/", Kind: Idempotent, Deadline: 9 * time.Second})
			client.Close()
			if took := time.Since(began); calls != c.calls || took != c.took {
				t.Errorf("aggressive retry %v: %d calls in %v, want %d in %v", c.aggressive, calls, took, c.calls, c.took)
			}
		}
	})
}
