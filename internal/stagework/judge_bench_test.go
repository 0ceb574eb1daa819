package stagework

import (
	"fmt"
	"testing"
	"time"

	"github.com/coder/quartz"

	"lynxhill.example/lynxhill/internal/crashguard"
)

// BenchmarkJudgeWaitingJobs measures what a plan pays for 300 waiting jobs while
// 20 other keys are refused.
func BenchmarkJudgeWaitingJobs(b *testing.B) {
	now := time.Now()
	p := benchPlanner(b, 300, 12, 8, now)
	guard := guardAdapter{crashguard.New(crashguard.Options{Clock: quartz.NewReal()})}
	for n := range 60 {
		guard.RecordCrash(guard.Key("o", fmt.Sprint("bad", n/3)), TargetCrash{Target: fmt.Sprint("t", n), Sent: now, Broke: now})
	}
	p.crashes.guard = guard
	for j := range p.jobs {
		j.Organisation, j.Key = "o", j.ID
	}
	b.ReportAllocs()
	for b.Loop() {
		p.judgeAll(now)
	}
}
