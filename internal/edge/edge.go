// Package edge assembles an instance that serves plain HTTP requests on a platform that
// declares routes and targets. Package daemon does the same for the product's own
// caller and admin API. Membership, configuration synchronisation, the dispatcher of
// stage work and the request path are components of the same product. Claims, tickets,
// orders and leases are not run, since the platform makes them unnecessary here (see
// docs/design/platform.md).
package edge

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/coder/quartz"

	"lynxhill.example/lynxhill/internal/allowance"
	"lynxhill.example/lynxhill/internal/board"
	"lynxhill.example/lynxhill/internal/bootclock"
	"lynxhill.example/lynxhill/internal/clock"
	"lynxhill.example/lynxhill/internal/config"
	"lynxhill.example/lynxhill/internal/control/routesync"
	"lynxhill.example/lynxhill/internal/crashguard"
	"lynxhill.example/lynxhill/internal/event"
	"lynxhill.example/lynxhill/internal/exchange"
	"lynxhill.example/lynxhill/internal/forwarding"
	"lynxhill.example/lynxhill/internal/gossip"
	"lynxhill.example/lynxhill/internal/ingress"
	"lynxhill.example/lynxhill/internal/membership"
	"lynxhill.example/lynxhill/internal/metrics"
	"lynxhill.example/lynxhill/internal/notice"
	"lynxhill.example/lynxhill/internal/peer"
	"lynxhill.example/lynxhill/internal/relay"
	"lynxhill.example/lynxhill/internal/route"
	"lynxhill.example/lynxhill/internal/stagework"
	"lynxhill.example/lynxhill/internal/store"
	"lynxhill.example/lynxhill/internal/streamorigin"
	"lynxhill.example/lynxhill/internal/targetpath"
)

// Platform is the platform's store as an instance uses it.
type Platform interface {
	store.Store
	store.Pager
	// Deregister removes an instance from the platform's list.
	Deregister(ctx context.Context, id string) error
}

// Adapter translates between the product and the platform. Package platform at the
// root of the module provides its parts.
type Adapter struct {
	Platform Platform
	Codec    relay.Codec
	Decoder  relay.Decoder
	// NewStageClient returns a client that calls stage targets over the connections
	// of the pool.
	NewStageClient func(*exchange.Pool) relay.StageClient
	// ResponseAttemptID returns the id of the attempt that is named in a target's response.
	ResponseAttemptID func(http.Header) string
	// ReadyPath is the path of the platform's readiness check, AddressPath that of
	// callers' address queries.
	ReadyPath, AddressPath string
	// ScarceCapacity reports whether the platform announces that callers compete for too
	// little capacity at times.
	ScarceCapacity bool
}

// Options configure an instance in addition to its settings. Zero values stand for the
// real clock, network and randomness.
type Options struct {
	Clock  clock.Clock
	Boot   clock.Boot
	Seed   uint64 // of random choices; 0 = random
	Logger *event.Logger
	// Dial connects to targets and other instances.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Unacked returns how many bytes written to a connection to a target are not
	// acknowledged, see exchange.Options.
	Unacked func(net.Conn) int
	// Listen opens a listener.
	Listen func(network, address string) (net.Listener, error)
	// LimitMemory sets the runtime's memory limit in bytes, see debug.SetMemoryLimit. If
	// nil, the limit is not changed; it applies to the whole process, which may run
	// several instances.
	LimitMemory func(bytes int64) int64
}

