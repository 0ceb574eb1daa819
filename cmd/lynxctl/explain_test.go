package main

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"lynxhill.example/lynxhill/internal/explain"
)

const (
	refusedLine = `   5.2880 edge-lac-a-1 level=info ts=2026-08-20T16:50:52.287932223Z instance=edge-lac-a-1 event=4220 msg=ingress_refused request=22dba622af468c59 status=503 reason="no such key here, but the configuration may be old"` + "\n"
	lostLine    = `   2.5079 edge-lac-a-1 level=warn ts=2026-08-20T16:50:49.507872243Z instance=edge-lac-a-1 event=3356 msg=route_store_lost prefix=targets/ err="store: unavailable" unreported=0` + "\n"
)

func logFile(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "edge.log")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestExplainReadsFilesAndTheStandardInput(t *testing.T) {
	temporary := t.TempDir()
	t.Setenv("TMPDIR", temporary)
	tests := map[string]struct {
		stdin string
		files []string
	}{
		"standard input": {refusedLine + lostLine, nil},
		"files":          {"", []string{logFile(t, refusedLine), logFile(t, lostLine)}},
		"both":           {lostLine, []string{logFile(t, refusedLine), "-"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			args := append([]string{"explain", "22dba622af468c59"}, tt.files...)
			lynxctl(t, "", tt.stdin, args...).want(t, exitOK, "last: ingress_refused on edge-lac-a-1: status=503", "-2.780 s  edge-lac-a-1  route_store_lost")
			left, err := os.ReadDir(temporary)
			if err != nil || len(left) > 0 {
				t.Fatalf("left behind: %v, %v", left, err)
			}
		})
	}
}

func TestExplainAround(t *testing.T) {
	got := lynxctl(t, "", refusedLine+lostLine, "explain", "22dba622af468c59", "--around", "2s")
	got.want(t, exitOK, "no context in the 2s before")
	if strings.Contains(got.out, "route_store_lost") {
		t.Fatal(got.out)
	}
}

func TestExplainAsJSON(t *testing.T) {
	got := lynxctl(t, "", refusedLine+lostLine, "--output", "json", "explain", "22dba622af468c59")
	var timeline explain.Timeline
	if err := json.Unmarshal([]byte(got.out), &timeline); err != nil {
		t.Fatalf("%v: %s", err, got.out)
	}
	if len(timeline.Steps) != 1 || len(timeline.Context) != 1 || timeline.Steps[0].Outcome[0] != (explain.Field{Key: "status", Value: "503"}) {
		t.Fatalf("%s", got.out)
	}
}

func TestExplainExitStatuses(t *testing.T) {
	lynxctl(t, "", lostLine, "explain", "22dba622af468c59").want(t, exitRefused, `no line in these logs has the request "22dba622af468c59"`, "not_found")
	lynxctl(t, "", "", "explain", "22dba622af468c59", "/nonexistent").want(t, exitUsage, "/nonexistent")
	lynxctl(t, "", "", "explain", "22dba622af468c59", t.TempDir()).want(t, exitUsage, "is a directory")
	lynxctl(t, "", "", "explain", "22dba622af468c59", "--around=-1s").want(t, exitUsage, "--around")
	lynxctl(t, "", "", "explain").want(t, exitUsage, "<id>")
}
