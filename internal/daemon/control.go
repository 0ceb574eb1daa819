package daemon

import (
	"context"

	"lynxhill.example/lynxhill/internal/board"
	"lynxhill.example/lynxhill/internal/control/discovery"
	"lynxhill.example/lynxhill/internal/control/drain"
	"lynxhill.example/lynxhill/internal/control/lease"
	"lynxhill.example/lynxhill/internal/control/limits"
	"lynxhill.example/lynxhill/internal/control/loadview"
	"lynxhill.example/lynxhill/internal/control/orders"
	"lynxhill.example/lynxhill/internal/control/profilesync"
	"lynxhill.example/lynxhill/internal/control/reach"
	"lynxhill.example/lynxhill/internal/control/steering"
	"lynxhill.example/lynxhill/internal/crashguard"
	"lynxhill.example/lynxhill/internal/gossip"
	"lynxhill.example/lynxhill/internal/membership"
)

// assembleControl creates the controllers. They share state only through the board.
func (d *Daemon) assembleControl() {
	d.assembleMembership()
	d.assembleTargetControl()
	d.assembleOperatorControl()
	// The loads are last: they fill the space that the others leave in a digest.
	for _, part := range []gossip.Participant{d.profiles, d.discovery, d.limits, d.guard, d.slo.Gossip(), d.loads} {
		d.members.AddPart(part)
	}
}

func (d *Daemon) assembleMembership() {
	d.members = membership.New(membership.Options{
		Self: d.self(), Board: d.board, Clock: d.opts.Clock, Boot: d.opts.Boot, Rand: d.rand(),
		Transport: d.peers, Lister: d.platform, Seeds: func() []string { return d.cfg.Peers.Seeds }, Started: d.started,
		HeartbeatEvery: d.cfg.Timings.PeerHeartbeat.Duration,
		Logger:         d.logger, Metrics: d.metrics,
	})
	d.profiles = profilesync.New(profilesync.Options{
		Self: d.id(), Board: d.board, Store: d.platform, Puller: d.peers,
		Clock: d.opts.Clock, Boot: d.opts.Boot, Rand: d.rand(),
		FenceAfter: d.cfg.Timings.FenceAfter.Duration,
		Logger:     d.logger, Metrics: d.metrics, Check: d.check,
	})
}

func (d *Daemon) assembleTargetControl() {
	clk, zone, region := d.opts.Clock, d.cfg.Instance.Zone, d.cfg.Instance.Region
	d.discovery = discovery.New(discovery.Options{
		Lister: d.platform, Board: d.board, Clock: clk, Rand: d.rand(), Logger: d.logger, Metrics: d.metrics,
		Self: d.id(), Zone: zone, RequestExchanges: d.members.RequestExchanges, Peers: d.peers,
	})
	d.loads = loadview.New(loadview.Options{
		Caller: reach.ReportResults(d.targets, d.reach),
		Board:  d.board, Clock: clk, Rand: d.rand(), Logger: d.logger, Metrics: d.metrics,
		Self: d.id(), Zone: zone, Region: region,
	})
	d.leases = lease.NewManager(lease.Options{
		Store: d.platform, Board: d.board, Clock: clk, Boot: d.opts.Boot, Rand: d.rand(),
		Logger: d.logger, Metrics: d.metrics, Self: d.id(), Duration: d.cfg.Timings.LeaseTTL.Duration,
	})
	d.orders = orders.New(orders.Options{
		Caller: d.targets, Store: d.platform, Board: d.board, Lease: d.leases, Boot: d.opts.Boot, Clock: clk,
		Rand: d.rand(), Logger: d.logger, Metrics: d.metrics, Checker: d.check, Self: d.id(),
	})
}

func (d *Daemon) assembleOperatorControl() {
	clk := d.opts.Clock
	d.steering = steering.New(steering.Options{
		Board: d.board, Clock: clk, Rand: d.rand(), Logger: d.logger, Metrics: d.metrics,
		Self: d.id(), TTL: d.cfg.Timings.AddressTTL.Duration,
	})
	d.drains = drain.New(drain.Options{
		Store: d.platform, Board: d.board, Clock: clk, Rand: d.rand(), Logger: d.logger, Metrics: d.metrics,
		Self: d.id(), Zone: d.cfg.Instance.Zone,
	})
	d.limits = limits.New(limits.Options{
		Board: d.board, Admitter: d.admitter, Self: d.id(), Clock: clk,
		Logger: d.logger, Metrics: d.metrics,
	})
}

// self returns the member entry that this instance announces to the others.
func (d *Daemon) self() board.Member {
	return board.Member{
		ID:         d.id(),
		State:      board.MemberAlive,
		CallerAddr: advertised(d.cfg.Listen.AdvertiseCaller, d.CallerAddr()),
		AdminAddr:  advertised(d.cfg.Listen.AdvertiseAdmin, d.AdminAddr()),
		PeerAddr:   advertised(d.cfg.Listen.AdvertisePeer, d.PeerAddr()),
		Zone:       d.cfg.Instance.Zone,
		Region:     d.cfg.Instance.Region,
		FreeShare:  1,
	}
}

func advertised(setting, listening string) string {
	if setting != "" {
		return setting
	}
	return listening
}

// controllers returns the background loops that Run starts and stops.
func (d *Daemon) controllers() []func(context.Context) {
	return []func(context.Context){
		d.auth.Run, d.tls.run, d.members.Run, d.profiles.Run, d.discovery.Run, d.loads.Run, d.leases.Run,
		d.orders.Run, d.steering.Run, d.drains.Run, d.limits.Run, d.claimer.Run, d.slo.Run, d.reach.Run, d.reportLoad, d.shareBudget,
		crashguard.NewArchive(d.guard, d.platform, 0).Run,
	}
}

// reportLoad reports the free share of this instance's admission limit and its
// requests in flight to membership every loadEvery.
func (d *Daemon) reportLoad(ctx context.Context) {
	ticker := d.opts.Clock.NewTicker(loadEvery)
	defer ticker.Stop()
	for {
		d.members.SetLoad(d.admitter.FreeShare(), d.admitter.InFlight())
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
