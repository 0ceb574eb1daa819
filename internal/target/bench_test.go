package target

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"testing"

	"lynxhill.example/lynxhill/internal/stagecall"
	"lynxhill.example/lynxhill/internal/wire/targetapi"
)

// benchServer is a target that answers without delay, with a reply or a stream of
// frames.
func benchServer(b *testing.B, frames int) stagecall.Target {
	b.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	handle := func(w http.ResponseWriter, r *http.Request) {
		var req targetapi.RunRequest
		_ = json.NewDecoder(r.Body).Decode(&req)
		if !req.Stream {
			writeReply(w, req)
			return
		}
		w.Header().Set("Content-Type", eventStreamType)
		for i := range frames {
			data, _ := json.Marshal(frameOf(req, i*len("word "), "word "))
			fmt.Fprintf(w, "event: frame\ndata: %s\n\n", data)
		}
		writeEvent(w, targetapi.EventEnd, endOf(req, frames*len("word ")))
	}
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	server := &http.Server{Handler: http.HandlerFunc(handle), Protocols: protocols}
	go func() { _ = server.Serve(listener) }()
	b.Cleanup(func() { _ = server.Close() })
	return stagecall.Target{ID: "t", Address: listener.Addr().String()}
}

func benchmarkCall(b *testing.B, req targetapi.RunRequest, frames int) {
	target := benchServer(b, frames)
	c := New(Options{})
	b.Cleanup(c.Close)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := c.Run(context.Background(), target, req, stagecall.Options{}, func(targetapi.Frame) error { return nil }); err != nil {
			b.Fatal(err)
		}
	}
}

// The reported allocations include those of the server.
func BenchmarkCallWhole(b *testing.B)       { benchmarkCall(b, wholeRequest(), 0) }
func BenchmarkCallStream1000(b *testing.B)  { benchmarkCall(b, streamRequest(), 1000) }
func BenchmarkEventReader1000(b *testing.B) { benchmarkEvents(b, 1000) }
func benchmarkEvents(b *testing.B, n int) {
	var body []byte
	for i := range n {
		data, _ := json.Marshal(frameOf(wholeRequest(), i*5, "word "))
		body = fmt.Appendf(body, "event: frame\ndata: %s\n\n", data)
	}
	b.ReportAllocs()
	for b.Loop() {
		events := newEventReader(bytes.NewReader(body), DefaultMaxReplyBytes)
		for range n {
			if _, err := events.next(); err != nil {
				b.Fatal(err)
			}
		}
	}
}
