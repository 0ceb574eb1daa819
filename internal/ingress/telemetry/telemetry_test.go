package telemetry

import (
	"net/http/httptest"
	"testing"
	"time"

	"lynxhill.example/lynxhill/internal/metrics"
)

var d = [...]metrics.Definition{metrics.Define("test_0", "", ""), metrics.Define("test_1", "", ""), metrics.Define("test_2", "", ""), metrics.Define("test_3", "", ""), metrics.Define("test_4", "", "")}

// TestHandlerWritesMetrics checks how each kind of value is written, by name and label.
func TestHandlerWritesMetrics(t *testing.T) {
	r := metrics.NewRegistry()
	r.Counter(d[0]).Add(1 << 40)
	r.Labelled(d[1]).Add("to ok", 2)
	r.Func(d[2], func() any { return "no number" })
	var h Histogram
	for _, took := range []time.Duration{0, 5 * time.Millisecond, 6 * time.Millisecond, time.Minute} {
		h.Add(took)
	}
	r.Func(d[3], func() any {
		v := make(map[string]int64)
		h.SetValues(v, "x")
		return map[string]int64{"a": v["x,le=5"], "b": v["x,le=10"], "c": v["x,le=10000"], "d": v["x,le=all"], "e": v["x,sum_ms"]}
	})
	w := httptest.NewRecorder()
	Handler(r).ServeHTTP(w, httptest.NewRequest("GET", "/", nil))
	const want = "test_0 1099511627776\ntest_1{to ok} 2\ntest_3{a} 2\ntest_3{b} 3\ntest_3{c} 3\ntest_3{d} 4\ntest_3{e} 60011\n"
	if got := w.Body.String(); got != want {
		t.Errorf("%s", got)
	}
}
