package explain

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
)

// Source is a log that can be opened more than once.
type Source struct {
	Name string
	Open func() (io.ReadCloser, error)
}

// maxLine bounds the length of a line. Longer ones are not read: a file that
// is no log may be a single line.
const maxLine = 64 << 10

// scan reads all lines of the sources that pass the filter, which looks at the
// text only and must be cheap. It returns how many of them look like log lines
// and cannot be read.
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
	in := bufio.NewReaderSize(file, maxLine)
	for {
		text, whole, err := nextLine(in)
		if err != nil {
			return unreadable, ignoreEnd(err)
		}
		if !filter(text) {
			continue
		}
		line, err := ParseLine(text)
		switch {
		case errors.Is(err, errNoLine):
		case err != nil || !whole:
			unreadable++
		default:
			each(line)
		}
	}
}

func ignoreEnd(err error) error {
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}

// nextLine returns a line, or the beginning of one that is too long. It is
// valid until the next call.
func nextLine(in *bufio.Reader) (text []byte, whole bool, err error) {
	text, err = in.ReadSlice('\n')
	switch {
	case errors.Is(err, bufio.ErrBufferFull):
		beginning := bytes.Clone(text)
		return beginning, false, skipLine(in)
	case errors.Is(err, io.EOF) && len(text) > 0:
		return text, true, nil // the last line has no end
	case err != nil:
		return nil, false, err
	}
	return text[:len(text)-1], true, nil
}

// skipLine reads on to the end of the line. An end of the log shows at the
// next read.
func skipLine(in *bufio.Reader) error {
	for {
		_, err := in.ReadSlice('\n')
		if !errors.Is(err, bufio.ErrBufferFull) {
			return ignoreEnd(err)
		}
	}
}

// mentions returns a filter for lines that hold the request's id. One with
// characters that a log writes in another way can't be found as text.
func mentions(request string) func([]byte) bool {
	for _, c := range []byte(request) {
		if c <= ' ' || c >= 0x7f || bytes.IndexByte([]byte(`"\<>&`), c) >= 0 {
			return func([]byte) bool { return true }
		}
	}
	return func(text []byte) bool { return bytes.Contains(text, []byte(request)) }
}

// contextMarks are what every line of the context holds at least one of.
var contextMarks = [][]byte{[]byte("warn"), []byte("error"), []byte("targets_changed"), []byte("dispatcher_lost"), []byte("stage_call_failed")}

func mayBeContext(text []byte) bool {
	for _, mark := range contextMarks {
		if bytes.Contains(text, mark) {
			return true
		}
	}
	return false
}
