package forwarding

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"
)

// What an instance holds for a caller that reads slowly is bounded: a stream is read in
// blocks, and the next one only once the caller has taken the one before, so that a slow
// caller slows its target. A response that is read whole, or an event that is not
// complete, counts toward the bytes that requests in flight may occupy.
//
// Without this, callers that read slowly make an instance hold the responses of all their
// requests, beyond the memory that its bound was derived from. The symptom is an instance
// that is killed while few requests arrive.

const (
	// block is the largest part of a response that is read or written at a time.
	block = 32 << 10
	// uncounted is the part of a response that the fixed cost of a request covers
	// (ingress.requestCost).
	uncounted = 16 << 10
)

// errNoMemory is the error for an event for which there is no memory.
var errNoMemory = errors.New("no memory for an event that is not complete")

// reserve counts bytes that are held for the caller.
func (fl *flight) reserve(bytes int) bool { return fl.Reserve == nil || fl.Reserve(bytes) }

// readWhole reads a response up to bufferLimit. whole is false if there is more, or if
// there is no memory for the rest: the response is then forwarded as it arrives, as one
// that is too long.
func (fl *flight) readWhole(from io.Reader) (body []byte, whole bool, err error) {
	counted := uncounted
	for {
		if len(body) > bufferLimit {
			return body, false, nil
		}
		if len(body) >= counted {
			if !fl.reserve(block) {
				return body, false, nil
			}
			counted += block
		}
		room := min(block, counted-len(body), bufferLimit+1-len(body))
		body = slices.Grow(body, room)
		n, err := from.Read(body[len(body) : len(body)+room])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			return body, true, nil
		}
		if err != nil {
			return body, false, err
		}
	}
}

// writeBlocks writes the body to the caller, who has writeTimeout to take each block.
func (fl *flight) writeBlocks(body []byte) error {
	control := http.NewResponseController(fl.w)
	for part := range slices.Chunk(body, block) {
		_ = control.SetWriteDeadline(time.Now().Add(writeTimeout))
		if _, err := fl.w.Write(part); err != nil {
			return err
		}
	}
	return nil
}

// boundedReader reads up to left bytes. It returns errTooLong if there are more.
type boundedReader struct {
	from io.Reader
	left int
}

// Read implements io.Reader.
func (r *boundedReader) Read(p []byte) (int, error) {
	n, err := r.from.Read(p)
	if r.left -= n; r.left < 0 {
		return 0, errTooLong
	}
	return n, err
}

// copyBlocks forwards the rest of a response. The next block is read once the caller has
// taken the one before.
func (fl *flight) copyBlocks(from io.Reader) error {
	buffer := make([]byte, block)
	for {
		n, err := from.Read(buffer)
		if werr := fl.writeBlocks(buffer[:n]); werr != nil {
			return fmt.Errorf("%w: %w", errCallerLeft, werr)
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// heldBytes are bytes of a stream that wait for the rest of their event.
type heldBytes struct {
	bytes   []byte
	counted int // bytes of them that were reserved
}

// append adds data. It returns false if there is no memory for it. The bytes count twice,
// since the complete event is copied.
func (h *heldBytes) append(fl *flight, data []byte) bool {
	for size := len(h.bytes) + len(data); size > uncounted+h.counted; h.counted += block {
		if !fl.reserve(2 * block) {
			return false
		}
	}
	h.bytes = append(h.bytes, data...)
	return true
}