// Instance is one instance.
type Instance struct {
	cfg       config.Config                 // as given to New
	inForce   atomic.Pointer[config.Config] // cfg with the changes of Reload
	o         Options
	adapter   Adapter
	startedAt time.Duration // boot time of New
	board     *board.Board
	metrics   *metrics.Registry

	pool       *exchange.Pool
	paths      *targetpath.Manager
	stages     *timedStages
	peers      *peer.Client
	members    *membership.Manager
	routes     *routesync.Manager
	dispatcher *stagework.Dispatcher
	finder     *stagework.Finder
	guard      *crashguard.Guard
	refusals   *crashguard.Archive
	loads      *forwarding.Loads
	cold       *allowance.Allowance // rate allowances of targets that have just started
	limited    *allowance.Allowance // rate allowances of targets that state a limit
	notices    *notice.Tracker
	origins    *streamorigin.Manager
	budget     *forwarding.RetryBudget // limits retries of requests
	ingress    *ingress.Ingress
	slots      *slots

	overload         overload
	ranks            atomic.Pointer[knownRanks]
	cells            atomic.Pointer[[]stagework.Cell]
	lastClockCheck   atomic.Int64 // boot time of the last checkClock, ns
	heardBeforeQuery atomic.Int64 // boot time of the last message of another instance before the last queryStore, ns; 0 = never
	// storeQueriedAt is the boot time of the last queryStore, ns; 0 = never.
	storeQueriedAt atomic.Int64
	resumedAt      atomic.Int64 // boot time of the last resume after which the configuration has not been confirmed, ns; 0 = none
	servers        []*http.Server
	listens        []net.Listener
}

// Intervals, timeouts and limits of an instance.
const (
	heartbeatEvery = 500 * time.Millisecond
	suspectAfter   = 1500 * time.Millisecond
	// listEvery is the interval at which each instance reads the list of instances. Two
	// parts of a fleet that do not know of each other merge once any instance of either
	// reads it: with n instances that is every listEvery/n.
	listEvery = time.Minute
	// registerEvery is the interval at which an instance writes its entry, which does not
	// expire. An instance that reads a list without its entry writes it again at once.
	registerEvery = 10 * time.Minute
	// watchGap limits the calls caused by a series of changes to ten a second for each
	// kind of objects and each of the few instances that watch. The delay is acceptable:
	// targets announce that they leave seconds before they end.
	watchGap = 100 * time.Millisecond
	// crashLimit is how many targets may crash while they process one request.
	crashLimit = 3
	// crashTTL is how long crashes of fewer targets count.
	crashTTL = time.Minute
	// firstCrashTrial is the time after which a request or a part that has just been refused
	// is tried again. It is short: a refusal may be wrong.
	firstCrashTrial = 3 * time.Second
	// acceptAfterStop is how long a stopping instance accepts new requests, since
	// callers still have its address.
	acceptAfterStop = 2500 * time.Millisecond
	// minStopTime is the shortest time between the start and the end of a stop.
	minStopTime = 2500 * time.Millisecond
	// stopMargin is the part of the grace period that is reserved for the end of the
	// process.
	stopMargin = 400 * time.Millisecond
	stopPoll   = 25 * time.Millisecond
)

// New assembles an instance and opens its listeners; Run serves. Errors say
// which setting is unusable.
func New(cfg config.Config, adapter Adapter, o Options) (*Instance, error) {
	if o.Clock == nil {
		o.Clock = quartz.NewReal()
	}
	if o.Boot == nil {
		o.Boot = bootclock.Clock{}
	}
	if o.Seed == 0 {
		o.Seed = rand.Uint64()
	}
	if o.Listen == nil {
		o.Listen = net.Listen
	}
	i := &Instance{cfg: cfg, o: o, adapter: adapter, startedAt: o.Boot.SinceBoot(), board: board.New(), metrics: metrics.NewRegistry()}
	i.inForce.Store(&cfg)
	i.lastClockCheck.Store(int64(o.Boot.SinceBoot()))
	i.o.Logger = o.Logger.With("instance", cfg.Instance.ID)
	i.adapter.Platform = newCountedPlatform(adapter.Platform, i.metrics)
	if err := i.times().Check(); err != nil {
		return nil, fmt.Errorf("ingress.apply is too short: %w", err)
	}
	i.assembleControl()
	i.assembleRequestPath()
	if err := i.openServers(); err != nil {
		i.closeServers()
		return nil, err
	}
	return i, nil
}

func (i *Instance) id() string { return i.cfg.Instance.ID }

func (i *Instance) rand() *rand.Rand {
	i.o.Seed++
	return rand.New(rand.NewPCG(i.o.Seed, 0x9e3779b97f4a7c15))
}

