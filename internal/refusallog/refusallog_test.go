package refusallog

import (
	"fmt"
	"testing"
	"time"
)

var start = time.Unix(1e9, 0)

// Guards against a page that shows refusals of an overload that is long over, and against one
// that forgets callers who have yet to come back.
func TestRowsCoverTheWindowAndTheCallersWhoAreNotDue(t *testing.T) {
	var l Log
	k := Key{"s", "o", "r", "rule"}
	l.Add(k, start, start.Add(time.Second))
	l.Add(k, start.Add(5*time.Second), start.Add(12*time.Second))
	l.Add(k, start.Add(5*time.Second), start.Add(7*time.Second))
	for _, c := range []struct {
		after       time.Duration
		rows, count int
	}{
		{5 * time.Second, 1, 3}, {9900 * time.Millisecond, 1, 3}, {10 * time.Second, 1, 2},
		{14 * time.Second, 1, 2}, {15 * time.Second, 0, 0}, {time.Hour, 0, 0},
	} {
		rows := l.Rows(start.Add(c.after))
		if len(rows) != c.rows || c.rows == 1 && (rows[0].Count != c.count || rows[0].Until != start.Add(12*time.Second)) {
			t.Errorf("after %v: %+v, want %d rows with %d refusals", c.after, rows, c.rows, c.count)
		}
	}
	l.Add(k, start, start.Add(time.Minute))
	if rows := l.Rows(start.Add(30 * time.Second)); len(rows) != 1 || rows[0].Count != 0 {
		t.Errorf("with a caller who is not due: %+v", rows)
	}
}

// Guards against memory that grows with the number of organisations (19,000 by design).
func TestRowsAreBounded(t *testing.T) {
	var l Log
	for n := range 19000 {
		l.Add(Key{"s", fmt.Sprint(n), "r", fmt.Sprint("rule", n%2)}, start, start)
	}
	rows, total := l.Rows(start), 0
	for _, r := range rows {
		total += r.Count
	}
	if len(rows) > MaxRows+2 || total != 19000 {
		t.Errorf("%d rows with %d refusals", len(rows), total)
	}
	l.Add(Key{"s", "new", "r", "rule0"}, start.Add(time.Minute), start.Add(time.Minute))
	if rows := l.Rows(start.Add(time.Minute)); len(rows) != 1 || rows[0].Organisation != "new" {
		t.Errorf("a minute later: %+v", rows)
	}
}
