package exchange

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
)

// Guards against a repeat that gets the response to the attempt before it: both carry one
// ID, and the target responds to the first once more when the second arrives on the same
// connection.
func TestRepeatOfAnIDUsesAnotherConnection(t *testing.T) {
	var connections atomic.Int32
	address := serveTCP(t, func(p *targetConn) {
		if connections.Add(1) == 1 {
			p.answers(refusalTo1, refusalTo1+answerTo1)
		} else {
			p.answers(answerTo1)
		}
	})
	p := identifiedPool()
	wantBody(t, p, Request{Address: address, ID: "1"}, "")
	wantBody(t, p, Request{Address: address, ID: "1"}, "one")
	wantStats(t, p, Stats{Dialed: 2, PassedOver: 1})
}

// Guards against a connection that is lost to all requests, since one of them is repeated:
// a request with another ID still uses it.
func TestRepeatLeavesTheConnectionToOthers(t *testing.T) {
	address := serveTCP(t, func(p *targetConn) {
		for p.request() {
			if _, err := p.Write([]byte("HTTP/1.1 204 No\r\nId: " + p.last.Header.Get("Id") + "\r\n\r\n")); err != nil {
				return
			}
		}
	})
	p := identifiedPool()
	for _, id := range []string{"1", "1", "2", "3"} {
		wantBody(t, p, Request{Address: address, ID: id, Header: http.Header{"Id": {id}}}, "")
	}
	wantStats(t, p, Stats{Dialed: 2, Reused: 2, PassedOver: 1})
}

// Guards against a response that belongs to no request, or to an earlier one, and states
// no ID: on a connection that was used before it could be either.
func TestResponseWithoutIDOnReusedConnection(t *testing.T) {
	anonymous := "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"
	address := serveTCP(t, func(p *targetConn) { p.answers(answerTo1, anonymous+answerTo2) })
	p := identifiedPool()
	wantBody(t, p, Request{Address: address, ID: "1"}, "one")
	_, err := get(t, p, Request{Address: address, ID: "2"})
	wantSent(t, err, true)
	if !errors.Is(err, ErrUnidentified) {
		t.Error(err)
	}
	if s := p.Stats(); s.Unidentified != 1 || len(p.idle) != 0 {
		t.Errorf("stats %+v, %d addresses kept", s, len(p.idle))
	}
}

// Guards against a second copy of a response without an ID, which could not be told from
// the response to the next request: such a connection is not used again.
func TestConnectionIsNotKeptAfterResponseWithoutID(t *testing.T) {
	address := serveTCP(t, func(p *targetConn) { p.answers(okAnswer, okAnswer+answerTo2) })
	p := identifiedPool()
	for range 2 {
		wantBody(t, p, Request{Address: address, ID: "1"}, "ok")
	}
	wantStats(t, p, Stats{Dialed: 2})
}

// Guards against a call that gets the response to the call before it: neither has an ID,
// and the target responds to the first once more when the second arrives.
func TestRequestWithoutIDHasAConnectionOfItsOwn(t *testing.T) {
	var connections atomic.Int32
	address := serveTCP(t, func(p *targetConn) {
		number, before := connections.Add(1), ""
		for p.request() {
			if !strings.EqualFold(p.last.Header.Get("Connection"), "close") {
				t.Errorf("the target is not told that the connection ends: %v", p.last.Header)
			}
			answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n%d", number)
			if _, err := io.WriteString(p, before+answer); err != nil {
				return
			}
			before = answer
		}
	})
	p := identifiedPool()
	for _, want := range []string{"1", "2", "3"} {
		wantBody(t, p, Request{Address: address}, want)
	}
	wantStats(t, p, Stats{Dialed: 3})
}

// Guards against requests with an ID on connections of those whose responses are not used,
// and the reverse: the former would get a late response to one of the latter.
func TestUnusedResponsesHaveConnectionsOfTheirOwn(t *testing.T) {
	address := serveTCP(t, func(p *targetConn) { p.answers(answerTo1, answerTo2) })
	p := identifiedPool()
	for _, id := range []string{"1", "2"} {
		wantBody(t, p, Request{Address: address, ID: id}, map[string]string{"1": "one", "2": "two"}[id])
		if _, err := get(t, p, Request{Address: address, ResponseUnused: true}); err != nil {
			t.Fatal(err)
		}
	}
	wantStats(t, p, Stats{Dialed: 2, Reused: 2})
	p.CloseIdle(address)
	if len(p.idle) != 0 {
		t.Errorf("%d lanes left", len(p.idle))
	}
}

// Guards against connections whose memory of IDs grows without end.
func TestConnectionIsClosedAfterManyRequests(t *testing.T) {
	address := serveTCP(t, func(p *targetConn) {
		for p.request() {
			_, _ = io.WriteString(p, "HTTP/1.1 204 No\r\nId: "+p.last.Header.Get("Id")+"\r\n\r\n")
		}
	})
	p := identifiedPool()
	for n := range 2*maxIdentified + 1 {
		id := strconv.Itoa(n)
		wantBody(t, p, Request{Address: address, ID: id, Header: http.Header{"Id": {id}}}, "")
	}
	wantStats(t, p, Stats{Dialed: 3, Reused: 2*maxIdentified - 2})
}

// Guards against a refusal of a call without an ID, such as one for a report, that comes
// again and is taken for the refusal of the next request, which the target runs.
func TestLateRefusalOfACallWithoutIDIsNotTakenForARequests(t *testing.T) {
	refusal := "HTTP/1.1 503 No\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
	var connections atomic.Int32
	address := serveTCP(t, func(p *targetConn) {
		if connections.Add(1) == 1 {
			p.answers(refusal, refusal+answerTo1)
		} else {
			p.answers(answerTo1)
		}
	})
	p := New(Options{AttemptID: func(h http.Header) string { return h.Get("Id") }})
	wantBody(t, p, Request{Address: address}, "")
	wantBody(t, p, Request{Address: address, ID: "1"}, "one")
}
