package docscheck

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	_ "lynxhill.example/lynxhill/internal/daemon" // registers the metrics of all its packages
	_ "lynxhill.example/lynxhill/internal/edge"   // and of plain requests
	"lynxhill.example/lynxhill/internal/errkind"
	"lynxhill.example/lynxhill/internal/event"
	"lynxhill.example/lynxhill/internal/metrics"
)

var update = flag.Bool("update", false, "rewrite the tables of the pages from the code")

// hold compares the table of a page with the code's, or rewrites it.
func hold(t *testing.T, name, table string) {
	t.Helper()
	path := filepath.Join("..", "..", "docs", name)
	raw, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	before, old, after, err := Split(string(raw))
	if err != nil {
		t.Fatalf("%s: %v", path, err)
	}
	if *update {
		if err := os.WriteFile(path, []byte(before+table+after), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	if diff := Difference(old, table); diff != "" {
		t.Errorf("docs/%s and the code differ; go test ./internal/docscheck -update rewrites the table\n%s", name, diff)
	}
}

func TestErrorsPage(t *testing.T) {
	var rows []Row
	for _, k := range errkind.Kinds() {
		a := k.Answer()
		rows = append(rows, Row{"`" + a.Name + "`", strconv.Itoa(a.Status), "`" + string(a.RunState) + "`",
			"`" + string(a.Resend) + "`", strconv.Itoa(a.Event), a.Meaning})
	}
	hold(t, "ERRORS.md", Table(Row{"Kind", "HTTP status", "Run state", "Resend", "Event", "Meaning"}, rows))
}

func TestEventsPage(t *testing.T) {
	levels := map[event.Level]string{event.Debug: "debug", event.Info: "info", event.Warn: "warn", event.Error: "error"}
	var rows []Row
	for _, d := range event.All() {
		rows = append(rows, Row{strconv.Itoa(int(d.ID)), levels[d.Level], "`" + d.Name + "`", d.Meaning})
	}
	hold(t, "EVENTS.md", Table(Row{"Event", "Level", "Name", "Meaning"}, rows))
}

func TestMetricsPage(t *testing.T) {
	var rows []Row
	for _, d := range metrics.All() {
		rows = append(rows, Row{"`" + d.Name + "`", d.Unit, d.Meaning})
	}
	hold(t, "METRICS.md", Table(Row{"Metric", "Unit", "Meaning"}, rows))
}

// Two events of one name could not be told apart in a search of the log, and
// one without a meaning tells an operator nothing.
func TestEventsHaveNamesOfTheirOwnAndMeanings(t *testing.T) {
	seen := make(map[string]event.ID)
	for _, d := range event.All() {
		if other, taken := seen[d.Name]; taken {
			t.Errorf("events %d and %d are both called %s", other, d.ID, d.Name)
		}
		seen[d.Name] = d.ID
		if d.Name == "" || d.Meaning == "" {
			t.Errorf("event %d has no name or no meaning: %+v", d.ID, d)
		}
	}
}

func TestMetricsHaveUnitsAndMeanings(t *testing.T) {
	for _, d := range metrics.All() {
		if d.Unit == "" || d.Meaning == "" {
			t.Errorf("metric %s has no unit or no meaning", d.Name)
		}
	}
}

// A definition outside its package's file and block is hard to find, and two
// builders may take the same number.
func TestEventNumbersAreInBlocksOfTheirOwn(t *testing.T) {
	for _, d := range event.All() {
		if d.ID < 1000 || d.ID >= 5000 {
			t.Errorf("event %d %s is outside the blocks", d.ID, d.Name)
		}
	}
}

func TestDifferenceNamesEachLine(t *testing.T) {
	a := Table(Row{"x"}, []Row{{"1"}, {"2"}})
	b := Table(Row{"x"}, []Row{{"2"}, {"3"}})
	got := Difference(a, b)
	if !strings.Contains(got, "missing in the page: | 3 |") || !strings.Contains(got, "not in the code: | 1 |") {
		t.Fatal(got)
	}
	if got := Difference(a, a); got != "" {
		t.Fatal(got)
	}
	swapped := Table(Row{"x"}, []Row{{"2"}, {"1"}})
	if Difference(a, swapped) == "" {
		t.Fatal("another order was not noticed")
	}
}

func TestSplitKeepsThePage(t *testing.T) {
	page := fmt.Sprintf("head\n%s\nold\n%s\ntail\n", beginMark, endMark)
	before, table, after, err := Split(page)
	if err != nil || before+table+after != page || table != "old\n" {
		t.Fatalf("%q %q %q %v", before, table, after, err)
	}
	if _, _, _, err := Split("no marks"); err == nil {
		t.Fatal("a page without marks was accepted")
	}
}
