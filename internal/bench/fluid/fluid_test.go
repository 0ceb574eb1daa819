package fluid

import (
	"bytes"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"lynxhill.example/lynxhill/internal/config"
)

// small has a service that makes 100 pieces a second in full calls, 10 a call.
func small() *Sheet {
	return &Sheet{
		Name:     "small",
		Services: []Service{{"cut", 2, 10, config.DurationOf(100 * time.Millisecond), config.DurationOf(10 * time.Millisecond)}, {"look", 1, 1, config.DurationOf(time.Second), config.DurationOf(0)}},
		Kinds: []Kind{
			{"a", 20, 1, []Need{{"cut", 2, 0}}},
			{"b", 10, 3, []Need{{"cut", 4, 0}}},
			{"c", 0.5, 1, []Need{{"look", 1, 0}}},
			{"free", 7, 1, nil},
		},
		Spans: []Span{{Name: "calm", Seconds: 10}},
	}
}

func TestBounds(t *testing.T) {
	for _, c := range []struct {
		what         string
		span         Span
		even, worthy []float64
		load         float64
	}{
		{"all fits", Span{}, []float64{1, 1, 1, 1}, []float64{1, 1, 1, 1}, 0.8},
		{"twice as much", Span{Rates: map[string]float64{"a": 2, "b": 2}}, []float64{0.625, 0.625, 1, 1}, []float64{0.25, 1, 1, 1}, 1.6},
		{"one target is gone", Span{Targets: map[string]int{"cut": 1}}, []float64{0.625, 0.625, 1, 1}, []float64{0.25, 1, 1, 1}, 1.6},
		{"all are gone", Span{Targets: map[string]int{"cut": 0}}, []float64{0, 0, 1, 1}, []float64{0, 0, 1, 1}, 1.6e6},
		{"two services are short", Span{Rates: map[string]float64{"a": 2, "b": 2, "c": 4}}, []float64{0.625, 0.625, 0.5, 1}, []float64{0.25, 1, 0.5, 1}, 1.6},
	} {
		s := small()
		c.span.Seconds = 1
		s.Spans = []Span{c.span}
		bounds, err := Bounds(s)
		if err != nil {
			t.Fatalf("%s: %v", c.what, err)
		}
		b := bounds[0]
		if !near(b.Even, c.even) || !near(b.Worthy, c.worthy) || math.Abs(b.Load[0]-c.load) > 1e-6*c.load {
			t.Errorf("%s: even %.3v, most worth %.3v, load %.3v", c.what, b.Even, b.Worthy, b.Load)
		}
	}
}

func near(a, b []float64) bool {
	for i := range a {
		if math.Abs(a[i]-b[i]) > 1e-4 {
			return false
		}
	}
	return len(a) == len(b)
}

func TestSheetsOfTheRepository(t *testing.T) {
	files, err := filepath.Glob("../../../experiments/sheets/*.toml")
	if err != nil || len(files) == 0 {
		t.Fatalf("%v, %v", files, err)
	}
	for _, file := range files {
		s, err := Read(file)
		if err != nil {
			t.Fatal(err)
		}
		bounds, err := Bounds(s)
		if err != nil {
			t.Fatalf("%s: %v", file, err)
		}
		var out bytes.Buffer
		if err := Table(&out, s, bounds); err != nil || strings.Count(out.String(), "\n") != len(s.Spans)+2 {
			t.Errorf("%s: %v\n%s", file, err, out.String())
		}
	}
}

func TestBadSheetsAreRefused(t *testing.T) {
	for what, text := range map[string]string{
		"empty":              "",
		"unknown key":        "nmae = 'x'",
		"no such service":    "[[services]]\nname='a'\ntargets=1\nbatch=1\ncall='1s'\nitem='0s'\n[[kinds]]\nname='k'\nrate=1\nworth=1\nneeds=[{service='b',pieces=1}]\n[[spans]]\nseconds=1",
		"no targets":         "[[services]]\nname='a'\ntargets=0\nbatch=1\ncall='1s'\n[[kinds]]\nname='k'\nrate=1\nworth=1\n[[spans]]\nseconds=1",
		"no kind of a span":  "[[services]]\nname='a'\ntargets=1\nbatch=1\ncall='1s'\n[[kinds]]\nname='k'\nrate=1\nworth=1\n[[spans]]\nseconds=1\nrates={x=2}",
		"a span of no time":  "[[services]]\nname='a'\ntargets=1\nbatch=1\ncall='1s'\n[[kinds]]\nname='k'\nrate=1\nworth=1\n[[spans]]\nname='s'",
		"a kind of no worth": "[[services]]\nname='a'\ntargets=1\nbatch=1\ncall='1s'\n[[kinds]]\nname='k'\nrate=1\n[[spans]]\nseconds=1",
	} {
		path := filepath.Join(t.TempDir(), "sheet.toml")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := Read(path); err == nil {
			t.Errorf("%s is taken", what)
		}
	}
}
