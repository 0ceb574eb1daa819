package storeclient

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"lynxhill.example/lynxhill/internal/store"
)

// serveRepeating serves the calls of a connection. It sends a copy of each reply before the
// next one.
func serveRepeating(conn net.Conn, reply func(*http.Request) (status int, body string)) {
	defer conn.Close()
	in, late := bufio.NewReader(conn), ""
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		status, body := reply(r)
		next := fmt.Sprintf("HTTP/1.1 %d S\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
		if _, err := io.WriteString(conn, late+next); err != nil {
			return
		}
		late = next
	}
}

// Guards against a write that is taken for done although it was refused, since the platform
// replies to the call before it a second time, late.
func TestLateReplyIsNotTakenForTheNextCall(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() { // ends with the listener
		for conn, err := l.Accept(); err == nil; conn, err = l.Accept() {
			go serveRepeating(conn, func(r *http.Request) (int, string) {
				if strings.HasSuffix(r.URL.Path, "refused") {
					return http.StatusConflict, `{"code":"conflict"}`
				}
				return http.StatusOK, `{}`
			})
		}
	}()
	c := New(Options{Endpoints: []string{l.Addr().String()}, Budget: Budget{WritesPerSecond: 1e4, ReadsPerSecond: 1e4}})
	if _, err := c.Put(t.Context(), "p/done", []byte("1"), 0); err != nil {
		t.Fatal(err)
	}
	if _, err := c.Put(t.Context(), "p/refused", []byte("1"), 0); !errors.Is(err, store.ErrConflict) {
		t.Errorf("a write that was refused: %v", err)
	}
}
