package exchange

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"lynxhill.example/lynxhill/internal/memnet"
)

func TestHeadOnTheWire(t *testing.T) {
	for _, c := range []struct {
		r    Request
		want string // "" = rejected
	}{
		{Request{Method: "GET", URI: "/a%2F../b?x=%zz", Host: "Some.Host:80"}, "GET /a%2F../b?x=%zz HTTP/1.1\r\nHost: Some.Host:80\r\n\r\n"},
		{Request{Method: "PUT", URI: "*"}, "PUT * HTTP/1.1\r\nHost: a:1\r\nContent-Length: 0\r\n\r\n"},
		{Request{Method: "GET", URI: "/", Body: []byte("xyz"), Header: http.Header{"x-Odd": {"1", "2"}, "Content-Length": {"3"}}},
			"GET / HTTP/1.1\r\nHost: a:1\r\nContent-Length: 3\r\nx-Odd: 1\r\nx-Odd: 2\r\n\r\n"},
		{r: Request{Method: "GET", URI: "/ HTTP/1.1\r\nX: y"}},
		{r: Request{Method: "GET", URI: "/\x00"}},
		{r: Request{Method: "GET", URI: ""}},
		{r: Request{Method: "G ET", URI: "/"}},
		{r: Request{Method: "CONNECT", URI: "/"}},
		{r: Request{Method: "GET", URI: "/", Host: "h\r\nX: y"}},
		{r: Request{Method: "GET", URI: "/", Header: http.Header{"X": {"a\r\nY: b"}}}},
		{r: Request{Method: "GET", URI: "/", Header: http.Header{"X": {"a\x00"}}}},
		{r: Request{Method: "GET", URI: "/", Header: http.Header{"X: y\r\nZ": {"a"}}}},
		{r: Request{Method: "GET", URI: "/", Header: http.Header{"content-length": {"7"}}}},
		{r: Request{Method: "GET", URI: "/", Header: http.Header{"Transfer-Encoding": {"chunked"}}}},
		{r: Request{Method: "GET", URI: "/", Header: http.Header{"Host": {"b"}}}},
	} {
		c.r.Address = "a:1"
		got, err := encodeHead(c.r, false)
		if string(got) != c.want || (err == nil) != (c.want != "") {
			t.Errorf("%+v: %q, %v; want %q", c.r, got, err, c.want)
		}
		if c.want == "" {
			_, err := New(Options{}).Do(t.Context(), c.r)
			wantSent(t, err, false)
		}
	}
}

func TestAnswerBeforeEndOfRequest(t *testing.T) {
	// A target responds to the head of a request with a long body and stops
	// reading. The request must not block on the write before the response is
	// read, and the connection must not be reused while the rest of the request is
	// written, since the target would parse that as the next request.
	for _, answer := range []string{okAnswer, "HTTP/1.1 204 No\r\n\r\n"} {
		synctest.Test(t, func(t *testing.T) {
			var rest int64
			var end error
			p := serveMemory(t, Options{}, func(p *targetConn) {
				http.ReadRequest(p.br)
				io.WriteString(p, answer)
				time.Sleep(time.Second)
				rest, end = io.Copy(io.Discard, p.br)
			})
			if _, err := get(t, p, Request{Method: "POST", Body: make([]byte, 1<<20)}); err != nil {
				t.Fatal(err)
			}
			time.Sleep(2 * time.Second)
			synctest.Wait()
			if rest > 4096 || end != nil || len(p.idle) != 0 {
				t.Fatalf("%d bytes after the answer, end %v, kept %d", rest, end, len(p.idle))
			}
		})
	}
}

