// Package eventstream finds the ends of the events in a stream of server-sent events
// (text/event-stream). It does not interpret the events.
package eventstream

import (
	"mime"
	"net/http"
)

// ContentType is the media type of a stream of events.
const ContentType = "text/event-stream"

// Is reports whether a message with the header is a stream of events, which is
// assumed if the header does not state a content type.
func Is(h http.Header) bool {
	stated := h.Get("Content-Type")
	if stated == "" {
		return true
	}
	media, _, err := mime.ParseMediaType(stated)
	return err == nil && media == ContentType
}

// lineEnd is the byte sequence that ended a line.
type lineEnd int

const (
	noLineEnd lineEnd = iota
	endLF
	endCR
	endCRLF
)

// Scanner finds the ends of events in a stream that is passed to it piece by piece.
// An event ends with an empty line; lines end with LF, CR LF or CR. The zero value is
// at the start of a stream.
type Scanner struct {
	line       int     // bytes in the current line
	comment    bool    // the current line is a comment
	fields     bool    // the current event has a line that is not a comment
	last       lineEnd // end of the last line
	afterCR    bool    // the last byte was a CR, which an LF may still belong to
	blankAtCR  bool    // that CR ended an empty line
	unfinished int     // bytes since the end of the last event
}

// Scan scans data up to and including the end of the first event in it. It returns
// how many bytes it scanned and whether the event ended with them; without an end of
// an event it scans all data. The end may be found only with the byte after it, which
// is not scanned then.
func (s *Scanner) Scan(data []byte) (n int, ended bool) {
	for i, b := range data {
		if s.blankAtCR && b != '\n' {
			s.endEvent()
			s.afterCR, s.last = false, endCR
			return i, true
		}
		s.unfinished++
		if s.scanByte(b) {
			s.endEvent()
			return i + 1, true
		}
	}
	return len(data), false
}

// scanByte scans one byte and reports whether an event certainly ends with it.
func (s *Scanner) scanByte(b byte) (ended bool) {
	afterCR := s.afterCR
	s.afterCR = b == '\r'
	switch {
	case b == '\n' && afterCR: // ends no other line than the CR before it
		s.last = endCRLF
		return s.blankAtCR
	case afterCR:
		s.last = endCR
	}
	switch b {
	case '\n':
		blank := s.endLine()
		s.last = endLF
		return blank
	case '\r':
		blank := s.endLine()
		// In a stream whose lines end with CR LF the event is complete with the LF only.
		s.blankAtCR = blank && s.last != endCR
		return blank && !s.blankAtCR
	}
	if s.line == 0 {
		s.comment = b == ':'
	}
	s.line++
	return false
}

// endLine ends the current line and reports whether it was empty.
func (s *Scanner) endLine() (blank bool) {
	blank = s.line == 0
	if !blank && !s.comment {
		s.fields = true
	}
	s.line = 0
	return blank
}

func (s *Scanner) endEvent() { s.line, s.fields, s.blankAtCR, s.unfinished = 0, false, false, 0 }

// Inside reports whether a stream that ends here ends inside an event: in a line, or
// before the empty line that ends an event. Comments are no part of an event.
func (s *Scanner) Inside() bool { return s.line > 0 || s.fields || s.blankAtCR }

// Unfinished returns the number of bytes since the end of the last event.
func (s *Scanner) Unfinished() int { return s.unfinished }
