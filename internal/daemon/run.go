package daemon

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"sync"
	"time"

	"lynxhill.example/lynxhill/internal/adminapi"
	"lynxhill.example/lynxhill/internal/board"
	"lynxhill.example/lynxhill/internal/callerapi"
	"lynxhill.example/lynxhill/internal/clock"
	"lynxhill.example/lynxhill/internal/control/loop"
	"lynxhill.example/lynxhill/internal/event"
	"lynxhill.example/lynxhill/internal/httpserver"
	"lynxhill.example/lynxhill/internal/peer"
)

const (
	// drainPoll is the interval at which a stopping instance checks whether its last
	// request has finished.
	drainPoll = 50 * time.Millisecond
	// closingTimeout is the timeout of the work of a stopping instance after its last
	// request: recording claims, handing over outcomes, closing connections.
	closingTimeout = 8 * time.Second
	// claimDrainTimeout is the part of closingTimeout that recording claims may use.
	claimDrainTimeout = 6 * time.Second
	// maxHandover is the maximum number of outcomes that a stopping instance sends to
	// another one.
	maxHandover = 5000
)

// servers holds the servers of the three listeners.
type servers struct {
	caller, admin *httpserver.Server
	peer          *http.Server
}

func (d *Daemon) assembleServers() error {
	callers, operators := d.newIntake()
	caller, err := callerapi.New(callerapi.Options{
		Handler: d, Auth: d.auth, Clock: d.opts.Clock, HeartbeatEvery: d.cfg.Timings.Heartbeat.Duration,
		Limits: callerapi.Limits{
			MaxBody:      kilobytes(d.cfg.Limits.MaxBodyKB),
			MaxAnswer:    kilobytes(d.cfg.Limits.MaxAnswerKB),
			MaxInFlight:  int64(d.cfg.Limits.MaxInFlight),
			BodyTimeout:  d.cfg.Timings.BodyTimeout.Duration,
			WriteTimeout: d.cfg.Timings.WriteTimeout.Duration,
		},
		Memory: callers.memory, Self: d.id(), Logger: d.logger, Metrics: d.metrics,
	})
	if err != nil {
		return err
	}
	admin, err := adminapi.New(adminapi.Options{
		Operations: &operations{d}, Auth: d.auth, Logger: d.logger, Metrics: d.metrics,
		Registry: d.metrics, Pprof: d.cfg.Debug.Pprof, Memory: operators.memory,
	})
	if err != nil {
		return err
	}
	d.servers = servers{
		caller: httpserver.New(httpserver.Options{
			Name: "caller", Listener: d.net.caller, Handler: caller, TLS: serverConfig(d.tls.caller), Limiter: callers.limiter, Logger: d.logger,
		}),
		admin: httpserver.New(httpserver.Options{
			Name: "admin", Listener: d.net.admin, Handler: admin, TLS: serverConfig(d.tls.admin), Limiter: operators.limiter, Logger: d.logger,
		}),
		peer: peer.NewServer(peer.NewHandler(d.peerCalls()), serverConfig(d.tls.peer), d.logger),
	}
	return nil
}

// Run serves until ctx ends, then stops gracefully: requests in flight finish within
// the grace period, if one is set, and callers that have cached this instance's
// address are served until the cache lifetime has passed. Run returns nil after a
// graceful stop.
func (d *Daemon) Run(ctx context.Context) error {
	d.logger.Log(event.DaemonStarted, "caller", d.CallerAddr(), "admin", d.AdminAddr(), "peer", d.PeerAddr())
	partsCtx, stopParts := context.WithCancel(context.WithoutCancel(ctx))
	defer stopParts()
	var parts sync.WaitGroup
	for _, run := range d.controllers() {
		parts.Go(func() { run(partsCtx) })
	}
	failed := make(chan error, 3)
	d.serve(failed)
	var err error
	select {
	case <-ctx.Done():
		d.stop()
	case err = <-failed:
		d.Kill()
	case <-d.killed:
	}
	stopParts()
	parts.Wait()
	d.closeIO()
	d.logger.Log(event.DaemonStopped)
	return err
}

func (d *Daemon) serve(failed chan<- error) {
	run := func(serve func() error) {
		d.background.Go(func() {
			if err := serve(); err != nil {
				failed <- err
			}
		})
	}
	run(d.servers.caller.Serve)
	run(d.servers.admin.Serve)
	run(func() error {
		err := d.servePeers()
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return err
	})
}

func (d *Daemon) servePeers() error {
	if d.tls.peer == nil {
		return d.servers.peer.Serve(d.net.peer)
	}
	return d.servers.peer.ServeTLS(d.net.peer, "", "")
}

