package httpserver

import (
	"fmt"
	"net/http"
	"runtime/debug"

	"lynxhill.example/lynxhill/internal/errkind"
	"lynxhill.example/lynxhill/internal/event"
)

// recoverer answers a panic of a handler with an Internal error. Without it
// net/http closes the connection, which a caller can't tell from a fault of
// the network, and prints the stack to the process's standard error, past the
// log. The stack goes to the log only.
func recoverer(logger *event.Logger) Middleware {
	return func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			tracked := &trackedWriter{ResponseWriter: w}
			defer func() {
				cause := recover()
				if cause == nil {
					return
				}
				if cause == http.ErrAbortHandler {
					panic(cause) // asks for the connection to be cut
				}
				logger.Log(event.HandlerPanicked, "path", r.URL.Path, "cause", fmt.Sprint(cause), "stack", string(debug.Stack()))
				if tracked.begun {
					// The status is out: cutting the connection is the only
					// way left to keep the answer from passing for whole.
					panic(http.ErrAbortHandler)
				}
				WriteError(w, errkind.New(errkind.Internal, "panic"), "")
			}()
			next.ServeHTTP(tracked, r)
		})
	}
}

// trackedWriter remembers whether the answer has begun.
type trackedWriter struct {
	http.ResponseWriter
	begun bool
}

func (t *trackedWriter) WriteHeader(status int) {
	t.begun = true
	t.ResponseWriter.WriteHeader(status)
}

func (t *trackedWriter) Write(p []byte) (int, error) {
	t.begun = true
	return t.ResponseWriter.Write(p)
}

// Unwrap lets http.ResponseController reach the connection.
func (t *trackedWriter) Unwrap() http.ResponseWriter { return t.ResponseWriter }
