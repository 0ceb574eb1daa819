package stagework

import (
	"fmt"
	"testing"
	"time"

	"lynxhill.example/lynxhill/internal/reservation"
)

// reservingPlanner is benchPlanner with reservations that are due in the next three seconds.
func reservingPlanner(b *testing.B, jobs, held int, now time.Time) *Planner {
	p := benchPlanner(b, jobs, 5, 12, now)
	p.overload.Reservations = true
	c := map[string]reservation.Capacity{"enc": {PerWindow: time.Hour, FreeAt: now}}
	for n := range held {
		at := now.Add(time.Duration(n) * 3 * time.Second / time.Duration(held))
		r := reservation.Reservation{Due: at, Request: reservation.Request{
			CallerKey: fmt.Sprint(n), Priority: n % 3, OnTime: true, Demands: []reservation.Demand{{Service: "enc", Work: 20 * ms}},
		}}
		if len(p.reservations.book.Adopt([]reservation.Reservation{r}, c, now)) != 1 {
			b.Fatal("not adopted")
		}
	}
	return p
}

// BenchmarkJudgeReserved submits one more job and cancels it, with the given numbers of waiting
// jobs and reservations.
func BenchmarkJudgeReserved(b *testing.B) {
	now := time.Now()
	for _, size := range [][2]int{{200, 0}, {200, 200}, {200, 2000}} {
		b.Run(fmt.Sprintf("%d_%d", size[0], size[1]), func(b *testing.B) {
			p := reservingPlanner(b, size[0], size[1], now)
			for b.Loop() {
				for j := range p.jobs {
					j.late = false
				}
				if j, _ := p.submit(benchJob(size[0], now), func(Placement, *Refusal) {}, now); j != nil {
					p.cancel(j, now)
				}
			}
		})
	}
}
