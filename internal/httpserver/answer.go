package httpserver

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"lynxhill.example/lynxhill/internal/errkind"
)

// defaultRetryAfter is the retry time sent with an error that may be retried
// later and carries no time of its own.
const defaultRetryAfter = time.Second

// WriteJSON writes a response with the message as its JSON body.
func WriteJSON(w http.ResponseWriter, status int, message any) {
	raw, err := json.Marshal(message)
	if err != nil {
		WriteError(w, errkind.Wrap(err, errkind.Internal, "answer"), "")
		return
	}
	// A client that does not read its response would occupy the connection.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(DefaultWriteTimeout))
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(status)
	_, _ = w.Write(raw) // fails if the caller has disconnected; there is no one to report it to
}

// WriteError writes the response that package errkind defines for the error's
// kind: the status, the body and, if the caller may retry later, Retry-After.
func WriteError(w http.ResponseWriter, err error, requestID string) {
	body := ErrorBody(err, requestID)
	if body.RetryAfterMS > 0 {
		w.Header().Set("Retry-After", strconv.FormatInt(ceilSeconds(body.RetryAfterMS), 10))
	}
	if errkind.Is(err, errkind.Unauthenticated) {
		w.Header().Set("WWW-Authenticate", "Bearer")
	}
	WriteJSON(w, errkind.Of(err).Answer().Status, body)
}

// ErrorBody returns the body of an error, with a retry time for every kind that
// may be retried later.
func ErrorBody(err error, requestID string) errkind.Body {
	body := errkind.BodyOf(err, requestID)
	if body.Resend == errkind.ResendLater && body.RetryAfterMS <= 0 {
		body.RetryAfterMS = defaultRetryAfter.Milliseconds()
	}
	return body
}

func ceilSeconds(ms int64) int64 {
	const second = int64(time.Second / time.Millisecond)
	return (ms + second - 1) / second
}