func TestAnswerToAnotherAttempt(t *testing.T) {
	// Guards against a caller that gets another caller's response: the target
	// responds to attempt 1 once more after attempt 2 was sent on the same
	// connection, and HTTP/1.1 assigns responses to requests by their order alone.
	other := "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 5\r\n\r\nother"
	chunked := "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nother\r\n0\r\n\r\n"
	mine := "HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 4\r\n\r\nmine"
	// If the end of the response before it is wrong, this body is parsed as a response.
	asBody := fmt.Sprintf("HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: %d\r\n\r\n%s", len(mine), mine)
	toHEAD := fmt.Sprintf("HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: %d\r\n\r\n", strings.Index(asBody, mine))
	for _, c := range []struct {
		name, first, method, late string
		mismatched                uint64
		ok                        bool
	}{
		{"length", "GET", "GET", other + mine, 1, true},
		{"chunks, three", "GET", "GET", chunked + other + chunked + mine, 3, true},
		{"four", "GET", "GET", other + other + other + other + mine, 4, false},
		{"none follows", "GET", "GET", other, 1, false},
		{"no length", "GET", "GET", "HTTP/1.1 200 OK\r\nId: 1\r\n\r\n" + mine, 1, false},
		{"too long", "GET", "GET", "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2000000\r\n\r\n" + strings.Repeat("x", 2000000) + mine, 1, false},
		{"after HEAD", "HEAD", "GET", toHEAD + asBody, 1, false},
		{"HEAD", "GET", "HEAD", asBody, 1, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			address := serveTCP(t, func(p *targetConn) {
				p.answers("HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 0\r\n\r\n", c.late)
			})
			p := New(Options{AttemptID: func(h http.Header) string { return h.Get("Id") }})
			wantBody(t, p, Request{Address: address, Method: c.first, ID: "1"}, "")
			got, err := get(t, p, Request{Address: address, Method: c.method, ID: "2"})
			if c.ok && (err != nil || got != "mine") {
				t.Fatalf("%q, %v", got, err)
			}
			if !c.ok {
				wantSent(t, err, true)
			}
			wantStats(t, p, Stats{Dialed: 1, Reused: 1, Mismatched: c.mismatched})
			if len(p.idle) != 0 {
				t.Fatal("the connection was returned to the pool")
			}
		})
	}
}

func TestBytesAfterAnswer(t *testing.T) {
	// Guards against a request that gets a response from before it was sent: a
	// target sends more bytes than the response, together with it or later, and
	// they are parsed as the head of the next response.
	for _, delay := range []time.Duration{0, 20 * time.Millisecond} {
		address := serveTCP(t, func(p *targetConn) {
			p.request()
			stray := "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray"
			if delay == 0 {
				io.WriteString(p, okAnswer+stray)
			} else {
				io.WriteString(p, okAnswer)
				time.Sleep(delay)
				io.WriteString(p, stray)
			}
			p.request()
		})
		p := New(Options{})
		for range 2 {
			wantBody(t, p, Request{Address: address}, "ok")
			time.Sleep(3 * delay)
		}
		if s := p.Stats(); s.Dialed != 2 || s.Reused != 0 {
			t.Fatalf("stats %+v", s)
		}
	}
}

func TestEndOfBody(t *testing.T) {
	// Guards against a truncated response that is forwarded as a complete one: the
	// connection ends in the middle of a response, regularly or by a reset, and
	// that end is taken for the end of the response.
	chunks := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for _, c := range []struct {
		name, answer string
		reset, whole bool
	}{
		{"length short", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", false, false},
		{"amid a chunk", chunks + "9\r\nok", false, false},
		{"after a chunk", chunks + "2\r\nok\r\n", false, false},
		{"amid the last chunk", chunks + "2\r\nok\r\n0\r\n", false, false},
		{"no length", "HTTP/1.1 200 OK\r\n\r\nok", false, true},
		{"no length, HTTP/1.0", "HTTP/1.0 200 OK\r\n\r\nok", false, true},
		{"no length, reset", "HTTP/1.1 200 OK\r\n\r\nok", true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			address := serveTCP(t, func(p *targetConn) {
				p.answers(c.answer)
				time.Sleep(20 * time.Millisecond) // a reset discards bytes that were not read yet
				if c.reset {
					p.reset()
				}
			})
			p := New(Options{})
			got, err := get(t, p, Request{Address: address})
			if got != "ok" || (err == nil) != c.whole || len(p.idle) != 0 {
				t.Fatalf("%q, %v", got, err)
			}
		})
	}
}

