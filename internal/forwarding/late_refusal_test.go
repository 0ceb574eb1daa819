package forwarding

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"lynxhill.example/lynxhill/internal/exchange"
	"lynxhill.example/lynxhill/internal/route"
)

const (
	identifiedRefusal = "HTTP/1.1 503 S\r\nX-Id: a\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
	identifiedAnswer  = "HTTP/1.1 200 OK\r\nX-Id: a\r\nX-Signed: 1\r\nContent-Length: 11\r\n\r\nid: 1\nyes\n\n"
	anonymousRefusal  = "HTTP/1.1 503 S\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
)

// refusingRig is a rig whose targets refuse the first requests. On a connection on which
// a target has refused a request, it sends the late response before it handles the next
// one.
type refusingRig struct {
	*rig
	late string

	mu       sync.Mutex        // guards all below
	refusals int               // refusals left
	refused  map[net.Conn]bool // connections on which a request was refused
	runs     int               // requests that were run
}

func newRefusingRig(t *testing.T, targets, refusals int, late string) *refusingRig {
	r := &refusingRig{late: late, refusals: refusals, refused: make(map[net.Conn]bool)}
	r.rig = newRig(t, targets, r.handle)
	r.o.Exchange = exchange.New(exchange.Options{
		Dial: r.dial, AttemptID: func(h http.Header) string { return h.Get("X-Id") },
	})
	return r
}

func (r *refusingRig) handle(_ *memoryTarget, conn net.Conn, _ string) {
	r.mu.Lock()
	late := r.refused[conn]
	refuse := r.refusals > 0
	if refuse {
		r.refusals--
		r.refused[conn] = true
	} else {
		r.runs++
	}
	r.mu.Unlock()
	if late {
		_, _ = io.WriteString(conn, r.late)
	}
	if refuse {
		_, _ = io.WriteString(conn, identifiedRefusal)
		return
	}
	time.Sleep(20 * time.Millisecond)
	_, _ = io.WriteString(conn, identifiedAnswer)
}

// check makes one request and reports broken promises of its response.
func (r *refusingRig) check(t *testing.T, in Inbound) {
	w, cut := r.call(t.Context(), in, "body", 2*time.Second)
	time.Sleep(time.Second)
	synctest.Wait()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.runs > 1 && !in.Route.Resumable {
		t.Errorf("%d runs, status %d", r.runs, w.Code)
	}
	if promise := slices.Contains([]int{408, 421, 429, 503}, w.Code); !cut && promise && r.runs > 0 {
		t.Errorf("status %d after %d runs", w.Code, r.runs)
	}
}

// forEachRefusal runs the test with 1 to 3 targets, 1 to 3 refusals, for plain requests
// and for streams.
func forEachRefusal(t *testing.T, late string) {
	kinds := map[string]func() Inbound{
		"once":      func() Inbound { return inbound(route.NonIdempotent, false, false) },
		"stream":    func() Inbound { return inbound(route.Streaming, false, true) },
		"resumable": func() Inbound { return inbound(route.Streaming, true, true) },
	}
	for kind, in := range kinds {
		for n := range 9 {
			targets, refusals := 1+n/3, 1+n%3
			t.Run(fmt.Sprintf("%s/%d targets/%d refusals", kind, targets, refusals), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					newRefusingRig(t, targets, refusals, late).check(t, in())
				})
			})
		}
	}
}

// Guards against a request that may run once and runs twice, or is answered as not run
// although it runs: a target refuses it, and repeats that refusal late, when the request
// is sent again under the same ID.
func TestLateRefusalIsNotTakenForTheNextAttempt(t *testing.T) {
	forEachRefusal(t, identifiedRefusal)
}

// Guards against the same failure if the late refusal states no ID.
func TestLateRefusalWithoutID(t *testing.T) { forEachRefusal(t, anonymousRefusal) }
