package edge

import (
	"context"

	"lynxhill.example/lynxhill/internal/crashguard"
	"lynxhill.example/lynxhill/internal/fleet"
	"lynxhill.example/lynxhill/internal/metrics"
	"lynxhill.example/lynxhill/internal/stagecall"
	"lynxhill.example/lynxhill/internal/stagework"
)

var metricStageCrashes = metrics.Define("edge_stage_crashes_total", "calls and requests", "Calls scheduled here whose stage target was found crashed (targets), and requests that were refused because stage targets had crashed under their piece key (refused) or accepted as a trial (trials).")

// stageGuard is the crash guard as the dispatcher uses it.
type stageGuard struct{ guard *crashguard.Guard }

var _ stagework.CrashGuard = stageGuard{}

// Key implements stagework.CrashGuard.
func (stageGuard) Key(organisation, pieceKey string) string {
	return crashguard.PieceKey(organisation, pieceKey)
}

// Active implements stagework.CrashGuard.
func (s stageGuard) Active() bool { return s.guard.MaySuspect() }

// Judge implements stagework.CrashGuard.
func (s stageGuard) Judge(key, owner string) stagework.Judgement {
	if !s.guard.Suspected(key) {
		return stagework.Judgement{}
	}
	known := stagework.Judgement{Suspected: true, Refused: s.guard.Refused(key)}
	if known.Refused {
		known.TrialDue, known.RetryAfter = s.guard.TrialDue(key, owner), s.guard.RetryAfter(key)
	}
	return known
}

// HasCrashed implements stagework.CrashGuard.
func (s stageGuard) HasCrashed(ctx context.Context, t fleet.Target) bool {
	return s.guard.HasCrashed(ctx, stagecall.Target{ID: t.ID, Address: t.Address})
}

// RecordCrash implements stagework.CrashGuard.
func (s stageGuard) RecordCrash(key string, c stagework.TargetCrash) {
	s.guard.RecordCrash(key, crashguard.Crash{Target: c.Target, Sent: c.Sent, Broke: c.Broke})
}

// RecordCompleted implements stagework.CrashGuard.
func (s stageGuard) RecordCompleted(key string, trial bool) { s.guard.RecordSuccess(key, trial) }

// publishStageCrashes registers the metric of crashed stage targets.
func (i *Instance) publishStageCrashes() {
	i.metrics.Func(metricStageCrashes, func() any {
		c := i.dispatcher.CrashCounts()
		return map[string]int{"targets": c.Targets, "refused": c.Refused, "trials": c.Trials}
	})
}
