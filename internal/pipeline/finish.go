package pipeline

import (
	"encoding/json"
	"time"

	"lynxhill.example/lynxhill/internal/errkind"
	"lynxhill.example/lynxhill/internal/event"
	"lynxhill.example/lynxhill/internal/invariant"
	"lynxhill.example/lynxhill/internal/profile"
)

// answerStreams reports whether the answer is streamed to the caller.
func (x *execution) answerStreams() bool {
	stages := x.prof.Profile.Stages
	return stages[len(stages)-1].Kind == profile.KindGenerate
}

// finish returns the request's only answer and records the end of the request.
func (x *execution) finish(output json.RawMessage, err error) (Outcome, error) {
	check := x.r.opts.Invariants
	check.Check(!x.finished, invariant.OneDelivery, "request %s", x.req.ID)
	x.finished = true
	dispatched := x.dispatches.close()
	out := x.outcome(output)
	if err != nil {
		err = x.finalError(err, dispatched)
		out.Output = nil
		x.r.opts.Metrics.Labelled(metricRequests).Add(errkind.Of(err).String(), 1)
		return out, err
	}
	if !x.repeated {
		x.r.opts.CrashGuard.RecordSuccess(x.fingerprint, x.trial)
	}
	x.r.opts.Metrics.Labelled(metricRequests).Add("ok", 1)
	return out, nil
}

func (x *execution) outcome(output json.RawMessage) Outcome {
	out := Outcome{
		RequestID: x.req.ID,
		Version:   x.prof.Version,
		Output:    output,
		Streamed:  x.answerStreams(),
		Length:    x.delivered,
		Tokens:    x.tokens,
		Total:     x.now().Sub(x.req.Received),
		Stages:    x.reports,
		Repeated:  x.repeated,
	}
	if !x.firstFrame.IsZero() {
		out.FirstToken = x.firstFrame.Sub(x.req.Received)
	}
	return out
}

// finalError wraps err with the kind that is correct for the whole request: if a
// stage has not run but an earlier one has, the request must not be reported as
// not run. It also sets the time after which to retry, and logs the error.
func (x *execution) finalError(err error, dispatched bool) error {
	kind := errkind.Of(err)
	after := errkind.RetryAfter(err)
	if final := kindOfRequest(kind, dispatched); final != kind {
		err = errkind.Wrap(err, final, "%s", final)
		kind = final
	}
	truthful := !dispatched || kind.RunState() != errkind.NotRun
	if !x.r.opts.Invariants.Check(truthful, invariant.RunStateCorrect, "request %s: error kind %s means not run, but it was dispatched", x.req.ID, kind) {
		err = errkind.Wrap(err, errkind.Internal, "run state")
	}
	if kind.Answer().Resend == errkind.ResendLater && after == 0 {
		after = x.r.jitter(retryAfter)
	}
	if after > 0 {
		err = errkind.WithRetryAfter(err, after)
	}
	x.log(kind)
	return err
}

// kindOfRequest maps the error kind of a stage to that of the whole request.
func kindOfRequest(kind errkind.Kind, dispatched bool) errkind.Kind {
	if !dispatched {
		if kind == errkind.DeadlineAfterRun {
			return errkind.DeadlineBeforeRun
		}
		return kind
	}
	if kind.RunState() != errkind.NotRun {
		return kind
	}
	switch kind {
	case errkind.DeadlineBeforeRun, errkind.DeadlineUnreachable:
		return errkind.DeadlineAfterRun
	case errkind.KeyReused:
		return errkind.OutcomeUnknown
	}
	return errkind.StoppedMidway
}

func (x *execution) log(kind errkind.Kind) {
	switch kind {
	case errkind.TargetFailed, errkind.StreamBroken, errkind.StoppedMidway, errkind.CrashesTargets, errkind.Internal:
		x.r.opts.Logger.Log(event.PipelineRequestFailed, "request", x.req.ID, "profile", x.req.Profile,
			"version", x.prof.Version, "kind", kind.String(), "stages", len(x.reports))
	}
}

// report returns the summary of the stage.
func (s *stageRun) report(err error) StageReport {
	report := StageReport{
		Stage:    s.stage.Name,
		Kind:     s.stage.Kind,
		Tokens:   s.tokens,
		Duration: s.x.now().Sub(s.started),
		Err:      err,
	}
	if a := s.reportedAttempt(); a != nil {
		report.Provider = a.choice.Provider.Name
		report.Service = a.choice.Provider.Service
		report.Target = a.choice.Target.ID
	}
	for _, a := range s.attempts {
		if !a.started {
			continue
		}
		report.Attempts++
		if a.hedge {
			report.Hedges++
		}
		if a.resume != "" {
			report.Resumes++
		}
		c := s.costOf(a)
		report.Cost += c
		if a != s.winner && !a.delivered {
			report.Wasted += c
		}
	}
	return report
}

// reportedAttempt returns the attempt whose target the report names: the winner,
// or else the last attempt that had a target, or nil.
func (s *stageRun) reportedAttempt() *attempt {
	if s.winner != nil {
		return s.winner
	}
	for i := len(s.attempts) - 1; i >= 0; i-- {
		if s.attempts[i].started {
			return s.attempts[i]
		}
	}
	return nil
}

// costOf returns the cost of an attempt as reported by its target. A cancelled or
// broken attempt has no reported cost; its cost is estimated from that of the
// winner, in proportion to the tokens received, or else to the elapsed time.
func (s *stageRun) costOf(a *attempt) float64 {
	if a.cost > 0 || a == s.winner || s.winner == nil || !a.started || a.notRun {
		return a.cost
	}
	if a.pace.tokens > 0 && s.winner.pace.tokens > 0 {
		return s.winner.cost * float64(a.pace.tokens) / float64(s.winner.pace.tokens)
	}
	full := s.winner.elapsed(s.x.now())
	if full <= 0 {
		return 0
	}
	share := float64(a.elapsed(s.x.now())) / float64(full)
	return s.winner.cost * min(1, share)
}

func (a *attempt) elapsed(now time.Time) time.Duration {
	if a.open {
		return now.Sub(a.begun)
	}
	return a.ended.Sub(a.begun)
}
