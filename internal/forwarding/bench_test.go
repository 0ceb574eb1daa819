package forwarding

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/coder/quartz"

	"lynxhill.example/lynxhill/internal/eventstream"
	"lynxhill.example/lynxhill/internal/fleet"
	"lynxhill.example/lynxhill/internal/route"
)

// discardWriter is a http.ResponseWriter that discards the body.
type discardWriter struct{ header http.Header }

func (c discardWriter) Header() http.Header            { return c.header }
func (discardWriter) WriteHeader(int)                  {}
func (discardWriter) Write(data []byte) (int, error)   { return len(data), nil }
func (discardWriter) Flush()                           {}
func (discardWriter) SetWriteDeadline(time.Time) error { return nil }

// plainIDs is a codec that only parses an id at the start of an event.
type plainIDs struct{ fakeCodec }

func (plainIDs) EventID(block []byte) (string, bool) {
	rest, found := bytes.CutPrefix(block, []byte("id: "))
	id, _, _ := bytes.Cut(rest, []byte("\n"))
	return string(id), found
}

// BenchmarkPassEvents forwards a stream of 290 events, each of which arrives in a read of its own. The cost of the codec
// is negligible.
func BenchmarkPassEvents(b *testing.B) {
	const events = 290
	var pieces [][]byte
	for id := range events {
		pieces = append(pieces, fmt.Appendf(nil, "id: %d\ndata: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"token%d\"}}]}\n\n", id+1, id))
	}
	for _, resumable := range []bool{true, false} {
		b.Run(fmt.Sprintf("resumable=%t", resumable), func(b *testing.B) {
			f := forwarderOf()
			f.o.Codec = plainIDs{}
			b.ReportAllocs()
			for b.Loop() {
				var body []io.Reader
				for _, p := range pieces {
					body = append(body, bytes.NewReader(p))
				}
				s := newStream(&flight{Forwarder: f, Inbound: inbound(route.Streaming, resumable, true), w: discardWriter{http.Header{}}})
				pass := s.forwardBytes
				if resumable {
					pass = s.forwardEvents
				}
				if err := pass(eventstream.NewReader(io.MultiReader(body...), true)); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/events, "ns/event")
		})
	}
}

// BenchmarkServePlain forwards a plain request of 2 KB and its response of 2 KB over loopback. The result includes the
// target's side.
func BenchmarkServePlain(b *testing.B) {
	body := bytes.Repeat([]byte("x"), 2048)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("X-Signed", "1")
		_, _ = w.Write(body)
	}))
	defer server.Close()
	f := forwarderOf(&scripted{Target: fleet.Target{ID: "t", Service: "s", Address: strings.TrimPrefix(server.URL, "http://"), Slots: 4}})
	in := inbound(route.Idempotent, false, false)
	in.Request.Body = body
	first := httptest.NewRecorder()
	if f.Serve(b.Context(), first, in); first.Code != http.StatusOK || first.Body.Len() != len(body) {
		b.Fatalf("status %d, %d bytes", first.Code, first.Body.Len())
	}
	b.ReportAllocs()
	for b.Loop() {
		in.Arrived = time.Now()
		f.Serve(b.Context(), discardWriter{http.Header{}}, in)
	}
}

// BenchmarkLoadsChoose chooses a plain target. The names of the benchmarks are the numbers of targets.
func BenchmarkLoadsChoose(b *testing.B) {
	for _, n := range []int{12, 86, 600} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var targets []fleet.Target
			for k := range n {
				targets = append(targets, fleet.Target{ID: fmt.Sprint("t", k), Service: "s", Slots: 4})
			}
			loads := NewLoads(quartz.NewReal(), "", rand.New(rand.NewPCG(1, 2)))
			b.ReportAllocs()
			for b.Loop() {
				target, _ := loads.Choose(targets, nil)
				loads.Done(target, 0, time.Millisecond, nil)
			}
		})
	}
}

// BenchmarkBudget counts a request and tries to spend a retry, which is mostly refused.
func BenchmarkBudget(b *testing.B) {
	budget := NewRetryBudget(RetryBudgetOptions{Ratio: 0.1, Window: 10 * time.Second, Instances: func() int { return 370 }, Clock: quartz.NewReal()})
	b.ReportAllocs()
	for b.Loop() {
		budget.Request("s")
		budget.Spend("s")
	}
}
