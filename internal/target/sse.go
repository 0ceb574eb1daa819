package target

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"

	"lynxhill.example/lynxhill/internal/wire/targetapi"
)

// errEventTooLong is returned for an event that exceeds the size limit.
var errEventTooLong = errors.New("event exceeds the limit")

const scanBufferBytes = 4 << 10

// serverEvent is one server-sent event.
type serverEvent struct {
	name string
	data []byte // valid until the next call of next
}

// eventReader parses server-sent events: the fields event and data, and the blank
// line that ends an event. Comments and other fields are skipped.
type eventReader struct {
	scanner *bufio.Scanner
	limit   int
	data    []byte
}

func newEventReader(r io.Reader, limit int64) *eventReader {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, scanBufferBytes), int(limit))
	return &eventReader{scanner: scanner, limit: int(limit)}
}

// next returns the next event. It returns io.EOF if the stream ended between
// events, and io.ErrUnexpectedEOF if it ended within one: an event without its
// blank line may be truncated and is not delivered.
func (e *eventReader) next() (serverEvent, error) {
	var name string
	e.data = e.data[:0]
	begun, hasData := false, false
	for e.scanner.Scan() {
		text := bytes.TrimSuffix(e.scanner.Bytes(), []byte("\r"))
		if len(text) == 0 {
			if hasData || name != "" {
				return serverEvent{name: name, data: e.data}, nil
			}
			begun = false
			continue
		}
		begun = true
		field, value := splitField(text)
		switch string(field) {
		case "event":
			name = eventName(value)
		case "data":
			if err := e.addData(value, hasData); err != nil {
				return serverEvent{}, err
			}
			hasData = true
		}
	}
	return serverEvent{}, e.endError(begun)
}

func (e *eventReader) addData(value []byte, more bool) error {
	if len(e.data)+len(value)+1 > e.limit {
		return errEventTooLong
	}
	if more {
		e.data = append(e.data, '\n')
	}
	e.data = append(e.data, value...)
	return nil
}

func (e *eventReader) endError(begun bool) error {
	err := e.scanner.Err()
	if errors.Is(err, bufio.ErrTooLong) {
		return errEventTooLong
	}
	if err != nil {
		return fmt.Errorf("read stream: %w", err)
	}
	if begun {
		return io.ErrUnexpectedEOF
	}
	return io.EOF
}

func splitField(text []byte) (field, value []byte) {
	field, value, _ = bytes.Cut(text, []byte(":"))
	return field, bytes.TrimPrefix(value, []byte(" "))
}

// eventName converts an event's name to a string without an allocation for the
// usual names.
func eventName(value []byte) string {
	switch string(value) {
	case targetapi.EventFrame:
		return targetapi.EventFrame
	case targetapi.EventEnd:
		return targetapi.EventEnd
	}
	return string(value)
}
