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
	// drainPoll is how often a stopping instance looks whether its last
	// request is done.
	drainPoll = 50 * time.Millisecond
	// lastWords bounds what a stopping instance does after its last request:
	// record claims, hand over outcomes, close connections.
	lastWords = 8 * time.Second
	// claimWords is the part of lastWords for recording claims.
	claimWords = 6 * time.Second
	// maxHandover is how many outcomes a stopping instance passes on.
	maxHandover = 5000
)

// servers are the three listeners' servers.
type servers struct {
	caller, admin *httpserver.Server
	peer          *http.Server
}

func (d *Daemon) assembleServers() error {
	caller, err := callerapi.New(callerapi.Options{
		Handler: d, Auth: d.auth, Clock: d.opts.Clock, HeartbeatEvery: d.cfg.Timings.Heartbeat.Duration,
		Limits: callerapi.Limits{
			MaxBody:      kilobytes(d.cfg.Limits.MaxBodyKB),
			MaxAnswer:    kilobytes(d.cfg.Limits.MaxAnswerKB),
			MaxInFlight:  int64(d.cfg.Limits.MaxInFlight),
			BodyTimeout:  d.cfg.Timings.BodyTimeout.Duration,
			WriteTimeout: d.cfg.Timings.WriteTimeout.Duration,
		},
		Self: d.id(), Logger: d.logger, Metrics: d.metrics,
	})
	if err != nil {
		return err
	}
	admin, err := adminapi.New(adminapi.Options{
		Operations: &operations{d}, Auth: d.auth, Logger: d.logger, Metrics: d.metrics,
		Registry: d.metrics, Pprof: d.cfg.Debug.Pprof,
	})
	if err != nil {
		return err
	}
	d.servers = servers{
		caller: httpserver.New(httpserver.Options{
			Name: "caller", Listener: d.net.caller, Handler: caller, TLS: serverConfig(d.tls.caller), Logger: d.logger,
		}),
		admin: httpserver.New(httpserver.Options{
			Name: "admin", Listener: d.net.admin, Handler: admin, TLS: serverConfig(d.tls.admin), Logger: d.logger,
		}),
		peer: peer.NewServer(peer.NewHandler(d.peerCalls()), serverConfig(d.tls.peer), d.logger),
	}
	return nil
}

// Run serves until ctx ends, then stops gracefully: nothing in flight is cut,
// and callers that kept an address answer are still served until the longest
// kept answer has run out. It returns nil after a graceful stop.
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
	d.closeEdges()
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

// stop is the graceful stop. Order matters: first no new callers are sent
// here, then those who still may come are served, and only then does the
// instance stop being reachable for its peers.
func (d *Daemon) stop() {
	d.logger.Log(event.DaemonStopping, "in_flight", d.admitter.InFlight())
	d.markStopping()
	ctx, cancel := d.stopContext()
	defer cancel()
	d.members.Leave(ctx)
	d.serveKeptAnswers(ctx)
	d.awaitLastRequest(ctx)
	d.awaitClaimedCalls(ctx)
	closing, done := loop.WithTimeout(context.Background(), d.opts.Clock, lastWords)
	defer done()
	d.drainClaims(closing)
	d.handOver(closing)
	_ = d.servers.caller.Shutdown(closing)
	_ = d.servers.admin.Shutdown(closing)
	_ = d.servers.peer.Shutdown(closing)
	d.Kill()
}

// stopContext bounds a graceful stop by the setting; unset, it takes as long
// as requests take.
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

// serveKeptAnswers waits until no caller can hold an address answer that names
// this instance: its peers gave it until the leave announcement reached them,
// and callers keep an answer for the longest keep time after that.
func (d *Daemon) serveKeptAnswers(ctx context.Context) {
	spread := 2 * d.cfg.Timings.PeerHeartbeat.Duration
	loop.Sleep(ctx, d.opts.Clock, d.steering.LongestKeep()+spread)
}

func (d *Daemon) awaitLastRequest(ctx context.Context) {
	for d.admitter.InFlight() > 0 {
		if !loop.Sleep(ctx, d.opts.Clock, drainPoll) {
			d.logger.Log(event.DaemonStopCut, "in_flight", d.admitter.InFlight())
			return
		}
	}
}

// awaitClaimedCalls waits for the claimed calls that go on after their caller
// has left. Ended with the instance, such a call leaves a claim that nobody
// completes: every resend is told "may have run" for the whole retention,
// although the stage's answer was on its way. Each ends with the deadline of
// its request, and all of them with the grace of the stop.
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

// drainClaims records what the claims still owe. It leaves time for what comes
// after it.
func (d *Daemon) drainClaims(ctx context.Context) {
	d.platform.SetStopping()
	ctx, cancel := loop.WithTimeout(ctx, d.opts.Clock, claimWords)
	defer cancel()
	d.pages.Drain(ctx)
}

// handOver passes recent outcomes on, so that a resend finds its answer after
// this instance is gone.
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

// otherMembers are the other living instances, those of the own availability
// zone first.
func (d *Daemon) otherMembers() []string {
	near := d.board.LiveMembersIn(d.cfg.Instance.Place, d.id())
	var others []string
	for _, id := range append(near, d.board.LiveMembers(d.id())...) {
		if id != d.id() && !slices.Contains(others, id) {
			others = append(others, id)
		}
	}
	return others
}

// Kill closes every listener and connection at once, as the death of the
// process would. Run returns.
func (d *Daemon) Kill() {
	d.killOnce.Do(func() {
		close(d.killed)
		d.servers.caller.Kill()
		d.servers.admin.Kill()
		_ = d.servers.peer.Close()
	})
}

func (d *Daemon) closeEdges() {
	d.peers.Close()
	d.targets.Close()
	d.net.close()
	d.background.Wait()
}

// Clock is the daemon's clock, for the bench.
func (d *Daemon) Clock() clock.Clock { return d.opts.Clock }
