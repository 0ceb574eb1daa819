package target

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"lynxhill.example/lynxhill/internal/stagecall"
	"lynxhill.example/lynxhill/internal/wire/targetapi"
)

// muteConn drops all data in both directions once mute is closed, as happens when
// an intermediary has lost the state of the connection.
type muteConn struct {
	net.Conn
	mute   <-chan struct{}
	closed chan struct{}
	once   sync.Once
}

func (c *muteConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	select {
	case <-c.mute:
		<-c.closed
		return 0, net.ErrClosed
	default:
		return n, err
	}
}

func (c *muteConn) Write(p []byte) (int, error) {
	select {
	case <-c.mute:
		return len(p), nil
	default:
		return c.Conn.Write(p)
	}
}

func (c *muteConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// Guards against calls that hang until their deadline on a pooled connection that
// has gone silent for good, although the target is healthy and new connections
// work. The pings must detect it.
func TestPingsFindSilentConnections(t *testing.T) {
	mute := make(chan struct{})
	dials := 0
	dial := func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := new(net.Dialer).DialContext(ctx, network, addr)
		dials++
		if err != nil || dials > 1 {
			return conn, err
		}
		return &muteConn{Conn: conn, mute: mute, closed: make(chan struct{})}, nil
	}
	s := newServer(t, writeReply)
	c := newClient(t, Options{Dial: dial, PingInterval: 20 * time.Millisecond, PingTimeout: 20 * time.Millisecond})
	if _, err := c.Run(testContext(t), s.target, wholeRequest(), stagecall.Options{}, nil); err != nil {
		t.Fatal(err)
	}
	close(mute)
	_, err := c.Run(testContext(t), s.target, wholeRequest(), stagecall.Options{}, nil)
	if f := stagecall.FailureOf(err); f.Class != stagecall.ClassBroken || f.NotRun {
		t.Errorf("call on the silent connection: %v", err)
	}
	if _, err := c.Run(testContext(t), s.target, wholeRequest(), stagecall.Options{}, nil); err != nil {
		t.Errorf("next call: %v", err)
	}
}

// Guards against unlimited retries of a request that crashes targets: the platform
// restarts them at once, so a target that answers may have crashed nevertheless.
func TestRestartCountsAsCrash(t *testing.T) {
	s := newServer(t, func(http.ResponseWriter, targetapi.RunRequest) {})
	c := newClient(t, Options{})
	if !c.Alive(testContext(t), s.target) {
		t.Error("a target that answers without a load report counts as crashed")
	}
	c.recordLoad(s.target.Address, &targetapi.LoadReport{Seq: 100})
	c.recordLoad(s.target.Address, &targetapi.LoadReport{Seq: 98}) // reordered, not restarted
	if !c.Alive(testContext(t), s.target) {
		t.Error("a reordered report counts as a restart")
	}
	c.recordLoad(s.target.Address, &targetapi.LoadReport{Seq: 1})
	if c.Alive(testContext(t), s.target) {
		t.Error("a restart was not detected")
	}
}

// Guards against calls on a silent connection that each wait for their own timeout,
// or two seconds for the ping, although new connections work: the comparison with a
// new connection must end them together. A call that may not be retried must not
// end; it relies on the ping.
func TestSilentConnectionEndsAllItsCalls(t *testing.T) {
	mute := make(chan struct{})
	var dials atomic.Int32
	dial := func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := new(net.Dialer).DialContext(ctx, network, addr)
		if err != nil || dials.Add(1) > 1 {
			return conn, err
		}
		return &muteConn{Conn: conn, mute: mute, closed: make(chan struct{})}, nil
	}
	started := make(chan struct{}, 3)
	finish := make(chan struct{})
	s := newServer(t, func(http.ResponseWriter, targetapi.RunRequest) {
		started <- struct{}{}
		<-finish
	})
	t.Cleanup(func() { close(finish) })
	c := newClient(t, Options{Dial: dial, PingInterval: time.Hour, SilenceWait: 30 * time.Millisecond, ProbeTimeout: 200 * time.Millisecond})
	ended := make(chan error, 2)
	for range 2 {
		go func() {
			_, err := c.Run(testContext(t), s.target, wholeRequest(), stagecall.Options{FirstByte: time.Hour}, nil)
			ended <- err
		}()
		<-started // concurrent calls may each dial their own connection
	}
	ctx, cancel := context.WithCancel(testContext(t))
	once := make(chan error, 1)
	go func() {
		_, err := c.Run(ctx, s.target, wholeRequest(), stagecall.Options{}, nil)
		once <- err
	}()
	<-started
	if n := dials.Load(); n != 1 {
		t.Fatalf("calls opened %d connections, want 1", n)
	}
	close(mute)
	for range 2 {
		if f := stagecall.FailureOf(<-ended); f.Class != stagecall.ClassSilent || !f.ConnectionLost || f.NotRun {
			t.Errorf("failure %+v, want silent by the connection's fault", f)
		}
	}
	select {
	case err := <-once:
		t.Fatalf("the call that may not be retried ended: %v", err)
	default:
	}
	cancel()
	<-once
}

// A connection whose calls are merely slow is kept, because the load report is
// received on it.
func TestSlowCallsKeepTheirConnection(t *testing.T) {
	s := newServer(t, func(w http.ResponseWriter, req targetapi.RunRequest) {
		time.Sleep(300 * time.Millisecond)
		writeReply(w, req)
	})
	c := newClient(t, Options{SilenceWait: 10 * time.Millisecond, ProbeTimeout: 5 * time.Second})
	if _, err := c.Run(testContext(t), s.target, wholeRequest(), stagecall.Options{FirstByte: time.Hour}, nil); err != nil {
		t.Error(err)
	}
}
