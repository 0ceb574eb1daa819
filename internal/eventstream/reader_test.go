package eventstream

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"
)

func TestReader(t *testing.T) {
	reset := errors.New("reset")
	for _, c := range []struct {
		name, body string
		framed     bool
		end        error // of the body
		want       error // of the Reader
	}{
		{"complete", "id: 1\n\n", false, nil, nil},
		{"inside an event", "id: 1\n\nid", false, nil, ErrInsideEvent},
		{"inside an event, framed", "id: 1\n\nid: 2\n", true, nil, ErrInsideEvent},
		{"empty", "", false, nil, ErrNoEvent},
		{"empty, framed", "", true, nil, nil},
		{"error inside an event", "id", false, reset, reset},
	} {
		for _, one := range []bool{false, true} {
			var body io.Reader = strings.NewReader(c.body)
			if c.end != nil {
				body = io.MultiReader(body, iotest.ErrReader(c.end))
			}
			if one {
				body = iotest.DataErrReader(iotest.OneByteReader(body))
			}
			got, err := io.ReadAll(NewReader(body, c.framed))
			if string(got) != c.body || !errors.Is(err, c.want) {
				t.Errorf("%s: %q, %v, want %v", c.name, got, err, c.want)
			}
		}
	}
}

func TestIs(t *testing.T) {
	for stated, want := range map[string]bool{
		"": false, "text/event-stream": true, "Text/Event-Stream; charset=utf-8": true, "application/json": false, "text/plain": false,
	} {
		if Is(http.Header{"Content-Type": {stated}}) != want {
			t.Errorf("%q: %v", stated, !want)
		}
	}
}
