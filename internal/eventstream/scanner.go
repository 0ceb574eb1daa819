// Package eventstream finds the ends of the events in a stream of server-sent events
// (text/event-stream). It does not interpret the events.
package eventstream

import "bytes"

// lineEnd is the byte sequence that ended a line.
type lineEnd int

const (
	noLineEnd lineEnd = iota
	endLF
	endCR
	endCRLF
)

// Scanner finds the ends of events in a stream that is passed to it piece by piece.
// An event is one or more lines, of which comments are some, and the empty line after
// them; further empty lines before it belong to it as well. Lines end with LF, CR LF or
// CR. The zero value is at the start of a stream.
type Scanner struct {
	line       int     // bytes in the current line
	comment    bool    // the current line is a comment
	lines      bool    // the current event has a line
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
	for n < len(data) {
		if s.blankAtCR && data[n] != '\n' {
			s.endEvent()
			s.afterCR, s.last = false, endCR
			return n, true
		}
		n += s.scanText(data[n:])
		if n == len(data) {
			break
		}
		s.unfinished++
		n++
		if s.scanByte(data[n-1]) {
			s.endEvent()
			return n, true
		}
	}
	return n, false
}

// scanText scans the bytes before the next line end and returns their number.
func (s *Scanner) scanText(data []byte) int {
	n := lineLength(data)
	if n == 0 {
		return 0
	}
	if s.afterCR {
		s.afterCR, s.last = false, endCR
	}
	if s.line == 0 {
		s.comment = data[0] == ':'
	}
	s.line += n
	s.unfinished += n
	return n
}

// lineLength returns the number of bytes before the first line end.
func lineLength(data []byte) int {
	if n := bytes.IndexByte(data, '\n'); n >= 0 {
		data = data[:n]
	}
	if n := bytes.IndexByte(data, '\r'); n >= 0 {
		data = data[:n]
	}
	return len(data)
}

// scanByte scans a byte of a line end and reports whether an event certainly ends with
// it.
func (s *Scanner) scanByte(b byte) (ended bool) {
	afterCR := s.afterCR
	s.afterCR = b == '\r'
	if b == '\n' && afterCR { // ends no other line than the CR before it
		s.last = endCRLF
		return s.blankAtCR
	}
	if afterCR {
		s.last = endCR
	}
	last := s.endLine()
	if b == '\n' {
		s.last = endLF
		return last
	}
	// In a stream whose lines end with CR LF the event is complete with the LF only.
	s.blankAtCR = last && s.last != endCR
	return last && !s.blankAtCR
}

// endLine ends the current line and reports whether it ends the event.
func (s *Scanner) endLine() (last bool) {
	if s.line == 0 {
		return s.lines
	}
	s.lines = true
	s.fields = s.fields || !s.comment
	s.line = 0
	return false
}

func (s *Scanner) endEvent() {
	s.line, s.lines, s.fields, s.blankAtCR, s.unfinished = 0, false, false, false, 0
}

// Inside reports whether a stream that ends here ends inside an event: in a line, or
// before the empty line that ends an event. Comments are no part of an event.
func (s *Scanner) Inside() bool { return s.line > 0 || s.fields || s.blankAtCR }

// Unfinished returns the number of bytes since the end of the last event.
func (s *Scanner) Unfinished() int { return s.unfinished }
