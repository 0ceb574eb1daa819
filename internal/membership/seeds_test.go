package membership_test

import (
	"testing"
	"time"

	"lynxhill.example/lynxhill/internal/membership"
)

// Symptom: a new instance served nobody until the platform's instance list was
// back. Events: it was started under a new id while the list was down. Cause:
// nobody knew its address, and it knew nobody's.
func TestNewInstanceJoinsBySeedsWhileTheListIsDown(t *testing.T) {
	seeds := []string{"10.0.0.0:7300", "10.9.9.9:7300", "10.0.0.4:7300"} // one alive, one of nobody, itself
	together(t, 4, membership.Options{Seeds: seeds}, func(f *fleet) {
		f.list.set(true)
		time.Sleep(time.Minute)
		f.add()
		took := f.until(15*time.Second, "all see the new one", func() bool { return f.agree(upTo(5)) })
		t.Logf("joined after %v", took)
	})
}
