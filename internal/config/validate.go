package config

import (
	"fmt"
	"net/netip"
	"net/url"
	"time"
)

// Bounds of the settings.
const (
	maxKB       = 1 << 20
	maxCount    = 1 << 20
	maxShards   = 4096
	maxWindowKB = 900 // the platform holds values up to a megabyte
	shortest    = time.Millisecond
	longest     = 30 * 24 * time.Hour
)

// Validate checks the settings. The error names the key.
func (c *Config) Validate() error {
	checks := []func() error{
		c.Instance.validate, c.Ingress.validate, c.validateListen, c.Platform.validate, c.TLS.validate, c.Tokens.validate,
		c.Peers.validate, c.Limits.validate, c.Timings.validate, c.Routing.validate, c.Claims.validate, c.Log.validate,
	}
	for _, check := range checks {
		if err := check(); err != nil {
			return err
		}
	}
	return c.validateID()
}

// validateID insists on an id where the address makes none: with port 0 all
// instances of a machine would have the same, and each would take the others'
// heartbeats for its own.
func (c *Config) validateID() error {
	if c.Ingress.Enabled() {
		if c.Instance.ID == "" {
			return fault("instance.id", "is missing; an instance that serves plain requests needs a name")
		}
		return nil
	}
	port := netip.MustParseAddrPort(c.Listen.callerAddress()).Port()
	if c.Instance.ID == "" && port == 0 {
		return fault("instance.id", "is missing; with port 0 in listen.caller the instance needs a name of its own")
	}
	return nil
}

func fault(key, format string, args ...any) error {
	return fmt.Errorf("%s: %s", key, fmt.Sprintf(format, args...))
}

func (i Instance) validate() error {
	if i.Place == "" {
		return fault("instance.place", "is missing; name the availability zone of this instance")
	}
	if i.Region == "" {
		return fault("instance.region", "is missing; name the region of this instance")
	}
	return nil
}

// validateListen checks the listeners. An instance that serves plain requests
// has those of [ingress] instead of the caller and admin API.
func (c *Config) validateListen() error {
	if c.Ingress.Enabled() {
		return checkAddress("listen.peer", c.Listen.Peer, true)
	}
	return c.Listen.validate()
}

func (l Listen) validate() error {
	required := []struct{ key, value string }{
		{"listen.caller", l.Caller}, {"listen.admin", l.Admin}, {"listen.peer", l.Peer},
	}
	for _, a := range required {
		if err := checkAddress(a.key, a.value, true); err != nil {
			return err
		}
	}
	advertised := []struct{ key, value, listen string }{
		{"listen.advertise_caller", l.AdvertiseCaller, l.Caller},
		{"listen.advertise_admin", l.AdvertiseAdmin, l.Admin},
		{"listen.advertise_peer", l.AdvertisePeer, l.Peer},
	}
	for _, a := range advertised {
		if err := checkAdvertised(a.key, a.value, a.listen); err != nil {
			return err
		}
	}
	return nil
}

// checkAdvertised refuses an address that nobody else could connect to, which
// would show only as requests that fail from other instances.
func checkAdvertised(key, value, listen string) error {
	if value == "" {
		if netip.MustParseAddrPort(listen).Addr().IsUnspecified() {
			return fault(key, "is missing; %s listens on every address, so name the one that others connect to", listen)
		}
		return nil
	}
	if err := checkAddress(key, value, false); err != nil {
		return err
	}
	if netip.MustParseAddrPort(value).Addr().IsUnspecified() {
		return fault(key, "%q is no address that others could connect to", value)
	}
	return nil
}

func checkAddress(key, value string, zeroPort bool) error {
	if value == "" {
		return fault(key, "is missing; give an IP number with a port")
	}
	addr, err := netip.ParseAddrPort(value)
	if err != nil {
		return fault(key, "%q is not an IP number with a port, such as 10.0.0.1:7000", value)
	}
	if addr.Port() == 0 && !zeroPort {
		return fault(key, "%q has port 0", value)
	}
	return nil
}

func (p Platform) validate() error {
	if len(p.Endpoints) == 0 {
		return fault("platform.endpoints", "is missing; give at least one address of the platform")
	}
	for i, endpoint := range p.Endpoints {
		if err := checkEndpoint(fmt.Sprintf("platform.endpoints[%d]", i), endpoint); err != nil {
			return err
		}
	}
	return firstFault(
		checkInt("platform.writes_per_second", p.WritesPerSecond, 1, maxCount),
		checkInt("platform.reads_per_second", p.ReadsPerSecond, 1, maxCount),
		checkInt("platform.watches", p.Watches, 1, maxCount),
	)
}

