//go:build linux

package crowdtest

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"text/template"
	"time"

	"lynxhill.example/lynxhill/deploy/emulator"
	"lynxhill.example/lynxhill/platform"
)

// Limits in the settings of the instances, and the bounds that the tests check.
const (
	memoryMB    = 128
	descriptors = 800
)

const (
	// waitLimit is how long a test waits before it reports that something did not happen.
	waitLimit = 30 * time.Second
	// killAbove is the memory, in bytes, above which an instance is killed, so that a test
	// that fails does not use up the machine's memory.
	killAbove = 8 * memoryMB << 20
	// sampleInterval is the interval at which memory and descriptors are read.
	sampleInterval = 20 * time.Millisecond
	host           = "a.example"
	key            = "k"
)

// program is the path of lynxhilld, built by TestMain.
var program string

func TestMain(m *testing.M) { os.Exit(buildAndRun(m)) }

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "crowdtest")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	program = filepath.Join(dir, "lynxhilld")
	if out, err := exec.Command("go", "build", "-o", program, "../../cmd/lynxhilld").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// process is a running lynxhilld whose memory and descriptors are observed.
type process struct {
	*testing.T
	command   *exec.Cmd
	settings  string   // path of the settings file
	listening []string // addresses that clients connect to
	log       *os.File
	ended     chan error // the result of Wait

	memory atomic.Int64 // most bytes seen, with the kernel's queues of the connections
	queued atomic.Int64 // most bytes seen in these queues
	files  atomic.Int64 // most open descriptors seen
}

// startProcess starts lynxhilld with the settings. It is killed at the end of the test
// unless it has ended before.
func startProcess(t *testing.T, settings string, listening ...string) *process {
	t.Helper()
	path := filepath.Join(t.TempDir(), "settings.toml")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		t.Fatal(err)
	}
	log, err := os.Create(filepath.Join(t.TempDir(), "log"))
	if err != nil {
		t.Fatal(err)
	}
	p := &process{
		T: t, command: exec.Command(program, "run", "--config", path), settings: path, listening: listening, log: log,
		ended: make(chan error, 1),
	}
	p.command.Stdout, p.command.Stderr = log, log
	if err := p.command.Start(); err != nil {
		t.Fatal(err)
	}
	go func() { p.ended <- p.command.Wait() }()
	observed, stop := context.WithCancel(context.Background())
	var observing sync.WaitGroup
	observing.Go(func() { p.observe(observed) })
	t.Cleanup(func() {
		stop()
		observing.Wait()
		_ = p.command.Process.Kill() // fails if it has ended
		_ = log.Close()
	})
	return p
}

// observe records the most memory and descriptors until ctx ends.
func (p *process) observe(ctx context.Context) {
	for ctx.Err() == nil {
		queued := p.queues()
		p.queued.Store(max(p.queued.Load(), queued))
		resident := p.status("VmRSS:")
		p.memory.Store(max(p.memory.Load(), resident+queued))
		if resident > killAbove {
			_ = p.command.Process.Kill()
		}
		if files, err := os.ReadDir(p.proc("fd")); err == nil {
			p.files.Store(max(p.files.Load(), int64(len(files))))
		}
		time.Sleep(sampleInterval)
	}
}

func (p *process) proc(name string) string {
	return filepath.Join("/proc", strconv.Itoa(p.command.Process.Pid), name)
}

// status returns a line of the process's status, in bytes.
func (p *process) status(name string) int64 {
	text, _ := os.ReadFile(p.proc("status"))
	for line := range strings.Lines(string(text)) {
		if rest, found := strings.CutPrefix(line, name); found {
			kilobytes, _ := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(rest), " kB"), 10, 64)
			return kilobytes << 10
		}
	}
	return 0
}

// queues returns the bytes in the kernel's queues of the process's connections to clients.
func (p *process) queues() (sum int64) {
	local := make(map[string]bool)
	for _, address := range p.listening {
		local[kernelAddress(address)] = true
	}
	text, _ := os.ReadFile("/proc/net/tcp")
	for line := range strings.Lines(string(text)) {
		const localField, stateField, queueField, listenState = 1, 3, 4, "0A"
		fields := strings.Fields(line)
		if len(fields) <= queueField || !local[fields[localField]] || fields[stateField] == listenState {
			continue
		}
		sent, received, _ := strings.Cut(fields[queueField], ":")
		for _, queue := range []string{sent, received} {
			n, _ := strconv.ParseInt(queue, 16, 64)
			sum += n
		}
	}
	return sum
}

// kernelAddress returns an IPv4 address with port as /proc/net/tcp shows it on a machine
// with little-endian byte order.
func kernelAddress(address string) string {
	tcp, err := net.ResolveTCPAddr("tcp4", address)
	if err != nil {
		return ""
	}
	ip := tcp.IP.To4()
	return fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], tcp.Port)
}

// checkBounds fails the test if the process has ended, or has held more memory or
// descriptors than its settings say.
func (p *process) checkBounds() {
	p.Helper()
	select {
	case err := <-p.ended:
		p.ended <- err
		p.Fatalf("the process ended: %v\n%s", err, p.lastLines())
	default:
	}
	memory := max(p.memory.Load(), p.status("VmHWM:"))
	p.Logf("at most %.0f MiB of %d, %.0f MiB of them in queues of connections; %d descriptors of %d",
		float64(memory)/(1<<20), memoryMB, float64(p.queued.Load())/(1<<20), p.files.Load(), descriptors)
	if memory > memoryMB<<20 {
		p.Errorf("the process held %.0f MiB, its settings allow %d", float64(memory)/(1<<20), memoryMB)
	}
	if files := p.files.Load(); files > descriptors {
		p.Errorf("the process held %d descriptors, its settings allow %d", files, descriptors)
	}
}

// lastLines returns the end of the process's log.
func (p *process) lastLines() string {
	text, _ := os.ReadFile(p.log.Name())
	return string(text[max(0, len(text)-2000):])
}

// signal sends a signal.
func (p *process) signal(s os.Signal) {
	p.Helper()
	if err := p.command.Process.Signal(s); err != nil {
		p.Fatal(err)
	}
}

// stop sends SIGTERM and fails the test if the process does not end with status 0.
func (p *process) stop() {
	p.Helper()
	p.signal(syscall.SIGTERM)
	select {
	case err := <-p.ended:
		if err != nil {
			p.Errorf("after SIGTERM: %v\n%s", err, p.lastLines())
		}
		p.ended <- err
	case <-time.After(waitLimit):
		p.Errorf("the process did not end within %v of SIGTERM", waitLimit)
	}
}

// eventually waits until the condition holds, and fails the test if it never does.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(waitLimit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if holds() {
			return
		}
	}
	t.Fatalf("not within %v: %s", waitLimit, what)
}

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
	staged := routeOf("/staged/", emulator.Streaming, "talk")
	staged.Stages = []emulator.Stage{{Service: "cut", After: []int{}, ByteCount: 1000}, {Service: "cut", After: []int{0}, ByteCount: 1000}}
	places := []emulator.Place{{Zone: "z1", Count: 2}, {Zone: "z2", Count: 2}}
	return emulator.Deployment{
		Config: emulator.Config{
			Version: 3, Limits: limits,
			Routes: []emulator.Route{
				routeOf("/talk/", emulator.Streaming, "talk"), staged,
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

// errStop ends a member of a crowd.
var errStop = errors.New("the member has done what it came for")

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
