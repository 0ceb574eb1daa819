package bench

import (
	"context"
	"time"

	"lynxhill.example/lynxhill/internal/config"
	"lynxhill.example/lynxhill/internal/daemon"
	"lynxhill.example/lynxhill/internal/invariant"
	"lynxhill.example/lynxhill/internal/sleep"
	"lynxhill.example/lynxhill/internal/standin/fleet"
	"lynxhill.example/lynxhill/internal/standin/netfault"
)

// meteredCluster is a cluster whose connections go over plain loopback and are
// counted. The network with faults is left out: its queues would cost
// processor time that an instance does not spend.
type meteredCluster struct {
	*Cluster
	meters []*meter
}

// startStandins starts a deployment with count targets at Scale 1 times scale,
// and no instance yet.
func startStandins(scale float64, opts CapacityOptions) (*meteredCluster, error) {
	options := fleet.Options{Name: fleet.MediaPlace, Scale: scale, Seed: opts.Seed}
	deployment, err := fleet.New(options)
	if err != nil {
		return nil, err
	}
	c := &Cluster{
		Fleet: deployment, Network: netfault.New(), Violations: &invariant.Collector{},
		opts:    ClusterOptions{Fleet: options, Adjust: adjustFrom(opts.Adjust), Seed: opts.Seed, Log: opts.Log},
		callers: make(map[string]string),
	}
	c.makeTokens()
	return &meteredCluster{Cluster: c}, nil
}

// start starts n instances.
func (c *meteredCluster) start(n int) error {
	c.opts.Instances = n
	for i := range n {
		if err := c.startInstance(i); err != nil {
			return err
		}
	}
	return nil
}

func (c *meteredCluster) startInstance(i int) error {
	cfg := c.settings(i)
	m := newMeter(c.Fleet.Platform.Addr(), c.targetAddrs())
	d, err := daemon.New(cfg, daemon.Options{
		Dial: m.dial, Listen: m.listen, Seed: c.opts.Seed*1000 + uint64(i) + 1,
		Logger: c.logger(), Violations: c.Violations,
	})
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	node := &Instance{ID: cfg.Instance.ID, Zone: cfg.Instance.Zone, Daemon: d, stop: stop, done: make(chan struct{})}
	go func() {
		defer close(node.done)
		_ = d.Run(ctx) // its errors are in the log
	}()
	c.put(i, node)
	c.meters = append(c.meters, m)
	return nil
}

func (c *meteredCluster) targetAddrs() map[string]bool {
	addrs := make(map[string]bool)
	for _, m := range c.Fleet.Members() {
		addrs[m.Target.Addr()] = true
	}
	return addrs
}

// settled waits until the instances are ready and their profiles in force, and
// at least until the given moment, when the burst of the start is over.
func (c *meteredCluster) settled(ctx context.Context, until time.Time) error {
	if _, err := prepare(ctx, c.Cluster); err != nil {
		return err
	}
	return sleep.For(ctx, time.Until(until))
}

// adjustFrom gives the instances the times of the default settings, which the
// bench otherwise shortens, and then those of the run.
func adjustFrom(adjust func(*config.Config)) func(*config.Config) {
	return func(cfg *config.Config) {
		cfg.Timings = config.Default().Timings
		if adjust != nil {
			adjust(cfg)
		}
	}
}
