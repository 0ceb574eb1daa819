package logsink

import "bytes"

// firstBytes is how much a ring has at first. Most instances need no more.
const firstBytes = 32 << 10

// ring holds bytes in the order in which they came.
type ring struct {
	bound int // that buf may grow to
	buf   []byte
	head  int // of the oldest byte
	size  int
}

func newRing(bound int) ring {
	return ring{bound: bound, buf: make([]byte, min(bound, firstBytes))}
}

// put copies the line behind the others and reports whether it fitted.
func (r *ring) put(line []byte) bool {
	need := r.size + len(line)
	if need > r.bound {
		return false
	}
	if need > len(r.buf) {
		r.grow(need)
	}
	tail := (r.head + r.size) % len(r.buf)
	n := copy(r.buf[tail:], line)
	copy(r.buf, line[n:])
	r.size = need
	return true
}

// grow makes room for need bytes at least, and doubles so that it happens
// seldom.
func (r *ring) grow(need int) {
	buf := make([]byte, min(r.bound, max(need, 2*len(r.buf))))
	n := copy(buf[:r.size], r.buf[r.head:])
	copy(buf[n:r.size], r.buf)
	r.buf, r.head = buf, 0
}

// take moves the oldest lines into scratch and returns them: whole lines, so
// that a line is not cut in two by the output's other end, unless the first
// one alone exceeds scratch.
func (r *ring) take(scratch []byte) []byte {
	chunk := scratch[:min(len(scratch), r.size)]
	n := copy(chunk, r.buf[r.head:])
	copy(chunk[n:], r.buf)
	if end := bytes.LastIndexByte(chunk, '\n'); end >= 0 {
		chunk = chunk[:end+1]
	}
	r.size -= len(chunk)
	r.head = (r.head + len(chunk)) % len(r.buf)
	if r.size == 0 {
		r.head = 0
	}
	return chunk
}
