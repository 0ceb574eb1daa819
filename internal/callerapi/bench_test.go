package callerapi

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"lynxhill.example/lynxhill/internal/metrics"
	"lynxhill.example/lynxhill/internal/pipeline"
)

// benchmark measures the HTTP handler alone, without sockets: routing,
// authentication, reading and validating the body, and writing the answer.
func benchmark(b *testing.B, serve serveFunc, body string) {
	handler, token := newHandler(b, fakeHandler{serve: serve}, Limits{}, metrics.NewRegistry())
	b.ReportAllocs()
	for b.Loop() {
		req := httptest.NewRequest(http.MethodPost, "/v1/profiles/check/requests", strings.NewReader(body))
		req.Header.Set("Authorization", "Bearer "+token)
		answer := httptest.NewRecorder()
		handler.ServeHTTP(answer, req)
		if answer.Code != http.StatusOK {
			b.Fatal(answer.Body)
		}
		_, _ = io.Copy(io.Discard, answer.Body)
	}
}

func BenchmarkWhole(b *testing.B) {
	benchmark(b, echo, `{"organisation":"acme","key":"k","input":"`+strings.Repeat("x", 1024)+`"}`)
}

// framesPerAnswer is the number of frames in a streamed answer, one per token:
// 1.1 million tokens and 3,800 requests per second are about 290 tokens per
// request.
const framesPerAnswer = 290

func BenchmarkStreamOf290Frames(b *testing.B) {
	benchmark(b, func(_ context.Context, _ pipeline.Request, sink pipeline.Sink) (pipeline.Outcome, error) {
		for i := range framesPerAnswer {
			if err := sink.Frame(i*5, "token"); err != nil {
				return pipeline.Outcome{}, err
			}
		}
		return pipeline.Outcome{Streamed: true}, nil
	}, `{"organisation":"acme","key":"k","stream":true,"input":"`+strings.Repeat("x", 1024)+`"}`)
}
