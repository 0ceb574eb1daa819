package admission

import (
	"context"
	"fmt"
	"runtime"
	"testing"
	"time"

	"lynxhill.example/lynxhill/internal/board"
	"lynxhill.example/lynxhill/internal/wire/targetapi"
)

// BenchmarkGate measures Acquire and Done together, without waiting.
func BenchmarkGate(b *testing.B) {
	for _, n := range []int{12, 100, 600} {
		b.Run(fmt.Sprintf("targets=%d", n), func(b *testing.B) {
			r := newRig(n, GateLimits{})
			for id := range r.board.Targets.Snapshot() {
				r.report(targetapi.LoadReport{Target: id, Seq: 1, Slots: 8, Running: 3, MeanMS: 100})
			}
			want := wantOf("a", time.Time{})
			b.ReportAllocs()
			for b.Loop() {
				s, err := r.gate.Acquire(context.Background(), want)
				if err != nil {
					b.Fatal(err)
				}
				s.Done(Result{OK: true, Duration: 100 * time.Millisecond, FirstByte: 10 * time.Millisecond})
			}
		})
	}
}

// BenchmarkQueue measures push, next and remove with one waiter of each
// organisation in the queue.
func BenchmarkQueue(b *testing.B) {
	for _, n := range []int{100, 1000, 5000, 19000} {
		b.Run(fmt.Sprintf("organisations=%d", n), func(b *testing.B) {
			q := newQueue()
			wants := make([]SlotRequest, n)
			for i := range n {
				wants[i] = wantOf(fmt.Sprintf("org-%d", i), time.Time{})
				q.push(&waiter{want: &wants[i], provider: wants[i].Query.Stage.Providers[0]})
			}
			b.ReportAllocs()
			pass := uint64(0)
			for b.Loop() {
				pass++
				w := q.next(pass)
				q.remove(w)
				q.tags.charge(w.want.Query.Organisation, 0.1)
				q.push(w)
			}
		})
	}
}

// BenchmarkAdmitter measures Admit and leave, with a limit for each organisation,
// and the memory per organisation.
func BenchmarkAdmitter(b *testing.B) {
	for _, n := range []int{100, 1000, 5000, 19000} {
		b.Run(fmt.Sprintf("organisations=%d", n), func(b *testing.B) {
			d, bd := newTestAdmitter(1000)
			entries := make([]AdmitRequest, n)
			for i := range n {
				entries[i] = AdmitRequest{Organisation: fmt.Sprintf("org-%d", i), Priority: 5}
				bd.Limits.Put(entries[i].Organisation, board.Limit{RatePerSecond: 1e9, Concurrent: 10})
			}
			before := heapBytes()
			for _, e := range entries {
				admitAndRelease(b, d, e)
			}
			grown := heapBytes() - before
			i := 0
			b.ReportAllocs()
			for b.Loop() {
				admitAndRelease(b, d, entries[i%n])
				i++
			}
			b.ReportMetric(float64(grown)/float64(n), "B/organisation")
		})
	}
}

func admitAndRelease(b *testing.B, d *InstanceAdmitter, e AdmitRequest) {
	leave, err := d.Admit(context.Background(), e)
	if err != nil {
		b.Fatal(err)
	}
	leave()
}

// BenchmarkAdmitterRefusal measures the cost of a refused request.
func BenchmarkAdmitterRefusal(b *testing.B) {
	d, bd := newTestAdmitter(1000)
	bd.Limits.Put("a", board.Limit{Concurrent: -1})
	b.ReportAllocs()
	for b.Loop() {
		if _, err := d.Admit(context.Background(), AdmitRequest{Organisation: "a"}); err == nil {
			b.Fatal("admitted over the limit")
		}
	}
}

func heapBytes() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
