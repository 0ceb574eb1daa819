package forwarding

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"

	"lynxhill.example/lynxhill/internal/route"
)

// TestPromisesOfAnswers tries all pairs of behaviours of two targets. It guards against a request that runs twice because
// its caller got a response that says "not run" and sent it again: one target may have run the request, another refuses it
// or can't be reached, and only the last failure, instead of all of them, decides about the response or a retry.
func TestPromisesOfAnswers(t *testing.T) {
	kinds := map[string]func() Inbound{
		"once":       func() Inbound { return inbound(route.NonIdempotent, false, false) },
		"idempotent": func() Inbound { return inbound(route.Idempotent, false, false) },
		"stream":     func() Inbound { return inbound(route.Streaming, false, true) },
		"resumable":  func() Inbound { return inbound(route.Streaming, true, true) },
	}
	for kind, in := range kinds {
		for n := range len(behaviours) * len(behaviours) {
			first, second := behaviours[n%len(behaviours)], behaviours[n/len(behaviours)]
			t.Run(fmt.Sprintf("%s/%s/%s", kind, first.name, second.name), func(t *testing.T) {
				t.Parallel()
				tryPair(t, first, second, in())
			})
		}
	}
}

// tryPair forwards a request with two targets to choose from, and checks the guarantees of the response.
func tryPair(t *testing.T, first, second behaviour, in Inbound) {
	tryPairAt(t, forwarderOf, first, second, in)
}

// tryPairAt is tryPair with the forwarder that the function returns.
func tryPairAt(t *testing.T, newForwarder func(...*scripted) *Forwarder, first, second behaviour, in Inbound) {
	a, b := script(t, "a", first), script(t, "b", second)
	w, cut := httptest.NewRecorder(), true
	func() {
		defer func() {
			if p := recover(); p != nil && p != http.ErrAbortHandler {
				panic(p)
			}
		}()
		newForwarder(a, b).Serve(t.Context(), w, in)
		cut = false
	}()
	mayHaveRun := int64(0)
	for _, s := range []*scripted{a, b} {
		if s.mayRun {
			mayHaveRun += s.requests.Load()
		}
	}
	promise := !cut && slices.Contains([]int{408, 421, 429, 503}, w.Code)
	if promise != (mayHaveRun == 0) || !in.Route.Repeatable() && mayHaveRun > 1 {
		t.Errorf("status %d, cut off %v, although %d targets may have run the request", w.Code, cut, mayHaveRun)
	}
	if !cut && w.Code/100 == 2 && (w.Header().Get("X-Signed") == "" || w.Body.String() != "id: 1\ndata\n\n\n") {
		t.Errorf("status %d with body %q, signature %q", w.Code, w.Body, w.Header().Get("X-Signed"))
	}
}

// Guards against the same failure if a target responds with 503 or 429 and does not state that it did not run the request:
// forwarding that status would tell the caller that the request was not run.
func TestUnexplained503(t *testing.T) {
	for _, status := range []string{"503 S", "429 S"} {
		m := behaviour{name: status, mayRun: true, answer: "HTTP/1.1 " + status + "\r\nX-Signed: 1\r\nContent-Length: 2\r\n\r\nno"}
		for _, engine := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, engine %v", status, engine), func(t *testing.T) {
				tryPair(t, m, behaviours[0], inbound(route.NonIdempotent, false, engine))
				tryPair(t, m, m, inbound(route.NonIdempotent, false, engine))
			})
		}
	}
}
