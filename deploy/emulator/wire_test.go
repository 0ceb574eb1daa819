package emulator

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"testing"
	"time"
)

// wireServer serves answers that state the id of their requests, over a Wire with the faults.
func wireServer(t *testing.T, f WireFaults) (n *Wire, conn net.Conn) {
	n = NewWire(Loopback{}, rand.New(rand.NewPCG(1, 1)))
	l, err := n.Listen("")
	if err != nil {
		t.Fatal(err)
	}
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
		w.WriteHeader(http.StatusServiceUnavailable)
	})}
	go func() { _ = s.Serve(l) }() // ends by Close
	t.Cleanup(func() { _ = s.Close() })
	n.SetFaults(l.Addr().String(), f)
	conn, err = n.Dial(t.Context(), "tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	return n, conn
}

// TestWireFaults: what comes on a kept connection, by the ids of the answers to requests a and b.
func TestWireFaults(t *testing.T) {
	for name, c := range map[string]struct {
		faults WireFaults
		want   []string
	}{
		"sound":             {WireFaults{}, []string{"a", "b"}},
		"repeated":          {WireFaults{Repeat: 1}, []string{"a", "a", "b"}},
		"repeated, no id":   {WireFaults{Repeat: 1, Strip: true}, []string{"a", "", "b"}},
		"foreign":           {WireFaults{Foreign: 1}, []string{"a", "a", "b"}},
		"reset":             {WireFaults{Reset: 1}, []string{"a", "reset"}},
		"bytes without end": {WireFaults{Endless: 1}, []string{"endless"}},
	} {
		t.Run(name, func(t *testing.T) {
			n, conn := wireServer(t, c.faults)
			in := bufio.NewReader(conn)
			var got []string
			for _, id := range []string{"a", "b"} {
				if _, err := fmt.Fprintf(conn, "GET / HTTP/1.1\r\nHost: h\r\nAttempt-Id: %s\r\n\r\n", id); err != nil {
					t.Fatal(err)
				}
				if c.faults.Endless > 0 {
					if _, err := io.CopyN(io.Discard, in, 1<<20); err != nil {
						t.Fatal(err)
					}
					got = []string{"endless"}
					break
				}
				for {
					answer, err := http.ReadResponse(in, nil)
					if err != nil {
						got = append(got, "reset")
						break
					}
					got = append(got, answer.Header.Get("Attempt-Id"))
					if got[len(got)-1] == id {
						break
					}
				}
			}
			if fmt.Sprint(got) != fmt.Sprint(c.want) {
				t.Errorf("%q, want %q (%+v)", got, c.want, n.Counts())
			}
		})
	}
}
