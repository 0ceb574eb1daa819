package explain

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
)

// Field is a key-value pair of a log line.
type Field struct {
	Key   string `json:"key"`
	Value string `json:"value"`
}

// Line is one line of an instance's log.
type Line struct {
	Time     time.Time `json:"time"`
	Instance string    `json:"instance"`
	Level    string    `json:"level"`
	Event    int       `json:"event"`
	Name     string    `json:"name"`
	Fields   []Field   `json:"-"` // all other fields, in the order of the line; sorted by key if it was JSON
}

// Get returns the value of the first field with the key, or "" if there is none.
func (l Line) Get(key string) string {
	for _, f := range l.Fields {
		if f.Key == key {
			return f.Value
		}
	}
	return ""
}

// concerns reports whether the line is about the request.
func (l Line) concerns(request string) bool {
	return slices.ContainsFunc(l.Fields, func(f Field) bool { return f.identifies(request) })
}

// identifies reports whether the field holds the ID of the request.
func (f Field) identifies(request string) bool {
	switch f.Key {
	case "request", "id":
		return f.Value == request
	case "requests": // of a call that was made for several requests
		return slices.Contains(strings.Split(f.Value, ","), request)
	}
	return false
}

const levelMark = "level="

// ParseLine parses a logfmt or JSON log line. Other text may precede it, such as
// the time and the name that a log collector prepends.
func ParseLine(text []byte) (Line, error) {
	object := bytes.IndexByte(text, '{')
	pairs := findLevel(text)
	switch {
	case object >= 0 && (pairs < 0 || object < pairs):
		fields, err := jsonFields(text[object:])
		if err != nil && pairs >= 0 { // the brace belongs to the collector's prefix
			return newLine(text[:pairs], text[pairs:], logfmtFields)
		}
		return buildLine(text[:object], fields, err)
	case pairs >= 0:
		return newLine(text[:pairs], text[pairs:], logfmtFields)
	}
	return Line{}, errNotLogLine
}

// errNotLogLine is returned for text that is not a log line.
var errNotLogLine = fmt.Errorf("not a log line: it contains neither %s nor a JSON object", levelMark)

// findLevel returns the index of the level key of a logfmt line, or -1 if there
// is none. Keys that only end in "level" do not count.
func findLevel(text []byte) int {
	for from := 0; ; {
		at := bytes.Index(text[from:], []byte(levelMark))
		if at < 0 {
			return -1
		}
		at += from
		if at == 0 || text[at-1] <= ' ' {
			return at
		}
		from = at + len(levelMark)
	}
}

func newLine(prefix, text []byte, decode func([]byte) ([]Field, error)) (Line, error) {
	fields, err := decode(text)
	return buildLine(prefix, fields, err)
}

// buildLine returns a Line from its decoded fields. It separates the fields that
// every line has from the others, and takes the instance from prefix if no
// field names it. A non-nil err is returned as it is.
func buildLine(prefix []byte, fields []Field, err error) (Line, error) {
	if err != nil {
		return Line{}, err
	}
	line := Line{}
	for _, f := range fields {
		switch f.Key {
		case "ts":
			line.Time, err = time.Parse(time.RFC3339Nano, f.Value)
		case "instance":
			line.Instance = f.Value
		case "level":
			line.Level = f.Value
		case "event":
			line.Event, _ = strconv.Atoi(f.Value)
		case "msg":
			line.Name = f.Value
		default:
			line.Fields = append(line.Fields, f)
		}
	}
	if err == nil && line.Time.IsZero() {
		err = fmt.Errorf("no ts")
	}
	if line.Instance == "" {
		line.Instance = instanceFromPrefix(prefix)
	}
	return line, err
}

// instanceFromPrefix returns the last word of a log collector's prefix that can
// be the name of an instance: it contains a letter and is not a time. It
// returns "" if there is none.
func instanceFromPrefix(prefix []byte) string {
	words := strings.Fields(string(prefix))
	for _, word := range slices.Backward(words) {
		word = strings.Trim(word, "|:[]")
		if _, err := time.Parse(time.RFC3339Nano, word); err != nil && strings.ContainsAny(strings.ToLower(word), "abcdefghijklmnopqrstuvwxyz") {
			return word
		}
	}
	return ""
}

func logfmtFields(text []byte) ([]Field, error) {
	var fields []Field
	decoder := logfmt.NewDecoder(bytes.NewReader(text))
	for decoder.ScanRecord() {
		for decoder.ScanKeyval() {
			fields = append(fields, Field{string(decoder.Key()), string(decoder.Value())})
		}
	}
	return fields, decoder.Err()
}

// jsonFields decodes the JSON object at the beginning of text. It returns the
// fields sorted by key.
func jsonFields(text []byte) ([]Field, error) {
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.UseNumber()
	var object map[string]any
	if err := decoder.Decode(&object); err != nil {
		return nil, err
	}
	fields := make([]Field, 0, len(object))
	for key, value := range object {
		fields = append(fields, Field{key, textOf(value)})
	}
	slices.SortFunc(fields, func(a, b Field) int { return strings.Compare(a.Key, b.Key) })
	return fields, nil
}

// textOf returns a JSON value as text: a string without quotes, any other value
// as JSON.
func textOf(value any) string {
	if s, ok := value.(string); ok {
		return s
	}
	text, _ := json.Marshal(value) // cannot fail: the value came from a JSON decoder
	return string(text)
}
