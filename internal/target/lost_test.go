package target

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"testing"
	"time"

	"lynxhill.example/lynxhill/internal/stagecall"
	"lynxhill.example/lynxhill/internal/wire/targetapi"
)

// pausedProcess tells the test binary that it is the process that is paused.
const pausedProcess = "LYNXHILL_TEST_PAUSED"

// Guards against a call that may not be repeated ending as "may have run" because
// this process was paused while the answer to a ping was on its way.
func TestPauseDoesNotEndCalls(t *testing.T) {
	if os.Getenv(pausedProcess) != "" {
		callThroughPauses(t)
		return
	}
	child := exec.Command(os.Args[0], "-test.run=^TestPauseDoesNotEndCalls$")
	child.Env = append(os.Environ(), pausedProcess+"=1")
	var output bytes.Buffer
	child.Stdout, child.Stderr = &output, &output
	if err := child.Start(); err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- child.Wait() }()
	for signal := syscall.SIGSTOP; ; {
		select {
		case err := <-ended:
			if err != nil {
				t.Errorf("the paused process: %v\n%s", err, &output)
			}
			return
		case <-time.After(600 * time.Millisecond):
		}
		_ = child.Process.Signal(signal)
		signal = syscall.SIGSTOP + syscall.SIGCONT - signal
	}
}

// callThroughPauses makes one call of several seconds, on a connection whose pings
// are answered after 0.2 s.
func callThroughPauses(t *testing.T) {
	dial := func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := new(net.Dialer).DialContext(ctx, network, addr)
		return delayedConn{conn}, err
	}
	s := newServer(t, func(w http.ResponseWriter, req targetapi.RunRequest) {
		time.Sleep(5 * time.Second)
		writeReply(w, req)
	})
	c := newClient(t, Options{Dial: dial, PingInterval: 100 * time.Millisecond, PingTimeout: 400 * time.Millisecond})
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	if _, err := c.Run(ctx, s.target, wholeRequest(), stagecall.Options{}, nil); err != nil {
		t.Error(err)
	}
}

// delayedConn delays what is read by time in which the process runs.
type delayedConn struct{ net.Conn }

func (c delayedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	for range 4 {
		time.Sleep(50 * time.Millisecond)
	}
	return n, err
}

// Guards against a call that may not be repeated ending as "may have run" because
// its target was paused for longer than the pings wait. Other calls do not wait.
func TestStalledConnectionKeepsCallsThatMayNotBeRepeated(t *testing.T) {
	gate := &stall{open: make(chan struct{})}
	close(gate.open)
	dialled := 0
	dial := func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := new(net.Dialer).DialContext(ctx, network, addr)
		if dialled++; err != nil || dialled > 1 {
			return conn, err
		}
		return stalledConn{conn, gate}, nil
	}
	started, finish := make(chan struct{}, 3), make(chan struct{})
	s := newServer(t, func(w http.ResponseWriter, req targetapi.RunRequest) {
		started <- struct{}{}
		<-finish
		writeReply(w, req)
	})
	c := newClient(t, Options{Dial: dial, PingInterval: 200 * time.Millisecond, PingTimeout: 200 * time.Millisecond, SilenceWait: time.Hour})
	run := func(opts stagecall.Options) chan error {
		ended := make(chan error, 1)
		go func() {
			_, err := c.Run(testContext(t), s.target, wholeRequest(), opts, nil)
			ended <- err
		}()
		<-started
		return ended
	}
	once, repeatable := run(stagecall.Options{}), run(stagecall.Options{FirstByte: time.Hour})
	gate.close()
	if f := stagecall.FailureOf(<-repeatable); f.Class != stagecall.ClassBroken || !f.Connection {
		t.Errorf("the call that may be repeated: %+v", f)
	}
	later := run(stagecall.Options{})
	close(finish)
	if err := <-later; err != nil {
		t.Errorf("a call that came later: %v", err)
	}
	time.Sleep(300 * time.Millisecond)
	gate.reopen()
	if err := <-once; err != nil {
		t.Errorf("the call that may not be repeated: %v", err)
	}
}

// stall holds back what connections read while it is closed.
type stall struct {
	mu   sync.Mutex // guards open
	open chan struct{}
}

func (s *stall) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open = make(chan struct{})
}

func (s *stall) reopen() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.open)
}

type stalledConn struct {
	net.Conn
	stall *stall
}

func (c stalledConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.stall.mu.Lock()
	open := c.stall.open
	c.stall.mu.Unlock()
	<-open
	return n, err
}

// Guards against a connection counting as lost because this process was paused.
func TestLateLookDoesNotCount(t *testing.T) {
	for _, late := range []bool{true, false} {
		conn, _ := net.Pipe()
		c := &hearingConn{Conn: conn, line: &line{pool: newPool(Options{}), transport: &http.Transport{}}, every: time.Hour}
		c.lookLater(0, lostLooks-1)
		c.look(0, lostLooks-1, 1, late)
		if c.lost.Load() == late {
			t.Errorf("late %v: lost %v", late, c.lost.Load())
		}
		_ = c.Close()
	}
}
