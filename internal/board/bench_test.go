package board

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"
)

// Table sizes of a large deployment.
const (
	benchTargets       = 600
	benchOrganisations = 19000
)

func newLoadTable() *Table[Load] {
	table := NewTable[Load]()
	for i := range benchTargets {
		table.Put(fmt.Sprintf("lynx-pool-%03d", i), Load{At: time.Unix(int64(i), 0)})
	}
	return table
}

func newUsageTable() (*Table[Usage], []string) {
	table := NewTable[Usage]()
	keys := make([]string, benchOrganisations)
	for i := range keys {
		keys[i] = fmt.Sprintf("organisation-%05d", i)
		table.Put(keys[i], Usage{RatePerSecond: float64(i)})
	}
	return table, keys
}

func BenchmarkSnapshotTargets(b *testing.B) {
	table := newLoadTable()
	b.ReportAllocs()
	for b.Loop() {
		table.Snapshot()
	}
}

func BenchmarkSnapshotOrganisations(b *testing.B) {
	table, _ := newUsageTable()
	b.ReportAllocs()
	for b.Loop() {
		table.Snapshot()
	}
}

func BenchmarkGetParallel(b *testing.B) {
	table, keys := newUsageTable()
	var next atomic.Uint32
	b.RunParallel(func(pb *testing.PB) {
		i := int(next.Add(1)) * 977
		for pb.Next() {
			i++
			table.Get(keys[i%len(keys)])
		}
	})
}

func BenchmarkUpdateParallel(b *testing.B) {
	table, keys := newUsageTable()
	var next atomic.Uint32
	b.RunParallel(func(pb *testing.PB) {
		i := int(next.Add(1)) * 977
		for pb.Next() {
			i++
			table.Update(keys[i%len(keys)], func(old Usage, _ bool) (Usage, bool) {
				old.InFlight++
				return old, true
			})
		}
	})
}

// BenchmarkUpdateBesideSnapshots updates rows while another goroutine copies the whole
// table repeatedly.
func BenchmarkUpdateBesideSnapshots(b *testing.B) {
	table, keys := newUsageTable()
	stop := make(chan struct{})
	go func() {
		for {
			select {
			case <-stop:
				return
			default:
				table.Snapshot()
			}
		}
	}()
	i := 0
	for b.Loop() {
		i++
		table.Update(keys[i%len(keys)], func(old Usage, _ bool) (Usage, bool) { return old, true })
	}
	close(stop)
}
