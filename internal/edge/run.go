package edge

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"lynxhill.example/lynxhill/internal/event"
)

// Run serves until ctx ends, then stops gracefully.
func (i *Instance) Run(ctx context.Context) error {
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var parts sync.WaitGroup
	for _, run := range []func(context.Context){i.routes.Run, i.members.Run, i.refusals.Run, i.watchSuspension} {
		parts.Go(func() { run(background) })
	}
	failed := make(chan error, len(i.servers))
	for k, s := range i.servers {
		parts.Go(func() {
			if err := s.Serve(i.listens[k]); err != nil && !errors.Is(err, http.ErrServerClosed) {
				failed <- err
			}
		})
	}
	i.o.Logger.Log(event.IngressListening, "address", i.cfg.Ingress.Listen, "peer", i.cfg.Listen.Peer,
		"first_start", i.cfg.Ingress.FirstStart)
	var err error
	select {
	case <-ctx.Done():
		i.stop()
	case err = <-failed:
	}
	i.ingress.CancelRequests()
	i.slots.Close()
	i.closeServers()
	i.dispatcher.Close()
	i.paths.Close()
	stop()
	parts.Wait()
	return err
}

// stop finishes the requests and jobs in flight, as far as the grace period allows.
func (i *Instance) stop() {
	began := i.o.Clock.Now()
	i.ingress.Stop()
	i.o.Logger.Log(event.IngressStopping, "in_flight", i.ingress.InFlight())
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	go func() { _ = i.adapter.Platform.Deregister(ctx, i.id()) }()
	i.members.Leave(ctx)
	i.slots.handOver()
	var handingOver sync.WaitGroup
	handingOver.Go(i.handOverOrigins)
	i.dispatcher.ReturnJobs()
	for {
		waited := i.o.Clock.Now().Sub(began)
		idle := i.ingress.InFlight() == 0 && i.dispatcher.Jobs() == 0 && i.paths.Served() == 0
		if idle && waited >= minStopTime || waited >= i.settings().Grace.Duration-stopMargin {
			break
		}
		time.Sleep(stopPoll)
	}
	handingOver.Wait()
	i.handOverOrigins() // what arrived since
	i.o.Logger.Log(event.IngressStopped, "cut", i.ingress.InFlight())
}