// stop stops the instance gracefully. The order matters: first the other instances
// stop directing new callers to this one, then the callers that still have its address
// are served, and only then do the listeners close, the peer listener last.
func (d *Daemon) stop() {
	d.logger.Log(event.DaemonStopping, "in_flight", d.admitter.InFlight())
	d.markStopping()
	ctx, cancel := d.stopContext()
	defer cancel()
	d.members.Leave(ctx)
	d.waitForCachedAddresses(ctx)
	d.awaitLastRequest(ctx)
	d.awaitClaimedCalls(ctx)
	closing, done := loop.WithTimeout(context.Background(), d.opts.Clock, closingTimeout)
	defer done()
	d.drainClaims(closing)
	d.handOver(closing)
	_ = d.servers.caller.Shutdown(closing)
	_ = d.servers.admin.Shutdown(closing)
	_ = d.servers.peer.Shutdown(closing)
	d.Kill()
}

// stopContext returns a context that ends after the grace period of the settings.
// Without one, a graceful stop takes as long as the requests in flight.
func (d *Daemon) stopContext() (context.Context, context.CancelFunc) {
	grace := d.cfg.Timings.StopGrace.Duration
	if grace <= 0 {
		return context.WithCancel(context.Background())
	}
	return loop.WithTimeout(context.Background(), d.opts.Clock, grace)
}

func (d *Daemon) markStopping() {
	d.board.Self.Update(board.SelfRow, func(old board.Self, _ bool) (board.Self, bool) {
		old.Stopping = true
		return old, true
	})
}

// waitForCachedAddresses waits until no caller can have a cached address response that names
// this instance: its peers returned it until the leave announcement reached them, and
// callers cache a response for up to the longest keep time after that.
func (d *Daemon) waitForCachedAddresses(ctx context.Context) {
	spread := 2 * d.cfg.Timings.PeerHeartbeat.Duration
	loop.Sleep(ctx, d.opts.Clock, d.steering.MaxTTL()+spread)
}

func (d *Daemon) awaitLastRequest(ctx context.Context) {
	for d.admitter.InFlight() > 0 {
		if !loop.Sleep(ctx, d.opts.Clock, drainPoll) {
			d.logger.Log(event.DaemonStopCut, "in_flight", d.admitter.InFlight())
			return
		}
	}
}

// awaitClaimedCalls waits for the claimed calls that continue after their caller has
// disconnected. If such a call ended with the instance, its claim would never be
// completed: every resend would get "may have run" for the whole retention, although
// the stage's response was on its way. Each call ends at the deadline of its request,
// and the wait ends with the grace period of the stop.
func (d *Daemon) awaitClaimedCalls(ctx context.Context) {
	ended := make(chan struct{})
	go func() {
		d.runner.Wait()
		close(ended)
	}()
	select {
	case <-ended:
	case <-ctx.Done():
		d.logger.Log(event.DaemonStopCut, "in_flight", "claimed calls without their callers")
	}
}

// drainClaims writes the claim records that are not yet in the store, or hands them to
// other instances. Its timeout leaves time for the later steps of the stop.
func (d *Daemon) drainClaims(ctx context.Context) {
	d.platform.SetStopping()
	ctx, cancel := loop.WithTimeout(ctx, d.opts.Clock, claimDrainTimeout)
	defer cancel()
	d.claimer.Drain(ctx)
}

// handOver sends recent outcomes to another instance, so that a resend finds its
// outcome after this instance has ended.
func (d *Daemon) handOver(ctx context.Context) {
	records := d.outcomes.Export(maxHandover)
	if len(records) == 0 {
		return
	}
	for _, id := range d.otherMembers() {
		if d.peers.Handover(ctx, id, records) == nil {
			return
		}
	}
	d.logger.Log(event.OutcomesLost, "records", len(records))
}

// otherMembers returns the other live instances, those in this instance's availability
// zone first.
func (d *Daemon) otherMembers() []string {
	near := d.board.LiveMembersIn(d.cfg.Instance.Zone, d.id())
	var others []string
	for _, id := range append(near, d.board.LiveMembers(d.id())...) {
		if id != d.id() && !slices.Contains(others, id) {
			others = append(others, id)
		}
	}
	return others
}

// Kill closes every listener and connection at once, as a crash of the process would.
// Run returns.
func (d *Daemon) Kill() {
	d.killOnce.Do(func() {
		close(d.killed)
		d.servers.caller.Close()
		d.servers.admin.Close()
		_ = d.servers.peer.Close()
	})
}

func (d *Daemon) closeIO() {
	d.peers.Close()
	d.targets.Close()
	d.net.close()
	d.background.Wait()
}

// Clock returns the daemon's clock, for the benchmark.
func (d *Daemon) Clock() clock.Clock { return d.opts.Clock }
