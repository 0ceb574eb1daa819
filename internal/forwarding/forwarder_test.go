package forwarding

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"

	"lynxhill.example/lynxhill/internal/route"
)

// serveOnce carries one request. cut says that the connection was ended.
func serveOnce(t *testing.T, f *Forwarder, in Inbound) (w *httptest.ResponseRecorder, cut bool) {
	w = httptest.NewRecorder()
	defer func() {
		if p := recover(); p != nil {
			if p != http.ErrAbortHandler {
				panic(p)
			}
			cut = true
		}
	}()
	f.Serve(t.Context(), w, in)
	return w, false
}

// TestPromisesOfAnswers tries all pairs of manners of two targets.
//
// Symptom: a caller is told that its request did not run, sends it again, and it runs twice. Events: one target
// may have run the request, another refuses it or isn't reached. Cause: the last failure, and not all of them,
// decides what the caller is told or whether the request is sent on.
func TestPromisesOfAnswers(t *testing.T) {
	kinds := []struct {
		name              string
		kind              route.Kind
		resumable, engine bool
	}{
		{"once", route.NonIdempotent, false, false}, {"idempotent", route.Idempotent, false, false},
		{"stream", route.Streaming, false, true}, {"resumable", route.Streaming, true, true},
	}
	for _, k := range kinds {
		for _, first := range manners {
			for _, second := range manners {
				t.Run(fmt.Sprintf("%s/%s/%s", k.name, first.name, second.name), func(t *testing.T) {
					t.Parallel()
					tryPair(t, first, second, inbound(k.kind, k.resumable, k.engine))
				})
			}
		}
	}
}

// tryPair carries a request that the first target and perhaps the second get.
func tryPair(t *testing.T, first, second manner, in Inbound) {
	a, b := script(t, "a", first), script(t, "b", second)
	w, cut := serveOnce(t, forwarderOf(a, b), in)
	mayHaveRun := int64(0)
	for _, s := range []*scripted{a, b} {
		if s.mayRun {
			mayHaveRun += s.got.Load()
		}
	}
	promise := !cut && slices.Contains([]int{408, 421, 429, 503}, w.Code)
	if promise && mayHaveRun > 0 {
		t.Errorf("answered %d though %d targets may have run it", w.Code, mayHaveRun)
	}
	if !in.Route.Repeatable() && mayHaveRun > 1 {
		t.Errorf("%d targets may have run it", mayHaveRun)
	}
	if !promise && mayHaveRun == 0 {
		t.Errorf("answered %d, cut %v, though no target ran it", w.Code, cut)
	}
	if !cut && w.Code/100 == 2 && (w.Header().Get("X-Signed") == "" || w.Body.String() != "id: 1\ndata\n\n\n") {
		t.Errorf("answered %d with %q, signature %q", w.Code, w.Body, w.Header().Get("X-Signed"))
	}
}

// TestUnexplained503.
//
// Symptom: as above. Events: a target answers 503 or 429 and does not say that it did not run the request. Cause:
// its status is passed on, and is a promise to the caller that nobody made.
func TestUnexplained503(t *testing.T) {
	for _, status := range []string{"503 S", "429 S"} {
		m := manner{name: status, mayRun: true, answer: "HTTP/1.1 " + status + "\r\nX-Signed: 1\r\nContent-Length: 2\r\n\r\nno"}
		for _, engine := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, engine %v", status, engine), func(t *testing.T) {
				tryPair(t, m, manners[0], inbound(route.NonIdempotent, false, engine))
				tryPair(t, m, m, inbound(route.NonIdempotent, false, engine))
			})
		}
	}
}
