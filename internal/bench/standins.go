package bench

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"lynxhill.example/lynxhill/internal/standin/fleet"
	"lynxhill.example/lynxhill/internal/standin/loopback"
	"lynxhill.example/lynxhill/internal/wire/platformapi"
)

// Files that Standins writes to its directory.
const (
	// LayoutFile holds a Layout. It is written last: when it is there, the
	// others are.
	LayoutFile = "standins.json"
	// EnvFile holds the settings of lynxctl for a shell to source.
	EnvFile = "lynxctl.env"
	// LogPattern matches the logs of instances, which whoever starts them
	// writes: ID.log.
	LogPattern = "*.log"
)

// Both files hold tokens.
const privateFile = 0o600

// StandinsOptions describe a deployment whose instances run as processes of
// their own.
type StandinsOptions struct {
	Deployment string
	Instances  int    // settings and ports are prepared for that many
	Dir        string // must exist
	Control    string // address of the control endpoint, IP:port
	Seed       uint64
	TimeScale  float64
	// Relays has others reach the instances, and these the platform, through
	// relays of this process, so that single instances can be cut off.
	Relays bool
}

// Layout tells other processes where everything is.
type Layout struct {
	Deployment    string                 `json:"deployment"`
	Region        string                 `json:"region"`
	Zones         []string               `json:"places"`
	Control       string                 `json:"control"` // address of the control endpoint
	Platform      string                 `json:"platform"`
	Targets       []platformapi.Instance `json:"targets"`
	OperatorToken string                 `json:"operator_token"`
	CallerTokens  map[string]string      `json:"caller_tokens"` // by organisation
	Instances     []LayoutInstance       `json:"instances"`
}

// LayoutInstance is an instance that is to be started. Its ports are reserved
// for as long as the stand-ins run, so that a replacement can have them.
type LayoutInstance struct {
	ID     string `json:"id"`
	Zone   string `json:"place"`
	Config string `json:"config"` // file with its settings
	Caller string `json:"caller"` // address that callers are told
	Admin  string `json:"admin"`
}

// Standins is the platform and the targets of a deployment for instances in
// other processes, with a control endpoint.
type Standins struct {
	Layout Layout

	opts     StandinsOptions
	cluster  *Cluster // without instances
	ports    []*loopback.Port
	relays   []*relay
	listener net.Listener
	control  *http.Server
}

// StartStandins starts the stand-ins and writes settings, addresses and tokens
// to the directory.
func StartStandins(opts StandinsOptions) (*Standins, error) {
	control, err := netip.ParseAddrPort(opts.Control)
	if err != nil || !control.Addr().IsLoopback() {
		return nil, fmt.Errorf("control endpoint: %q is no loopback IP:port", opts.Control)
	}
	cluster, err := StartCluster(ClusterOptions{
		Fleet: fleet.Options{Name: opts.Deployment, TimeScale: opts.TimeScale}, Seed: opts.Seed,
	})
	if err != nil {
		return nil, err
	}
	s := &Standins{opts: opts, cluster: cluster}
	if err := s.start(); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

func (s *Standins) start() error {
	var err error
	if s.listener, err = net.Listen("tcp", s.opts.Control); err != nil {
		return err
	}
	s.control = &http.Server{Handler: s.controlHandler(), ReadHeaderTimeout: controlTimeout}
	s.Layout = Layout{
		Deployment: s.cluster.Fleet.Name, Region: s.cluster.Fleet.Region, Zones: s.cluster.Fleet.Zones,
		Control: s.listener.Addr().String(), Platform: s.cluster.Fleet.Platform.Addr(),
		OperatorToken: s.cluster.operator, CallerTokens: s.cluster.callers,
	}
	for _, m := range s.cluster.Fleet.Members() {
		s.Layout.Targets = append(s.Layout.Targets, m.Instance)
	}
	for i := range s.opts.Instances {
		if err := s.prepare(i); err != nil {
			return err
		}
	}
	return s.writeLayout()
}

// Run serves the control endpoint until ctx ends, then closes everything.
func (s *Standins) Run(ctx context.Context) error {
	defer s.Close()
	failed := make(chan error, 1)
	go func() { failed <- s.control.Serve(s.listener) }()
	select {
	case <-ctx.Done():
		return nil
	case err := <-failed:
		return err
	}
}

// Close ends everything at once.
func (s *Standins) Close() {
	if s.control != nil {
		_ = s.control.Close()
	}
	if s.listener != nil {
		_ = s.listener.Close()
	}
	for _, r := range s.relays {
		r.close()
	}
	s.cluster.Close()
	for _, p := range s.ports {
		p.Release()
	}
}

// prepare reserves the addresses of an instance and writes its settings.
func (s *Standins) prepare(i int) error {
	cfg := s.cluster.settings(i)
	id := cfg.Instance.ID
	for _, listen := range []*string{&cfg.Listen.Caller, &cfg.Listen.Admin, &cfg.Listen.Peer} {
		port, err := loopback.ReservePort()
		if err != nil {
			return err
		}
		s.ports = append(s.ports, port)
		*listen = port.Addr()
	}
	if s.opts.Relays {
		if err := s.relay(&cfg); err != nil {
			return err
		}
	}
	cfg.Debug.Pprof = true
	instance := LayoutInstance{
		ID: id, Zone: cfg.Instance.Zone, Config: filepath.Join(s.opts.Dir, id+".toml"),
		Caller: cmp.Or(cfg.Listen.AdvertiseCaller, cfg.Listen.Caller), Admin: cfg.Listen.Admin,
	}
	s.Layout.Instances = append(s.Layout.Instances, instance)
	text, err := toml.Marshal(cfg)
	if err != nil {
		return err
	}
	return os.WriteFile(instance.Config, text, privateFile)
}

func (s *Standins) writeLayout() error {
	var admins, callers, ids []string
	for _, i := range s.Layout.Instances {
		admins, callers = append(admins, i.Admin), append(callers, i.Caller)
		ids = append(ids, i.ID)
	}
	env := fmt.Sprintf("export LYNXCTL_SERVER=%s\nexport LYNXCTL_TOKEN=%s\nexport LYNXCTL_CALLER=%s\nINSTANCES=(%s)\nCONTROL=%s\n",
		strings.Join(admins, ","), s.Layout.OperatorToken, strings.Join(callers, ","), strings.Join(ids, " "), s.Layout.Control)
	if err := os.WriteFile(filepath.Join(s.opts.Dir, EnvFile), []byte(env), privateFile); err != nil {
		return err
	}
	text, err := json.MarshalIndent(s.Layout, "", "  ")
	if err != nil {
		return err
	}
	name := filepath.Join(s.opts.Dir, LayoutFile)
	if err := os.WriteFile(name+".new", text, privateFile); err != nil {
		return err
	}
	return os.Rename(name+".new", name)
}
