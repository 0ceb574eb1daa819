package exchange

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"lynxhill.example/lynxhill/internal/memnet"
)

const okAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// peer is the target's side of a connection.
type peer struct {
	net.Conn
	br *bufio.Reader
}

// request reads a request; false at the end of the connection.
func (p *peer) request() bool {
	req, err := http.ReadRequest(p.br)
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, req.Body)
	return err == nil
}

// answers sends one of the given answers to each request, then closes.
func (p *peer) answers(list ...string) {
	for _, answer := range list {
		if !p.request() {
			return
		}
		io.WriteString(p, answer)
	}
}

// reset ends the connection with a reset.
func (p *peer) reset() {
	p.Conn.(*net.TCPConn).SetLinger(0)
	p.Close()
}

// serve runs script for each connection to l, which it closes afterwards.
func serve(t *testing.T, l net.Listener, script func(p *peer)) string {
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				script(&peer{c, bufio.NewReader(c)})
			}()
		}
	}()
	return l.Addr().String()
}

// serveTCP is serve on a loopback port.
func serveTCP(t *testing.T, script func(p *peer)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return serve(t, l, script)
}

// serveMemory is serve in memory for synctest, with a pool that dials it.
func serveMemory(t *testing.T, opts Options, script func(p *peer)) *Pool {
	l := memnet.Listen()
	serve(t, l, script)
	opts.Dial = l.Dial
	return New(opts)
}

// get does one exchange and returns the body with the error of Do or Read.
func get(t *testing.T, p *Pool, r Request) (string, error) {
	if r.Method == "" {
		r.Method = "GET"
	}
	if r.Address == "" {
		r.Address = "target:1"
	}
	r.URI = "/"
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	resp, err := p.Do(ctx, r)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return string(b), err
}

func wantBody(t *testing.T, p *Pool, r Request, want string) {
	t.Helper()
	if got, err := get(t, p, r); err != nil || got != want {
		t.Fatalf("body %q, error %v; want %q", got, err, want)
	}
}

func wantSent(t *testing.T, err error, sent bool) {
	t.Helper()
	var e *Error
	if !errors.As(err, &e) || e.Sent != sent {
		t.Fatalf("error %v; want an Error with Sent=%v", err, sent)
	}
}

func wantStats(t *testing.T, p *Pool, want Stats) {
	t.Helper()
	if got := p.Stats(); got != want {
		t.Fatalf("stats %+v; want %+v", got, want)
	}
}
