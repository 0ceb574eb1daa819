package membership_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"lynxhill.example/lynxhill/internal/board"
	"lynxhill.example/lynxhill/internal/membership"
	"lynxhill.example/lynxhill/internal/virtualtest"
)

// total sums up the traffic of all instances; each digest counts at its sender and at
// its receiver.
func (f *fleet) total() (digests, bytes int) {
	for _, n := range f.instances {
		t := f.net.Traffic(n.addr)
		digests += t.Digests
		bytes += t.Bytes
	}
	return digests, bytes
}

// TestBytesStayWithinTheBudget measures the bytes that an instance sends and receives in
// exchanges, by encoded size, while its load changes all the time.
func TestBytesStayWithinTheBudget(t *testing.T) {
	for _, n := range virtualtest.Sizes(8, 16, 32, 64) {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { measureBytes(t, n) })
		})
	}
}

func measureBytes(t *testing.T, n int) {
	f := newFleet(t, n, membership.Options{})
	defer f.stop()
	joined := f.until(2*time.Minute, "all see all", func() bool { return f.agree(upTo(n)) })
	time.Sleep(10 * time.Second)
	digests, bytes := f.total()
	const span = 20
	for s := range span {
		for i, instance := range f.instances {
			instance.manager.SetLoad(float64((s*7+i*3)%10)/10, s)
		}
		time.Sleep(time.Second)
	}
	digestsAfter, bytesAfter := f.total()
	perSecond := float64(bytesAfter-bytes) / span / float64(n)
	t.Logf("%d instances: joined in %v, %.0f B/s per instance sent and received, %.2f digests/s",
		n, joined, perSecond, float64(digestsAfter-digests)/span/float64(n))
	if perSecond > 16<<10 {
		t.Errorf("%.0f bytes a second", perSecond)
	}
}

// TestHealingBySuspicionAndByMerge compares healing by suspicion with a plain merge: time
// and digests until a fleet that was split in halves agrees again, and how long members
// of an instance's own half are considered dead meanwhile.
func TestHealingBySuspicionAndByMerge(t *testing.T) {
	for _, n := range []int{8, 32} {
		for _, healing := range []membership.Healing{membership.HealBySuspicion, membership.HealByMerge} {
			t.Run(fmt.Sprintf("%d by %d", n, healing), func(t *testing.T) {
				withFleet(t, n, membership.Options{Healing: healing}, func(f *fleet) { measureHealing(t, f, healing) })
			})
		}
	}
}

func measureHealing(t *testing.T, f *fleet, healing membership.Healing) {
	n := len(f.instances)
	f.list.setDown(true)
	f.split([][]int{span(0, n/2), span(n/2, n)})
	time.Sleep(10 * time.Minute)
	f.net.Heal()
	digests, bytes := f.total()
	falselyDead := 0
	took := f.until(2*time.Minute, "all see all again", func() bool {
		for i := range f.instances {
			half := span(i/(n/2)*(n/2), i/(n/2)*(n/2)+n/2)
			falselyDead += f.dead(i, half)
		}
		return f.agree(upTo(n))
	})
	digestsAfter, bytesAfter := f.total()
	t.Logf("%d instances, healing %d: %v, %d digests and %d KB in all, %.1f member-seconds falsely dead",
		n, healing, took, (digestsAfter-digests)/2, (bytesAfter-bytes)/2048, float64(falselyDead)/10)
	if healing == membership.HealBySuspicion && falselyDead > 0 {
		t.Errorf("members of the same half were considered dead")
	}
}

// dead returns how many of the given instances the observer considers dead.
func (f *fleet) dead(observer int, of []int) int {
	count := 0
	for _, i := range of {
		if m, ok := f.instances[observer].board.Members.Get(f.instances[i].id); ok && m.State == board.MemberDead {
			count++
		}
	}
	return count
}
