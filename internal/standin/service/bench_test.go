package service

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"lynxhill.example/lynxhill/internal/stagecall"
	"lynxhill.example/lynxhill/internal/target"
	"lynxhill.example/lynxhill/internal/wire/targetapi"
)

// BenchmarkRun is what a call of lynxhill's own client to a service costs with
// a service time of next to nothing: both ends and the loopback between them.
func BenchmarkRun(b *testing.B) {
	s, err := New(Options{ID: "s1", Median: time.Nanosecond, Slots: 64})
	if err != nil {
		b.Fatal(err)
	}
	defer s.Close()
	client := target.New(target.Options{})
	defer client.Close()
	to := stagecall.Target{ID: "s1", Address: s.Addr()}
	var attempts atomic.Int64
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			req := request(fmt.Sprint(attempts.Add(1)), KindService)
			if _, err := client.Run(b.Context(), to, req, stagecall.Options{}, func(targetapi.Frame) error { return nil }); err != nil {
				b.Error(err)
				return
			}
		}
	})
}
