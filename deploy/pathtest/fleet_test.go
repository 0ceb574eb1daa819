package pathtest

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"lynxhill.example/lynxhill/deploy/emulator"
)

// TestMoreInstancesThanWatch. Symptom: on a site of more than eight instances some go on with the routes, keys or
// servers of before. Events: only eight watch the store; a route is added, a key taken away, a server leaves, a watcher
// dies. Cause: those that do not watch are not told, or nobody takes the place of the dead one.
func TestMoreInstancesThanWatch(t *testing.T) {
	const all, watchers = 10, 8
	var watching sync.Map // addresses that watched lately
	r := start(t, all, func(w *emulator.World) string {
		return serve(t, http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
			if host, _, _ := net.SplitHostPort(r.RemoteAddr); r.URL.Query().Has("watch") {
				watching.Store(host, true)
			}
			w.Store.ServeHTTP(rw, r)
		}))
	})
	step := func(n int) {
		key, path := fmt.Sprintf("key%d", n), fmt.Sprintf("/new%d/", n)
		at := r.write(func(c *emulator.Config) { c.Tenants[1].APIKeys = []string{key}; addRoute(path)(c) })
		r.everywhere(at, applyTime, path, func(i *instance) bool { return i.status(t, path+"x", key) == 200 })
		at = r.write(func(c *emulator.Config) { c.Tenants[1].APIKeys = nil })
		r.everywhere(at, applyTime, "taken away: "+key, func(i *instance) bool { return i.status(t, path+"x", key) == 401 })
		s := r.world.Servers("plain")[0]
		r.must(r.world.Drain(s.ID))
		gone := time.Now().Add(drainTime)
		time.Sleep(time.Until(gone))
		for n := range 4 * len(r.instances) {
			r.instances[n%len(r.instances)].status(t, path+"x", "k")
		}
		for _, run := range r.world.Journal.Runs() {
			if run.Server == s.ID && run.Began.After(gone) {
				t.Errorf("%s runs %v after its server left", run.Path, run.Began.Sub(gone))
			}
		}
		r.until(3*touchTime, "eight instances watch", func() bool {
			watching.Clear()
			time.Sleep(touchTime) // longer than a watch waits
			n := 0
			watching.Range(func(_, _ any) bool { n++; return true })
			return n == watchers
		})
	}
	step(0)
	dead := r.instances[slices.IndexFunc(r.instances, func(i *instance) bool { _, ok := watching.Load(i.ip); return ok })]
	dead.kill()
	r.instances = slices.DeleteFunc(r.instances, func(i *instance) bool { return i == dead })
	t.Cleanup(func() { r.instances = append(r.instances, dead) }) // to be ended with the others
	r.until(5*time.Second, "the dead instance isn't named to clients", func() bool { return r.instances[0].known() == all-1 })
	step(1)
	r.check()
}