// assembleControl creates the components that maintain members and configuration.
func (i *Instance) assembleControl() {
	i.peers = peer.NewClient(peer.Options{
		Dial: i.o.Dial, Self: i.id(), Address: i.peerAddress, Logger: i.o.Logger, Metrics: i.metrics,
	})
	i.paths = i.newPaths()
	i.guard = crashguard.New(crashguard.Options{
		Self: i.id(), Board: i.board, Clock: i.o.Clock, Limit: crashLimit, TTL: crashTTL, FirstTrial: firstCrashTrial,
		Alive: i.targetAlive, OnChange: i.spreadSoon, Logger: i.o.Logger, Metrics: i.metrics,
	})
	i.refusals = crashguard.NewArchive(i.guard, i.adapter.Platform, i.readsRefusalsAfter())
	i.notices = notice.New(notice.Options{
		Self: fmt.Sprintf("%s/%08x", i.id(), i.rand().Uint32()), Board: i.board, Clock: i.o.Clock, OnChange: i.noticeChanged, Started: i.startOf,
		Logger: i.o.Logger, Metrics: i.metrics,
	})
	i.routes = routesync.New(routesync.Options{
		Self: i.id(), Store: i.adapter.Platform, Decoder: i.adapter.Decoder, Puller: i.peers,
		Clock: i.o.Clock, Boot: i.o.Boot, Rand: i.rand(), Logger: i.o.Logger, Metrics: i.metrics,
		OnTable: func(*route.Table) {
			i.ingress.LimitsChanged()
			i.updateDispatcher()
			i.spreadChange()
		},
		OnTargets:         i.handleTargets,
		RequestExchanges:  func() { i.members.RequestExchanges() },
		AnnouncedShutdown: i.notices.RunLeaves,
		Times:             i.times,
		WatchGap:          watchGap,
		CallsStore:        i.callsStore,
		ListsWhole:        i.listsWhole,
		MaxTransfers:      i.maxTransfers(),
		ProbeKey:          instancesPrefix + i.id(),
		Probes:            i.probesStore,
		Evacuations:       i.cfg.Ingress.Evacuations,
	})
	i.members = membership.New(membership.Options{
		Self: board.Member{
			ID: i.id(), State: board.MemberAlive, CallerAddr: i.cfg.Ingress.Listen, AdminAddr: i.cfg.Ingress.Listen,
			PeerAddr: cmp.Or(i.cfg.Listen.AdvertisePeer, i.cfg.Listen.Peer), Zone: i.cfg.Instance.Zone, Region: i.cfg.Instance.Region,
			Capacity: i.cfg.Ingress.ProcessorShare * max(i.cfg.Ingress.ProcessorCores, 1),
			Features: board.OwnFeatures,
		},
		Board: i.board, Clock: i.o.Clock, Boot: i.o.Boot, Rand: i.rand(), Transport: i.peers,
		Lister: i.adapter.Platform, Seeds: i.seeds, StoreLost: i.routes.StoreLost, TargetsLost: i.paths.Lost,
		Parts:          []gossip.Participant{i.routes, i.guard, i.notices},
		HeartbeatEvery: heartbeatEvery, SuspectAfter: suspectAfter,
		ListEvery: listEvery, RegisterEvery: registerEvery,
		Logger: i.o.Logger, Metrics: i.metrics,
	})
}

