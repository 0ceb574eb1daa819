package storeclient

import (
	"errors"
	"net/http"
	"strings"
	"testing"

	"lynxhill.example/lynxhill/internal/standin/repeating"
	"lynxhill.example/lynxhill/internal/store"
)

// Guards against a write that is taken for done although it was refused, since the platform
// replies to the call before it a second time, late.
func TestLateReplyIsNotTakenForTheNextCall(t *testing.T) {
	address := repeating.Serve(t, func(r *http.Request, _ []byte) string {
		if strings.HasSuffix(r.URL.Path, "refused") {
			return repeating.Answer(http.StatusConflict, `{"code":"conflict"}`)
		}
		return repeating.Answer(http.StatusOK, `{}`)
	})
	c := New(Options{Endpoints: []string{address}, Budget: Budget{WritesPerSecond: 1e4, ReadsPerSecond: 1e4}})
	if _, err := c.Put(t.Context(), "p/done", []byte("1"), 0); err != nil {
		t.Fatal(err)
	}
	if _, err := c.Put(t.Context(), "p/refused", []byte("1"), 0); !errors.Is(err, store.ErrConflict) {
		t.Errorf("a write that was refused: %v", err)
	}
}
