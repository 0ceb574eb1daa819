package client

import (
	"bytes"
	"fmt"
	"io"
	"testing"
	"time"

	"lynxhill.example/lynxhill/internal/wire/lynxapi"
)

// FuzzReadStream checks that, for any bytes in a stream, an answer that is
// returned without an error is complete: its frames are contiguous and their
// lengths add up to its length.
func FuzzReadStream(f *testing.F) {
	end := func(length int) string {
		return fmt.Sprintf("event: end\ndata: {\"key\":\"k\",\"streamed\":true,\"length\":%d}\n\n", length)
	}
	frame := func(offset int, text string) string {
		return fmt.Sprintf("event: frame\ndata: {\"offset\":%d,\"text\":%q}\n\n", offset, text)
	}
	f.Add([]byte(frame(0, "ab") + frame(2, "c") + end(3)))
	f.Add([]byte(frame(0, "ab") + frame(1, "c") + end(3)))
	f.Add([]byte(frame(0, "ab")))
	f.Add([]byte("event: accepted\ndata: {\"key\":\"k\"}\n\n" + end(0)))
	f.Add([]byte("event: error\ndata: {\"kind\":\"overloaded\"}\n\n"))
	f.Add([]byte("event: end\ndata: {\"key\":\"k\",\"output\":\"abc\"}\n\n"))
	f.Fuzz(func(t *testing.T, stream []byte) {
		c := NewCaller(CallerOptions{IdleTimeout: time.Hour})
		var got string
		s := &splice{deliver: func(frame lynxapi.Frame) error {
			if frame.Offset != len(got) {
				t.Fatalf("frame at %d after %d bytes", frame.Offset, len(got))
			}
			got += frame.Text
			return nil
		}}
		body := io.NopCloser(bytes.NewReader(stream))
		reply, err := c.readStream("a", body, lynxapi.SendRequest{Key: "k"}, s)
		if err != nil {
			return
		}
		if reply.Key != "k" || (reply.Streamed && reply.Length != len(got)) {
			t.Fatalf("%+v with %d bytes", reply, len(got))
		}
	})
}
