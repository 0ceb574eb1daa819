package edge

import (
	"slices"

	"lynxhill.example/lynxhill/internal/config"
	"lynxhill.example/lynxhill/internal/forwarding"
	"lynxhill.example/lynxhill/internal/intake"
	"lynxhill.example/lynxhill/internal/stagework"
)

// reloadableKeys are the settings that may change while an instance runs. Changes of
// other settings take effect at the next start.
var reloadableKeys = []string{
	"ingress.address_ttl", "ingress.grace", "ingress.touch", "ingress.apply", "ingress.fail_closed", "ingress.revocation",
	"ingress.retry_ratio", "ingress.retry_window", "ingress.retry_extra",
	"ingress.cold_overage", "ingress.memory_mb", "ingress.descriptors", "ingress.reuse_window", "peers.seeds",
	"overload.slot_queue", "overload.reservations", "overload.shares",
}

// retryKeys are the settings of the retry budget.
var retryKeys = []string{"ingress.retry_ratio", "ingress.retry_window", "ingress.retry_extra"}

// settings returns the ingress settings in force. Settings that are not in
// reloadableKeys have the values given to New.
func (i *Instance) settings() *config.Ingress { return &i.inForce.Load().Ingress }

// Reload applies the settings that can change while the instance runs. It returns the
// keys whose new values are now in force and those whose new values take effect at the
// next start. Requests in flight continue with the settings that they began with.
// Reload must not be called concurrently.
func (i *Instance) Reload(cfg config.Config) (changed, restart []string) {
	running := *i.inForce.Load()
	for _, key := range config.Differences(running, cfg) {
		if slices.Contains(reloadableKeys, key) {
			changed = append(changed, key)
			continue
		}
		restart = append(restart, key)
	}
	if len(changed) == 0 {
		return nil, restart
	}
	live := withReloadable(running, cfg)
	i.inForce.Store(&live)
	i.applyLimits()
	i.updateOverload()
	i.dispatcher.SetReuse(live.Ingress.ReuseWindow.Duration)
	if slices.ContainsFunc(changed, func(key string) bool { return slices.Contains(retryKeys, key) }) {
		i.budget.SetBounds(live.Ingress.RetryRatio, live.Ingress.RetryExtra, live.Ingress.RetryWindow.Duration)
	}
	return changed, restart
}

// withReloadable returns running with the reloadable settings of next.
func withReloadable(running, next config.Config) config.Config {
	live, to := &running.Ingress, next.Ingress
	live.AddressTTL = to.AddressTTL
	live.Grace = to.Grace
	live.OutOfTouchAfter = to.OutOfTouchAfter
	live.ApplyWithin = to.ApplyWithin
	live.FailClosed = to.FailClosed
	live.Revocation = to.Revocation
	live.RetryRatio = to.RetryRatio
	live.RetryWindow = to.RetryWindow
	live.RetryExtra = to.RetryExtra
	live.MemoryMB = to.MemoryMB
	live.Descriptors = to.Descriptors
	live.ReuseWindow = to.ReuseWindow
	live.ColdOverage = to.ColdOverage
	running.Peers.Seeds = next.Peers.Seeds
	running.Overload.SlotQueue = next.Overload.SlotQueue
	running.Overload.Reservations = next.Overload.Reservations
	running.Overload.Shares = next.Overload.Shares
	return running
}

// applyLimits applies the limits of memory and descriptors.
func (i *Instance) applyLimits() {
	s := i.settings()
	i.dispatcher.SetLimits(stagework.LimitsOf(s.MemoryMB))
	i.ingress.SetBounds(intake.BoundsOf(s.MemoryMB, s.Descriptors))
	if i.o.LimitMemory != nil {
		i.o.LimitMemory(intake.RuntimeLimit(s.MemoryMB))
	}
}

// newForwarder returns a forwarder. It also sets i.budget, whose limits Reload changes.
func (i *Instance) newForwarder() *forwarding.Forwarder {
	s := i.settings()
	i.budget = forwarding.NewRetryBudget(forwarding.RetryBudgetOptions{
		Ratio: s.RetryRatio, Extra: s.RetryExtra, Window: s.RetryWindow.Duration,
		Instances: i.sharers, Rank: i.retryRank, Clock: i.o.Clock, Logger: i.o.Logger,
	})
	return forwarding.New(forwarding.Options{
		Codec: i.adapter.Codec, Exchange: i.pool, Targets: i.routes.Targets, Scheduler: i.finder,
		Budget: i.budget,
		Loads:  i.loads, CrashGuard: i.guard, ColdLimits: i.cold, StatedLimits: i.limited, Notices: i.notices, Zone: i.cfg.Instance.Zone,
		Reachable: i.paths.Reachable, Origins: i.origins, Slots: i.slots,
		Clock: i.o.Clock, Rand: i.rand(), Logger: i.o.Logger, Metrics: i.metrics,
	})
}
