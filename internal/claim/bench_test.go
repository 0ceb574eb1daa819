package claim

import (
	"context"
	"fmt"
	"runtime"
	"testing"
	"time"

	"lynxhill.example/lynxhill/internal/store/memstore"
)

func BenchmarkTicketClaim(b *testing.B) {
	tickets := testTickets("a", 1, 1<<30)
	text, _ := tickets.Issue()
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		req := testRequest(MintKey(text, fmt.Sprint(i)), "x", time.Second)
		if _, err := tickets.Claim(context.Background(), req); err != nil {
			b.Fatal(err)
		}
	}
}

// waitIdle waits until the flush loop, which owns the view, has ended, and returns
// the first shard.
func waitIdle(p *StoreClaimer) *shard {
	for p.busy() {
		runtime.Gosched()
	}
	return p.shards[0]
}

// BenchmarkDecide plans a claim of a new key on a loaded view: the work for a claim
// at the owner without its share of the write.
func BenchmarkDecide(b *testing.B) {
	for _, windows := range []int{1, 10, 100} {
		b.Run(fmt.Sprint(windows, "windows"), func(b *testing.B) {
			p := testClaimer(memstore.New(memstore.Options{}), "a", 1, func(o *StoreOptions) {
				o.Shards, o.FlushInterval = 1, time.Microsecond
			})
			s := p.shards[0]
			for i := 0; waitIdle(p).view.current == nil || s.view.current.number < uint64(windows); i++ {
				if _, err := p.Claim(context.Background(), testRequest(fmt.Sprint(i), "x", time.Minute)); err != nil {
					b.Fatal(err)
				}
			}
			waitIdle(p)
			o := newOp(keyLifetime{}, entry{ID: idOf(Key{Key: "new"}), Op: opClaim, Token: "t"})
			b.ReportAllocs()
			for b.Loop() {
				if _, err := s.plan(context.Background(), []*op{o}, false); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
