package target

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"os"
	"os/exec"
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
