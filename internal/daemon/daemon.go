package daemon

import (
	"crypto/rand"
	"errors"
	mathrand "math/rand/v2"
	"sync"
	"time"

	"lynxhill.example/lynxhill/internal/admission"
	"lynxhill.example/lynxhill/internal/auth"
	"lynxhill.example/lynxhill/internal/board"
	"lynxhill.example/lynxhill/internal/claim"
	"lynxhill.example/lynxhill/internal/config"
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
	"lynxhill.example/lynxhill/internal/event"
	"lynxhill.example/lynxhill/internal/invariant"
	"lynxhill.example/lynxhill/internal/membership"
	"lynxhill.example/lynxhill/internal/metrics"
	"lynxhill.example/lynxhill/internal/outcome"
	"lynxhill.example/lynxhill/internal/peer"
	"lynxhill.example/lynxhill/internal/pipeline"
	"lynxhill.example/lynxhill/internal/profile"
	"lynxhill.example/lynxhill/internal/serving"
	"lynxhill.example/lynxhill/internal/slo"
	"lynxhill.example/lynxhill/internal/storeclient"
	"lynxhill.example/lynxhill/internal/target"
)

// Daemon is one instance.
type Daemon struct {
	cfg     config.Config
	opts    Options
	logger  *event.Logger
	metrics *metrics.Registry
	started time.Time
	seeds   *mathrand.Rand // seeds the sources of the components; used only by New

	auth  *auth.Verifier
	tls   tlsParts
	net   *listeners
	board *board.Board
	check *invariant.Checker

	platform *storeclient.Client
	targets  *target.Client
	peers    *peer.Client

	members   *membership.Manager
	profiles  *profilesync.Manager
	discovery *discovery.Controller
	loads     *loadview.Controller
	leases    *lease.Manager
	orders    *orders.Controller
	steering  *steering.Controller
	drains    *drain.Controller
	limits    *limits.Controller
	reach     *reach.Controller

	gate     *admission.ServiceGate
	admitter *admission.InstanceAdmitter
	claimer  *claim.StoreClaimer
	tickets  *claim.Tickets
	claims   claim.Claimer
	outcomes *outcome.Registry
	guard    *crashguard.Guard
	runner   *pipeline.Runner
	serving  *serving.Server
	slo      *slo.Tracker

	servers    servers
	violations *violationCounter
	background sync.WaitGroup
	killOnce   sync.Once
	killed     chan struct{}
}

// New assembles an instance and opens its listeners; Run serves. Errors say
// which setting is unusable.
func New(cfg config.Config, opts Options) (*Daemon, error) {
	opts = opts.withDefaults()
	d := &Daemon{
		cfg:     cfg,
		opts:    opts,
		logger:  opts.Logger.With("instance", cfg.Instance.ID),
		metrics: metrics.NewRegistry(),
		started: opts.Clock.Now(),
		seeds:   mathrand.New(mathrand.NewPCG(opts.Seed, 1)),
		board:   board.New(),
		killed:  make(chan struct{}),
	}
	d.check = d.newChecker()
	if err := d.openIO(); err != nil {
		d.net.close()
		return nil, err
	}
	d.assembleRequestPath()
	d.assembleControl()
	if err := d.assembleServers(); err != nil {
		d.net.close()
		return nil, err
	}
	return d, nil
}

// openIO creates the components that do I/O: token and certificate readers,
// listeners, and the clients of the platform, the targets and the other instances.
func (d *Daemon) openIO() error {
	var err error
	if d.auth, err = auth.New(auth.Options{
		Tokens:    d.cfg.Tokens.Set(),
		File:      d.cfg.Tokens.File,
		PollEvery: d.cfg.Timings.FileCheck.Duration,
		Clock:     d.opts.Clock,
		Logger:    d.logger,
	}); err != nil {
		return err
	}
	if d.tls, err = d.newTLS(); err != nil {
		return err
	}
	if d.net, err = d.openListeners(); err != nil {
		return err
	}
	if d.platform, err = d.newPlatform(); err != nil {
		return err
	}
	d.targets = target.New(target.Options{
		Dial:          d.opts.Dial,
		Clock:         d.opts.Clock,
		MaxReplyBytes: kilobytes(d.cfg.Limits.MaxAnswerKB),
		Logger:        d.logger,
		Metrics:       d.metrics,
	})
	peerTLS, err := d.tls.peerClient()
	if err != nil {
		return err
	}
	d.peers = peer.NewClient(peer.Options{
		Dial:    d.opts.Dial,
		TLS:     peerTLS,
		Self:    d.id(),
		Address: d.peerAddress,
		Logger:  d.logger,
		Metrics: d.metrics,
	})
	return nil
}

// id returns the id of this instance.
func (d *Daemon) id() string { return d.cfg.Instance.ID }

// rand returns a new seeded source for one component.
func (d *Daemon) rand() *mathrand.Rand {
	return mathrand.New(mathrand.NewPCG(d.seeds.Uint64(), d.seeds.Uint64()))
}

// profile returns a profile in force.
func (d *Daemon) profile(name string) (profile.Versioned, bool) {
	return d.board.Profiles.Get(name)
}

// peerAddress returns the address of an instance's peer listener.
func (d *Daemon) peerAddress(instance string) (string, bool) {
	m, ok := d.board.Members.Get(instance)
	return m.PeerAddr, ok && m.PeerAddr != ""
}

// CallerAddr returns the address on which the caller API listens.
func (d *Daemon) CallerAddr() string { return d.net.caller.Addr().String() }

// AdminAddr returns the address on which the admin API listens.
func (d *Daemon) AdminAddr() string { return d.net.admin.Addr().String() }

// PeerAddr returns the address on which the peer API listens.
func (d *Daemon) PeerAddr() string { return d.net.peer.Addr().String() }

// Board returns the instance's board, for the benchmark.
func (d *Daemon) Board() *board.Board { return d.board }

// Metrics returns the instance's metrics, for the benchmark.
func (d *Daemon) Metrics() *metrics.Registry { return d.metrics }

// Platform returns the instance's client of the platform, for the benchmark.
func (d *Daemon) Platform() *storeclient.Client { return d.platform }

// newChecker returns a checker of invariants. It counts violations for the status
// and passes them to the recorder of the options; without one they are counted in
// the metrics and logged.
func (d *Daemon) newChecker() *invariant.Checker {
	next := d.opts.Violations
	if next == nil {
		next = invariant.NewProduction(d.opts.Clock, d.logger, d.metrics)
	}
	d.violations = &violationCounter{next: next}
	return invariant.New(d.violations)
}

// ticketSecret is the source of the signing key of tickets.
var ticketSecret = rand.Reader

// errNoPlatform is the error for settings without an endpoint.
var errNoPlatform = errors.New("platform.endpoints: must name at least one endpoint")

func kilobytes(kb int) int64 { return int64(kb) << 10 }
