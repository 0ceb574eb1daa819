package eventstream

import (
	"slices"
	"strings"
	"testing"
)

// scan passes the text to a Scanner in pieces of the size and returns the events that
// ended and the Scanner.
func scan(text string, size int) (events []string, s *Scanner) {
	s = new(Scanner)
	begun := 0
	for at := 0; at < len(text); {
		piece := text[at:min(at+size, len(text))]
		n, ended := s.Scan([]byte(piece))
		at += n
		if ended {
			events = append(events, text[begun:at])
			begun = at
		}
	}
	return events, s
}

func TestScanFindsTheEndsOfEvents(t *testing.T) {
	for _, c := range []struct {
		name   string
		events []string // joined and scanned
		rest   string   // scanned after the events
		inside bool
	}{
		{"LF", []string{"id: 1\ndata\n\n", "id: 2\n\n"}, "", false},
		{"CR LF", []string{"id: 1\r\ndata\r\n\r\n", "id: 2\r\n\r\n"}, "", false},
		{"CR", []string{"id: 1\rdata\r\r", "id: 2\r\r"}, "", false},
		{"mixed", []string{"id: 1\r\ndata\n\r\n", "id: 2\n\n", "id: 3\r\n\n"}, "", false},
		{"empty lines", []string{"\nid: 1\n\n", "\r\n\nid: 2\n\n"}, "\n", false},
		{"empty", nil, "", false},
		{"comment", []string{"id: 1\n\n"}, ": alive\n", false},
		{"in a comment", []string{"id: 1\n\n"}, ": ali", true},
		{"in a field", []string{"id: 1\n\n"}, "id: 2", true},
		{"after a field", []string{"id: 1\n\n"}, "id: 2\n", true},
		{"after a field and a comment", []string{"id: 1\n\n"}, "id: 2\n:x\n", true},
		{"in the line end CR LF", []string{"id: 1\r\n\r\n"}, "id: 2\r\n\r", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			text := strings.Join(c.events, "") + c.rest
			for size := 1; size <= len(text)+1; size++ {
				events, s := scan(text, size)
				if !slices.Equal(events, c.events) || s.Inside() != c.inside || s.Unfinished() != len(c.rest) {
					t.Errorf("pieces of %d: %q, inside %v, unfinished %d", size, events, s.Inside(), s.Unfinished())
				}
			}
		})
	}
}

// Guards against a stream that was cut at some byte inside an event being taken for complete.
func TestEachCutInsideAnEventIsSeen(t *testing.T) {
	for _, end := range []string{"\n", "\r\n", "\r"} {
		first, second := "id: 1"+end+"data: a"+end+end, "id: 2"+end+":c"+end+"data: b"+end+end
		whole := first + second
		for cut := range len(whole) + 1 {
			_, s := scan(whole[:cut], 3)
			if atEnd := cut == 0 || cut == len(first) || cut == len(whole); s.Inside() == atEnd {
				t.Errorf("line end %q, cut after %q: inside %v", end, whole[:cut], s.Inside())
			}
		}
	}
}
