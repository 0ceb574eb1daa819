package exchange

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"
)

// abruptTarget answers requests on a loopback port, and closes or resets connections at
// random moments: idle, as a request arrives, in the middle of one, before its answer.
type abruptTarget struct {
	mu     sync.Mutex // guards all below
	random *rand.Rand
	seen   map[string]int // requests whose head was read, by ID
}

func (a *abruptTarget) float() float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.random.Float64()
}

func (a *abruptTarget) count(id string) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.seen[id]
}

func (a *abruptTarget) end(conn *net.TCPConn) {
	if a.float() < 0.5 {
		_ = conn.SetLinger(0)
	}
	_ = conn.Close()
}

// serve handles the requests of a connection until it ends it.
func (a *abruptTarget) serve(conn *net.TCPConn) {
	defer a.end(conn)
	in := bufio.NewReader(conn)
	for {
		if a.float() < 0.2 { // ends while idle, or as the next request arrives
			time.Sleep(time.Duration(a.float() * float64(2*time.Millisecond)))
			return
		}
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		id := r.Header.Get("Id")
		a.mu.Lock()
		a.seen[id]++
		a.mu.Unlock()
		if a.float() < 0.1 { // in the middle of the request
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		if a.float() < 0.1 {
			return
		}
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 2\r\n\r\nok", id)
	}
}

// Guards against a request that is reported as not sent, and repeated, although the target
// has read of it: connections end as they are taken from the pool, and in the middle of a
// write.
func TestSentIsNotMissedAsConnectionsEnd(t *testing.T) {
	const callers, requests = 8, 250
	target := &abruptTarget{random: rand.New(rand.NewPCG(65, 65)), seen: make(map[string]int)}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() { // ends with the listener
		for conn, err := l.Accept(); err == nil; conn, err = l.Accept() {
			go target.serve(conn.(*net.TCPConn))
		}
	}()
	p, unsent := identifiedPool(), make(chan string, callers*requests)
	var working sync.WaitGroup
	for c := range callers {
		working.Go(func() {
			random := rand.New(rand.NewPCG(65, uint64(c)))
			for n := range requests {
				id := strconv.Itoa(c*requests + n)
				body := make([]byte, []int{0, 100, 1 << 20}[random.IntN(3)])
				_, err := get(t, p, Request{Address: l.Addr().String(), Method: "POST", ID: id, Header: http.Header{"Id": {id}}, Body: body})
				var failure *Error
				if errors.As(err, &failure) && !failure.Sent {
					unsent <- id
				}
			}
		})
	}
	working.Wait()
	time.Sleep(100 * time.Millisecond) // until the target has read what was on its way
	close(unsent)
	for id := range unsent {
		if target.count(id) > 0 {
			t.Errorf("request %s counts as not sent, and the target has read of it", id)
		}
	}
	for id, seen := range target.seen {
		if seen > 1 {
			t.Errorf("request %s was sent %d times", id, seen)
		}
	}
	if s := p.Stats(); s.Reused == 0 || s.Stale == 0 || s.Repeated != 0 {
		t.Errorf("stats %+v", s)
	}
}
