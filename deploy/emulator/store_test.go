package emulator

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// storeBody is any answer of the store.
type storeBody struct {
	Object
	Entries []Object     `json:"entries"`
	Events  []StoreEvent `json:"events"`
	HasMore bool         `json:"has_more"`
	At      int64        `json:"at"`
}

// askStore makes one call; status 0 means that no answer came.
func askStore(client *http.Client, address, method, path, body string) (int, storeBody) {
	r, err := http.NewRequest(method, "http://"+address+objectsPath+path, strings.NewReader(body))
	if err != nil {
		return 0, storeBody{}
	}
	response, err := client.Do(r)
	if err != nil {
		return 0, storeBody{}
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, storeBody{}
	}
	var answer storeBody
	_ = json.Unmarshal(text, &answer) // some answers have no body
	return response.StatusCode, answer
}

func TestStoreCalls(t *testing.T) {
	store := NewStore(StoreOptions{PageSize: 2, MaxValueBytes: 200})
	server := httptest.NewServer(store)
	defer server.Close()
	for i := range 3 {
		if _, err := store.Put("servers", fmt.Sprintf("i-%d", i), map[string]int{"slots": i}); err != nil {
			t.Fatal(err)
		}
	}
	steps := []struct {
		method, path, body string
		status             int
		revision           int64 // of the object; 0: not looked at
	}{
		{"POST", "locks", `{"metadata":{"name":"a","finalizers":["x"]},"specification":1}`, 200, 5},
		{"POST", "locks", `{"metadata":{"name":"a"},"specification":2}`, 409, 5},
		{"PUT", "locks/a", `{"metadata":{"revision":4},"specification":2}`, 409, 5},
		{"PUT", "locks/a", `{"metadata":{"revision":5,"finalizers":["x"]},"specification":2}`, 200, 6},
		{"PUT", "locks/a", `{"metadata":{"finalizers":["x"]},"specification": 2 }`, 200, 6},
		{"PUT", "locks/a/status", `{"status":{"seen":true}}`, 200, 7},
		{"PUT", "locks/b", `{"specification":2}`, 404, 0},
		{"PUT", "locks/a", `{"specification":"` + strings.Repeat("x", 300) + `"}`, 413, 0},
		{"DELETE", "locks/a?revision=6", ``, 409, 7},
		{"DELETE", "locks/a?revision=7", ``, 200, 8},
		{"GET", "locks/a", ``, 200, 8},
		{"PUT", "locks/a", `{"specification":2}`, 200, 9}, // the last finalizer goes
		{"GET", "locks/a", ``, 404, 0},
		{"PUT", "servers/i-1", `{"metadata":{"finalizers":["x"]},"specification":{"slots":1}}`, 200, 10},
		{"PUT", "servers/i-1", `{"specification":{"slots":2}}`, 403, 0},
		{"GET", "locks/a/b/c", ``, 404, 0},
	}
	for i, step := range steps {
		status, answer := askStore(server.Client(), server.Listener.Addr().String(), step.method, step.path, step.body)
		if status != step.status || step.revision != 0 && answer.Metadata.Revision != step.revision {
			t.Errorf("step %d: status %d, revision %d; want %d, %d", i, status, answer.Metadata.Revision, step.status, step.revision)
		}
	}
	_, first := askStore(server.Client(), server.Listener.Addr().String(), "GET", "servers", "")
	_, rest := askStore(server.Client(), server.Listener.Addr().String(), "GET", "servers?after=i-1", "")
	if len(first.Entries) != 2 || !first.HasMore || first.At != 10 || len(rest.Entries) != 1 || rest.HasMore {
		t.Errorf("pages %+v, %+v", first, rest)
	}
	if counts := store.Counts(); counts.Writes != 12 || counts.Reads != 4 {
		t.Errorf("counts %+v", counts)
	}
}

