// Package fleet builds the deployments of the two users out of stand-ins: a
// platform and all targets with the users' names, counts and zones.
package fleet

import (
	"errors"
	"fmt"
	"net"
	"slices"
	"time"

	"lynxhill.example/lynxhill/internal/defaults"
	"lynxhill.example/lynxhill/internal/standin/engine"
	"lynxhill.example/lynxhill/internal/standin/loopback"
	"lynxhill.example/lynxhill/internal/standin/netfault"
	"lynxhill.example/lynxhill/internal/standin/platform"
	"lynxhill.example/lynxhill/internal/standin/service"
	"lynxhill.example/lynxhill/internal/standin/targetbase"
	"lynxhill.example/lynxhill/internal/wire/platformapi"
	"lynxhill.example/lynxhill/internal/wire/targetapi"
)

// PlatformID is the platform's id for Owner.
const PlatformID = "platform"

// Options of a Deployment.
type Options struct {
	// Name is MediaPlace or Kilimanjaro.
	Name string
	Seed uint64
	// Scale (0 to 1] multiplies the counts of targets, at least two a
	// service. 0 means 1.
	Scale float64
	// TimeScale multiplies the service times. 0 means DefaultTimeScale.
	TimeScale float64
	// LoadLag is how far load reports are behind. 0 means DefaultLoadLag, less
	// means none; so with the next two.
	LoadLag time.Duration
	// EventLag is how late the engines' cache events are, and EventLoss the
	// share of them that is lost.
	EventLag  time.Duration
	EventLoss float64
	// IgnoreFence makes the new provider's engines ignore fencing numbers.
	IgnoreFence bool
	// Models are loaded on every engine. nil loads Models(Name); an empty
	// slice loads none.
	Models []targetapi.LoadedModel
	// WeightLoadTime is the time that the weight store needs for one model.
	WeightLoadTime time.Duration
	// Platform are the options of the platform. Without limits it has those
	// of the brief.
	Platform platform.Options
	// Network, if given, carries all connections to the stand-ins. Owner
	// names the owners.
	Network *netfault.Network
	// Latency sets the deployment's latency between its zones on Network.
	Latency bool
}

// Defaults of Options.
const (
	// DefaultTimeScale makes an answer of 96 tokens last about a fifth of a second.
	DefaultTimeScale = 1.0
	DefaultLoadLag   = 100 * time.Millisecond
	DefaultEventLag  = 200 * time.Millisecond
	DefaultEventLoss = 0.05
	leastTargets     = 2
)

// What the platform of the brief takes and how soon it answers.
const (
	PlatformWritesPerSecond = 400
	PlatformReadsPerSecond  = 2000
	PlatformDelay           = time.Millisecond
)

func (o *Options) setDefaults() {
	defaults.Positive(&o.Scale, 1)
	defaults.Positive(&o.TimeScale, DefaultTimeScale)
	if o.Models == nil {
		o.Models = Models(o.Name)
	}
	defaults.Positive(&o.WeightLoadTime, engine.DefaultLoadTime)
	if o.Platform.Limits == (platform.Limits{}) {
		o.Platform.Limits = platform.Limits{
			WritesPerSecond: PlatformWritesPerSecond,
			ReadsPerSecond:  PlatformReadsPerSecond,
		}
	}
	o.LoadLag = valueOr(o.LoadLag, DefaultLoadLag)
	o.EventLag = valueOr(o.EventLag, DefaultEventLag)
	o.EventLoss = valueOr(o.EventLoss, DefaultEventLoss)
}

// valueOr returns the default for 0, and 0 for what is less.
func valueOr[T time.Duration | float64](value, byDefault T) T {
	if value == 0 {
		return byDefault
	}
	return max(0, value)
}

// Member is one target of a deployment. Engine or Service is nil.
type Member struct {
	Instance platformapi.Instance
	Target   *targetbase.Target
	Engine   *engine.Server
	Service  *service.Server
}

func (m *Member) close() {
	if m.Engine != nil {
		m.Engine.Close()
		return
	}
	m.Service.Close()
}

// Deployment is a running deployment.
type Deployment struct {
	Name     string
	Region   string
	Zones    []string
	Platform *platform.Server
	Weights  *engine.WeightStore

	opts    Options
	members []*Member
}

// ErrUnknown is returned for a deployment name that isn't known.
var ErrUnknown = errors.New("fleet: unknown deployment")

