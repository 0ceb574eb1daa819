package peer

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"reflect"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"lynxhill.example/lynxhill/internal/errkind"
	"lynxhill.example/lynxhill/internal/gossip"
	"lynxhill.example/lynxhill/internal/outcome"
	"lynxhill.example/lynxhill/internal/peer/peerpb"
	"lynxhill.example/lynxhill/internal/pipeline"
	"lynxhill.example/lynxhill/internal/store"
)

// startServer runs a peer API on loopback and returns a client that knows it as "b".
func startServer(t testing.TB, o ServerOptions) (*Client, string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := NewServer(NewHandler(o), nil, nil)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	addr := listener.Addr().String()
	client := NewClient(Options{Self: "a", Address: func(id string) (string, bool) { return addr, id == "b" }})
	t.Cleanup(client.Close)
	return client, addr
}

func sampleDigest() gossip.Digest {
	return gossip.Digest{
		From:     "a",
		Members:  []gossip.Member{{ID: "a", Incarnation: 7, State: "alive", CallerAddr: "1", AdminAddr: "2", PeerAddr: "3", Zone: "lac-a", Region: "tunis", FreeShare: 0.5, InFlight: 3, ConfigVersion: 9, Seq: 4, Left: true, DeadFor: time.Minute, KnownInstances: 8, Capacity: 0.5, Features: 1, StoreLost: true, TargetsLost: true}},
		Profiles: []gossip.ProfileVersion{{Name: "profiles/", Version: 9}},
		Loads: []gossip.Load{{Target: "t", Seq: 1, Age: 20 * time.Millisecond, Running: 1, Queued: 2, Slots: 3, MeanMS: 4, KVUsed: 0.5, Leaving: true,
			ModelsKnown: true, Models: []gossip.LoadedModel{{Model: "m", Version: "1", Adapters: []string{"x"}, Ready: true}}, Role: "decode"}},
		Usage:            []gossip.Usage{{Organisation: "o", RatePerSecond: 1.5, InFlight: 2}},
		RefusalsComplete: true, RefusalsWanted: true, Refusals: []gossip.Refusal{{Fingerprint: "f", Targets: []string{"t"}, TTL: time.Second, Ages: []time.Duration{time.Minute}, Variants: []uint32{7}, Took: []time.Duration{time.Second}, Cleared: true, ClearedAge: time.Hour}},
		Notices: []gossip.Notice{{Target: "t", Leaving: true, LeavingAge: 2 * time.Second, Limit: gossip.NoticeLimit{By: "a/1", Seq: 3, Age: time.Second, Named: true, Rate: 1.2}}},
		Burn:    []gossip.Burn{{Profile: "p", Window: 60, Total: 2, Missed: 1}},
		Sums:    []uint32{1, 2},
		Config:  gossip.Config{Confirmed: true, ConfirmAge: time.Second, Answered: true, AnswerAge: time.Second / 2, Serving: true, Loaded: true, Heard: []gossip.Heard{{Member: 5, Age: time.Second}}},
	}
}

func TestEveryFieldOfADigestArrives(t *testing.T) {
	var got gossip.Digest
	client, addr := startServer(t, ServerOptions{Exchange: func(_ context.Context, d gossip.Digest) gossip.Digest {
		got = d
		return d
	}})
	reply, err := client.Exchange(t.Context(), addr, sampleDigest())
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(got, sampleDigest()) || !reflect.DeepEqual(reply, sampleDigest()) {
		t.Errorf("received %+v\nreplied %+v", got, reply)
	}
	requireAllSet(t, reflect.ValueOf(sampleDigest()), "Digest")
}

// requireAllSet fails for an empty field of the sample: a field that is added to the digest
// but not to the messages would otherwise be missed.
func requireAllSet(t *testing.T, v reflect.Value, path string) {
	t.Helper()
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			if name := v.Type().Field(i).Name; name != "Transit" { // set by the receiver
				requireAllSet(t, v.Field(i), path+"."+name)
			}
		}
	case reflect.Slice:
		if v.Len() == 0 {
			t.Errorf("%s is empty in the sample", path)
			return
		}
		requireAllSet(t, v.Index(0), path)
	default:
		if v.IsZero() {
			t.Errorf("%s is not set in the sample", path)
		}
	}
}

