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

// pausedProcess is the environment variable that makes the test binary run as the
// process that is paused.
const pausedProcess = "LYNXHILL_TEST_PAUSED"

// Guards against a call that may not be retried ending as "may have run" because
// this process was paused while the response to a ping was in transit.
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

// callThroughPauses makes a call of 5 s on a connection whose ping responses are
// delayed by 0.2 s.
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

// delayedConn delays reads by 0.2 s in short sleeps, so that a pause of the process
// does not count fully towards the delay.
type delayedConn struct{ net.Conn }

func (c delayedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	for range 4 {
		time.Sleep(50 * time.Millisecond)
	}
	return n, err
}

// Guards against a call that may not be retried ending as "may have run" because
// its target was paused for longer than the ping timeout. Calls that may be retried
// end at the ping timeout.
func TestStalledConnectionKeepsCallsThatMayNotBeRepeated(t *testing.T) {
	barrier := &readBarrier{open: make(chan struct{})}
	close(barrier.open)
	dialled := 0
	dial := func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := new(net.Dialer).DialContext(ctx, network, addr)
		if dialled++; err != nil || dialled > 1 {
			return conn, err
		}
		return blockingConn{conn, barrier}, nil
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
	barrier.close()
	if f := stagecall.FailureOf(<-repeatable); f.Class != stagecall.ClassBroken || !f.ConnectionLost {
		t.Errorf("the call that may be retried: %+v", f)
	}
	later := run(stagecall.Options{})
	close(finish)
	if err := <-later; err != nil {
		t.Errorf("a later call: %v", err)
	}
	time.Sleep(300 * time.Millisecond)
	barrier.reopen()
	if err := <-once; err != nil {
		t.Errorf("the call that may not be retried: %v", err)
	}
}

// readBarrier blocks the reads of connections while it is closed.
type readBarrier struct {
	mu   sync.Mutex // guards open
	open chan struct{}
}

func (s *readBarrier) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open = make(chan struct{})
}

func (s *readBarrier) reopen() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.open)
}

type blockingConn struct {
	net.Conn
	barrier *readBarrier
}

func (c blockingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.barrier.mu.Lock()
	open := c.barrier.open
	c.barrier.mu.Unlock()
	<-open
	return n, err
}

// Guards against a connection counting as lost because this process was paused.
func TestLateCheckDoesNotCount(t *testing.T) {
	for _, late := range []bool{true, false} {
		conn, _ := net.Pipe()
		c := &monitoredConn{Conn: conn, transport: &transport{pool: newPool(Options{}), http: &http.Transport{}}, interval: time.Hour}
		c.scheduleCheck(0, lostIntervals-1)
		c.check(0, lostIntervals-1, 1, late)
		if c.lost.Load() == late {
			t.Errorf("late %v: lost %v", late, c.lost.Load())
		}
		_ = c.Close()
	}
}
