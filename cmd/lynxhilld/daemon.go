package main

import (
	"net/url"
	"runtime/debug"

	"lynxhill.example/lynxhill/internal/config"
	"lynxhill.example/lynxhill/internal/daemon"
	"lynxhill.example/lynxhill/internal/edge"
	"lynxhill.example/lynxhill/internal/event"
	"lynxhill.example/lynxhill/internal/exchange"
	"lynxhill.example/lynxhill/internal/relay"
	"lynxhill.example/lynxhill/platform"
)

// newDaemon creates the instance. It opens the listeners, so that it returns an error for
// an address in the settings that cannot be listened on.
func newDaemon(cfg config.Config, logger *event.Logger) (runner, error) {
	if cfg.Ingress.Enabled() {
		return newEdge(cfg, logger)
	}
	instance, err := daemon.New(cfg, daemon.Options{Logger: logger, LimitMemory: debug.SetMemoryLimit})
	if err != nil {
		return nil, settingsError{err}
	}
	return instance, nil
}

// newEdge creates an instance that serves plain requests on the users' platform.
func newEdge(cfg config.Config, logger *event.Logger) (runner, error) {
	endpoint, err := url.Parse(cfg.Platform.Endpoints[0])
	if err != nil {
		return nil, settingsError{err}
	}
	instance, err := edge.New(cfg, edge.Adapter{
		Platform:          platform.NewStore(platform.StoreOptions{Endpoint: endpoint.Host}),
		Codec:             platform.Codec{},
		Decoder:           platform.Decoder{},
		NewStageClient:    func(pool *exchange.Pool) relay.StageClient { return platform.NewStageClient(pool) },
		ResponseAttemptID: platform.AnswerID,
		ReadyPath:         platform.ReadinessPath,
		AddressPath:       platform.AddressPath,
		ScarceCapacity:    platform.ScarceCapacity(cfg.Platform.Contracts),
	}, edge.Options{Logger: logger, LimitMemory: debug.SetMemoryLimit})
	if err != nil {
		return nil, settingsError{err}
	}
	return instance, nil
}
