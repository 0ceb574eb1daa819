package emulator

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"time"
)

// Guards against a refused arrival that is missing from a request's history, or that looks
// as if it had run.
func TestHistoryTellsRefusalsFromRuns(t *testing.T) {
	began := time.Now()
	journal := NewJournal()
	service := NewService(TargetOptions{Instance: "s", Service: "plain", Version: "v1", Slots: 1, Random: rand.New(rand.NewPCG(1, 1)), Journal: journal}, ServiceOptions{})
	l, err := Loopback{}.Listen("")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: service}
	go func() { _ = server.Serve(l) }()
	defer server.Close()
	client := &http.Client{Transport: &http.Transport{}}
	send := func() {
		request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+l.Addr().String()+"/x", nil)
		if err != nil {
			t.Fatal(err)
		}
		request.Header.Set("Attempt-Id", "a")
		response, err := client.Do(request)
		if err != nil {
			t.Fatal(err)
		}
		_ = response.Body.Close()
	}
	service.SetFaults(Faults{Shed: 1})
	send()
	service.SetFaults(Faults{})
	send()
	for end := time.Now().Add(5 * time.Second); journal.Runs()[0].Ended.IsZero() && time.Now().Before(end); {
		time.Sleep(time.Millisecond) // the client has its answer before the server records it
	}
	history := journal.History("a")
	if len(history) != 2 || history[0].Refused != http.StatusServiceUnavailable || history[0].Run != "" || history[1].Refused != 0 || history[1].Run == "" {
		t.Fatalf("history: %+v", history)
	}
	if text := journal.Describe(history[0], began); !strings.Contains(text, "ran - status 503]") {
		t.Errorf("the refusal is described as %s", text)
	}
	if text := journal.Describe(history[1], began); !strings.Contains(text, "status 200 whole]") || !strings.Contains(text, "(1 before)") {
		t.Errorf("the run is described as %s", text)
	}
}
