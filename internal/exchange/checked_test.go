package exchange

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"
)

// checkedConn is a connection that reports its state itself.
type checkedConn struct {
	net.Conn
	usable  *atomic.Bool
	unacked int
}

func (c checkedConn) Usable() bool { return c.usable.Load() }
func (c checkedConn) Unacked() int { return c.unacked }

// checkedPool returns a pool whose connections are checkedConns, if checked is set, and a counter of its dials.
func checkedPool(t *testing.T, o Options, checked bool, usable *atomic.Bool, script func(p *targetConn)) (p *Pool, address string, dials *atomic.Int64) {
	address, dials = serveTCP(t, script), new(atomic.Int64)
	o.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		dials.Add(1)
		conn, err := DialTCP(ctx, network, address)
		if err != nil || !checked {
			return conn, err
		}
		return checkedConn{conn, usable, 1}, nil
	}
	return New(o), address, dials
}

// Guards against a request on an idle connection that says itself that it must not be used.
func TestUnusableCheckedConnectionIsNotReused(t *testing.T) {
	usable := new(atomic.Bool)
	usable.Store(true)
	p, address, dials := checkedPool(t, Options{}, true, usable, func(p *targetConn) { p.answers(okAnswer, okAnswer, okAnswer) })
	for n, want := range []int64{1, 1, 2} {
		usable.Store(n < 2)
		if _, err := get(t, p, Request{Address: address, Method: "GET", URI: "/"}); err != nil || dials.Load() != want {
			t.Errorf("request %d: %v, %d dials, want %d", n, err, dials.Load(), want)
		}
	}
	if !p.LastHeard().IsZero() {
		t.Error("bytes on a checked connection count as heard")
	}
}

// Guards against connections that are closed, or stay, against what the caller asked for.
func TestCloseIdleWhere(t *testing.T) {
	p, address, dials := checkedPool(t, Options{}, false, nil, func(p *targetConn) { p.answers(okAnswer, okAnswer) })
	request := func() {
		if _, err := get(t, p, Request{Address: address, Method: "GET", URI: "/"}); err != nil {
			t.Fatal(err)
		}
	}
	request()
	p.CloseIdleWhere(func(string, net.Conn) bool { return false })
	request()
	if dials.Load() != 1 || p.LastHeard().IsZero() {
		t.Errorf("%d dials, heard at %v", dials.Load(), p.LastHeard())
	}
	p.CloseIdleWhere(func(at string, _ net.Conn) bool { return at == address })
	request()
	if dials.Load() != 2 {
		t.Errorf("%d dials after the idle connections were closed", dials.Load())
	}
}

// Guards against a silent host that is noticed only when requests fail.
func TestUnacknowledgedRequestIsReported(t *testing.T) {
	for _, c := range []struct {
		name    string
		checked bool
		unacked int
		want    int64
	}{{"acknowledged", false, 0, 0}, {"unacknowledged", false, 7, 1}, {"checked", true, 7, 0}} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			var reports atomic.Int64
			usable := new(atomic.Bool)
			usable.Store(true)
			o := Options{Unacked: func(net.Conn) int { return c.unacked }, OnUnacked: func(string) { reports.Add(1) }}
			p, address, _ := checkedPool(t, o, c.checked, usable, func(p *targetConn) {
				time.Sleep(suspectAfter * 3 / 2)
				p.answers(okAnswer)
			})
			if _, err := get(t, p, Request{Address: address, Method: "GET", URI: "/"}); err != nil || reports.Load() != c.want {
				t.Errorf("%v, reported %d times, want %d", err, reports.Load(), c.want)
			}
		})
	}
}
