package membership_test

import (
	"sync/atomic"
	"testing"
	"time"

	"lynxhill.example/lynxhill/internal/membership"
)

// Guards against a new instance that serves no requests until the platform's instance
// list is available again. It was started under a new id while the list was down, so
// that neither it nor the others knew an address to contact.
func TestNewInstanceJoinsBySeedsWhileTheListIsDown(t *testing.T) {
	var seeds atomic.Pointer[[]string]
	seeds.Store(new([]string))
	withFleet(t, 4, membership.Options{Seeds: func() []string { return *seeds.Load() }}, func(f *fleet) {
		f.list.setDown(true)
		time.Sleep(time.Minute)
		f.add()
		time.Sleep(time.Minute)
		if f.agree(upTo(5)) || f.instances[4].manager.MembersKnownFor() != 0 || f.instances[0].manager.MembersKnownFor() < 2*time.Minute {
			t.Fatal("joined without list and seeds, or KnownFor is wrong")
		}
		seeds.Store(&[]string{"10.0.0.0:7300", "10.9.9.9:7300", "10.0.0.4:7300"}) // a live instance, an unused address, the instance itself
		took := f.until(time.Minute, "all see the new one", func() bool { return f.agree(upTo(5)) })
		t.Logf("joined after %v", took)
	})
}
