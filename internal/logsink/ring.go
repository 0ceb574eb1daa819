package logsink

import "bytes"

// initialBytes is the initial size of a ring. Most instances need no more.
const initialBytes = 32 << 10

// ring is a growing FIFO buffer of bytes.
type ring struct {
	bound int // maximum length of buf
	buf   []byte
	head  int // index of the oldest byte
	size  int // number of bytes held
}

func newRing(bound int) ring {
	return ring{bound: bound, buf: make([]byte, min(bound, initialBytes))}
}

// put appends the line and reports whether there was room for it.
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

// grow makes room for at least need bytes. It doubles the size, up to bound, so
// that it runs rarely.
func (r *ring) grow(need int) {
	buf := make([]byte, min(r.bound, max(need, 2*len(r.buf))))
	n := copy(buf[:r.size], r.buf[r.head:])
	copy(buf[n:r.size], r.buf)
	r.buf, r.head = buf, 0
}

// take moves the oldest lines into scratch and returns them. It returns whole
// lines, so that the reader of the output does not see a line cut in two, unless
// the first line alone exceeds scratch.
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
