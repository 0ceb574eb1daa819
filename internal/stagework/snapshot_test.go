package stagework

import (
	"fmt"
	"testing"
	"time"
)

// TestSnapshotIsBounded guards against metrics that grow with the number of
// organisations, and against a snapshot without the one that causes an overload.
func TestSnapshotIsBounded(t *testing.T) {
	now := time.Unix(1e9, 0)
	p := zonePlanner(true)
	v := p.services["billing"]
	k := v.shares.priority(1)
	for n := range 1000 {
		o := k.organisation(fmt.Sprint("small", n), now)
		o.add(0.001, now)
		o.late = 0.002
		o.requests.add(1, now)
	}
	o := k.organisation("large", now)
	o.add(1, now)
	o.late = 1
	o.requests.add(1, now)
	v.shares.route("check", now).count(1, now)
	s := v.snapshot("", now)
	s.keepLargest()
	if len(s.Organisations) != maxSnapshotEntries || len(s.Routes) != 1 {
		t.Fatalf("%d organisations, %d routes", len(s.Organisations), len(s.Routes))
	}
	if first := s.Organisations[0]; first.Organisation != "large" || first.Priority != 1 || first.Late != time.Second || !first.Over {
		t.Errorf("the first organisation is %+v", first)
	}
}