// New builds and starts a deployment.
func New(opts Options) (*Deployment, error) {
	opts.setDefaults()
	layout, ok := layouts[opts.Name]
	if !ok {
		return nil, fmt.Errorf("%w: %q", ErrUnknown, opts.Name)
	}
	d := &Deployment{
		Name:    opts.Name,
		Region:  layout.region,
		Zones:   slices.Clone(layout.zones),
		Weights: engine.NewWeightStore(opts.WeightLoadTime),
		opts:    opts,
	}
	if err := d.start(layout); err != nil {
		d.Close()
		return nil, err
	}
	return d, nil
}

func (d *Deployment) start(layout layout) error {
	options := d.opts.Platform
	options.Seed = d.opts.Seed
	options.Listen = d.listen(PlatformID, d.Zones[0])
	server, err := platform.New(options)
	if err != nil {
		return err
	}
	d.Platform = server
	server.Slow(PlatformDelay, PlatformDelay)
	d.setLatency(layout)
	for _, pool := range layout.pools {
		if err := d.startPool(pool); err != nil {
			return err
		}
	}
	return nil
}

func (d *Deployment) startPool(p pool) error {
	count := max(min(leastTargets, p.count), int(float64(p.count)*d.opts.Scale+0.5))
	for i := range count {
		member, err := d.startMember(p, i, count)
		if err != nil {
			return err
		}
		d.members = append(d.members, member)
		d.Platform.SetInstance(member.Instance)
	}
	return nil
}

func (d *Deployment) startMember(p pool, index, count int) (*Member, error) {
	id := fmt.Sprintf("%s-%d", p.service, index+1)
	zone := d.Zones[index%len(d.Zones)]
	seed := d.opts.Seed*1000 + uint64(len(d.members)) + 1
	member := &Member{Instance: platformapi.Instance{
		ID:      id,
		Service: p.service,
		Kind:    p.kind,
		Zone:    zone,
		Region:  d.Region,
		State:   platformapi.StateLive,
	}}
	var err error
	if p.kind == kindGenerate {
		err = d.startEngine(member, seed, index, count)
	} else {
		err = d.startService(member, p, seed)
	}
	if err != nil {
		return nil, err
	}
	member.Instance.Address = member.Target.Addr()
	return member, nil
}

func (d *Deployment) startEngine(member *Member, seed uint64, index, count int) error {
	provider := providers[0]
	if index >= (count+1)/2 {
		provider = providers[1]
	}
	checks := provider.name == ProviderOld || !d.opts.IgnoreFence
	member.Instance.Provider = provider.name
	member.Instance.ChecksFence = checks
	server, err := engine.New(engine.Options{
		ID:          member.Instance.ID,
		Seed:        seed,
		Time:        engine.TimeModel{PerToken: provider.perToken, Scale: d.opts.TimeScale},
		LoadLag:     d.opts.LoadLag,
		EventLag:    d.opts.EventLag,
		EventLoss:   d.opts.EventLoss,
		ChecksFence: checks,
		Models:      d.opts.Models,
		Weights:     d.Weights,
		Price:       provider.price,
		Listen:      d.listen(member.Instance.ID, member.Instance.Zone),
	})
	if err != nil {
		return err
	}
	member.Engine, member.Target = server, server.Target
	return nil
}

func (d *Deployment) startService(member *Member, p pool, seed uint64) error {
	server, err := service.New(service.Options{
		ID:      member.Instance.ID,
		Kind:    p.kind,
		Seed:    seed,
		Median:  time.Duration(float64(p.median) * d.opts.TimeScale),
		Cost:    p.cost,
		LoadLag: d.opts.LoadLag,
		Listen:  d.listen(member.Instance.ID, member.Instance.Zone),
	})
	if err != nil {
		return err
	}
	member.Service, member.Target = server, server.Target
	return nil
}

// Owner returns the owner in the Network of a target, or of the platform for
// PlatformID. Deployments may share a Network.
func (d *Deployment) Owner(id string) string { return d.Name + "/" + id }

func (d *Deployment) listen(id, zone string) loopback.ListenFunc {
	if d.opts.Network == nil {
		return nil
	}
	owner := d.Owner(id)
	d.opts.Network.SetZone(owner, zone)
	return func(addr string) (net.Listener, error) { return d.opts.Network.Listen(owner, addr) }
}

func (d *Deployment) setLatency(layout layout) {
	if d.opts.Network == nil || !d.opts.Latency {
		return
	}
	for i, a := range d.Zones {
		for _, b := range d.Zones[i+1:] {
			d.opts.Network.SetLatency(a, b, layout.latency)
		}
	}
}

// Close stops all targets and the platform.
func (d *Deployment) Close() {
	for _, member := range d.members {
		member.close()
	}
	if d.Platform != nil {
		d.Platform.Close()
	}
}
