package httpserver

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"lynxhill.example/lynxhill/internal/errkind"
	"lynxhill.example/lynxhill/internal/intake"
)

// Defaults for the time that a client may take.
const (
	// DefaultBodyTimeout is how long a client may take to send its whole body.
	DefaultBodyTimeout = 10 * time.Second
	// DefaultWriteTimeout is how long a client may take to receive one piece of
	// the response.
	DefaultWriteTimeout = 10 * time.Second
)

// bodyDeadline limits the time that a request's body may take to arrive.
//
// Without it, a response from a handler that does not read the body, such as one
// that rejects the token, could be delayed for ever: net/http first reads the
// rest of a small body, and a client that never sends it would occupy the
// connection. net/http clears the deadline itself once the body has been read.
func bodyDeadline(timeout time.Duration) Middleware {
	if timeout <= 0 {
		timeout = DefaultBodyTimeout
	}
	return func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.ContentLength != 0 { // -1: of unknown length
				_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(timeout))
			}
			next.ServeHTTP(w, r)
		})
	}
}

// limitMemory limits the memory of requests. A request for which there is none
// is refused at once.
func limitMemory(memory *intake.Memory, bodyTimeout time.Duration) Middleware {
	if bodyTimeout <= 0 {
		bodyTimeout = DefaultBodyTimeout
	}
	return func(next http.Handler) http.Handler {
		if memory == nil {
			return next
		}
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			admitted, end, err := memory.Admit(r, bodyTimeout)
			defer end()
			if err != nil {
				intake.SkipBody(w, r)
				WriteError(w, err, "")
				return
			}
			next.ServeHTTP(w, admitted)
		})
	}
}

// ReadBody reads the whole body, at most limit bytes. Errors are of kind
// TooLarge, BadRequest, BodyTimeout, or Overloaded if there is no memory for the body. The
// router limits the time that the body may take to arrive.
func ReadBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	if request := intake.RequestOf(r.Context()); request != nil {
		return request.ReadBody(w, r, limit)
	}
	if r.ContentLength > limit {
		return nil, tooLarge(limit)
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	if err != nil {
		return nil, bodyError(err, limit)
	}
	return body, nil
}

func bodyError(err error, limit int64) error {
	var tooBig *http.MaxBytesError
	switch {
	case errors.As(err, &tooBig):
		return tooLarge(limit)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return errkind.New(errkind.BodyTimeout, "the body did not arrive in time")
	default:
		return errkind.New(errkind.BadRequest, "the body broke off")
	}
}

func tooLarge(limit int64) error {
	return errkind.New(errkind.TooLarge, "the body is larger than %d bytes", limit)
}

// DecodeJSON decodes a body strictly into message: one JSON value, no unknown
// fields. Errors are of kind BadRequest, and their message is one sentence.
func DecodeJSON(body []byte, message any) error {
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(message); err != nil {
		return errkind.New(errkind.BadRequest, "the body is not what is expected: %s", jsonFault(err))
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return errkind.New(errkind.BadRequest, "the body holds more than one JSON value")
	}
	return nil
}

// jsonFault describes an error of encoding/json without the names of Go types.
func jsonFault(err error) string {
	var syntax *json.SyntaxError
	var mismatch *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntax):
		return "JSON syntax error at byte " + strconv.FormatInt(syntax.Offset, 10)
	case errors.As(err, &mismatch) && mismatch.Field != "":
		return "field " + mismatch.Field + " cannot be a " + mismatch.Value
	case errors.As(err, &mismatch):
		return "it must be a JSON object, not a " + mismatch.Value
	case errors.Is(err, io.EOF):
		return "it is empty"
	case errors.Is(err, io.ErrUnexpectedEOF):
		return "the JSON breaks off"
	default:
		return strings.TrimPrefix(err.Error(), "json: ")
	}
}
