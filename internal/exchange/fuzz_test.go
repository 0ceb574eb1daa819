package exchange

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// FuzzAnswer has a target send arbitrary bytes as a response, in one write, and respond to a second request correctly.
// It guards against a caller that gets bytes of another response, or more or less than its own, because the end of a
// response was determined wrongly.
func FuzzAnswer(f *testing.F) {
	const second = "HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 6\r\n\r\nsecond"
	for _, seed := range []string{
		okAnswer, okAnswer + okAnswer, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX: y\r\n\r\n",
		"HTTP/1.1 200 OK\r\nId: 0\r\nContent-Length: 3\r\n\r\noldHTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 100 Go\r\n\r\n" + okAnswer, "HTTP/1.0 200 OK\r\n\r\nok", "HTTP/1.1 204 No\r\nContent-Length: 2\r\n\r\n", "HTTP/1.1 099 X\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\nKeep-Alive: timeout=1\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	} {
		f.Add([]byte(seed), false)
		f.Add([]byte(seed), true)
	}
	f.Fuzz(func(t *testing.T, raw []byte, head bool) {
		raw = raw[:min(len(raw), 4000)] // no more than is read at once
		p := New(Options{
			AttemptID: func(h http.Header) string { return h.Get("Id") },
			Dial: func(context.Context, string, string) (net.Conn, error) {
				near, far := net.Pipe()
				answers := [][]byte{raw, []byte(second)}
				raw = []byte(second) // for the next connection
				go func() {
					defer far.Close()
					in := bufio.NewReader(far)
					for _, answer := range answers {
						if _, err := http.ReadRequest(in); err != nil {
							return
						}
						if _, err := far.Write(answer); err != nil {
							return
						}
						_ = far.SetReadDeadline(time.Now().Add(time.Millisecond)) // a response may end with the connection
					}
				}()
				return near, nil
			},
		})
		defer p.CloseIdle("t:1")
		all, method := raw, map[bool]string{false: "GET", true: "HEAD"}[head]
		resp, err := p.Do(t.Context(), Request{Address: "t:1", Method: method, URI: "/", ID: "1"})
		if err == nil {
			body, err := io.ReadAll(resp.Body)
			_ = resp.Body.Close()
			declared := resp.ContentLength
			switch {
			case resp.Status < 200 || resp.Header.Get("Id") != "" && resp.Header.Get("Id") != "1":
				t.Errorf("%q: status %d of attempt %q", all, resp.Status, resp.Header.Get("Id"))
			case head && len(body) > 0, declared >= 0 && int64(len(body)) > declared, len(body) > len(all):
				t.Errorf("%q: %d bytes, %d were declared", all, len(body), declared)
			case err == nil && !head && declared >= 0 && resp.Status != http.StatusNoContent && resp.Status != http.StatusNotModified && int64(len(body)) != declared:
				t.Errorf("%q: complete with %d of %d bytes", all, len(body), declared)
			case declared >= 0 && !bytes.Contains(all, append([]byte("\n"), body...)):
				t.Errorf("%q: the body is %q", all, body)
			}
		}
		resp, err = p.Do(t.Context(), Request{Address: "t:1", Method: "GET", URI: "/", ID: "2"})
		if err != nil {
			return // the target has closed the connection
		}
		defer resp.Body.Close()
		if body, err := io.ReadAll(resp.Body); err != nil || string(body) != "second" {
			t.Errorf("%q: response to the next request %q, %v", all, body, err)
		}
	})
}
