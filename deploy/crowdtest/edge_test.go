//go:build linux

package crowdtest

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"text/template"
	"time"

	"lynxhill.example/lynxhill/deploy/emulator"
	"lynxhill.example/lynxhill/platform"
)

// edge is an instance that serves plain requests, in front of the emulator.
type edge struct {
	*process
	world                        *emulator.World
	callers, readiness, resolver string // addresses of its listeners
	metrics, peer                string
	asked                        atomic.Int64 // ordinary requests sent
}

const edgeSettings = `
[instance]
id = "n1"
place = "z1"
region = "r"
[listen]
caller = ""
admin = ""
peer = "{{.Peer}}"
[platform]
endpoints = ["http://{{.Store}}"]
[timings]
file_check = "200ms"
[ingress]
listen = "{{.Callers}}"
readiness = "{{.Readiness}}"
addresses = "{{.Resolver}}"
metrics = "{{.Metrics}}"
grace = "6s"
touch = "2s"
apply = "2s"
memory_mb = {{.MemoryMB}}
descriptors = {{.Descriptors}}
`

// limits are the configuration's limits, unless a test changes them.
var limits = emulator.Limits{MaxHeaderBytes: 64 << 10, MaxBodyBytes: 1 << 20, HeaderTimeoutMs: 2000, IdleTimeoutMs: 5000}

func routeOf(prefix, kind, service string) emulator.Route {
	return emulator.Route{
		Name: "r" + prefix, Host: host, PathPrefix: prefix, Kind: kind, Service: service,
		TimeoutMs: 4000, TargetLatencyMs: 1000, MaxAttempts: 4, EventGapMs: 1000,
	}
}

// deployment is what the instances are in front of.
func deployment() emulator.Deployment {
	resumable := routeOf("/resume/", emulator.Streaming, "talk")
	resumable.StreamResumption = true
	staged := routeOf("/staged/", emulator.Streaming, "talk")
	staged.Stages = []emulator.Stage{{Service: "cut", After: []int{}, ByteCount: 1000}, {Service: "cut", After: []int{0}, ByteCount: 1000}}
	places := []emulator.Place{{Zone: "z1", Count: 2}, {Zone: "z2", Count: 2}}
	return emulator.Deployment{
		Config: emulator.Config{
			Version: 3, Limits: limits,
			Routes: []emulator.Route{
				routeOf("/talk/", emulator.Streaming, "talk"), resumable, staged,
				routeOf("/idem/", emulator.Idempotent, "plain"), routeOf("/once/", emulator.NonIdempotent, "plain"),
				routeOf("/slow/", emulator.Idempotent, "slow"), routeOf("/large/", emulator.Idempotent, "large"),
			},
			Services: []emulator.ServiceConfig{
				{Name: "talk", HealthPath: "/health", InferenceEngine: &emulator.EngineConfig{Slots: 12, KVCacheTokens: 10000, Stride: 4, Models: []emulator.ModelName{{Name: "m"}}}},
				{Name: "cut", HealthPath: "/health", Pieces: &emulator.PieceConfig{Slots: 2, Queue: 4, Batch: 4, CallLatencyMs: 10, ItemLatencyMs: 2, HeadroomMb: 1, HandleTTLS: 4}},
				{Name: "plain", HealthPath: "/health"}, {Name: "slow", HealthPath: "/health"}, {Name: "large", HealthPath: "/health"},
			},
			Tenants: []emulator.Tenant{{Name: "t", APIKeys: []string{key}}},
		},
		Pools: []emulator.Pool{
			{Service: "talk", Places: places, Queue: 4, LoadHeader: true, Engine: emulator.EngineOptions{PrefillPerMS: 4, Step: time.Millisecond, StepPerRun: time.Millisecond / 2}},
			{Service: "cut", Places: places, Stage: emulator.StageOptions{ResultBytes: map[int]int64{0: 1000, 1: 1000}}},
			{Service: "plain", Places: places, Slots: 8, Queue: 8, LoadHeader: true, Plain: emulator.ServiceOptions{Work: 8 * time.Millisecond, Spread: 0.5, AnswerBytes: 600}},
			{Service: "slow", Places: places, Slots: 100, Queue: 20, Plain: emulator.ServiceOptions{Work: 1200 * time.Millisecond, AnswerBytes: 100}},
			{Service: "large", Places: places, Slots: 100, Queue: 20, Plain: emulator.ServiceOptions{Work: time.Millisecond, AnswerBytes: 1 << 20}},
		},
		HeartbeatInterval: 300 * time.Millisecond, DrainTimeout: 3 * time.Second, StateStarts: true,
		Random: rand.New(rand.NewPCG(74, 1)),
	}
}