func TestResetMetByWriter(t *testing.T) {
	// Guards against a truncated response that is taken for a complete one: a target
	// resets the connection in the middle of a response without a length while a
	// long request is still being written. The kernel reports a reset only once; if
	// the write gets it, the read sees a regular end.
	read := make(chan struct{})
	address := serveTCP(t, func(p *targetConn) {
		http.ReadRequest(p.br)
		io.WriteString(p, "HTTP/1.1 200 OK\r\n\r\nok")
		<-read
		p.reset()
	})
	resp, err := New(Options{}).Do(t.Context(), Request{Address: address, Method: "POST", URI: "/", Body: make([]byte, 64<<20)})
	if err != nil {
		t.Fatal(err)
	}
	io.ReadFull(resp.Body, make([]byte, 2))
	close(read)
	<-resp.Body.(*body).x.written
	if n, err := resp.Body.Read(make([]byte, 9)); n != 0 || err == nil || err == io.EOF {
		t.Fatalf("%d bytes, %v", n, err)
	}
}

func TestCancelClosesConnection(t *testing.T) {
	// Guards against targets that continue to work for callers that have
	// disconnected, and against leaked goroutines: the context ends in any phase of
	// an exchange, and nothing interrupts a blocked read or write. synctest fails if
	// a goroutine outlives the test.
	for _, phase := range []string{"dial", "write", "head", "body", "close"} {
		t.Run(phase, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				closed := make(chan struct{})
				p := serveMemory(t, Options{}, func(p *targetConn) {
					defer close(closed)
					if phase != "write" {
						p.request()
					} else {
						p.Read(make([]byte, 3))
					}
					if phase == "body" || phase == "close" {
						io.WriteString(p, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok")
					}
					time.Sleep(time.Minute)
					if _, err := io.Copy(io.Discard, p.br); err != nil {
						t.Error(err)
					}
				})
				if phase == "dial" {
					p = New(Options{Dial: memnet.Listen().Dial, DialTimeout: time.Hour})
					close(closed)
				}
				cause := errors.New("caller disconnected")
				ctx, cancel := context.WithCancelCause(t.Context())
				time.AfterFunc(time.Second, func() { cancel(cause) })
				start := time.Now()
				resp, err := p.Do(ctx, Request{Address: "target:1", Method: "POST", URI: "/", Body: []byte("x")})
				if resp != nil {
					if phase == "close" {
						resp.Body.Close()
					}
					_, err = io.ReadAll(resp.Body)
				} else {
					wantSent(t, err, phase != "dial")
				}
				if phase == "close" {
					if time.Since(start) != 0 || err == nil {
						t.Fatalf("after %v: %v", time.Since(start), err)
					}
				} else if time.Since(start) != time.Second || !errors.Is(err, context.Canceled) || !errors.Is(err, cause) {
					t.Fatalf("after %v: %v", time.Since(start), err)
				}
				<-closed
				cancel(nil)
				synctest.Wait()
			})
		})
	}
}

func TestCancelAsResponseEnds(t *testing.T) {
	// Guards against a request that fails on a reused connection because this side
	// closed it: the context ends at the same time as the response, and the
	// connection is returned to the pool although it is about to be closed.
	ctx, cancel := context.WithCancel(t.Context())
	address := serveTCP(t, func(p *targetConn) { p.answers("HTTP/1.1 204 No\r\n\r\n") })
	p := New(Options{AttemptID: func(http.Header) string { cancel(); return "" }})
	if _, err := p.Do(ctx, Request{Address: address, Method: "GET", URI: "/"}); err != nil || len(p.idle) != 0 {
		t.Fatalf("%v, kept %d", err, len(p.idle))
	}
}

func TestInvalidResponses(t *testing.T) {
	// Guards against exhausted memory and against bytes that aren't HTTP being
	// parsed as responses: the target sends an endless head, endless 1xx heads, 101,
	// or a malformed head.
	interim := "HTTP/1.1 100 Go\r\n\r\n"
	for _, answer := range []string{
		"HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 1<<20) + "\r\n\r\n",
		strings.Repeat(interim, 1<<16) + okAnswer,
		"HTTP/1.1 101 Go\r\nUpgrade: x\r\n\r\n",
		"HTTP/1.1 +09 Odd\r\n\r\n",
		"what?\r\n\r\n",
		"",
	} {
		address := serveTCP(t, func(p *targetConn) { p.answers(answer) })
		_, err := get(t, New(Options{}), Request{Address: address})
		wantSent(t, err, true)
	}
}
