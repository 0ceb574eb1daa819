package explain

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
)

// Source is a log that can be opened several times.
type Source struct {
	Name string
	Open func() (io.ReadCloser, error)
}

// maxLineBytes is the maximum length of a line. Longer lines are skipped, because
// a file that is not a log may consist of a single huge line.
const maxLineBytes = 64 << 10

// scan calls each for all log lines of the sources that pass the filter. The
// filter sees the raw text of every line and must be cheap. scan returns how
// many of the filtered lines look like log lines but could not be parsed.
func scan(sources []Source, filter func([]byte) bool, each func(Line)) (unreadable int, err error) {
	for _, source := range sources {
		n, err := scanOne(source, filter, each)
		unreadable += n
		if err != nil {
			return unreadable, fmt.Errorf("%s: %w", source.Name, err)
		}
	}
	return unreadable, nil
}

func scanOne(source Source, filter func([]byte) bool, each func(Line)) (unreadable int, err error) {
	file, err := source.Open()
	if err != nil {
		return 0, err
	}
	defer file.Close()
	in := bufio.NewReaderSize(file, maxLineBytes)
	for {
		text, whole, err := nextLine(in)
		if err != nil {
			return unreadable, ignoreEOF(err)
		}
		if !filter(text) {
			continue
		}
		line, err := ParseLine(text)
		switch {
		case errors.Is(err, errNotLogLine):
		case err != nil || !whole:
			unreadable++
		default:
			each(line)
		}
	}
}

func ignoreEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}

// nextLine returns the next line without its line feed, or, with whole false,
// the beginning of a line that is longer than maxLineBytes. The text is valid
// until the next call.
func nextLine(in *bufio.Reader) (text []byte, whole bool, err error) {
	text, err = in.ReadSlice('\n')
	switch {
	case errors.Is(err, bufio.ErrBufferFull):
		beginning := bytes.Clone(text)
		return beginning, false, skipLine(in)
	case errors.Is(err, io.EOF) && len(text) > 0:
		return text, true, nil // the last line has no line feed
	case err != nil:
		return nil, false, err
	}
	return text[:len(text)-1], true, nil
}

// skipLine discards the rest of the line. It does not report the end of the log;
// the next read does.
func skipLine(in *bufio.Reader) error {
	for {
		_, err := in.ReadSlice('\n')
		if !errors.Is(err, bufio.ErrBufferFull) {
			return ignoreEOF(err)
		}
	}
}

// idFilter returns a filter for lines that contain the request's ID. If the ID
// has characters that logs escape, the raw text cannot be searched for it, and
// the filter accepts all lines.
func idFilter(request string) func([]byte) bool {
	for _, c := range []byte(request) {
		if c <= ' ' || c >= 0x7f || bytes.IndexByte([]byte(`"\<>&`), c) >= 0 {
			return func([]byte) bool { return true }
		}
	}
	return func(text []byte) bool { return bytes.Contains(text, []byte(request)) }
}

// contextMarks are texts of which every line of the context contains at least
// one.
var contextMarks = [][]byte{[]byte("warn"), []byte("error"), []byte("targets_changed"), []byte("dispatcher_lost"), []byte("stage_call_failed")}

// mayBeContext is a filter for lines that may be context.
func mayBeContext(text []byte) bool {
	for _, mark := range contextMarks {
		if bytes.Contains(text, mark) {
			return true
		}
	}
	return false
}