func TestFieldsOfALaterVersionAreIgnored(t *testing.T) {
	bytes, err := proto.Marshal(toProto(sampleDigest()))
	if err != nil {
		t.Fatal(err)
	}
	bytes = protowire.AppendTag(bytes, 900, protowire.BytesType)
	bytes = protowire.AppendString(bytes, "from the future")
	var in peerpb.Digest
	if err := proto.Unmarshal(bytes, &in); err != nil {
		t.Fatal(err)
	}
	if got := fromProto(&in); !reflect.DeepEqual(got, sampleDigest()) {
		t.Errorf("got %+v", got)
	}
}

func TestPullOutcomeAndHandover(t *testing.T) {
	objects := []store.Object{{Key: "profiles/p", Version: 4, Value: []byte("v")}, {Key: "profiles/q", Version: 5, Deleted: true}}
	record := outcome.Record{RequestID: "r", BodyHash: "h", Output: json.RawMessage(`"x"`)}
	var handed []outcome.Exported
	client, _ := startServer(t, ServerOptions{
		Profiles: func(_, prefix string, after uint64) ([]store.Object, uint64, bool, error) {
			return objects, after + 2, prefix == "profiles/", nil
		},
		Outcome: func(_ context.Context, key outcome.Key) (outcome.Record, bool, error) {
			if key.Key == "bad" {
				return outcome.Record{}, false, errkind.New(errkind.KeyExpired, "too old")
			}
			return record, key.Key == "k", nil
		},
		Handover: func(_ context.Context, _ string, records []outcome.Exported) { handed = append(handed, records...) },
	})
	got, mark, more, err := client.Pull(t.Context(), "b", "profiles/", 3)
	if err != nil || !reflect.DeepEqual(got, objects) || mark != 5 || !more {
		t.Errorf("pull: %v %d %v %v", got, mark, more, err)
	}
	out, found, err := client.Outcome(t.Context(), "b", outcome.Key{Organisation: "o", Key: "k"})
	if err != nil || !found || !reflect.DeepEqual(out, record) {
		t.Errorf("outcome: %+v %v %v", out, found, err)
	}
	if _, found, err = client.Outcome(t.Context(), "b", outcome.Key{Key: "none"}); found || err != nil {
		t.Errorf("no record: %v %v", found, err)
	}
	if _, _, err = client.Outcome(t.Context(), "b", outcome.Key{Key: "bad"}); !errkind.Is(err, errkind.KeyExpired) {
		t.Errorf("wrong kind of a received error: %v", err)
	}
	var large outcome.Exported
	large.Record.Output, _ = json.Marshal(make([]byte, maxHandoverBytes/2))
	if err := client.Handover(t.Context(), "b", []outcome.Exported{large, large, large}); err != nil || len(handed) != 3 {
		t.Errorf("handover: %d records, %v", len(handed), err)
	}
}

type sink struct {
	text   string
	stages []pipeline.StageReport
}

func (s *sink) Frame(_ int, text string) error        { s.text += text; return nil }
func (s *sink) StageDone(report pipeline.StageReport) { s.stages = append(s.stages, report) }

func TestForwardRelaysTheWholeResponse(t *testing.T) {
	report := pipeline.StageReport{Stage: "draft", Attempts: 2, Err: errkind.New(errkind.TargetFailed, "gone")}
	client, _ := startServer(t, ServerOptions{Forward: func(_ context.Context, from string, req pipeline.Request, s pipeline.Sink) (pipeline.Outcome, error) {
		if left := time.Until(req.Deadline); from != "a" || req.Key != "k" || left <= 0 || left > time.Minute {
			return pipeline.Outcome{}, errkind.New(errkind.BadRequest, "from %s key %s left %v", from, req.Key, left)
		}
		_ = s.Frame(0, "whole ")
		_ = s.Frame(6, "answer")
		s.StageDone(report)
		return pipeline.Outcome{RequestID: req.ID, Version: 3, Stages: []pipeline.StageReport{report}}, nil
	}})
	var got sink
	out, err := client.Forward(t.Context(), "b", pipeline.Request{ID: "r", Key: "k", Deadline: time.Now().Add(time.Minute)}, &got)
	if err != nil || got.text != "whole answer" || out.RequestID != "r" || out.Version != 3 {
		t.Fatalf("%q %+v %v", got.text, out, err)
	}
	if len(got.stages) != 1 || len(out.Stages) != 1 || !errkind.Is(out.Stages[0].Err, errkind.TargetFailed) {
		t.Errorf("stages: %+v and %+v", got.stages, out.Stages)
	}
}

