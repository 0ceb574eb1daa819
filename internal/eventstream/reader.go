package eventstream

import (
	"errors"
	"io"
	"mime"
	"net/http"
)

// ContentType is the media type of a stream of events.
const ContentType = "text/event-stream"

// Is reports whether the header states that the body is a stream of events.
func Is(h http.Header) bool {
	media, _, err := mime.ParseMediaType(h.Get("Content-Type"))
	return err == nil && media == ContentType
}

// Errors of a Reader whose stream broke off.
var (
	ErrInsideEvent = errors.New("the stream ended inside an event")
	ErrNoEvent     = errors.New("the stream ended with its connection before the first event")
)

// Reader reads the body of a stream of events and tells a stream that broke off from
// a complete one where the end of the body does not: a body that is framed by the end
// of its connection, or by a sender that closed it properly in the middle, ends with
// io.EOF wherever it broke off. A stream that broke off between two events of such a
// body can't be recognised.
type Reader struct {
	body    io.Reader
	framed  bool
	read    bool
	events  int
	scanner Scanner
}

// NewReader returns a Reader of the body. framed reports that the end of the body is
// not that of its connection.
func NewReader(body io.Reader, framed bool) *Reader { return &Reader{body: body, framed: framed} }

// Read implements io.Reader. It returns ErrInsideEvent or ErrNoEvent in place of
// io.EOF if the stream broke off.
func (r *Reader) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	r.read = r.read || n > 0
	for data := p[:n]; len(data) > 0; {
		scanned, ended := r.scanner.Scan(data)
		if ended {
			r.events++
		}
		data = data[scanned:]
	}
	switch {
	case err != io.EOF:
		return n, err
	case r.scanner.Inside():
		return n, ErrInsideEvent
	case !r.read && !r.framed:
		return n, ErrNoEvent
	}
	return n, io.EOF
}

// Events returns the number of complete events that were read.
func (r *Reader) Events() int { return r.events }

// Unfinished returns the number of bytes that were read since the end of the last event.
func (r *Reader) Unfinished() int { return r.scanner.Unfinished() }
