package main

import (
	"io"
	"math/rand/v2"
	"net"
	"testing"
	"time"
)

// startEcho starts an echo server and returns its address.
func startEcho(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c); _ = c.Close() }()
		}
	}()
	return l.Addr().String()
}

// Guards against a way to the store that passes no link.
func TestStoreLinks(t *testing.T) {
	store := startEcho(t)
	instances := []instanceSpec{{ID: "n1", Peer: startEcho(t), Store: store}}
	ls, err := openLinks(instances, rand.New(rand.NewPCG(1, 1)))
	if err != nil {
		t.Fatal(err)
	}
	if err := ls.openStoreLinks(rand.New(rand.NewPCG(1, 2))); err != nil {
		t.Fatal(err)
	}
	if l := ls.toStore["n1"]; l == nil || l.target != store || instances[0].Store == store {
		t.Errorf("the way to the store is %+v at %s", l, instances[0].Store)
	}
}

// Guards against link faults that have no effect or persist after they are cleared.
func TestLinks(t *testing.T) {
	instances := []instanceSpec{{ID: "n1", Peer: startEcho(t)}}
	ls, err := openLinks(instances, rand.New(rand.NewPCG(1, 1)))
	if err != nil {
		t.Fatal(err)
	}
	l := ls.byInstance["n1"]
	connect := func() net.Conn {
		c, err := net.Dial("tcp", instances[0].Link)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
		return c
	}
	answers := func(c net.Conn, within time.Duration) bool {
		_, _ = c.Write([]byte("x"))
		_ = c.SetReadDeadline(time.Now().Add(within))
		n, _ := c.Read(make([]byte, 1))
		return n == 1
	}
	const answerTimeout, silenceTime = 10 * time.Second, 200 * time.Millisecond

	kept := connect()
	if !answers(kept, answerTimeout) {
		t.Fatal("a link without a fault passes no data")
	}
	l.setFault(linkFault{blocked: true})
	fresh := connect()
	if answers(kept, silenceTime) || answers(fresh, silenceTime) {
		t.Error("a blocked link passes data")
	}
	l.setFault(linkFault{})
	if !answers(kept, answerTimeout) || !answers(fresh, answerTimeout) {
		t.Error("data is lost after the link is unblocked")
	}
	l.setFault(linkFault{delayShare: 1, delay: 100 * time.Millisecond})
	delayed := connect()
	if began := time.Now(); !answers(delayed, answerTimeout) || time.Since(began) < 200*time.Millisecond {
		t.Error("data is lost or not delayed in both directions")
	}
	l.setFault(linkFault{})
	l.blackhole()
	if answers(delayed, silenceTime) || !answers(connect(), answerTimeout) {
		t.Error("a blackholed connection passes data, or a new connection does not")
	}
	reset := connect()
	if !answers(reset, answerTimeout) {
		t.Error("a new connection passes no data before the reset")
	}
	l.reset()
	_ = reset.SetReadDeadline(time.Now().Add(answerTimeout))
	if _, err := reset.Read(make([]byte, 1)); err == nil {
		t.Error("a connection is still open after the reset")
	} else if timeout, ok := err.(net.Error); ok && timeout.Timeout() {
		t.Error("a connection is still open after the reset")
	}
}
