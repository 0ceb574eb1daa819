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

// targetConn is the target's side of a connection.
type targetConn struct {
	net.Conn
	br   *bufio.Reader
	last *http.Request // the last one that was read
}

// request reads a request; it returns false at the end of the connection.
func (p *targetConn) request() bool {
	req, err := http.ReadRequest(p.br)
	if err != nil {
		return false
	}
	p.last = req
	_, err = io.Copy(io.Discard, req.Body)
	return err == nil
}

// answers sends the given responses, one to each request.
func (p *targetConn) answers(list ...string) {
	for _, answer := range list {
		if !p.request() {
			return
		}
		io.WriteString(p, answer)
	}
}

// reset closes the connection with a TCP reset.
func (p *targetConn) reset() {
	p.Conn.(*net.TCPConn).SetLinger(0)
	p.Close()
}

// serve runs script for each connection to l and closes the connection afterwards.
func serve(t *testing.T, l net.Listener, script func(p *targetConn)) string {
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				script(&targetConn{Conn: c, br: bufio.NewReader(c)})
			}()
		}
	}()
	return l.Addr().String()
}

// serveTCP is like serve, on a loopback port.
func serveTCP(t *testing.T, script func(p *targetConn)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return serve(t, l, script)
}

// serveMemory is like serve, in memory for synctest. It returns a pool that dials
// the listener.
func serveMemory(t *testing.T, opts Options, script func(p *targetConn)) *Pool {
	l := memnet.Listen()
	serve(t, l, script)
	opts.Dial = l.Dial
	return New(opts)
}

// get makes one exchange and returns the body, and the error of Do or Read.
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

const (
	refusalTo1 = "HTTP/1.1 503 No\r\nId: 1\r\nContent-Length: 0\r\n\r\n"
	answerTo1  = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 3\r\n\r\none"
	answerTo2  = "HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 3\r\n\r\ntwo"
)

// identifiedPool returns a pool for targets that state the ID of a request in their
// responses.
func identifiedPool() *Pool {
	return New(Options{AttemptID: func(h http.Header) string { return h.Get("Id") }})
}

func readAndClose(resp *Response) ([]byte, error) {
	defer resp.Body.Close()
	return io.ReadAll(resp.Body)
}
