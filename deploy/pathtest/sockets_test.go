package pathtest

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"lynxhill.example/lynxhill/deploy/emulator"
)

// line is the start of a request with its usual headers.
func line(method, path, id string, more ...string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: 3000\r\nCredential: k\r\n%s", method, path, host, id, strings.Join(append(more, ""), "\r\n"))
}

func post(path, id, body string) string {
	return line("POST", path, id, fmt.Sprintf("Content-Length: %d", len(body))) + "\r\n" + body
}

// wanted is a run that a server must have seen.
type wanted struct{ id, method, path, body string }

// rawCase is what a client sends on one connection.
type rawCase struct {
	name     string
	send     []string // written one after the other, with a pause between
	pause    time.Duration
	statuses []int    // of the answers in order
	or       []int    // as good
	runs     []wanted // exactly these
	maybe    []wanted // as good
	closed   bool     // the instance has to end the connection afterwards
}

// answersOf reads answers until the connection ends or is quiet for a while, which is longer while some are expected.
func answersOf(conn net.Conn, method string, expected int) (statuses []int, ids []string, closed bool) {
	in := bufio.NewReader(conn)
	for {
		quiet := 2 * time.Second
		if len(statuses) >= expected {
			quiet = 200 * time.Millisecond
		}
		_ = conn.SetReadDeadline(time.Now().Add(quiet))
		response, err := http.ReadResponse(in, &http.Request{Method: method})
		if err != nil {
			return statuses, ids, !errors.Is(err, os.ErrDeadlineExceeded)
		}
		_, err = io.Copy(io.Discard, response.Body)
		statuses, ids = append(statuses, response.StatusCode), append(ids, response.Header.Get("Attempt-Id"))
		if err != nil {
			return statuses, ids, true
		}
		method = "GET" // only the first may be HEAD
	}
}

