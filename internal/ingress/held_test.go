package ingress

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/coder/quartz"

	"lynxhill.example/lynxhill/internal/forwarding"
	"lynxhill.example/lynxhill/internal/intake"
	"lynxhill.example/lynxhill/internal/route"
)

// holder is a forwarder that holds as many bytes of a response as it may.
type holder struct {
	g     *Ingress
	block int
	held  int64
}

func (h *holder) Serve(_ context.Context, w http.ResponseWriter, in forwarding.Inbound) {
	for in.Reserve(h.block) {
	}
	h.held = h.g.held.Held()
	w.WriteHeader(http.StatusOK)
}

// Guards against responses that are held for callers who read slowly and do not count toward the bytes in flight, or that
// count after their end.
func TestHeldResponsesCountTowardTheBound(t *testing.T) {
	const limit, step = 4 * intake.RequestCost, 1 << 10
	h := &holder{block: step}
	table := (&route.Table{Routes: []route.Route{{Host: "h", PathPrefix: "/"}}}).Build()
	h.g = New(Options{
		Codec: fakeCodec{}, Forwarder: h, Table: func() *route.Table { return table }, Clock: quartz.NewReal(),
		Confirm: func(context.Context) Confirmation { return Confirmation{Current: true} }, Serving: func() bool { return true },
		Bounds: intake.Bounds{Held: limit},
	})
	r := httptest.NewRequest(http.MethodGet, "http://h/x", nil)
	w := httptest.NewRecorder()
	h.g.Server().Handler.ServeHTTP(w, r)
	if w.Code != http.StatusOK || h.held > limit || h.held <= limit-step {
		t.Errorf("status %d, %d bytes were held of %d", w.Code, h.held, limit)
	}
	if left := h.g.held.Held(); left != 0 {
		t.Errorf("%d bytes count after the end", left)
	}
}
