package ingress

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"

	"github.com/coder/quartz"

	"lynxhill.example/lynxhill/internal/forwarding"
	"lynxhill.example/lynxhill/internal/route"
)

// streamer writes a part of a response and aborts the response unless whole is set.
type streamer struct{ whole bool }

func (s streamer) Serve(_ context.Context, w http.ResponseWriter, _ forwarding.Inbound) {
	_, _ = io.WriteString(w, "id: 1\n")
	_ = http.NewResponseController(w).Flush()
	if !s.whole {
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, "\n")
}

// Guards against a response that broke off reaching a caller of HTTP/1.0 as complete.
func TestAbortedResponseIsNotComplete(t *testing.T) {
	for _, proto := range []string{"1.0", "1.1"} {
		for _, whole := range []bool{true, false} {
			g := New(Options{
				Codec: fakeCodec{}, Forwarder: streamer{whole}, Clock: quartz.NewReal(),
				Table: func() *route.Table {
					return (&route.Table{Routes: []route.Route{{Host: "h", PathPrefix: "/"}}}).Build()
				},
				Serving: func() bool { return true },
			})
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			server := g.Server()
			go func() { _ = server.Serve(g.CallerListener(l)) }() // ends by Close
			conn, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			_, _ = fmt.Fprintf(conn, "GET / HTTP/%s\r\nHost: h\r\nConnection: close\r\n\r\n", proto)
			got, err := io.ReadAll(conn)
			ended := err == nil && (proto == "1.0" || bytes.HasSuffix(got, []byte("0\r\n\r\n")))
			if ended != whole || !whole && proto == "1.0" && !errors.Is(err, syscall.ECONNRESET) {
				t.Errorf("HTTP/%s, whole %v: %v, %q", proto, whole, err, got)
			}
			_ = conn.Close()
			_ = server.Close()
		}
	}
}
