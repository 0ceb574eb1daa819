//go:build linux

package crowdtest

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
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
