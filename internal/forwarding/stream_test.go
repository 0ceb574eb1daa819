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

// chunked returns a reader that returns data in pieces of the sizes, used cyclically, and ends with err.
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

// eventsFrom returns the events after the one with id after, up to last, with the given line end.
func eventsFrom(after, last int, end string) (out []byte) {
	for id := after + 1; id <= last; id++ {
		out = fmt.Appendf(out, "id: %d%sdata: %x%s%s", id, end, id*id, end, end)
	}
	return out
}

// FuzzEventsPassed cuts a stream off at any byte, read in chunks of any sizes, and resumes it after the last complete event.
// It guards against events that are missing, truncated or duplicated after a stream was resumed, because the end of an
// event is determined by the sizes of the reads, or because a part of an event is forwarded.
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
		if err := s.forwardEvents(chunked(broken, sizes, io.ErrUnexpectedEOF)); !errors.Is(err, io.ErrUnexpectedEOF) {
			t.Fatalf("error of an interrupted stream: %v", err)
		}
		at, _ := strconv.Atoi(s.resumeAt())
		if !bytes.Equal(eventsFrom(0, at, end), w.Body.Bytes()) || !bytes.HasPrefix(broken, w.Body.Bytes()) || bytes.Count(broken, []byte(end+end)) != at {
			t.Fatalf("resumes after event %d, forwarded %q of %q", at, w.Body, broken)
		}
		// A target may send events again that were already forwarded.
		rest := eventsFrom(max(at-int(overlap%4), 0), int(events), end)
		if err := s.forwardEvents(chunked(rest, sizes, io.EOF)); err != nil || !bytes.Equal(w.Body.Bytes(), whole) {
			t.Errorf("the caller got %q instead of %q: %v", w.Body, whole, err)
		}
	})
}
