package httpserver

import (
	"fmt"
	"net/http"
	"runtime/debug"

	"lynxhill.example/lynxhill/internal/errkind"
	"lynxhill.example/lynxhill/internal/event"
)

// recoverPanics answers a panic of a handler with an Internal error. Without it
// net/http would close the connection, which a caller cannot distinguish from a
// network fault, and would print the stack to the process's standard error
// instead of the log. The stack is written to the log only.
func recoverPanics(logger *event.Logger) Middleware {
	return func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			tracked := &trackedWriter{ResponseWriter: w}
			defer func() {
				cause := recover()
				if cause == nil {
					return
				}
				if cause == http.ErrAbortHandler {
					panic(cause) // the handler wants the connection aborted
				}
				logger.Log(event.HandlerPanicked, "path", r.URL.Path, "cause", fmt.Sprint(cause), "stack", string(debug.Stack()))
				if tracked.begun {
					// The status has been sent: aborting the connection is the only
					// remaining way to show that the response is incomplete.
					panic(http.ErrAbortHandler)
				}
				WriteError(w, errkind.New(errkind.Internal, "panic"), "")
			}()
			next.ServeHTTP(tracked, r)
		})
	}
}

// trackedWriter records whether the response has begun.
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

// Unwrap gives http.ResponseController access to the underlying writer.
func (t *trackedWriter) Unwrap() http.ResponseWriter { return t.ResponseWriter }