func TestForwardKeepsTheKindOfAnError(t *testing.T) {
	client, _ := startServer(t, ServerOptions{Forward: func(context.Context, string, pipeline.Request, pipeline.Sink) (pipeline.Outcome, error) {
		return pipeline.Outcome{}, errkind.New(errkind.KeyReused, "another body")
	}})
	if _, err := client.Forward(t.Context(), "b", pipeline.Request{}, &sink{}); !errkind.Is(err, errkind.KeyReused) {
		t.Errorf("got %v", err)
	}
}

// Guards against a caller that is informed that its booking was not run although it was.
// Both an unreachable instance and an instance that crashed while it ran the request
// appeared as a failed call. Only the former may be reported as not run.
func TestForwardSaysNotRunOnlyIfNothingWasSent(t *testing.T) {
	client, _ := startServer(t, ServerOptions{Forward: func(context.Context, string, pipeline.Request, pipeline.Sink) (pipeline.Outcome, error) {
		panic(http.ErrAbortHandler)
	}})
	_, err := client.Forward(t.Context(), "b", pipeline.Request{}, &sink{})
	if errkind.Of(err).RunState() != errkind.MayHaveRun || errors.Is(err, ErrNotSent) {
		t.Errorf("crashed during the request: %v, run state %s", err, errkind.Of(err).RunState())
	}
	_, err = client.Forward(t.Context(), "nobody", pipeline.Request{}, &sink{})
	if errkind.Of(err).RunState() != errkind.NotRun || !errors.Is(err, ErrNotSent) {
		t.Errorf("no address: %v", err)
	}
	gone, _ := net.Listen("tcp", "127.0.0.1:0")
	addr := gone.Addr().String()
	_ = gone.Close()
	down := NewClient(Options{Address: func(string) (string, bool) { return addr, true }})
	if _, err = down.Forward(t.Context(), "b", pipeline.Request{}, &sink{}); !errors.Is(err, ErrNotSent) {
		t.Errorf("refused connection: %v", err)
	}
}

// Guards against a forwarded booking that runs twice: the kept connection broke right after
// the request was sent, and the HTTP transport, which retries some requests by itself, sent
// it again on a new connection.
func TestTransportDoesNotRetryForwards(t *testing.T) {
	var runs atomic.Int32
	client := startServerWithBreakableConnection(t, func(breakLast func()) ServerOptions {
		return ServerOptions{Forward: func(context.Context, string, pipeline.Request, pipeline.Sink) (pipeline.Outcome, error) {
			runs.Add(1)
			breakLast()
			return pipeline.Outcome{}, nil
		}}
	})
	_, err := client.Forward(t.Context(), "b", pipeline.Request{}, &sink{})
	if err == nil || runs.Load() != 1 {
		t.Errorf("ran %d times, error %v", runs.Load(), err)
	}
}

// startServerWithBreakableConnection is like startServer, with an open kept connection that
// the functions in options can break.
func startServerWithBreakableConnection(t *testing.T, options func(breakLast func()) ServerOptions) *Client {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var mu sync.Mutex // guards conns
	var conns []net.Conn
	o := options(func() {
		mu.Lock()
		defer mu.Unlock()
		_ = conns[len(conns)-1].Close()
	})
	o.Exchange = func(context.Context, gossip.Digest) gossip.Digest { return gossip.Digest{} }
	server := NewServer(NewHandler(o), nil, nil)
	server.ConnState = func(conn net.Conn, state http.ConnState) {
		mu.Lock()
		defer mu.Unlock()
		if state == http.StateNew {
			conns = append(conns, conn)
		}
	}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	addr := listener.Addr().String()
	client := NewClient(Options{Address: func(string) (string, bool) { return addr, true }})
	t.Cleanup(client.Close)
	if _, err := client.Exchange(t.Context(), addr, gossip.Digest{}); err != nil { // opens the kept connection
		t.Fatal(err)
	}
	return client
}

// Guards against a refused transfer that is reported as a failure of the instance that refused it.
func TestPullFromABusyInstance(t *testing.T) {
	client, _ := startServer(t, ServerOptions{
		Profiles: func(string, string, uint64) ([]store.Object, uint64, bool, error) {
			return nil, 0, false, store.ErrThrottled
		},
	})
	if _, _, _, err := client.Pull(t.Context(), "b", "targets/", 0); !errors.Is(err, store.ErrThrottled) {
		t.Errorf("error %v, want store.ErrThrottled", err)
	}
}
