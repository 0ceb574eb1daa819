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

// Field is a pair of a log line.
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
	Fields   []Field   `json:"-"` // all others, in the order of the line; by key where it was JSON
}

// Get returns the value of the first field of that key, "" if there is none.
func (l Line) Get(key string) string {
	for _, f := range l.Fields {
		if f.Key == key {
			return f.Value
		}
	}
	return ""
}

// of reports whether the line is one of the request's.
func (l Line) of(request string) bool {
	return slices.ContainsFunc(l.Fields, func(f Field) bool { return f.names(request) })
}

// names reports whether the field says which request the line is of.
func (f Field) names(request string) bool {
	switch f.Key {
	case "request", "id":
		return f.Value == request
	case "requests": // of a call that was made for several
		return slices.Contains(strings.Split(f.Value, ","), request)
	}
	return false
}

const levelMark = "level="

// ParseLine reads a line of logfmt or JSON that may stand behind other text,
// such as the time and the name that a collector puts before it.
func ParseLine(text []byte) (Line, error) {
	object := bytes.IndexByte(text, '{')
	pairs := findLevel(text)
	switch {
	case object >= 0 && (pairs < 0 || object < pairs):
		fields, err := jsonFields(text[object:])
		if err != nil && pairs >= 0 { // the brace was the collector's
			return newLine(text[:pairs], text[pairs:], logfmtFields)
		}
		return lineOf(text[:object], fields, err)
	case pairs >= 0:
		return newLine(text[:pairs], text[pairs:], logfmtFields)
	}
	return Line{}, errNoLine
}

// errNoLine is the error for text that is no log line at all.
var errNoLine = fmt.Errorf("no log line: it holds neither %s nor an object", levelMark)

// findLevel returns where a pair with the level begins, -1 if there is none.
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
	return lineOf(prefix, fields, err)
}

// lineOf tells the fields that every line has from the others.
func lineOf(prefix []byte, fields []Field, err error) (Line, error) {
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
		line.Instance = nameIn(prefix)
	}
	return line, err
}

// nameIn returns the last word of a collector's prefix that may be a name.
func nameIn(prefix []byte) string {
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

// jsonFields reads the object at the beginning of text.
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

// textOf writes a value of JSON as logfmt has it.
func textOf(value any) string {
	if s, ok := value.(string); ok {
		return s
	}
	text, _ := json.Marshal(value) // it came out of a decoder
	return string(text)
}
