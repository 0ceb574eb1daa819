package routesync

import (
	"testing"
	"time"

	"lynxhill.example/lynxhill/internal/event"
)

// Guards against departures of which the log does not tell when, from whom and after which
// deferral an instance learned.
func TestDeparturesAreLogged(t *testing.T) {
	inWorld(t, func(w *world) {
		n := w.start("n", true)
		time.Sleep(3 * time.Second)
		w.put("targets/a", "-1:1")
		time.Sleep(time.Second)
		w.wantEvents(n, event.TargetsLeft, 1)
		w.remove("targets/a") // it had left before
		w.remove("targets/b")
		time.Sleep(time.Second)
		w.wantEvents(n, event.TargetsLeft, 2)
		w.wantEvents(n, event.RemovalsDeferred, 0)

		w.put("targets/c", "1:3")
		time.Sleep(time.Second)
		n.link.cut()
		time.Sleep(20 * time.Second)
		w.remove("targets/c")
		n.link.restore()
		time.Sleep(10 * time.Second)
		w.wantEvents(n, event.RemovalsDeferred, 1)
		w.wantEvents(n, event.TargetsLeft, 3)
	})
}