// assembleRequestPath creates the components that handle requests.
func (i *Instance) assembleRequestPath() {
	i.pool = exchange.New(exchange.Options{
		Dial: i.paths.Dial, AttemptID: i.adapter.ResponseAttemptID, OnSend: i.trackRequest, TakesWork: i.targetTakesWork,
		OnUnacked: i.paths.Suspect, Unacked: i.o.Unacked,
	})
	i.stages = &timedStages{StageClient: i.adapter.NewStageClient(i.pool), clock: i.o.Clock}
	i.cold = allowance.NewAllowance(allowance.Options{
		Self: i.id(), Instances: i.everKnownInstances, Clock: i.o.Clock,
		Bound: allowance.Cold(func() float64 { return i.settings().ColdOverage }),
	})
	i.limited = allowance.NewAllowance(allowance.Options{
		Self: i.id(), Instances: i.everKnownInstances, Clock: i.o.Clock, Bound: allowance.Stated(),
	})
	i.dispatcher = stagework.New(stagework.Options{
		Self: i.id(), Client: i.stages, Clock: i.o.Clock, Logger: i.o.Logger,
		RateLimits: stagework.RateLimits{Self: i.id(), Cold: i.cold, Limited: i.limited, Notices: i.notices},
		Reuse:      i.cfg.Ingress.ReuseWindow.Duration,
		First:      func(c stagework.Cell) (string, bool) { return i.finder.First(c) },
		CrashGuard: stageGuard{i.guard},
	})
	i.finder = stagework.NewFinder(stagework.FinderOptions{
		Self: i.id(), Local: i.dispatcher, Remote: i.peers,
		Members:  i.schedulers,
		Capacity: i.capacity, Cells: i.currentCells, Connectivity: i.contact, Joining: i.discoveringMembers,
		Reservations: i.overload.reservations,
		Clock:        i.o.Clock, Logger: i.o.Logger,
	})
	i.origins = streamorigin.New(streamorigin.Options{
		Self: i.id(), Transport: i.peers, Members: i.originHolders,
		Connected: i.reachesOthers, Confirmed: i.confirmed, FirstStart: i.cfg.Ingress.FirstStart, Clock: i.o.Clock, Logger: i.o.Logger, Metrics: i.metrics,
	})
	i.loads = forwarding.NewLoads(i.o.Clock, i.cfg.Instance.Zone, i.rand())
	i.slots = i.newSlots()
	i.loads.OnPace(i.targetStatedPace)
	i.updateOverload()
	i.ingress = ingress.New(ingress.Options{
		Codec: i.adapter.Codec, Forwarder: i.newForwarder(), Table: i.routes.Table,
		Confirm: i.grounds, Serving: i.serving, Addresses: i.addresses,
		AddressTTL:      func() time.Duration { return i.settings().AddressTTL.Duration },
		AcceptAfterStop: acceptAfterStop,
		Clock:           i.o.Clock, Logger: i.o.Logger, Metrics: i.metrics,
	})
	i.applyLimits()
	i.publish()
	i.publishShares()
	i.publishStageCrashes()
	i.publishEnginePace()
}

// openServers opens the listeners.
func (i *Instance) openServers() error {
	peers := peer.NewServer(peer.NewHandler(peer.ServerOptions{
		Exchange: i.exchange, Probe: i.members.HandleProbe, Profiles: i.routes.Serve, Work: i.acceptJob,
		Origins: i.origins, Tunnels: i.paths.Server(), Slots: i.slots.accept, SlotsEnd: i.slots.ended,
		CutOff: func() bool { return i.members.Silence() >= silenceThreshold },
		Logger: i.o.Logger, Metrics: i.metrics,
	}), nil, i.o.Logger)
	for _, l := range []struct {
		address string
		server  *http.Server
		bounded func(net.Listener) net.Listener
	}{
		{i.cfg.Ingress.Listen, i.ingress.Server(), i.ingress.CallerListener},
		{i.cfg.Ingress.Readiness, i.ingress.ReadyServer(i.adapter.ReadyPath), i.ingress.ReadyListener},
		{i.cfg.Ingress.AddressListen, i.ingress.AddressServer(i.adapter.AddressPath), i.ingress.AddressListener},
		{i.cfg.Listen.Peer, peers, nil},
		{i.cfg.Ingress.Control, peers, nil}, // the address that peers.seeds name
		{i.cfg.Ingress.Metrics, i.metricsServer(), nil},
	} {
		if l.address == "" {
			continue
		}
		listener, err := i.o.Listen("tcp", l.address)
		if err != nil && l.address == i.cfg.Ingress.Metrics {
			i.o.Logger.Log(event.MetricsUnavailable, "address", l.address, "err", err) // requests are served without metrics
			continue
		}
		if err != nil {
			return err
		}
		if l.bounded != nil {
			listener = l.bounded(listener)
		}
		i.servers = append(i.servers, l.server)
		i.listens = append(i.listens, listener)
	}
	return nil
}

func (i *Instance) closeServers() {
	for _, l := range i.listens {
		_ = l.Close()
	}
	for _, s := range i.servers {
		_ = s.Close()
	}
}

// exchange handles a gossip exchange (heartbeat) of another instance.
func (i *Instance) exchange(ctx context.Context, d gossip.Digest) gossip.Digest {
	return i.members.HandleExchange(ctx, d)
}