func rawCases() []rawCase {
	chunked := line("POST", "/once/c?x=1", "c1", "Transfer-Encoding: chunked", "Trailer: Tail") + "\r\n4;ext=1\r\nbody\r\n3\r\n-it\r\n0\r\nTail: end\r\n\r\n"
	smuggled := post("/once/hidden", "hidden", "x")
	torn := strings.Split(post("/once/torn", "torn1", "torn body"), "")
	return []rawCase{
		{name: "pipelined", send: []string{post("/once/1", "p1", "one") + line("GET", "/idem/2", "p2") + "\r\n" + post("/idem/3?q", "p3", "three")}, statuses: []int{200, 200, 200}, runs: []wanted{{"p1", "POST", "/once/1", "one"}, {"p2", "GET", "/idem/2", ""}, {"p3", "POST", "/idem/3?q", "three"}}},
		{name: "chunked, then another", send: []string{chunked + post("/once/c2", "c2", "next")}, statuses: []int{200, 200}, runs: []wanted{{"c1", "POST", "/once/c?x=1", "body-it"}, {"c2", "POST", "/once/c2", "next"}}},
		{name: "Expect: 100-continue", send: []string{line("POST", "/once/e", "e1", "Content-Length: 4", "Expect: 100-continue") + "\r\n", "body"}, pause: 100 * time.Millisecond, statuses: []int{100, 200}, runs: []wanted{{"e1", "POST", "/once/e", "body"}}},
		// What stands behind its chunks, within its length, must not run: RFC 9112, 6.1 has the connection closed.
		{name: "length and chunked", send: []string{line("POST", "/once/b", "b1", "Content-Length: 300", "Transfer-Encoding: chunked") + "\r\n4\r\nbody\r\n0\r\n\r\n" + smuggled}, statuses: []int{400}, or: []int{200}, maybe: []wanted{{"b1", "POST", "/once/b", "body"}}, closed: true},
		{name: "chunked twice", send: []string{line("POST", "/once/b", "b2", "Transfer-Encoding: chunked", "Transfer-Encoding: identity") + "\r\n0\r\n\r\n" + smuggled}, statuses: []int{400}, or: []int{501}, closed: true},
		{name: "unknown coding", send: []string{line("POST", "/once/b", "b3", "Transfer-Encoding: xchunked") + "\r\n0\r\n\r\n"}, statuses: []int{501}, or: []int{400}, closed: true},
		{name: "two lengths", send: []string{line("POST", "/once/l", "l1", "Content-Length: 4", "Content-Length: 5") + "\r\nbody" + smuggled}, statuses: []int{400}, closed: true},
		{name: "bad length", send: []string{line("POST", "/once/l", "l2", "Content-Length: +4") + "\r\nbody"}, statuses: []int{400}, closed: true},
		{name: "space before the colon", send: []string{line("POST", "/once/l", "l3", "Content-Length : 4") + "\r\nbody" + smuggled}, statuses: []int{400}, closed: true},
		{name: "bad chunk", send: []string{line("POST", "/once/k", "k1", "Transfer-Encoding: chunked") + "\r\nzz\r\nbody\r\n0\r\n\r\n" + smuggled}, statuses: []int{400}, closed: true},
		{name: "torn byte by byte", send: torn, pause: 2 * time.Millisecond, statuses: []int{200}, runs: []wanted{{"torn1", "POST", "/once/torn", "torn body"}}},
		{name: "slow body", send: []string{line("POST", "/once/s", "s1", "Content-Length: 6") + "\r\n", "ab", "cd", "ef"}, pause: 250 * time.Millisecond, statuses: []int{200}, runs: []wanted{{"s1", "POST", "/once/s", "abcdef"}}},
		{name: "half a body", send: []string{line("POST", "/once/s", "s2", "Content-Length: 600") + "\r\nab"}},
		{name: "oversized head", send: []string{line("GET", "/idem/h", "h1", "Long: "+strings.Repeat("h", 200<<10)) + "\r\n"}, statuses: []int{431}, closed: true},
		{name: "oversized body", send: []string{post("/once/o", "o1", strings.Repeat("o", 1<<20+1))}, statuses: []int{413}},
		{name: "oversized chunks", send: []string{line("POST", "/once/o", "o2", "Transfer-Encoding: chunked") + "\r\n200000\r\n" + strings.Repeat("o", 1<<21) + "\r\n0\r\n\r\n"}, statuses: []int{413}},
		{name: "body as large as allowed", send: []string{post("/once/o", "o3", strings.Repeat("o", 1<<20))}, statuses: []int{200}, runs: []wanted{{"o3", "POST", "/once/o", strings.Repeat("o", 1<<20)}}},
		{name: "no Host", send: []string{"GET /idem/n HTTP/1.1\r\nAttempt-Id: n1\r\nCredential: k\r\n\r\n"}, statuses: []int{400}, closed: true},
		{name: "two Hosts", send: []string{line("GET", "/idem/n", "n2", "Host: b.example") + "\r\n"}, statuses: []int{400}, closed: true},
		{name: "absolute URI", send: []string{line("GET", "http://"+host+"/idem/a?b=c", "a1") + "\r\n"}, statuses: []int{200}, runs: []wanted{{"a1", "GET", "/idem/a?b=c", ""}}},
		{name: "bytes of the path", send: []string{line("GET", "/idem/%2e%2e/a%2Fb//c/../d?x=%20+y&&z;", "a2") + "\r\n"}, statuses: []int{200}, runs: []wanted{{"a2", "GET", "/idem/%2e%2e/a%2Fb//c/../d?x=%20+y&&z;", ""}}},
		{name: "smuggled in a body", send: []string{post("/once/m", "m1", smuggled) + post("/once/m2", "m2", "\r\n\r\n"+smuggled)}, statuses: []int{200, 200}, runs: []wanted{{"m1", "POST", "/once/m", smuggled}, {"m2", "POST", "/once/m2", "\r\n\r\n" + smuggled}}},
		{name: "body of a GET", send: []string{line("GET", "/idem/g", "g1", fmt.Sprintf("Content-Length: %d", len(smuggled))) + "\r\n" + smuggled}, statuses: []int{200}, runs: []wanted{{"g1", "GET", "/idem/g", smuggled}}},
		{name: "HTTP/1.0", send: []string{strings.Replace(post("/once/0", "z1", "old"), "HTTP/1.1", "HTTP/1.0", 1)}, statuses: []int{200}, runs: []wanted{{"z1", "POST", "/once/0", "old"}}, closed: true},
		{name: "HEAD, then another", send: []string{line("HEAD", "/idem/d", "d1") + "\r\n" + post("/once/d", "d2", "next")}, statuses: []int{200, 200}, runs: []wanted{{"d1", "HEAD", "/idem/d", ""}, {"d2", "POST", "/once/d", "next"}}},
		{name: "no key", send: []string{strings.Replace(post("/once/x", "x1", "body"), "Credential: k\r\n", "", 1) + post("/once/x", "x2", "next")}, statuses: []int{401, 200}, runs: []wanted{{"x2", "POST", "/once/x", "next"}}},
		{name: "no such route", send: []string{post("/none/x", "x3", "body") + post("/once/x", "x4", "next")}, statuses: []int{404, 200}, runs: []wanted{{"x4", "POST", "/once/x", "next"}}},
		{name: "headers of the system", send: []string{line("POST", "/once/y", "y1", "Content-Length: 0", "Tenant: u", "Expected-Instance: i-none", "Cache-Retention: 1", "Kv-From: 127.0.0.1:1/x", "Connection: Tenant, x-own", "x-own: 1") + "\r\n"}, statuses: []int{200}, runs: []wanted{{"y1", "POST", "/once/y", ""}}},
		{name: "no HTTP", send: []string{"\x16\x03\x01\x02\x00 not HTTP\r\n\r\n"}, statuses: []int{400}, closed: true},
	}
}

