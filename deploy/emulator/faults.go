package emulator

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"
)

// Faults of a server, switched by Target.SetFaults. Shares lie between 0 and
// 1, each is of all requests that reach a slot, Shed of those that arrive; their sum
// is at most 1.
type Faults struct {
	BreakOff    float64 // the answer ends in the middle
	Extra       float64 // bytes that belong to no request follow a whole answer
	LateSecond  float64 // the answer comes again, where the next one is expected
	NoLength    float64 // the answer ends with its connection
	EarlyAnswer float64 // the answer comes before the body is read, which is read on later
	LoseAnswer  float64 // runs, then closes without an answer
	Grey        float64 // hangs after it began to run
	Fail        float64 // runs and is answered with 500
	Shed        float64 // is refused with 503 without running
	// BreakOffUnframed: a stream with neither length nor chunks ends inside an event,
	// other answers as by BreakOff with a reset.
	BreakOffUnframed float64

	Reset     bool          // BreakOff and LoseAnswer reset instead of closing
	Hang      bool          // all requests hang; health checks don't
	Slow      float64       // factor of all work times; 0 counts as 1
	LateAfter time.Duration // LateSecond waits so long for a next request; 0 is 100 ms
	CrashPath string        // a request whose path has this prefix crashes the server
}

// manner is how one answer is given.
type manner int

const (
	mannerWhole manner = iota
	mannerBreakOff
	mannerExtra
	mannerLateSecond
	mannerNoLength
	mannerEarly
	mannerLose
	mannerHang
	mannerFail
	mannerShed
	mannerBreakOffUnframed
)

// pick chooses the manner for a draw between 0 and 1.
func (f Faults) pick(draw float64) manner {
	if f.Hang {
		return mannerHang
	}
	shares := []float64{f.BreakOff, f.Extra, f.LateSecond, f.NoLength, f.EarlyAnswer, f.LoseAnswer, f.Grey, f.Fail, f.Shed, f.BreakOffUnframed}
	for i, share := range shares {
		if draw < share {
			return mannerBreakOff + manner(i)
		}
		draw -= share
	}
	return mannerWhole
}

// errSpoilt is returned by reply when its fault ended the answer.
var errSpoilt = errors.New("the answer was spoilt by a fault")

// writeLimit bounds each raw write, and how long a raw connection is kept.
const writeLimit = 2 * time.Second

// reply writes one answer, in its manner.
type reply struct {
	w      http.ResponseWriter
	manner manner
	faults Faults
	left   int // bytes of the body until a break-off

	conn    net.Conn // set once hijacked
	from    *bufio.Reader
	chunked bool
	copied  bytes.Buffer // what was written raw, for LateSecond
}

func newReply(w http.ResponseWriter, m manner, f Faults, size int) *reply {
	if m == mannerEarly {
		_ = http.NewResponseController(w).EnableFullDuplex() // HTTP/1 has it
	}
	return &reply{w: w, manner: m, faults: f, left: size / 2}
}

// begin writes the head. A length below 0 is unknown.
func (p *reply) begin(status, length int, set map[string]string) error {
	h := p.w.Header()
	for name, value := range set {
		h.Set(name, value)
	}
	if length >= 0 && p.manner != mannerNoLength {
		h.Set("Content-Length", fmt.Sprint(length))
	}
	switch p.manner {
	case mannerLose:
		return nil
	case mannerBreakOffUnframed:
		if length >= 0 {
			p.manner, p.faults.Reset = mannerBreakOff, true
			break
		}
		p.left = max(p.left, 1)
		return p.beginRaw(status, length)
	case mannerExtra, mannerLateSecond, mannerNoLength:
		return p.beginRaw(status, length)
	}
	p.w.WriteHeader(status)
	return nil
}

