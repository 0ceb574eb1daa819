package daemon

import (
	"strconv"
	"time"

	"lynxhill.example/lynxhill/internal/admission"
	"lynxhill.example/lynxhill/internal/claim"
	"lynxhill.example/lynxhill/internal/control/loadview"
	"lynxhill.example/lynxhill/internal/control/reach"
	"lynxhill.example/lynxhill/internal/control/rendezvous"
	"lynxhill.example/lynxhill/internal/crashguard"
	"lynxhill.example/lynxhill/internal/outcome"
	"lynxhill.example/lynxhill/internal/peer"
	"lynxhill.example/lynxhill/internal/pipeline"
	"lynxhill.example/lynxhill/internal/profile"
	"lynxhill.example/lynxhill/internal/serving"
	"lynxhill.example/lynxhill/internal/slo"
	"lynxhill.example/lynxhill/internal/stagecall"
	"lynxhill.example/lynxhill/internal/wire/targetapi"
)

// assembleRequestPath creates the components that handle requests.
func (d *Daemon) assembleRequestPath() {
	clk := d.opts.Clock
	d.reach = reach.New(reach.Options{Board: d.board, Clock: clk, Logger: d.logger, Metrics: d.metrics})
	d.gate = admission.NewGate(admission.GateOptions{
		Board: d.board, Clock: clk, Rand: d.rand(),
		Zone: d.cfg.Instance.Zone, Region: d.cfg.Instance.Region,
		Policy: d.opts.Policy, Limits: d.gateLimits(),
		MayDispatch: func() bool { return d.profiles.MayDispatch() }, // d.profiles is created later
		Check:       d.check, Logger: d.logger, Metrics: d.metrics,
	})
	d.admitter = admission.NewAdmitter(admission.AdmitterOptions{
		Board: d.board, Clock: clk, MaxInFlight: d.cfg.Limits.MaxInFlight, Logger: d.logger, Metrics: d.metrics,
		MayServe: func() bool { return d.profiles.MayServe() }, // d.profiles is created later
	})
	d.guard = crashguard.New(crashguard.Options{
		Self: d.id(), Board: d.board, Clock: clk, Alive: d.targets.Alive, Logger: d.logger, Metrics: d.metrics,
	})
	d.outcomes = outcome.NewRegistry(outcome.Options{Clock: clk, Logger: d.logger, Metrics: d.metrics})
	d.slo = slo.New(slo.Options{
		Clock: clk, Objectives: d.objective, Instance: d.id(), Zone: d.cfg.Instance.Zone,
		Logger: d.logger, Metrics: d.metrics,
	})
	d.assembleClaims()
	d.runner = pipeline.New(pipeline.Options{
		Profiles: d.profile, Gate: d.gate, Caller: d.stageCaller(), Claims: d.claims, RemoteOutcomes: d.peers,
		CrashGuard: d.guard, Clock: clk, Rand: d.rand(),
		InstanceID: d.id(), Zone: d.cfg.Instance.Zone, Region: d.cfg.Instance.Region,
		Invariants: d.check, MaxAnswerBytes: int(kilobytes(d.cfg.Limits.MaxAnswerKB)),
		MaxAttempts: d.cfg.Routing.MaxAttempts,
		Report:      d.report, Logger: d.logger, Metrics: d.metrics,
	})
	d.serving = serving.New(serving.Options{
		Self: d.id(), Profiles: d.profile, Admitter: d.admitter, Runner: d.runner, Outcomes: d.outcomes,
		Tickets: d.tickets, Forwarder: d.peers, ErrNotSent: peer.ErrNotSent,
		MayAdmit: d.Ready, ClaimStoreUp: d.platform.Up, TargetsLost: d.reach.CutOff, OnRefused: d.reportRefused,
	})
}

// stageCaller returns a caller of targets that passes the load reports in their
// responses to the load view, which is created later.
func (d *Daemon) stageCaller() stagecall.Caller {
	return loadview.Observing(reach.ReportResults(d.targets, d.reach), func(target string, report targetapi.LoadReport) { d.loads.Observe(target, report) })
}

func (d *Daemon) gateLimits() admission.GateLimits {
	return admission.GateLimits{
		Queue:      d.cfg.Limits.MaxQueued,
		RetryShare: d.cfg.Routing.RetryBudget,
		EjectShare: d.cfg.Routing.MaxEjected,
	}
}

func (d *Daemon) assembleClaims() {
	settings := d.cfg.Claims
	d.claimer = claim.NewStoreClaimer(claim.StoreOptions{
		Store: d.platform, Clock: d.opts.Clock, Rand: d.rand(), Self: d.id(),
		Owners: d.claimOwner, Shards: settings.Shards, WindowBytes: settings.WindowKB << 10,
		FlushInterval: settings.Flush.Duration, Retention: settings.Retention.Duration,
		OpaqueRetention: settings.OpaqueRetention.Duration,
		Forward:         d.peers,
		Peers:           d.otherMembers,
		Logger:          d.logger, Metrics: d.metrics,
	})
	d.tickets = claim.NewTickets(claim.TicketOptions{
		Self: d.id(), Incarnation: uint64(d.started.UnixMilli()), Clock: d.opts.Clock, Secret: ticketSecret,
		Logger: d.logger, Metrics: d.metrics,
	})
	d.claims = claim.NewRouter(d.claimer, d.tickets)
}

// claimOwner returns the preferred writer of the claims of a shard. This is only a
// hint that makes write conflicts on the same window rare.
func (d *Daemon) claimOwner(shard int) string {
	return rendezvous.Top(claimKey(shard), d.board.LiveMembers(d.id()), 1)[0]
}

// claimKey returns the rendezvous key by which instances are ranked for a shard of
// claims.
func claimKey(shard int) string { return "claims/" + strconv.Itoa(shard) }

// objective returns the service-level objective of a profile, 0 if it has none.
func (d *Daemon) objective(name string) float64 {
	p, _ := d.profile(name)
	return p.Profile.Objective
}

// report records a request that the pipeline has finished for the SLO tracker.
func (d *Daemon) report(req pipeline.Request, _ profile.Versioned, out pipeline.Outcome, err error) {
	total := d.opts.Clock.Now().Sub(req.Received)
	d.slo.Observe(slo.Sample{
		Profile: req.Profile, Organisation: req.Organisation,
		Attained: err == nil && total <= req.Deadline.Sub(req.Received),
		Err:      err, Total: total, FirstToken: out.FirstToken, Stages: out.Stages,
	})
}

// reportRefused records a request that was refused before the pipeline.
func (d *Daemon) reportRefused(req pipeline.Request, err error) {
	d.slo.Observe(slo.Sample{
		Profile: req.Profile, Organisation: req.Organisation, Err: err,
		Total: max(0, d.opts.Clock.Now().Sub(req.Received)),
	})
}

// loadEvery is the interval of the reports of this instance's load to membership.
const loadEvery = 500 * time.Millisecond