// freeAddress returns an address that nobody listens on. Its IP number is not that from which
// clients connect, so that none of their ports is taken for it before the instance listens.
func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.74.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// startEdge starts an instance and waits until it is ready and answers a request.
func startEdge(t *testing.T) *edge { return startEdgeWith(t, deployment()) }

func startEdgeWith(t *testing.T, plan emulator.Deployment) *edge {
	t.Helper()
	w, err := emulator.NewWorld(plan)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(w.Close)
	e := &edge{world: w, callers: freeAddress(t), readiness: freeAddress(t), resolver: freeAddress(t), metrics: freeAddress(t), peer: freeAddress(t)}
	e.process = startProcess(t, e.settingsText(memoryMB, descriptors), e.callers, e.readiness, e.resolver)
	eventually(t, "ready", e.ready)
	eventually(t, "an ordinary request is answered", e.answersOrdinary)
	return e
}

func (e *edge) settingsText(memoryMB, descriptors int) string {
	var text bytes.Buffer
	err := template.Must(template.New("").Parse(edgeSettings)).Execute(&text, map[string]any{
		"Peer": e.peer, "Store": e.world.StoreAddress, "Callers": e.callers, "Readiness": e.readiness,
		"Resolver": e.resolver, "Metrics": e.metrics, "MemoryMB": memoryMB, "Descriptors": descriptors,
	})
	if err != nil {
		panic(err)
	}
	return text.String()
}

// newCaller makes each request on a connection of its own, as a caller that is new.
var newCaller = &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// get reports whether a GET is answered with 200 and its whole body.
func get(url string) bool {
	response, err := newCaller.Get("http://" + url)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return err == nil && response.StatusCode == http.StatusOK
}

func (e *edge) ready() bool { return get(e.readiness + platform.ReadinessPath) }

// resolves reports whether the address listener answers.
func (e *edge) resolves() bool { return get(e.resolver + platform.AddressPath + "?zone=z1") }

// answersOrdinary sends an ordinary request once and reports whether it is answered.
func (e *edge) answersOrdinary() bool {
	return e.answers("GET", "/idem/ordinary", nil) == http.StatusOK
}

// answers sends a request and returns the status of its whole answer; 0 = none.
func (e *edge) answers(method, path string, body io.Reader) int {
	request, err := http.NewRequest(method, "http://"+e.callers+path, body)
	if err != nil {
		return 0
	}
	request.Host = host
	request.Header.Set("Credential", key)
	request.Header.Set("Attempt-Id", fmt.Sprintf("0rd%013x", e.asked.Add(1)))
	request.Header.Set("Deadline-Ms", "4000")
	response, err := newCaller.Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	if _, err = io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}

// checkNotRun fails the test if a request that got a status that promises "not run" has
// run.
func (e *edge) checkNotRun(refused map[string]int) {
	e.Helper()
	for _, run := range e.world.Journal.Runs() {
		if status, found := refused[run.Attempt]; found {
			e.Errorf("request %s got status %d and has run", run.Attempt, status)
		}
	}
}

// answersStaged sends a request with stages once and reports whether it is answered.
func (e *edge) answersStaged() bool {
	request, err := http.NewRequest(http.MethodPost, "http://"+e.callers+"/staged/ordinary", nil)
	if err != nil {
		return false
	}
	request.Host = host
	for name, value := range map[string]string{
		"Credential": key, "Attempt-Id": fmt.Sprintf("57a%013x", e.asked.Add(1)), "Deadline-Ms": "4000", "Model": "m",
		"Token-Counts": "10,10", "Prompt-Prefix": "aa:4,bb:6", "Piece-Key": "2b", "Piece-Count": "2,1",
	} {
		request.Header.Set(name, value)
	}
	response, err := newCaller.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return err == nil && response.StatusCode == http.StatusOK
}
