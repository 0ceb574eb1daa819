package platform

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"lynxhill.example/lynxhill/internal/wire/platformapi"
)

func start(t *testing.T, opts Options) *Server {
	t.Helper()
	s, err := New(opts)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s
}

// call returns the status and decodes the body into out; 0 means that the
// connection broke.
func call(t *testing.T, s *Server, method, path string, body []byte, out any) int {
	t.Helper()
	req, err := http.NewRequest(method, "http://"+s.Addr()+path, bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	if out != nil {
		if err := json.NewDecoder(resp.Body).Decode(out); err != nil {
			t.Fatal(err)
		}
	}
	return resp.StatusCode
}

func want(t *testing.T, what string, got, wanted any) {
	t.Helper()
	if fmt.Sprint(got) != fmt.Sprint(wanted) {
		t.Fatalf("%s: got %v, want %v", what, got, wanted)
	}
}

func TestConditionalUpdate(t *testing.T) {
	s := start(t, Options{})
	path := platformapi.PathObjects + "profiles/a"
	var first, second platformapi.Object
	want(t, "create", call(t, s, "PUT", path+"?if_version=0", []byte("one"), &first), 200)
	var refused platformapi.Error
	want(t, "create again", call(t, s, "PUT", path+"?if_version=0", []byte("x"), &refused), 409)
	want(t, "current", refused.Current.Version, first.Version)
	want(t, "update", call(t, s, "PUT", path+fmt.Sprintf("?if_version=%d", first.Version), []byte("two"), &second), 200)
	if second.Version <= first.Version {
		t.Fatal("version did not rise")
	}
	var read platformapi.Object
	want(t, "get", call(t, s, "GET", path, nil, &read), 200)
	want(t, "value", string(read.Value), "two")
	want(t, "stale delete", call(t, s, "DELETE", path+"?if_version=1", nil, nil), 409)
	want(t, "delete", call(t, s, "DELETE", path+fmt.Sprintf("?if_version=%d", second.Version), nil, nil), 200)
	want(t, "gone", call(t, s, "GET", path, nil, nil), 404)
	want(t, "too large", call(t, s, "PUT", path, make([]byte, DefaultMaxValue+1), nil), 413)
}

func TestWatchSeesChangesOfItsPrefixInOrder(t *testing.T) {
	s := start(t, Options{History: 64})
	s.Put("a/1", []byte("x"))
	answer := make(chan platformapi.ObjectList)
	go func() {
		var list platformapi.ObjectList
		call(t, s, "GET", platformapi.PathWatch+"?prefix=a/&after=1&wait_ms=20000", nil, &list)
		answer <- list
	}()
	for range 20 {
		s.Put("b/1", nil) // wakes the watch, which must go on waiting
		time.Sleep(time.Millisecond)
	}
	s.Put("a/2", []byte("y"))
	list := <-answer
	want(t, "objects", len(list.Objects), 1)
	want(t, "key", list.Objects[0].Key, "a/2")
	want(t, "value", string(list.Objects[0].Value), "y")
	for range 100 {
		s.Put("a/3", nil)
	}
	call(t, s, "GET", platformapi.PathWatch+"?prefix=a/&after=1&wait_ms=0", nil, &list)
	want(t, "compacted", list.Compacted, true)
}

// A write whose reply is lost: the client sees a broken connection, yet the
// object has changed. Without this fault no test would meet ErrUnknown.
func TestLostReplyKeepsTheWrite(t *testing.T) {
	s := start(t, Options{})
	s.LoseNext(1)
	want(t, "status", call(t, s, "PUT", platformapi.PathObjects+"k?if_version=0", []byte("v"), nil), 0)
	object, ok := s.Get("k")
	want(t, "there", ok, true)
	want(t, "value", string(object.Value), "v")
	want(t, "next", call(t, s, "PUT", platformapi.PathObjects+"k", []byte("w"), nil), 200)
	want(t, "lost", s.Counts().Lost, 1)
}

func TestOutageAndLimits(t *testing.T) {
	s := start(t, Options{Limits: Limits{WritesPerSecond: 0.001}})
	path := platformapi.PathObjects + "k"
	want(t, "first write", call(t, s, "PUT", path, nil, nil), 200)
	want(t, "over the limit", call(t, s, "PUT", path, nil, nil), 429)
	want(t, "read", call(t, s, "GET", path, nil, nil), 200)
	s.Outage(OutageRefuse)
	want(t, "outage", call(t, s, "GET", path, nil, nil), 503)
	s.Outage(OutageHang)
	done := make(chan int)
	go func() { done <- call(t, s, "GET", path, nil, nil) }()
	for s.Counts().Calls[KindGet] < 3 {
		time.Sleep(time.Millisecond)
	}
	s.Outage(OutageNone)
	want(t, "after the outage", <-done, 200)
}

func TestInstanceListLagsAndExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newInstanceTable(2*time.Second, 10*time.Second, time.Now)
		table.set(platformapi.Instance{ID: "fixed"})
		table.register(platformapi.Instance{ID: "mine", State: platformapi.StateLive})
		want(t, "at once", len(table.list().Instances), 0)
		time.Sleep(2 * time.Second)
		want(t, "after the lag", len(table.list().Instances), 2)
		table.register(platformapi.Instance{ID: "mine", State: platformapi.StateLeaving})
		want(t, "still live", table.list().Instances[1].State, platformapi.StateLive)
		time.Sleep(2 * time.Second)
		want(t, "leaving", table.list().Instances[1].State, platformapi.StateLeaving)
		time.Sleep(10 * time.Second)
		want(t, "expired", len(table.list().Instances), 1)
	})
}

func TestStoreIsBounded(t *testing.T) {
	s := newObjectStore(4, 10)
	put := func(key, value string) error {
		_, err := s.put(key, []byte(value), condition{})
		return err
	}
	want(t, "fits", put("k", "12345"), nil)
	want(t, "replaced", put("k", "123456789"), nil)
	want(t, "full", put("k", "1234567890"), errFull)
	want(t, "another", put("l", ""), errFull)
	if _, err := s.remove("k", condition{}); err != nil {
		t.Fatal(err)
	}
	want(t, "room again", put("l", "123456789"), nil)
}