// serveMemory serves a handler in memory; end closes all.
func serveMemory(t *testing.T, handler http.Handler) (address string, client *http.Client, end func()) {
	t.Helper()
	network := &Memory{}
	l, err := network.Listen("")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: handler}
	done := make(chan struct{})
	go func() { defer close(done); _ = server.Serve(l) }() // ends by Close
	transport := &http.Transport{DialContext: network.Dial}
	return l.Addr().String(), &http.Client{Transport: transport}, func() {
		transport.CloseIdleConnections()
		_ = server.Close() // the listener has no error
		<-done
	}
}

func TestStoreWatchInVirtualTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := NewStore(StoreOptions{StaleFor: 2 * time.Second})
		address, client, end := serveMemory(t, store)
		defer end()
		began := time.Now()
		time.AfterFunc(3*time.Second, func() { store.Delete("locks", "none"); _, _ = store.Put("locks", "a", 1) })
		status, answer := askStore(client, address, "GET", "locks?watch=1&wait_ms=10000", "")
		if status != 200 || len(answer.Events) != 1 || answer.At != 2 || time.Since(began) != 3*time.Second {
			t.Errorf("watch: %d %+v after %v", status, answer, time.Since(began))
		}
		began = time.Now()
		status, answer = askStore(client, address, "GET", "locks?watch=2&wait_ms=1500", "")
		if status != 200 || len(answer.Events) != 0 || time.Since(began) != 1500*time.Millisecond {
			t.Errorf("empty watch: %d %+v after %v", status, answer, time.Since(began))
		}
		askStore(client, address, "GET", "locks?stale_read=1", "")
		store.Delete("locks", "a")
		if _, answer = askStore(client, address, "GET", "locks?stale_read=1", ""); len(answer.Entries) != 1 || answer.At != 2 {
			t.Errorf("stale read: %+v", answer)
		}
		store.Compact()
		if status, _ = askStore(client, address, "GET", "locks?watch=2", ""); status != http.StatusGone {
			t.Errorf("compacted watch: %d", status)
		}
	})
}

func TestStoreFaultsInVirtualTime(t *testing.T) {
	cases := []struct {
		name   string
		prefix string
		fault  StoreFault
		status int
		after  time.Duration // of the answer
		done   bool          // the write, at once
		later  bool          // the write, at the end
	}{
		{"none", "", StoreFault{}, 200, 0, true, true},
		{"others", "10.9.", StoreFault{Down: Down503}, 200, 0, true, true},
		{"503", "10.0.", StoreFault{Down: Down503}, 503, 0, false, false},
		{"429", "", StoreFault{Down: Down429}, 429, 0, false, false},
		{"reset", "", StoreFault{Down: DownReset}, 0, 0, false, false},
		{"silent", "", StoreFault{Down: DownSilent}, 0, 4 * time.Second, false, false},
		{"slow", "", StoreFault{Slow: time.Second}, 200, time.Second, true, true},
		{"lost", "", StoreFault{LoseShare: 1}, 0, 0, true, true},
		{"lost and late", "", StoreFault{LoseShare: 1, LoseLate: 2 * time.Second}, 0, 0, false, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := NewStore(StoreOptions{Random: rand.New(rand.NewPCG(1, 2))})
				address, client, end := serveMemory(t, store)
				defer end()
				store.SetFault(c.prefix, c.fault)
				time.AfterFunc(4*time.Second, store.ClearFaults)
				began := time.Now()
				status, _ := askStore(client, address, "POST", "locks", `{"metadata":{"name":"a"}}`)
				_, done := store.Get("locks", "a")
				if status != c.status || time.Since(began) != c.after || done != c.done {
					t.Errorf("status %d after %v, done %v", status, time.Since(began), done)
				}
				time.Sleep(5 * time.Second)
				if _, done = store.Get("locks", "a"); done != c.later {
					t.Errorf("done in the end: %v", done)
				}
			})
		})
	}
}
