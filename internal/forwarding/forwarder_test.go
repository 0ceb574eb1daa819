package forwarding

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"

	"lynxhill.example/lynxhill/internal/route"
)

// TestPromisesOfAnswers tries all pairs of manners of two targets. Symptom: a caller is told that its request did not run, sends it again, and it runs twice. Events: one target may
// have run the request, another refuses it or isn't reached. Cause: the last failure, and not all of them, decides
// what the caller is told or whether the request is sent on.
func TestPromisesOfAnswers(t *testing.T) {
	kinds := map[string]func() Inbound{
		"once":       func() Inbound { return inbound(route.NonIdempotent, false, false) },
		"idempotent": func() Inbound { return inbound(route.Idempotent, false, false) },
		"stream":     func() Inbound { return inbound(route.Streaming, false, true) },
		"resumable":  func() Inbound { return inbound(route.Streaming, true, true) },
	}
	for kind, in := range kinds {
		for n := range len(manners) * len(manners) {
			first, second := manners[n%len(manners)], manners[n/len(manners)]
			t.Run(fmt.Sprintf("%s/%s/%s", kind, first.name, second.name), func(t *testing.T) {
				t.Parallel()
				tryPair(t, first, second, in())
			})
		}
	}
}

// tryPair carries a request that the first target and perhaps the second get.
func tryPair(t *testing.T, first, second manner, in Inbound) {
	a, b := script(t, "a", first), script(t, "b", second)
	w, cut := httptest.NewRecorder(), true
	func() {
		defer func() {
			if p := recover(); p != nil && p != http.ErrAbortHandler {
				panic(p)
			}
		}()
		forwarderOf(a, b).Serve(t.Context(), w, in)
		cut = false
	}()
	mayHaveRun := int64(0)
	for _, s := range []*scripted{a, b} {
		if s.mayRun {
			mayHaveRun += s.got.Load()
		}
	}
	promise := !cut && slices.Contains([]int{408, 421, 429, 503}, w.Code)
	if promise != (mayHaveRun == 0) || !in.Route.Repeatable() && mayHaveRun > 1 {
		t.Errorf("answered %d, cut %v, though %d targets may have run it", w.Code, cut, mayHaveRun)
	}
	if !cut && w.Code/100 == 2 && (w.Header().Get("X-Signed") == "" || w.Body.String() != "id: 1\ndata\n\n\n") {
		t.Errorf("answered %d with %q, signature %q", w.Code, w.Body, w.Header().Get("X-Signed"))
	}
}

// TestUnexplained503. Symptom: as above. Events: a target answers 503 or 429 and does not say that it did not run the
// request. Cause: its status is passed on, and is a promise to the caller that nobody made.
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
