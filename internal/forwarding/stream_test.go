package forwarding

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http/httptest"
	"strconv"
	"testing"
	"testing/iotest"

	"lynxhill.example/lynxhill/internal/route"
)

// chunked is a body that comes in pieces of the sizes, again and again, and ends with err.
func chunked(data, sizes []byte, err error) io.Reader {
	var pieces []io.Reader
	for n := 0; len(data) > 0; n++ {
		size := 1
		if len(sizes) > 0 {
			size = min(1+int(sizes[n%len(sizes)]), len(data))
		}
		pieces = append(pieces, bytes.NewReader(data[:size]))
		data = data[size:]
	}
	return io.MultiReader(append(pieces, iotest.ErrReader(err))...)
}

// eventsFrom makes the events after one, with an end of line.
func eventsFrom(after, last int, end string) (out []byte) {
	for id := after + 1; id <= last; id++ {
		out = fmt.Appendf(out, "id: %d%sdata: %x%s%s", id, end, id*id, end, end)
	}
	return out
}

// FuzzEventsPassed breaks a stream off at any byte, in whatever chunks, and goes on at the target that the last whole
// event asks for. Symptom: an event is missing, torn or doubled after a stream was resumed. Events: the first target
// breaks off at any byte. Cause: where an event ends depends on how its bytes came, or a part of one is passed on.
func FuzzEventsPassed(f *testing.F) {
	f.Add(uint8(5), uint16(30), []byte{0}, false, uint8(0))
	f.Add(uint8(9), uint16(77), []byte{3, 1, 200}, true, uint8(1))
	f.Fuzz(func(t *testing.T, events uint8, cut uint16, sizes []byte, crlf bool, overlap uint8) {
		end := "\n"
		if crlf {
			end = "\r\n"
		}
		whole := eventsFrom(0, int(events), end)
		w := httptest.NewRecorder()
		s := newStream(&flight{Forwarder: forwarderOf(), Inbound: inbound(route.Streaming, true, true), w: w})
		s.started = true
		broken := whole[:min(int(cut), len(whole))]
		if err := s.passEvents(chunked(broken, sizes, io.ErrUnexpectedEOF)); !errors.Is(err, io.ErrUnexpectedEOF) {
			t.Fatalf("a stream that broke off: %v", err)
		}
		at, _ := strconv.Atoi(s.resumeAt())
		if !bytes.Equal(eventsFrom(0, at, end), w.Body.Bytes()) || !bytes.HasPrefix(broken, w.Body.Bytes()) || bytes.Count(broken, []byte(end+end)) != at {
			t.Fatalf("goes on after event %d, passed on %q of %q", at, w.Body, broken)
		}
		// A target may give events again that the caller has.
		rest := eventsFrom(max(at-int(overlap%4), 0), int(events), end)
		if err := s.passEvents(chunked(rest, sizes, io.EOF)); err != nil || !bytes.Equal(w.Body.Bytes(), whole) {
			t.Errorf("the caller got %q instead of %q: %v", w.Body, whole, err)
		}
	})
}
