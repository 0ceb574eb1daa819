// Package repeating is a server for tests that gives each of its answers a second time,
// late: before the next one on the connection.
package repeating

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
)

// Serve answers requests on a loopback port until the test ends. answer returns the answer
// as it is sent, for example by Answer.
func Serve(t testing.TB, answer func(r *http.Request, body []byte) string) (address string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() { // ends with the listener
		for conn, err := l.Accept(); err == nil; conn, err = l.Accept() {
			go serve(conn, answer)
		}
	}()
	return l.Addr().String()
}

func serve(conn net.Conn, answer func(r *http.Request, body []byte) string) {
	defer conn.Close()
	in, late := bufio.NewReader(conn), ""
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(r.Body)
		next := answer(r, body)
		if _, err := io.WriteString(conn, late+next); err != nil {
			return
		}
		late = next
	}
}

// Answer returns a complete answer.
func Answer(status int, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d S\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
}