// TestRawRequests writes bytes as clients must, may and must not, and compares with what the servers saw. Symptom: a
// server runs a request that no client sent, or two share a body. Events: lengths contradict one another, requests
// follow without a pause, come byte by byte, or lie in a body. Cause: the end of a request is seen at another place
// than its sender meant.
func TestRawRequests(t *testing.T) {
	r := start(t, 1, nil)
	for _, c := range rawCases() {
		t.Run(c.name, func(t *testing.T) { c.try(t, r) })
	}
	for _, run := range r.world.Journal.Runs() {
		h := run.Header
		if own := h.Get("Credential") + h.Get("Cache-Retention") + h.Get("Kv-From") + h.Get("X-Own"); own != "" || run.Tenant != "t" {
			t.Errorf("%s: passed on %q, tenant %q", run.Path, own, run.Tenant)
		}
	}
}

func (c rawCase) try(t *testing.T, r *rig) {
	conn, err := net.Dial("tcp", r.instances[0].address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	before := len(r.world.Journal.Runs())
	go func() { // the answer may come before all is written
		for i, part := range c.send {
			time.Sleep(c.pause * time.Duration(min(i, 1)))
			_, _ = io.WriteString(conn, part) // the instance need not read on
		}
	}()
	method, _, _ := strings.Cut(c.send[0], " ")
	statuses, ids, closed := answersOf(conn, method, len(c.statuses))
	if !slices.Equal(statuses, c.statuses) && (c.or == nil || !slices.Equal(statuses, c.or)) {
		t.Errorf("answers %v instead of %v", statuses, c.statuses)
	}
	if c.closed && !closed {
		t.Error("the connection is still open")
	}
	r.settle()
	var got []wanted
	sum := func(w wanted) wanted { return wanted{w.id, w.method, w.path, emulator.Sum(w.body)} }
	for _, run := range r.world.Journal.Runs()[before:] {
		got = append(got, wanted{run.Attempt, run.Method, run.Path, run.BodySum})
	}
	fits := func(list []wanted) bool {
		return slices.EqualFunc(got, list, func(a, b wanted) bool { return a == sum(b) })
	}
	if !fits(c.runs) && (c.maybe == nil || !fits(c.maybe)) {
		t.Errorf("servers ran %v instead of %v", got, c.runs)
	}
	ids = slices.DeleteFunc(ids, func(id string) bool { return id == "" })
	for n, run := range c.runs {
		if len(ids) == len(c.runs) && ids[n] != run.id {
			t.Errorf("answer %d is to %s instead of %s", n, ids[n], run.id)
		}
	}
}