func checkEndpoint(key, value string) error {
	u, err := url.Parse(value)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") {
		return fault(key, "%q is not of the form http://IP:port or https://IP:port", value)
	}
	if u.User != nil || u.RawQuery != "" || u.Fragment != "" || (u.Path != "" && u.Path != "/") {
		return fault(key, "must hold scheme, IP number and port only")
	}
	return checkAddress(key, u.Host, false)
}

func (t TLS) validate() error {
	for _, l := range t.listeners() {
		if err := l.files.validate(l.key); err != nil {
			return err
		}
	}
	if t.Peer.Enabled() && t.Peer.ClientCAFile == "" {
		return fault("tls.peer.client_ca_file", "is missing; instances prove themselves to one another with certificates of this CA")
	}
	return nil
}

type listenerFiles struct {
	key   string
	files TLSFiles
}

func (t TLS) listeners() []listenerFiles {
	return []listenerFiles{{"tls.caller", t.Caller}, {"tls.admin", t.Admin}, {"tls.peer", t.Peer}}
}

func (f TLSFiles) validate(key string) error {
	switch {
	case f.CertFile != "" && f.KeyFile == "":
		return fault(key+".key_file", "is missing, but cert_file is given")
	case f.CertFile == "" && f.KeyFile != "":
		return fault(key+".cert_file", "is missing, but key_file is given")
	case f.CertFile == "" && f.ClientCAFile != "":
		return fault(key+".cert_file", "is missing, but client_ca_file is given")
	}
	return nil
}

func (t Tokens) validate() error {
	if err := t.Set().Validate(); err != nil {
		return fmt.Errorf("tokens.%w", err)
	}
	return nil
}

func (p Peers) validate() error {
	for i, seed := range p.Seeds {
		if err := checkAddress(fmt.Sprintf("peers.seeds[%d]", i), seed, false); err != nil {
			return err
		}
	}
	return nil
}

func (l Limits) validate() error {
	return firstFault(
		checkInt("limits.max_body_kb", l.MaxBodyKB, 1, maxKB),
		checkInt("limits.max_answer_kb", l.MaxAnswerKB, 1, maxKB),
		checkInt("limits.max_in_flight", l.MaxInFlight, 1, maxCount),
		checkInt("limits.max_queued", l.MaxQueued, 0, maxCount),
	)
}

func (t Timings) validate() error {
	return firstFault(
		checkDuration("timings.heartbeat", t.Heartbeat, shortest),
		checkDuration("timings.keep", t.Keep, shortest),
		checkDuration("timings.body_timeout", t.BodyTimeout, shortest),
		checkDuration("timings.write_timeout", t.WriteTimeout, shortest),
		checkDuration("timings.stop_grace", t.StopGrace, 0),
		checkDuration("timings.peer_heartbeat", t.PeerHeartbeat, shortest),
		checkDuration("timings.fence_after", t.FenceAfter, t.PeerHeartbeat.Duration),
		checkDuration("timings.lease_ttl", t.LeaseTTL, time.Second),
		checkDuration("timings.file_check", t.FileCheck, shortest),
	)
}

func (r Routing) validate() error {
	return firstFault(
		checkShare("routing.retry_budget", r.RetryBudget),
		checkInt("routing.max_attempts", r.MaxAttempts, 1, 100),
		checkShare("routing.max_ejected", r.MaxEjected),
	)
}

func (c Claims) validate() error {
	return firstFault(
		checkInt("claims.shards", c.Shards, 1, maxShards),
		checkInt("claims.window_kb", c.WindowKB, 1, maxWindowKB),
		checkDuration("claims.flush", c.Flush, 0),
		checkDuration("claims.retention", c.Retention, time.Second),
		checkDuration("claims.opaque_retention", c.OpaqueRetention, c.Retention.Duration),
	)
}

func (l Log) validate() error {
	switch l.Level {
	case "debug", "info", "warn", "error":
	default:
		return fault("log.level", "%q is none of debug, info, warn, error", l.Level)
	}
	if l.Format != FormatLogfmt && l.Format != FormatJSON {
		return fault("log.format", "%q is none of %s, %s", l.Format, FormatLogfmt, FormatJSON)
	}
	return nil
}

func firstFault(faults ...error) error {
	for _, err := range faults {
		if err != nil {
			return err
		}
	}
	return nil
}

func checkInt(key string, value, least, most int) error {
	if value < least || value > most {
		return fault(key, "%d is not between %d and %d", value, least, most)
	}
	return nil
}

func checkDuration(key string, value Duration, least time.Duration) error {
	if err := value.Err(); err != nil {
		return fault(key, "%v", err)
	}
	if value.Duration < least || value.Duration > longest {
		return fault(key, "%s is not between %s and %s", value, least, longest)
	}
	return nil
}

func checkShare(key string, value float64) error {
	if !(value >= 0 && value <= 1) { // also refuses NaN
		return fault(key, "%g is not between 0 and 1", value)
	}
	return nil
}