func (p *reply) beginRaw(status, length int) error {
	if err := p.hijack(); err != nil {
		return err
	}
	h := p.w.Header()
	p.chunked = length < 0 && p.manner != mannerNoLength && p.manner != mannerBreakOffUnframed
	if p.chunked {
		h.Set("Transfer-Encoding", "chunked")
	}
	var head bytes.Buffer
	fmt.Fprintf(&head, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	_ = h.Write(&head) // a bytes.Buffer takes all
	head.WriteString("\r\n")
	return p.raw(head.Bytes())
}

func (p *reply) hijack() error {
	conn, buffered, err := http.NewResponseController(p.w).Hijack()
	if err != nil {
		return err
	}
	p.conn, p.from = conn, buffered.Reader
	return nil
}

// raw writes to the hijacked connection.
func (p *reply) raw(b []byte) error {
	p.copied.Write(b)
	if err := p.conn.SetWriteDeadline(time.Now().Add(writeLimit)); err != nil {
		return err
	}
	_, err := p.conn.Write(b)
	return err
}

// write writes a part of the body and hands it on at once.
func (p *reply) write(b []byte) error {
	switch {
	case p.manner == mannerLose:
		return nil
	case p.chunked:
		return p.raw(fmt.Appendf(nil, "%x\r\n%s\r\n", len(b), b))
	case p.manner == mannerBreakOffUnframed:
		return p.writeUnframed(b)
	case p.conn != nil:
		return p.raw(b)
	}
	broken := p.manner == mannerBreakOff && len(b) > p.left
	if broken {
		b = b[:p.left]
	}
	p.left -= len(b)
	if _, err := p.w.Write(b); err != nil {
		return err
	}
	if err := http.NewResponseController(p.w).Flush(); err != nil {
		return err
	}
	if broken {
		p.abort()
		return errSpoilt
	}
	return nil
}

// writeUnframed writes an event of a stream that ends inside an event.
func (p *reply) writeUnframed(b []byte) error {
	if len(b) <= p.left {
		p.left -= len(b)
		return p.raw(b)
	}
	if err := p.raw(b[:max(p.left, 1)]); err != nil {
		return err
	}
	_ = p.conn.Close() // nothing is left to do if it fails
	return errSpoilt
}

// finish ends the answer as complete, or as its fault says.
func (p *reply) finish() error {
	if p.manner == mannerLose || p.manner == mannerBreakOff || p.manner == mannerBreakOffUnframed {
		p.abort()
		return errSpoilt
	}
	if p.chunked {
		return p.raw([]byte("0\r\n\r\n"))
	}
	return nil
}

// tail does what follows a complete answer, and ends a raw connection.
func (p *reply) tail() {
	if p.conn == nil {
		return
	}
	defer p.conn.Close()
	switch p.manner {
	case mannerExtra:
		_ = p.raw([]byte("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray")) // the caller may be gone
	case mannerLateSecond:
		p.again()
	}
}

// again writes the answer a second time.
func (p *reply) again() {
	wait := p.faults.LateAfter
	if wait == 0 {
		wait = 100 * time.Millisecond
	}
	if p.conn.SetReadDeadline(time.Now().Add(wait)) != nil {
		return
	}
	if _, err := p.from.Peek(1); err != nil {
		var timeout net.Error
		if !errors.As(err, &timeout) || !timeout.Timeout() {
			return // closed by the caller
		}
	}
	_ = p.raw(bytes.Clone(p.copied.Bytes())) // the caller may be gone
}

// abort closes or resets the connection.
func (p *reply) abort() {
	if p.conn == nil && p.hijack() != nil {
		return
	}
	if p.faults.Reset {
		reset(p.conn)
		return
	}
	_ = p.conn.Close() // nothing is left to do if it fails
}

// reset closes a connection, of TCP by a reset.
func reset(conn net.Conn) {
	if c, ok := conn.(interface{ SetLinger(int) error }); ok {
		_ = c.SetLinger(0) // then it is closed plainly
	}
	_ = conn.Close()
}

// crashes reports whether a request of this path ends the server.
func (f Faults) crashes(path string) bool {
	return f.CrashPath != "" && strings.HasPrefix(path, f.CrashPath)
}

// scale is d under the fault Slow.
func (f Faults) scale(d time.Duration) time.Duration {
	if f.Slow > 0 {
		return time.Duration(float64(d) * f.Slow)
	}
	return d
}
